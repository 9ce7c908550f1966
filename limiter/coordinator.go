package limiter

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

const (
	// demandWeight is the weight of one report in a host's mean demand.
	demandWeight = 0.5
	// balanceTime is the time in which a level comes back to its target, which
	// is a share of the burst; mostBalance bounds the factor on the rate.
	balanceTime = 4 * time.Second
	targetLevel = 0.1
	mostBalance = 2.0
	// burstFactor is how much more of the level than of the rate a host gets,
	// and headroomFactor how much more of what no host wants.
	burstFactor    = 3
	headroomFactor = 2
	// unreportedBound is the longest time for which a host that does not
	// report is expected to go on as before.
	unreportedBound = 2 * time.Second
	// leastPart is the least part of the rate that a host keeps.
	leastPart = 0.001
	// maxDebt bounds what is paid back, in seconds of the rate.
	maxDebt = 10
)

// Coordinator is the part of the host that a customer's coordinator runs on.
// It is not safe for concurrent use.
type Coordinator struct {
	options   Options
	customers map[identifier.Customer]*compiler.Customer
	other     *compiler.Customer
	live      int
	known     int
	accounts  map[identifier.Customer]*account
}

// account is what a coordinator knows of one customer.
type account struct {
	customer *compiler.Customer
	// level is what the customer may still use at once, in requests; below 0
	// it owes. tokens is the same in tokens.
	level  float64
	tokens float64
	at     time.Time
	// unreported is what hosts are expected to have admitted since their last
	// reports.
	unreported Cost
	hosts      []demand // by incarnation
}

// demand is a host's use and what it wants, as a part of the customer's rate.
type demand struct {
	host identifier.Incarnation
	part float64
	// used is the admitted rate.
	used Cost
	at   time.Time
}

// NewCoordinator gives a coordinator without customers.
func NewCoordinator(options Options) *Coordinator {
	return &Coordinator{options: options.withDefaults(), live: 1, known: 1, accounts: map[identifier.Customer]*account{}}
}

// Configure puts declarations in force. What is known of customers whose
// declaration is unchanged is kept.
func (c *Coordinator) Configure(customers map[identifier.Customer]*compiler.Customer, other *compiler.Customer) {
	c.customers, c.other = customers, other
	for name, a := range c.accounts {
		declared := c.declared(name)
		if declared == nil || *declared != *a.customer {
			delete(c.accounts, name)
			continue
		}
		a.customer = declared
	}
}

// SetHosts says how many entry hosts the coordinator sees, and how many are
// known to be there, perhaps behind a cut.
func (c *Coordinator) SetHosts(live, known int) {
	c.live = max(1, live)
	c.known = max(c.live, known)
}

// HostDead frees the shares of a host.
func (c *Coordinator) HostDead(host identifier.Incarnation) {
	for _, a := range c.accounts {
		a.remove(func(d demand) bool { return d.host == host })
	}
}

// Report takes in a host's usage and answers its shares.
func (c *Coordinator) Report(host identifier.Incarnation, usages []Usage, now time.Time) []Share {
	shares := make([]Share, 0, len(usages))
	for i := range usages {
		a := c.account(usages[i].Customer, now)
		if a == nil {
			continue
		}
		a.refill(c.scope(), now)
		a.take(host, &usages[i], c.options, now)
		shares = append(shares, a.share(host, c.live, c.scope()))
	}
	return shares
}

// scope is the part of the limit that this side of a cut may use.
func (c *Coordinator) scope() float64 {
	return float64(c.live) / float64(c.known)
}

// Expire forgets customers that no host reports any more.
func (c *Coordinator) Expire(now time.Time) {
	for name, a := range c.accounts {
		a.forget(now.Add(-c.patience()))
		if len(a.hosts) == 0 && a.level >= burstOf(a.customer) {
			delete(c.accounts, name)
		}
		a.refill(c.scope(), now)
	}
}

func (c *Coordinator) patience() time.Duration {
	return c.options.AnswerLimit * time.Duration(c.options.CalmInterval)
}

// declared gives a customer's declaration, or the default one; nil: none.
func (c *Coordinator) declared(name identifier.Customer) *compiler.Customer {
	if declared := c.customers[name]; declared != nil {
		return declared
	}
	return c.other
}

func (c *Coordinator) account(name identifier.Customer, now time.Time) *account {
	if a := c.accounts[name]; a != nil {
		return a
	}
	declared := c.declared(name)
	if declared == nil {
		return nil
	}
	a := &account{
		customer: declared,
		level:    burstOf(declared),
		tokens:   declared.TokensPerSecond * defaultBurst.Seconds(),
		at:       now,
	}
	c.accounts[name] = a
	return a
}

