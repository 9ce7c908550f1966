package charger_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// TestGrantersInDataCenters answers a data center that is cut off: it has a third of the lending
// hosts of each customer.
func TestGrantersInDataCenters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 70, tokens(47_000), 1)
		defer f.stop()
		dataCenterOf := map[identifier.Host]identifier.DataCenter{}
		for _, h := range f.hosts {
			dataCenterOf[h.name()] = h.dataCenter()
		}
		for n := range 100 {
			in := map[identifier.DataCenter]int{}
			for _, g := range f.hosts[0].charger.Granters(identifier.Customer(fmt.Sprint("customer-", n))) {
				in[dataCenterOf[g]]++
			}
			is.Equal(in, map[identifier.DataCenter]int{"dc-0": 2, "dc-1": 2, "dc-2": 2})
		}
	})
}
