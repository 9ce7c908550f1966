package lender

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// loanTime is how long a loan lasts.
	loanTime = 300 * time.Millisecond
	// aheadTime is the time for which a host borrows ahead.
	aheadTime = 100 * time.Millisecond
	// demandTime is the time over which demand is averaged.
	demandTime = 200 * time.Millisecond
	// admittedTime is the time over which admitted requests are averaged.
	admittedTime = 2 * time.Second
	// levelTime is how long what a granting host said of its bucket is relied on. Units that
	// come back may raise it.
	levelTime = 50 * time.Millisecond
	// levelRetention is how long it is used to choose among granting hosts.
	levelRetention = 2 * time.Second
	// accountRetention is how long an account without units is kept after its last use.
	accountRetention = 10 * time.Minute
	// maxRetryAfter is the longest time after which a refused caller is told to return.
	maxRetryAfter = 10 * time.Second
	// maxSources bounds the hosts to which refunds may go.
	maxSources = 2 * Granters
	// rounding is the share of a cost that may be missing because of rounding.
	rounding = 1e-9
)

// Borrower holds what this host has borrowed of customers' quotas. It is not safe for concurrent
// use.
type Borrower struct {
	accounts map[identifier.Customer]*account
	// withLoans are the accounts that have loans.
	withLoans map[identifier.Customer]*account
}

// account is what this host has borrowed of one customer's quota.
type account struct {
	loans []loan
	// demand and admitted are the units a second that callers have asked for, and got.
	demand, admitted average
	usedAt           time.Time
	// alone are the units of requests that were admitted without a granting host, and that
	// weren't refunded.
	alone float64
	// sources are the hosts whose units were spent, and how many weren't refunded.
	sources []source
	// retryAt is when the caller that was refused last may return.
	retryAt time.Time
	counts  Counts
}

// loan is what one granting host has lent, and what it said last of its bucket.
type loan struct {
	granter identifier.Host
	amount  float64
	expires time.Time
	level   float64
	toldAt  time.Time
}

// source is what was spent of one granting host's share.
type source struct {
	granter identifier.Host
	spent   float64
}

// Counts counts the requests of a customer at a host, and their units.
type Counts struct {
	// Admitted and Refused count requests; Alone counts the admitted ones for which no granting
	// host could be reached.
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
	Alone    uint64 `json:"alone"`
	// Charged are units of admitted requests, and Refunded those of requests that did not run.
	Charged  float64 `json:"charged"`
	Refunded float64 `json:"refunded"`
}

// Return is an amount that goes back to its granting host.
type Return struct {
	Granter  identifier.Host
	Customer identifier.Customer
	Amount   float64
}

// NewBorrower returns a Borrower that has borrowed nothing.
func NewBorrower() *Borrower {
	return &Borrower{accounts: map[identifier.Customer]*account{}, withLoans: map[identifier.Customer]*account{}}
}

func (b *Borrower) account(c identifier.Customer) *account {
	a := b.accounts[c]
	if a == nil {
		a = &account{}
		b.accounts[c] = a
	}
	return a
}

// Record records that a caller asked for units.
func (b *Borrower) Record(c identifier.Customer, cost float64, now time.Time) {
	a := b.account(c)
	a.demand.add(cost, demandTime, now)
	a.usedAt = now
}

// average is an exponential moving average of units a second.
type average struct {
	value float64
	at    time.Time
}

func (v *average) add(units float64, over time.Duration, now time.Time) {
	v.value = v.current(over, now) + units/over.Seconds()
	v.at = now
}

func (v *average) current(over time.Duration, now time.Time) float64 {
	return v.value * math.Exp(-now.Sub(v.at).Seconds()/over.Seconds())
}

// Spend takes the cost of a request from what was borrowed. It reports false, and takes nothing,
// if that isn't enough.
func (b *Borrower) Spend(c identifier.Customer, cost float64, now time.Time) bool {
	a := b.account(c)
	if a.balance(now) < cost*(1-rounding) {
		return false
	}
	left := cost
	for n := range a.loans {
		l := &a.loans[n]
		if !now.Before(l.expires) {
			continue
		}
		part := min(left, l.amount)
		l.amount -= part
		left -= part
		a.recordSource(l.granter, part)
	}
	a.admit(cost, now)
	return true
}

func (a *account) recordSource(granter identifier.Host, units float64) {
	if units == 0 {
		return
	}
	for n := range a.sources {
		if a.sources[n].granter == granter {
			a.sources[n].spent += units
			return
		}
	}
	if len(a.sources) == maxSources {
		a.sources = a.sources[1:]
	}
	a.sources = append(a.sources, source{granter: granter, spent: units})
}

func (a *account) admit(cost float64, now time.Time) {
	a.admitted.add(cost, admittedTime, now)
	a.counts.Admitted++
	a.counts.Charged += cost
}

// balance returns the units that may be spent.
func (a *account) balance(now time.Time) float64 {
	sum := 0.0
	for n := range a.loans {
		if now.Before(a.loans[n].expires) {
			sum += a.loans[n].amount
		}
	}
	return sum
}

// Missing returns the units that have to be borrowed for a request.
func (b *Borrower) Missing(c identifier.Customer, cost float64, now time.Time) float64 {
	return max(0, cost-b.account(c).balance(now))
}

// Ahead returns the units to borrow beyond what a request needs: what the next requests will
// need, or nothing if that is less than one request.
func (b *Borrower) Ahead(c identifier.Customer, cost float64, now time.Time) float64 {
	ahead := b.account(c).demand.current(demandTime, now) * aheadTime.Seconds()
	if ahead < 2*cost {
		return 0
	}
	return ahead - cost
}

