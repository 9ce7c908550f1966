package charger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/lender"
)

// customersTested is the number of customers at the full size.
const customersTested = 26_000

// BenchmarkCharge charges requests of all customers in turn, for which units are at hand.
func BenchmarkCharge(b *testing.B) {
	c := &Charger{borrower: lender.NewBorrower()}
	now, later := time.Now(), time.Now().Add(time.Hour)
	customers := make([]*authenticator.Customer, customersTested)
	for n := range customers {
		name := identifier.Customer(fmt.Sprintf("customer-%d", n))
		customers[n] = &authenticator.Customer{Name: name, Quota: authenticator.Quota{Rate: 1000}}
		for g := range lender.Granters {
			granter := identifier.Host(fmt.Sprintf("host-%d", g))
			c.borrower.Add(name, granter, lender.Loan{Amount: 1e15}, later, now)
		}
		c.Charge(context.Background(), customers[n], 1)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if _, ok := c.Charge(context.Background(), customers[n%customersTested], 5300); !ok {
			b.Fatal("refused")
		}
	}
}
