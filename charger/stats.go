package charger

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/lender"
)

// maxCustomerStats bounds the customers that Stats describes.
const maxCustomerStats = 32

// messageCounts counts what passed between this host and others.
type messageCounts struct {
	// Asked counts the asks of this host, and Unanswered those without an answer.
	Asked      uint64 `json:"asked"`
	Unanswered uint64 `json:"unanswered"`
	// Lent and TakenBack are the units that this host lent, to itself too, and that came back.
	Lent      float64 `json:"lent"`
	TakenBack float64 `json:"taken-back"`
}

// Stats describes what a Charger has charged.
type Stats struct {
	messageCounts
	// Limited is the number of customers with a quota.
	Limited int `json:"limited"`
	// Alone is set while this host reaches no granting host.
	Alone bool `json:"alone"`
	// Customers are those with the most refused requests, and then with the most units.
	Customers []CustomerStats `json:"customers"`
}

// CustomerStats describes the requests of one customer at this host.
type CustomerStats struct {
	Customer identifier.Customer `json:"customer"`
	Unit     string              `json:"unit"`
	Rate     float64             `json:"rate"`
	Burst    float64             `json:"burst"`
	lender.Counts
	// Balance is what this host has borrowed and not spent.
	Balance float64 `json:"balance"`
	// Granters are the hosts that lend the quota.
	Granters []identifier.Host `json:"granters"`
}

// Stats returns the current counts.
func (c *Charger) Stats() Stats {
	now := time.Now()
	declared := c.quotas.Load().byCustomer
	c.mu.Lock()
	defer c.mu.Unlock()
	s := Stats{messageCounts: c.counts, Limited: len(declared), Alone: c.isAlone, Customers: []CustomerStats{}}
	c.borrower.ForEach(now, func(name identifier.Customer, counts lender.Counts, balance float64) {
		s.Customers = append(s.Customers, customerStats(name, declared[name], counts, balance))
	})
	slices.SortFunc(s.Customers, func(a, b CustomerStats) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Charged, a.Charged), cmp.Compare(a.Customer, b.Customer))
	})
	s.Customers = s.Customers[:min(maxCustomerStats, len(s.Customers))]
	for n := range s.Customers {
		s.Customers[n].Granters = c.granterNames(s.Customers[n].Customer, now)
	}
	return s
}

// Granters returns the hosts that lend a customer's quota.
func (c *Charger) Granters(customer identifier.Customer) []identifier.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.granterNames(customer, time.Now())
}

// granterNames returns the hosts that lend a customer's quota. c.mu must be held.
func (c *Charger) granterNames(customer identifier.Customer, now time.Time) []identifier.Host {
	var names []identifier.Host
	list, _ := c.granters.of(customer, c.deps, now)
	for _, m := range list {
		names = append(names, m.Host)
	}
	return names
}

func customerStats(name identifier.Customer, q authenticator.Quota, counts lender.Counts, balance float64) CustomerStats {
	return CustomerStats{
		Customer: name, Unit: q.Unit.String(), Rate: q.Rate, Burst: q.Burst, Counts: counts, Balance: balance,
	}
}