// Expect returns the largest number of units that a granting host may have for a request, as
// far as this host knows. It is told if the host has said so lately.
func (b *Borrower) Expect(c identifier.Customer, granter identifier.Host, s Share, size float64, now time.Time) (units float64, told bool) {
	most := capacity(s, size)
	l := b.account(c).find(granter)
	if l == nil || now.Sub(l.toldAt) >= levelTime {
		return most, false
	}
	return min(most, l.level+s.Rate*now.Sub(l.toldAt).Seconds()), true
}

// Estimate returns the number of units that a granting host has if no other host borrows from it.
func (b *Borrower) Estimate(c identifier.Customer, granter identifier.Host, s Share, now time.Time) float64 {
	l := b.account(c).find(granter)
	if l == nil {
		return s.Burst
	}
	return min(s.Burst, l.level+s.Rate*now.Sub(l.toldAt).Seconds())
}

func (a *account) find(granter identifier.Host) *loan {
	for n := range a.loans {
		if a.loans[n].granter == granter {
			return &a.loans[n]
		}
	}
	return nil
}

// Add adds a loan that was asked for at a time. It returns the units that go back, as this loan
// or the earlier one of the same host is over.
func (b *Borrower) Add(c identifier.Customer, granter identifier.Host, l Loan, asked, now time.Time) (late float64) {
	a := b.account(c)
	p := a.find(granter)
	if p == nil {
		b.withLoans[c] = a
		a.loans = append(a.loans, loan{granter: granter})
		p = &a.loans[len(a.loans)-1]
	}
	if now.After(p.toldAt) {
		p.level, p.toldAt = l.Level, now
	}
	expires := asked.Add(loanTime)
	if !now.Before(expires) {
		return l.Amount
	}
	if !now.Before(p.expires) { // what is left of the earlier loan is over
		late, p.amount = p.amount, 0
	}
	p.amount += l.Amount
	if l.Amount > 0 {
		p.expires = expires
	}
	return late
}

// Remove takes up to an amount of what a granting host has lent, to give it back.
func (b *Borrower) Remove(c identifier.Customer, granter identifier.Host, amount float64) float64 {
	l := b.account(c).find(granter)
	if l == nil {
		return 0
	}
	amount = min(amount, l.amount)
	l.amount -= amount
	return amount
}

// Refuse counts a refused request, and returns the time after which its caller may return: at
// least wait, and behind the callers that were refused before, at the rate at which this host has
// admitted the customer's requests lately, at least leastRate.
func (b *Borrower) Refuse(c identifier.Customer, cost float64, wait time.Duration, leastRate float64, now time.Time) time.Duration {
	a := b.account(c)
	a.counts.Refused++
	at := now.Add(min(wait, maxRetryAfter))
	rate := max(leastRate, a.admitted.current(admittedTime, now))
	step := min(maxRetryAfter.Seconds(), cost/rate)
	if next := a.retryAt.Add(time.Duration(step * float64(time.Second))); next.After(at) {
		at = next
	}
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		at = latest
	}
	a.retryAt = at
	return at.Sub(now)
}

// Refund gives back the units of a request that did not run: to the granting hosts whose shares
// were used most, as each takes back what its share has room for. Units that no granting host has
// lent don't go back to any; they are returned as alone.
func (b *Borrower) Refund(c identifier.Customer, cost float64) (all []Return, alone float64) {
	a := b.account(c)
	a.counts.Refunded += cost
	alone = min(cost, a.alone)
	a.alone -= alone
	cost -= alone
	slices.SortFunc(a.sources, func(x, y source) int { return cmp.Compare(y.spent, x.spent) })
	for n := range a.sources {
		part := min(cost, a.sources[n].spent)
		if part <= 0 {
			break
		}
		a.sources[n].spent -= part
		cost -= part
		all = append(all, Return{Granter: a.sources[n].granter, Customer: c, Amount: part})
	}
	return all, alone
}

// RecordAlone counts a request that was admitted without a granting host.
func (b *Borrower) RecordAlone(c identifier.Customer, cost float64, now time.Time) {
	a := b.account(c)
	a.admit(cost, now)
	a.counts.Alone++
	a.alone += cost
}

// Expire removes loans that are over, and returns what goes back.
func (b *Borrower) Expire(now time.Time) []Return {
	var all []Return
	for c, a := range b.withLoans {
		for n := range a.loans {
			if l := &a.loans[n]; l.amount > 0 && !now.Before(l.expires) {
				all = append(all, Return{Granter: l.granter, Customer: c, Amount: l.amount})
				l.amount = 0
			}
		}
		a.loans = slices.DeleteFunc(a.loans, func(l loan) bool { return l.amount == 0 && now.Sub(l.toldAt) >= levelRetention })
		if len(a.loans) == 0 {
			delete(b.withLoans, c)
		}
	}
	return all
}

// Prune removes the accounts that weren't used lately.
func (b *Borrower) Prune(now time.Time) {
	for c, a := range b.accounts {
		if len(a.loans) == 0 && now.Sub(a.usedAt) >= accountRetention {
			delete(b.accounts, c)
		}
	}
}

// ForEach calls f with the counts of each customer and the units at hand, in no particular order.
func (b *Borrower) ForEach(now time.Time, f func(c identifier.Customer, counts Counts, balance float64)) {
	for c, a := range b.accounts {
		f(c, a.counts, a.balance(now))
	}
}
