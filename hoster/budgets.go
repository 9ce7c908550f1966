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
	// budgetShare is the part of the declared budget that all hosts use together.
	// The rest is a margin for moments in which their membership views differ.
	budgetShare = 0.8
	// minHosts is the number of hosts assumed until more are known.
	minHosts = 8
	// budgetTick is the time between two grants of slack.
	budgetTick = 500 * time.Millisecond
)

// budgets holds this host's shares of the services' retry budgets. Hosts don't
// have to coordinate: the ratio applies to the host's own requests, and the
// slack is divided by the largest number of hosts ever seen. A host that has
// just started has seen few hosts and gets no slack yet.
type budgets struct {
	settings Retries
	// roundingThreshold, in [0, 1), decides whether this host rounds a fractional
	// share up to one more token, so that only some of the hosts do.
	roundingThreshold float64
	hosts             atomic.Int64

	mu       sync.Mutex
	age      time.Duration // since the host's start, in whole ticks
	services map[identifier.Service]*retrier.Budget
}

func newBudgets(s Retries, roundingThreshold float64) *budgets {
	b := &budgets{settings: s, roundingThreshold: roundingThreshold, services: map[identifier.Service]*retrier.Budget{}}
	b.hosts.Store(minHosts)
	return b
}

// observeHosts records the number of hosts. The number never decreases: a host
// that isn't seen any more may still be running.
func (b *budgets) observeHosts(hosts int) {
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

// burst is this host's share of half the slack; the other half is granted
// gradually over each window.
func (b *budgets) burst() float64 {
	return budgetShare * b.settings.Slack / 2 / float64(b.hosts.Load())
}

// capacity is the largest number of tokens that the host may hold: its burst,
// rounded up or down according to roundingThreshold.
func (b *budgets) capacity() float64 {
	whole, part := math.Modf(b.burst())
	if b.roundingThreshold < part {
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

// settled reports whether the host may have slack; b.mu must be held.
func (b *budgets) settled() bool {
	return b.age >= b.settings.Settle
}

// tick grants the slack of one budgetTick.
func (b *budgets) tick(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasSettled := b.settled()
	b.age += budgetTick
	if !b.settled() {
		return
	}
	grant := b.burst() * budgetTick.Seconds() / b.settings.Window.Seconds()
	if !wasSettled {
		grant = b.initialGrant()
	}
	for _, s := range b.services {
		s.AddTokens(grant)
	}
}

// initialGrant is half of a burst, because this process's predecessor may just
// have spent its own burst.
func (b *budgets) initialGrant() float64 {
	return b.burst() / 2
}

// budgetFor returns a service's budget.
func (b *budgets) budgetFor(name identifier.Service) *retrier.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name]
	if s == nil {
		s = retrier.NewBudget(compiler.RetryBudget{Ratio: b.ratio(), Capacity: b.capacity()})
		s.Resize(b.ratio(), b.capacity()) // a zero share would select the defaults
		s.Drain()
		if b.settled() {
			s.AddTokens(b.initialGrant())
		}
		b.services[name] = s
	}
	return s
}

// RecordFirstAttempt implements forwarder.Budget.
func (b *budgets) RecordFirstAttempt(name identifier.Service) {
	b.budgetFor(name).RecordFirstAttempt()
}

// Take implements forwarder.Budget.
func (b *budgets) Take(name identifier.Service) bool {
	return b.budgetFor(name).Take()
}

// Return implements forwarder.Budget.
func (b *budgets) Return(name identifier.Service) {
	b.budgetFor(name).AddTokens(1)
}
