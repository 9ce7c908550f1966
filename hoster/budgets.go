package hoster

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/retrier"
)

const (
	// budgetShare is the part of the declared budget that the hosts use
	// together: their views of each other differ for moments.
	budgetShare = 0.8
	// fewestHosts is assumed until more are known.
	fewestHosts = 8
	// budgetTick is the time between two grants of slack.
	budgetTick = 500 * time.Millisecond
)

// budgets are this host's shares of the services' retry budgets. A share is
// enough without any word between hosts: the ratio is of this host's own
// requests, and the slack is divided by the most hosts that were ever seen. A
// host that has just started has seen few, and gets no slack yet.
type budgets struct {
	settings Retries
	// lot, in [0, 1), decides whether this host holds the one more token that
	// a broken share leaves to some of the hosts.
	lot   float64
	hosts atomic.Int64

	mu       sync.Mutex
	age      time.Duration // since the host's start, in whole ticks
	services map[identifier.Service]*retrier.Budget
}

func newBudgets(s Retries, lot float64) *budgets {
	b := &budgets{settings: s, lot: lot, services: map[identifier.Service]*retrier.Budget{}}
	b.hosts.Store(fewestHosts)
	return b
}

// sees notes how many hosts there are. The number only grows: one that isn't
// seen may still be at work.
func (b *budgets) sees(hosts int) {
	for {
		old := b.hosts.Load()
		if int64(hosts) <= old {
			return
		}
		if b.hosts.CompareAndSwap(old, int64(hosts)) {
			b.resize()
			return
		}
	}
}

// burst is this host's share of half the slack; the other half trickles in
// over each window.
func (b *budgets) burst() float64 {
	return budgetShare * b.settings.Slack / 2 / float64(b.hosts.Load())
}

// capacity is how many tokens the host holds at most: its burst in whole
// tokens, and one more if its lot says so.
func (b *budgets) capacity() float64 {
	whole, part := math.Modf(b.burst())
	if b.lot < part {
		whole++
	}
	return whole
}

func (b *budgets) ratio() float64 {
	return budgetShare * b.settings.Ratio
}

func (b *budgets) resize() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services {
		s.Resize(b.ratio(), b.capacity())
	}
}

// settled tells whether the host may have slack; b.mu is held.
func (b *budgets) settled() bool {
	return b.age >= b.settings.Settle
}

// tick grants the slack of one budgetTick.
func (b *budgets) tick(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.settled()
	b.age += budgetTick
	if !b.settled() {
		return
	}
	grant := b.burst() * budgetTick.Seconds() / b.settings.Window.Seconds()
	if !before {
		grant = b.firstGrant()
	}
	for _, s := range b.services {
		s.Grant(grant)
	}
}

// firstGrant is half of a burst: the process before this one may have spent its
// own just now.
func (b *budgets) firstGrant() float64 {
	return b.burst() / 2
}

// of gives a service's budget.
func (b *budgets) of(name identifier.Service) *retrier.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name]
	if s == nil {
		s = retrier.NewBudget(compiler.RetryBudget{Ratio: b.ratio(), Capacity: b.capacity()})
		s.Drain()
		if b.settled() {
			s.Grant(b.firstGrant())
		}
		b.services[name] = s
	}
	return s
}

// First implements forwarder.Budget.
func (b *budgets) First(name identifier.Service) {
	b.of(name).First()
}

// Take implements forwarder.Budget.
func (b *budgets) Take(name identifier.Service) bool {
	return b.of(name).Take()
}