// refill adds what the rates give. What hosts have admitted since their last
// reports is taken off before the levels are bounded by the burst.
func (a *account) refill(scope float64, now time.Time) {
	passed := now.Sub(a.at).Seconds() * scope
	a.at = now
	a.unreported = a.expected(now)
	most := burstOf(a.customer) + a.unreported.Requests
	a.level = min(most, a.level+passed*a.customer.RequestsPerSecond)
	most = a.customer.TokensPerSecond*defaultBurst.Seconds() + a.unreported.Tokens
	a.tokens = min(most, a.tokens+passed*a.customer.TokensPerSecond)
}

// expected gives what hosts are expected to have admitted since they reported.
func (a *account) expected(now time.Time) Cost {
	var sum Cost
	for _, d := range a.hosts {
		passed := min(now.Sub(d.at), unreportedBound).Seconds()
		sum.Requests += d.used.Requests * passed
		sum.Tokens += d.used.Tokens * passed
	}
	return sum
}

func (a *account) take(host identifier.Incarnation, u *Usage, o Options, now time.Time) {
	a.level = max(a.level-u.Admitted.Requests, -maxDebt*a.customer.RequestsPerSecond)
	a.tokens = max(a.tokens-u.Admitted.Tokens, -maxDebt*a.customer.TokensPerSecond)
	d := a.demandOf(host, now.Add(-o.Interval*time.Duration(o.CalmInterval)))
	passed := max(o.Interval, now.Sub(d.at)).Seconds()
	d.part += demandWeight * (a.wanted(u)/passed - d.part)
	d.used.Requests += demandWeight * (u.Admitted.Requests/passed - d.used.Requests)
	d.used.Tokens += demandWeight * (u.Admitted.Tokens/passed - d.used.Tokens)
	d.at = now
	a.forget(now.Add(-o.AnswerLimit * time.Duration(o.CalmInterval)))
	a.unreported = a.expected(now)
}

// wanted gives a usage as seconds of the customer's rate.
func (a *account) wanted(u *Usage) float64 {
	part := 0.0
	if a.customer.RequestsPerSecond > 0 {
		part = u.Wanted.Requests / a.customer.RequestsPerSecond
	}
	if a.customer.TokensPerSecond > 0 {
		part = max(part, u.Wanted.Tokens/a.customer.TokensPerSecond)
	}
	return part
}

// demandOf gives the demand of a host; that of a new one begins at since.
func (a *account) demandOf(host identifier.Incarnation, since time.Time) *demand {
	place, ok := slices.BinarySearchFunc(a.hosts, host, func(d demand, h identifier.Incarnation) int {
		return cmp.Compare(d.host, h)
	})
	if !ok {
		a.hosts = slices.Insert(a.hosts, place, demand{host: host, at: since})
	}
	return &a.hosts[place]
}

func (a *account) forget(before time.Time) {
	a.remove(func(d demand) bool { return d.at.Before(before) })
}

func (a *account) remove(match func(demand) bool) {
	a.hosts = slices.DeleteFunc(a.hosts, match)
}

// share divides the rate: by demand when it is above the limit; otherwise
// each host gets its demand and an equal part of what is left.
func (a *account) share(host identifier.Incarnation, live int, scope float64) Share {
	total := 0.0
	for _, d := range a.hosts {
		total += d.part
	}
	mine := a.demandOf(host, a.at).part
	rate := scope * a.balance()
	part := mine * rate / max(total, rate)
	part += headroomFactor * max(0, rate-total) / float64(max(live, len(a.hosts)))
	return Share{
		Customer: a.customer.Name,
		Part:     min(1, max(leastPart, part)),
		Burst:    a.burst(part),
	}
}

// balance is the factor on the rate that brings the level to its target: below
// 1 for a customer that was admitted too much, above it for one that was
// admitted less than it might.
func (a *account) balance() float64 {
	factor := mostBalance
	if rate := a.customer.RequestsPerSecond; rate > 0 {
		excess := a.level - a.unreported.Requests - targetLevel*burstOf(a.customer)
		factor = min(factor, 1+excess/(rate*balanceTime.Seconds()))
	}
	if rate := a.customer.TokensPerSecond; rate > 0 {
		excess := a.tokens - a.unreported.Tokens - targetLevel*rate*defaultBurst.Seconds()
		factor = min(factor, 1+excess/(rate*balanceTime.Seconds()))
	}
	return max(0, factor)
}

// burst lets a host with a part of the rate use a larger part of the level, as
// hosts seldom need theirs at one time, and one request more.
func (a *account) burst(part float64) float64 {
	return 1 + max(0, a.level-a.unreported.Requests)*min(1, burstFactor*part)
}
