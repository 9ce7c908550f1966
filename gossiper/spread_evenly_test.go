package gossiper_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
)

// TestSpreadEvenly guards against a data center that holds most of what is spread: with equal data
// centers none has more than an equal part, rounded up.
func TestSpreadEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		dataCenters, each := rapid.IntRange(1, 8).Draw(t, "data centers"), rapid.IntRange(1, 24).Draw(t, "hosts in each")
		var members []gossiper.Member
		for n := range dataCenters * each {
			members = append(members, gossiper.Member{
				Host: identifier.Host(fmt.Sprint("host-", n)), DataCenter: identifier.DataCenter(fmt.Sprint("dc-", n%dataCenters)),
			})
		}
		const count = 6
		list := gossiper.SpreadEvenly(members, rapid.Uint64().Draw(t, "key"), count)
		is.Equal(len(list), min(count, len(members)))
		in := map[identifier.DataCenter]int{}
		for _, m := range list {
			in[m.DataCenter]++
			is.True(in[m.DataCenter] <= (count+dataCenters-1)/dataCenters)
		}
	})
}
