// Package limiter holds customers to limits that all entry hosts share,
// without shared state. Each host admits by a share of the customer's rate;
// it reports what it used to the customer's coordinator, a host chosen by
// hashing, which answers with shares that follow the demand.
//
// # Usage
//
// On each host:
//
//	l := limiter.New(limiter.Options{})
//	l.Configure(fleet.Customers, fleet.DefaultCustomer)
//	l.SetHosts(9)
//	ok, retryAfter := l.Admit("dealer-12", limiter.Cost{Requests: 1, Tokens: 500}, now)
//	for _, u := range l.Report(now) { /* send to the coordinator of u.Customer */ }
//	l.Answer(shares, now)
//
// On the coordinator of a customer:
//
//	c := limiter.NewCoordinator(limiter.Options{})
//	c.Configure(fleet.Customers, fleet.DefaultCustomer)
//	c.SetHosts(live, known)
//	shares := c.Report(host, usages, now)
//
// A host without answers falls back to one share of all known hosts, and a
// coordinator that sees only some of the known hosts hands out only their
// shares, so that the sides of a cut don't exceed the limit together. Admit
// may be called concurrently; it takes no lock for declared customers.
package limiter

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Defaults of Options.
const (
	defaultInterval     = time.Second
	defaultAnswerLimit  = 3 * time.Second
	defaultCalmInterval = 5
	defaultBurst        = time.Second // of the rate, where none is declared
	defaultUndeclared   = 4096
)

// Options are the knobs; zero fields get defaults.
type Options struct {
	// Interval between reports.
	Interval time.Duration
	// AnswerLimit is how long a host uses a share without a fresh answer, and
	// how long a coordinator counts a host without a fresh report.
	AnswerLimit time.Duration
	// CalmInterval is the number of intervals between reports of a customer
	// that uses less than half of the host's share.
	CalmInterval int
	// Undeclared bounds the customers without a declaration that a host
	// remembers.
	Undeclared int
}

func (o Options) withDefaults() Options {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.AnswerLimit == 0 {
		o.AnswerLimit = defaultAnswerLimit
	}
	if o.CalmInterval == 0 {
		o.CalmInterval = defaultCalmInterval
	}
	if o.Undeclared == 0 {
		o.Undeclared = defaultUndeclared
	}
	return o
}

// Cost is what a request takes of its customer's limits.
type Cost struct {
	Requests float64
	Tokens   float64
}

// Usage is a host's report on one customer since its last report.
type Usage struct {
	Customer identifier.Customer
	// Admitted is what was admitted; Wanted also counts what was refused.
	Admitted Cost
	Wanted   Cost
}

// Share is a coordinator's answer for one customer and host.
type Share struct {
	Customer identifier.Customer
	// Part of the customer's rates that the host may use, between 0 and 1.
	Part float64
	// Burst is the requests that the host may admit above that at once.
	Burst float64
}
