package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/timer"
)

// verdictOnAsk is what an allocator answers to one ask.
type verdictOnAsk struct {
	granted allocator.Granted
	err     error
}

// pool runs the allocator of one pool on this host: it feeds it events, does
// its actions and probes its endpoints.
type pool struct {
	key     Key
	deps    *Deps
	orphans *orphans

	mu        sync.Mutex
	decisions *allocator.Pool
	waiting   map[identifier.Attempt]chan verdictOnAsk
	bindings  map[identifier.Attempt]chan allocator.Bound
	alarm     *timer.Subscription
	due       time.Time
	probes    map[identifier.Endpoint]*probe
	lastUsed  time.Time
	closed    bool
}

func newPool(k Key, d *Deps, o *orphans, f *compiler.Fleet) *pool {
	options := allocator.Options{Firm: f.Firm, Contracts: f.Contracts, Lease: d.Options.Lease, LateBinding: true}
	seed := d.Options.Seed ^ k.Hash() ^ uint64(d.Self)
	p := &pool{
		key:       k,
		deps:      d,
		orphans:   o,
		decisions: allocator.New(f.Services[k.Service], k.DataCenter, f.Links, options, seed),
		waiting:   make(map[identifier.Attempt]chan verdictOnAsk),
		bindings:  make(map[identifier.Attempt]chan allocator.Bound),
		probes:    make(map[identifier.Endpoint]*probe),
		lastUsed:  time.Now(),
	}
	p.startProbes(f.Services[k.Service])
	return p
}

// ask waits for a grant. When ctx ends first, the ask is withdrawn.
func (p *pool) ask(ctx context.Context, a allocator.Ask) (allocator.Granted, error) {
	if deadline, ok := ctx.Deadline(); ok {
		a.Left = time.Until(deadline)
	}
	answer := make(chan verdictOnAsk, 1)
	if !p.enter(a, answer) {
		return allocator.Granted{}, movedError(p.key)
	}
	select {
	case v := <-answer:
		return v.granted, v.err
	case <-ctx.Done():
		return allocator.Granted{}, p.withdraw(ctx, a.Attempt)
	}
}

func (p *pool) enter(a allocator.Ask, answer chan verdictOnAsk) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	now := time.Now()
	p.lastUsed = now
	p.waiting[a.Attempt] = answer
	p.perform(p.decisions.Ask(a, now), now)
	return true
}

func (p *pool) withdraw(ctx context.Context, a identifier.Attempt) error {
	p.release(a, allocator.Outcome{Ending: allocator.EndingCancelled})
	reason := classifier.ReasonCanceled
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = classifier.ReasonDeadline
	}
	return classifier.NotRun(reason, 0, "ask for slots of service %q ended: %w", p.key.Service, context.Cause(ctx))
}

func (p *pool) release(a identifier.Attempt, o allocator.Outcome) {
	p.do(func(now time.Time) []allocator.Action {
		delete(p.waiting, a)
		delete(p.bindings, a)
		return p.decisions.Release(a, o, now)
	})
}

func (p *pool) started(a identifier.Attempt, phase allocator.Phase) {
	p.do(func(now time.Time) []allocator.Action { return p.decisions.Started(a, phase, now) })
}

// renew extends a home's lease and tells whether its list is needed.
func (p *pool) renew(home identifier.Incarnation, digest uint64) (listNeeded bool) {
	p.do(func(now time.Time) []allocator.Action {
		actions := p.decisions.Renew(home, digest, now)
		for _, a := range actions {
			if l, ok := a.(allocator.AskList); ok && l.Home == home {
				listNeeded = true
			}
		}
		return actions
	})
	return listNeeded
}

func (p *pool) grants(home identifier.Incarnation, list []allocator.Held) {
	p.do(func(now time.Time) []allocator.Action { return p.decisions.Grants(home, list, now) })
}

func (p *pool) homeDead(home identifier.Incarnation) {
	p.do(func(now time.Time) []allocator.Action {
		p.forgetBindings(home)
		return p.decisions.HomeDead(home, now)
	})
}

