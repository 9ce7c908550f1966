// Package limiter enforces per-customer rate limits across all entry hosts
// without shared storage. Each host admits requests up to its share of the
// customer's rate and reports its usage to the customer's coordinator, an entry
// host chosen by hashing. The coordinator responds with a share of the rate that
// follows the demand at each host.
//
// # Usage
//
// On each host:
//
//	l := limiter.New(limiter.Options{})
//	l.Configure(fleet.Customers, fleet.DefaultCustomer)
//	l.SetKnownHosts(9)
//	ok, retryAfter := l.Admit("dealer-12", limiter.Cost{Requests: 1, Tokens: 500}, now)
//	for _, u := range l.Report(now) { /* send to the coordinator of u.Customer */ }
//	l.ApplyShares(shares, now)
//
// On the coordinator of a customer:
//
//	c := limiter.NewCoordinator(limiter.Options{})
//	c.Configure(fleet.Customers, fleet.DefaultCustomer)
//	c.SetHosts(live, known)
//	shares := c.Report(host, usages, now)
//
// A host that gets no responses falls back to an equal share among all known
// hosts, and a coordinator that sees only some of the known hosts distributes
// only their proportion of the rate, so that the sides of a network partition
// don't exceed the limit together. Admit is safe for concurrent use and takes no
// lock for declared customers.
package limiter

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Defaults of Options.
const (
	defaultInterval          = time.Second
	defaultAnswerTimeout     = 3 * time.Second
	defaultLowUsageIntervals = 5
	defaultBurst             = time.Second // of the rate, if no burst is declared
	defaultMaxUndeclared     = 4096
)

// Options configures a Limiter or a Coordinator. Zero fields take defaults.
type Options struct {
	// Interval is the time between reports.
	Interval time.Duration
	// AnswerTimeout is how long a host uses its share after a report went
	// unanswered. Multiplied by LowUsageIntervals, it is the maximum age of a
	// share at a host, and of a host's last report at a coordinator, since low
	// usage is reported less often.
	AnswerTimeout time.Duration
	// LowUsageIntervals is the number of intervals between reports on a customer
	// that uses less than half of the host's share.
	LowUsageIntervals int
	// MaxUndeclared is the maximum number of customers without a declaration for
	// which a host keeps state.
	MaxUndeclared int
}

func (o Options) withDefaults() Options {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.AnswerTimeout == 0 {
		o.AnswerTimeout = defaultAnswerTimeout
	}
	if o.LowUsageIntervals == 0 {
		o.LowUsageIntervals = defaultLowUsageIntervals
	}
	if o.MaxUndeclared == 0 {
		o.MaxUndeclared = defaultMaxUndeclared
	}
	return o
}

// Cost is an amount of requests and tokens, charged to a customer's limits.
type Cost struct {
	Requests float64
	Tokens   float64
}

// Usage is a host's report on one customer for the time since the last report.
type Usage struct {
	Customer identifier.Customer
	// Admitted is the cost of the admitted requests. Wanted also includes the
	// refused ones.
	Admitted Cost
	Wanted   Cost
}

// Share is a coordinator's response for one customer and one host.
type Share struct {
	Customer identifier.Customer
	// Fraction is the fraction of the customer's rates that the host may use,
	// between 0 and 1.
	Fraction float64
	// Burst is the number of requests that the host may admit at once beyond
	// that rate.
	Burst float64
}
