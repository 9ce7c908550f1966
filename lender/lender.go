// Package lender decides how much of their quotas customers may use at each host, while all hosts
// together stay within them. It holds policy only: it does no I/O, reads no clock and starts no
// goroutines.
//
// # Usage
//
// At a host that lends, for each customer whose quota it lends a share of:
//
//	l := lender.New(started)
//	loan := l.Lend(lender.Ask{...}, lender.ShareOf(quota, lender.Granters), now)
//	l.TakeBack(customer, share, amount, now)
//
// At a host that serves callers:
//
//	b := lender.NewBorrower()
//	if !b.Spend(customer, cost, now) {
//		missing := b.Missing(customer, cost, now) // ask granting hosts for it
//		b.Add(customer, granter, loan, sent, now)
//	}
//	for _, r := range b.Expire(now) { ... } // goes back to its granting host
//
// # Shares
//
// A quota is divided into equal shares, each lent by one granting host from a token bucket. A
// share doesn't depend on who is believed to be live. So hosts that disagree about each other, or
// can't reach each other, together lend no more than the quota. The price is the share of a
// granting host that has failed, until it is back.
//
// # Loans
//
// A loan lasts a short time, counted at the borrowing host from before it asked. What isn't
// spent by then goes back. Each loan is spent once, so lost messages lose units and never add any.
package lender

import (
	"time"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// Granters is the number of hosts that lend shares of a quota.
	Granters = 6
	// aheadShare is the part of what is left in a bucket that one host may borrow ahead.
	aheadShare = 0.25
	// maxSavingTime is the longest time for which a bucket collects units for a request that
	// costs more than the burst.
	maxSavingTime = 8 * time.Second
)

// Share is the part of a quota that one host lends: units a second, and units at once.
type Share struct {
	Rate, Burst float64
}

// ShareOf returns one of equal shares of a quota.
func ShareOf(q authenticator.Quota, shares int) Share {
	n := float64(max(1, shares))
	return Share{Rate: q.Rate / n, Burst: q.Burst / n}
}

// Ask asks for units of a customer's quota.
type Ask struct {
	Customer identifier.Customer
	// Least is the amount without which the loan is of no use, and Most the amount that is
	// useful.
	Least, Most float64
	// Size is an equal part of the request's whole cost. A bucket saves for requests that cost
	// more than the burst.
	Size float64
}

// Loan is the answer to an Ask.
type Loan struct {
	// Amount is 0 if there was less than the least amount.
	Amount float64
	// Level is what is left in the bucket.
	Level float64
}

// Lender holds the buckets of a granting host. It is not safe for concurrent use.
type Lender struct {
	started time.Time
	buckets map[identifier.Customer]*bucket
}

// New returns a Lender whose buckets were all empty at a time.
func New(started time.Time) *Lender {
	return &Lender{started: started, buckets: map[identifier.Customer]*bucket{}}
}

// bucket is a token bucket.
type bucket struct {
	share    Share
	level    float64
	filledAt time.Time
}

// fill adds the units since the last time, up to a capacity.
func (b *bucket) fill(capacity float64, now time.Time) {
	elapsed := max(0, now.Sub(b.filledAt).Seconds())
	b.level = min(capacity, b.level+b.share.Rate*elapsed)
	b.filledAt = now
}

// full reports whether the bucket has no room left.
func (b *bucket) full(now time.Time) bool {
	return b.level+b.share.Rate*now.Sub(b.filledAt).Seconds() >= b.share.Burst
}

// find returns a customer's bucket with its current share.
func (l *Lender) find(c identifier.Customer, s Share) *bucket {
	b := l.buckets[c]
	if b == nil {
		b = &bucket{filledAt: l.started}
		l.buckets[c] = b
	}
	b.share = s
	return b
}

// Lend lends units from this host's share of a customer's quota.
func (l *Lender) Lend(a Ask, s Share, now time.Time) Loan {
	b := l.find(a.Customer, s)
	b.fill(capacity(s, a.Size), now)
	if b.level <= 0 || b.level < a.Least {
		return Loan{Level: b.level}
	}
	amount := a.Least + min(max(0, a.Most-a.Least), aheadShare*(b.level-a.Least))
	b.level -= amount
	return Loan{Amount: amount, Level: b.level}
}

// capacity returns the number of units that a bucket holds when an equal part of a request's
// cost is asked for.
func capacity(s Share, size float64) float64 {
	return max(s.Burst, min(size, s.Rate*maxSavingTime.Seconds()))
}

// TakeBack adds units that were lent and not used, as far as the bucket has room.
func (l *Lender) TakeBack(c identifier.Customer, s Share, amount float64, now time.Time) {
	if l.buckets[c] == nil { // it is full
		return
	}
	b := l.find(c, s)
	b.fill(s.Burst, now)
	b.level = min(s.Burst, b.level+amount)
}

// Prune removes buckets that are full, like those not yet created.
func (l *Lender) Prune(now time.Time) {
	for c, b := range l.buckets {
		if b.full(now) && b.filledAt.After(l.started) {
			delete(l.buckets, c)
		}
	}
}
