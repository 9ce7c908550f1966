// Package charger charges requests to their customers' quotas, which hold for all hosts together.
// It connects package lender, which decides, to the requests of this host and to other hosts.
//
// # Usage
//
//	c := charger.New(charger.Deps{...})
//	c.Register(messenger)
//	retryAfter, ok := c.Charge(ctx, customer, cost) // before a request is forwarded
//	c.Refund(customer, cost)                        // if it surely did not run
//
// # Granting hosts
//
// A few hosts lend a customer's quota, each an equal share. They are chosen by hashing among the
// known hosts, live or not, in equal numbers in each data center. So a data center that is cut
// off keeps a part of each quota. A request that this host has no units for borrows them from the
// granting host that has most, or, if none has enough, from several. What is borrowed ahead is
// spent without a message.
//
// A granting host that doesn't answer isn't asked for a second. A host that reaches none of them
// uses a small share of the quota alone, but nothing before any other host has told it which hosts
// there are.
package charger

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/announcer"
	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/lender"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/timer"
)

const (
	// maxWait bounds the time for which a request waits for units, and askTimeout the wait for
	// one granting host.
	maxWait    = 100 * time.Millisecond
	askTimeout = maxWait / 4
	// bypassTime is how long a granting host that didn't answer isn't asked, and unreadyTime
	// one that doesn't lend yet.
	bypassTime  = time.Second
	unreadyTime = 50 * time.Millisecond
	// settleTime is how long the known hosts must have been the same until this host lends, and
	// minRunTime how long its process must have run. Then the loans of an earlier one are over.
	settleTime = 200 * time.Millisecond
	minRunTime = 300 * time.Millisecond
	// silentTime is how long a granting host that didn't answer is asked after the others.
	silentTime = 10 * time.Second
	// maxStartWait is how long after the start of this process its requests wait for granting hosts
	// of which none lends yet.
	maxStartWait = time.Second
	// returnPeriod is the time between two returns of what was not used.
	returnPeriod = 50 * time.Millisecond
	// settlePeriod is the time between two looks at which hosts are known, until this host lends.
	settlePeriod = 25 * time.Millisecond
	// prunePeriod is the time between two removals of state that isn't needed.
	prunePeriod = 5 * time.Second
	// aloneShare is the part of an equal share of a quota, among all known hosts, that a host
	// uses that reaches no granting host.
	aloneShare = 0.4
	// unacquaintedRetryAfter is the time after which a caller is told to return by a host that
	// doesn't know the others yet.
	unacquaintedRetryAfter = 300 * time.Millisecond
	// minRetryAfter is the shortest time after which a caller is told to return.
	minRetryAfter = 10 * time.Millisecond
)

// Hosts knows the hosts that may lend.
type Hosts interface {
	// KnownHosts returns the hosts among which granting hosts are chosen, live or not.
	KnownHosts(now time.Time) []gossiper.Member
	// Ready reports whether this host knows the others well enough to lend.
	Ready(now time.Time) bool
	// Acquainted reports whether another host has told this one which hosts there are, or it
	// is the only one. Before, what it knows is no base for a share.
	Acquainted() bool
}

// Deps are the dependencies of a Charger.
type Deps struct {
	Host       identifier.Host
	DataCenter identifier.DataCenter
	Registry   *registrar.Registrar
	Hosts      Hosts
	Members    announcer.Members
	Links      announcer.Links
	Timer      *timer.Service
	Group      *grouper.Group
	Log        *zap.Logger
}

// Charger charges requests to quotas. It is safe for concurrent use.
type Charger struct {
	deps    Deps
	started time.Time
	quotas  atomic.Pointer[quotas]
	timers  sync.Once

	mu       sync.Mutex
	borrower *lender.Borrower
	// lender lends this host's shares of quotas, alone what it uses without granting hosts.
	lender, alone *lender.Lender
	granters      granters
	// bypassed has until when granting hosts aren't asked.
	bypassed map[identifier.Host]time.Time
	// silent has when granting hosts didn't answer, until they do.
	silent  map[identifier.Host]time.Time
	unused  unused
	isAlone bool
	// lends is set once this host knows the others well enough to lend.
	lends  bool
	counts messageCounts
}

// New returns a Charger. Its timers start with the first quota.
func New(d Deps) *Charger {
	now := time.Now()
	c := &Charger{
		deps:     d,
		started:  now,
		borrower: lender.NewBorrower(),
		lender:   lender.New(now),
		alone:    lender.New(now),
		bypassed: map[identifier.Host]time.Time{},
		silent:   map[identifier.Host]time.Time{},
		unused:   newUnused(),
	}
	c.quotas.Store(&quotas{})
	c.declare(d.Registry.Snapshot())
	d.Registry.Subscribe(c.declare)
	return c
}

// startTimers starts the periodic work. It is called once the first quota is in force, so that
// hosts without quotas do none of it.
func (c *Charger) startTimers() {
	c.deps.Timer.Every(returnPeriod, c.returnUnused)
	c.deps.Timer.Every(settlePeriod, c.settle)
	c.deps.Timer.Every(prunePeriod, c.prune)
}

// settle begins to lend once another host has told of the others, and which hosts are known has
// been the same for settleTime, or is known otherwise.
func (c *Charger) settle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lends {
		return
	}
	acquainted := c.deps.Hosts.Acquainted()
	c.granters.refresh(c.deps, now)
	if !acquainted {
		c.granters.changedAt = now
		return
	}
	settled := now.Sub(c.granters.changedAt) >= settleTime && now.Sub(c.started) >= minRunTime
	if settled || c.deps.Hosts.Ready(now) {
		c.lends = true
		c.deps.Log.Info("quota-lending-began", zap.Int("hosts", len(c.granters.known)))
	}
}

// Charge charges a request to its customer's quota. If the quota allows none, it returns the
// time after which a request like this conforms. It waits for at most maxWait, and not at all if
// units were borrowed ahead.
func (c *Charger) Charge(ctx context.Context, customer *authenticator.Customer, cost float64) (retryAfter time.Duration, ok bool) {
	if !customer.Quota.Limited() || cost <= 0 {
		return 0, true
	}
	now := time.Now()
	c.mu.Lock()
	c.borrower.Record(customer.Name, cost, now)
	ok = c.borrower.Spend(customer.Name, cost, now)
	c.mu.Unlock()
	if ok {
		return 0, true
	}
	return c.borrow(ctx, customer, cost)
}

// Refund gives back what was charged for a request that did not run.
func (c *Charger) Refund(customer *authenticator.Customer, cost float64) {
	if !customer.Quota.Limited() || cost <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	returns, alone := c.borrower.Refund(customer.Name, cost)
	for _, r := range returns {
		c.unused.add(r)
	}
	if alone > 0 {
		now := time.Now()
		_, known := c.granters.of(customer.Name, c.deps, now)
		c.alone.TakeBack(customer.Name, aloneShareOf(customer.Quota, known), alone, now)
	}
}

// prune removes state that isn't needed any more.
func (c *Charger) prune(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.borrower.Prune(now)
	c.lender.Prune(now)
	c.alone.Prune(now)
	for h, until := range c.bypassed {
		if !now.Before(until) {
			delete(c.bypassed, h)
		}
	}
	maps.DeleteFunc(c.silent, func(_ identifier.Host, at time.Time) bool { return now.Sub(at) >= silentTime })
	c.unused.prune(c.deps.Members.View())
}
