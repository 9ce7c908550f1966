package limiter

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

const (
	// demandWeight is the weight of one report in a host's mean demand.
	demandWeight = 0.5
	// repayTime is how long a customer that was admitted too much takes to
	// pay it back.
	repayTime = 5 * time.Second
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
	hosts  map[identifier.Incarnation]*demand
}

// demand is a host's wanted rates, as parts of the customer's rate.
type demand struct {
	part float64
	at   time.Time
}

// NewCoordinator gives a coordinator without customers.
func NewCoordinator(options Options) *Coordinator {
	return &Coordinator{options: options.withDefaults(), live: 1, known: 1, accounts: map[identifier.Customer]*account{}}
}

// Configure puts declarations in force.
func (c *Coordinator) Configure(customers map[identifier.Customer]*compiler.Customer, other *compiler.Customer) {
	c.customers, c.other = customers, other
	clear(c.accounts)
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
		delete(a.hosts, host)
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

func (c *Coordinator) account(name identifier.Customer, now time.Time) *account {
	if a := c.accounts[name]; a != nil {
		return a
	}
	declared := c.customers[name]
	if declared == nil {
		declared = c.other
	}
	if declared == nil {
		return nil
	}
	a := &account{
		customer: declared,
		level:    burstOf(declared),
		tokens:   declared.TokensPerSecond * defaultBurst.Seconds(),
		at:       now,
		hosts:    map[identifier.Incarnation]*demand{},
	}
	c.accounts[name] = a
	return a
}

func (a *account) refill(scope float64, now time.Time) {
	passed := now.Sub(a.at).Seconds() * scope
	a.at = now
	a.level = min(burstOf(a.customer), a.level+passed*a.customer.RequestsPerSecond)
	a.tokens = min(a.customer.TokensPerSecond*defaultBurst.Seconds(), a.tokens+passed*a.customer.TokensPerSecond)
}

func (a *account) take(host identifier.Incarnation, u *Usage, o Options, now time.Time) {
	a.level = max(a.level-u.Admitted.Requests, -maxDebt*a.customer.RequestsPerSecond)
	a.tokens = max(a.tokens-u.Admitted.Tokens, -maxDebt*a.customer.TokensPerSecond)
	d := a.hosts[host]
	if d == nil {
		d = &demand{at: now.Add(-o.Interval)}
		a.hosts[host] = d
	}
	passed := max(o.Interval, now.Sub(d.at)).Seconds()
	d.part += demandWeight * (a.wanted(u)/passed - d.part)
	d.at = now
	a.forget(now.Add(-o.AnswerLimit * time.Duration(o.CalmInterval)))
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

func (a *account) forget(before time.Time) {
	for host, d := range a.hosts {
		if d.at.Before(before) {
			delete(a.hosts, host)
		}
	}
}

// share divides the rate: by demand when it is above the limit; otherwise
// each host gets its demand and an equal part of what is left.
func (a *account) share(host identifier.Incarnation, live int, scope float64) Share {
	total := 0.0
	for _, d := range a.hosts {
		total += d.part
	}
	mine := a.hosts[host].part
	rate := scope * a.repayment()
	part := mine * rate / max(total, rate)
	part += max(0, rate-total) / float64(max(live, len(a.hosts)))
	return Share{
		Customer: a.customer.Name,
		Part:     min(1, max(leastPart, part)),
		Burst:    a.burst(part),
	}
}

// repayment is the factor on the rate of a customer that owes.
func (a *account) repayment() float64 {
	factor := 1.0
	if a.level < 0 && a.customer.RequestsPerSecond > 0 {
		factor = 1 + a.level/(a.customer.RequestsPerSecond*repayTime.Seconds())
	}
	if a.tokens < 0 && a.customer.TokensPerSecond > 0 {
		factor = min(factor, 1+a.tokens/(a.customer.TokensPerSecond*repayTime.Seconds()))
	}
	return max(0, factor)
}

// burst lets a host with a part of the rate use that part of the level, and
// one request more while anything is left.
func (a *account) burst(part float64) float64 {
	if a.level <= 0 {
		return 1
	}
	return 1 + a.level*min(1, part)
}