// mark tells the allocator of the view's mark on an endpoint, if it has one.
func (p *pool) mark(v *gossiper.View, e *compiler.Endpoint) {
	m, ok := v.Mark(e.Name)
	switch {
	case !ok:
	case m.Leaving:
		p.do(func(now time.Time) []allocator.Action { return p.decisions.SetLeaving(e.Name, now) })
	case !e.Leaving:
		p.do(func(now time.Time) []allocator.Action { return p.decisions.SetServing(e.Name, now) })
	}
}

func (p *pool) report(e identifier.Endpoint, r allocator.Report) {
	p.do(func(now time.Time) []allocator.Action { return p.decisions.Report(e, r, now) })
}

func (p *pool) cacheEvents(e identifier.Endpoint, events []allocator.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.decisions.CacheEvents(e, events, time.Now())
}

// configure puts a new revision in force.
func (p *pool) configure(f *compiler.Fleet) {
	service := f.Services[p.key.Service]
	if service == nil {
		p.close()
		return
	}
	p.do(func(now time.Time) []allocator.Action {
		actions := p.decisions.Configure(service, f.Links, now)
		return append(actions, p.decisions.SetContracts(f.Contracts, now)...)
	})
	p.startProbes(service)
}

// do feeds one event and does the actions that it brings.
func (p *pool) do(event func(now time.Time) []allocator.Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.perform(event(now), now)
}

// perform does actions; p.mu is held.
func (p *pool) perform(actions []allocator.Action, now time.Time) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case allocator.Granted:
			if !p.answer(a.Attempt, verdictOnAsk{granted: a}) {
				more := p.decisions.Release(a.Attempt, allocator.Outcome{Ending: allocator.EndingCancelled}, now)
				actions = append(actions, more...)
			}
		case allocator.Bound:
			p.announce(a)
		case allocator.Refused:
			p.answer(a.Attempt, verdictOnAsk{err: p.refusal(a)})
		case allocator.CancelAt:
			p.deps.Group.Run(func(ctx context.Context) { p.orphans.cancel(ctx, a) })
		case allocator.AskList:
			// The home learns of it with the answer to its renewal.
		}
	}
	p.schedule()
}

// answer gives the waiting ask its answer; false: nobody waits.
func (p *pool) answer(a identifier.Attempt, v verdictOnAsk) bool {
	waiting, ok := p.waiting[a]
	if !ok {
		return false
	}
	delete(p.waiting, a)
	waiting <- v
	return true
}

func (p *pool) refusal(r allocator.Refused) error {
	return classifier.NotRun(r.Reason, r.RetryAfter, "service %q in data center %q takes no more requests", p.key.Service, p.key.DataCenter)
}

// schedule sets the alarm for the allocator's next due time; p.mu is held.
func (p *pool) schedule() {
	due := p.decisions.Due()
	if p.closed || due.IsZero() || due.Equal(p.due) {
		return
	}
	if p.alarm != nil {
		p.alarm.Cancel()
	}
	p.due = due
	p.alarm = p.deps.Timer.After(time.Until(due), func(time.Time) { p.tick() })
}

func (p *pool) tick() {
	p.do(func(now time.Time) []allocator.Action {
		p.due = time.Time{}
		return p.decisions.Tick(now)
	})
}

func (p *pool) waitingCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting)
}

// idleSince tells whether nothing has been asked for since t.
func (p *pool) idleSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) == 0 && p.lastUsed.Before(t)
}

// close ends the allocator; those that wait are told to ask elsewhere.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.alarm != nil {
		p.alarm.Cancel()
	}
	for _, r := range p.probes {
		r.stop()
	}
	p.turnAway()
}

// turnAway tells those that wait to ask elsewhere; p.mu is held.
func (p *pool) turnAway() {
	for a := range p.waiting {
		_ = p.decisions.Release(a, allocator.Outcome{Ending: allocator.EndingCancelled}, time.Now())
		p.answer(a, verdictOnAsk{err: movedError(p.key)})
	}
}

func movedError(k Key) error {
	return classifier.NotRun(classifier.ReasonAllocatorUnknown, 0, "this host does not allocate service %q in data center %q", k.Service, k.DataCenter)
}
