package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/timer"
)

// askResult is an allocator's answer to a slot request.
type askResult struct {
	granted allocator.Granted
	err     error
}

// waitingRequest is a slot request that waits for the allocator's answer.
type waitingRequest struct {
	request allocator.SlotRequest
	since   time.Time
	answer  chan askResult
}

// pool runs the allocator of one pool on this host: it passes events to the
// allocator, executes the resulting actions and probes the pool's endpoints.
type pool struct {
	key     Key
	deps    *Deps
	orphans *orphanCanceler

	mu        sync.Mutex
	allocator *allocator.Pool
	waiting   map[identifier.Attempt]waitingRequest
	bindings  map[identifier.Attempt]chan allocator.Bound
	wakeUp    *timer.Subscription
	wakeUpAt  time.Time
	probes    map[identifier.Endpoint]*probe
	lastUsed  time.Time
	closed    bool
}

func newPool(k Key, d *Deps, o *orphanCanceler, f *compiler.Fleet) *pool {
	options := allocator.Options{Firm: f.Firm, Contracts: f.Contracts, Lease: d.Options.Lease, LateBinding: true}
	seed := d.Options.Seed ^ k.Hash() ^ uint64(d.Self)
	p := &pool{
		key:       k,
		deps:      d,
		orphans:   o,
		allocator: allocator.New(f.Services[k.Service], k.DataCenter, f.Links, options, seed),
		waiting:   make(map[identifier.Attempt]waitingRequest),
		bindings:  make(map[identifier.Attempt]chan allocator.Bound),
		probes:    make(map[identifier.Endpoint]*probe),
		lastUsed:  time.Now(),
	}
	p.updateProbes(f.Services[k.Service])
	return p
}

// ask waits for a grant. If ctx ends first, it withdraws the slot request.
func (p *pool) ask(ctx context.Context, a allocator.SlotRequest) (allocator.Granted, error) {
	if deadline, ok := ctx.Deadline(); ok {
		a.TimeLeft = time.Until(deadline)
	}
	answer := make(chan askResult, 1)
	if !p.enqueue(a, answer) {
		return allocator.Granted{}, notOwnerError(p.key)
	}
	select {
	case v := <-answer:
		return v.granted, v.err
	case <-ctx.Done():
		return allocator.Granted{}, p.withdraw(ctx, a.Attempt)
	}
}

func (p *pool) enqueue(a allocator.SlotRequest, answer chan askResult) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	now := time.Now()
	p.lastUsed = now
	p.waiting[a.Attempt] = waitingRequest{request: a, since: now, answer: answer}
	p.runActions(p.allocator.Ask(a, now), now)
	return true
}

func (p *pool) withdraw(ctx context.Context, a identifier.Attempt) error {
	p.release(a, allocator.Outcome{Ending: allocator.EndingCanceled})
	reason := classifier.ReasonCanceled
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		reason = classifier.ReasonDeadline
	}
	return classifier.NotRun(reason, 0, "stopped waiting for slots of service %q: %w", p.key.Service, context.Cause(ctx))
}

func (p *pool) release(a identifier.Attempt, o allocator.Outcome) {
	p.handleEvent(func(now time.Time) []allocator.Action {
		delete(p.waiting, a)
		delete(p.bindings, a)
		return p.allocator.Release(a, o, now)
	})
}

func (p *pool) started(a identifier.Attempt, phase allocator.Phase) {
	p.handleEvent(func(now time.Time) []allocator.Action { return p.allocator.AdvancePhase(a, phase, now) })
}

// renew extends a home's lease and reports whether the home must send the list of
// its grants.
func (p *pool) renew(home identifier.Incarnation, digest uint64) (listNeeded bool) {
	p.handleEvent(func(now time.Time) []allocator.Action {
		actions := p.allocator.Renew(home, digest, now)
		for _, a := range actions {
			if l, ok := a.(allocator.RequestGrantList); ok && l.Home == home {
				listNeeded = true
			}
		}
		return actions
	})
	return listNeeded
}

func (p *pool) grants(home identifier.Incarnation, list []allocator.HeldGrant) {
	p.handleEvent(func(now time.Time) []allocator.Action { return p.allocator.ReconcileGrants(home, list, now) })
}

func (p *pool) endLeases(home identifier.Incarnation) {
	p.handleEvent(func(now time.Time) []allocator.Action {
		p.removeBindings(home)
		return p.allocator.RemoveHome(home, now)
	})
}

// applyMark passes the view's leaving or serving mark of an endpoint, if there is
// one, to the allocator.
func (p *pool) applyMark(v *gossiper.View, e *compiler.Endpoint) {
	m, ok := v.Mark(e.Name)
	switch {
	case !ok:
	case m.Leaving:
		p.handleEvent(func(now time.Time) []allocator.Action { return p.allocator.SetLeaving(e.Name, now) })
	case !e.Leaving:
		p.handleEvent(func(now time.Time) []allocator.Action { return p.allocator.SetServing(e.Name, now) })
	}
}

func (p *pool) report(e identifier.Endpoint, r allocator.Report) {
	p.handleEvent(func(now time.Time) []allocator.Action { return p.allocator.Report(e, r, now) })
}

func (p *pool) cacheEvents(e identifier.Endpoint, events []allocator.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.CacheEvents(e, events, time.Now())
}

// configure applies a new revision of the declarations.
func (p *pool) configure(f *compiler.Fleet) {
	service := f.Services[p.key.Service]
	if service == nil {
		p.close()
		return
	}
	p.handleEvent(func(now time.Time) []allocator.Action {
		actions := p.allocator.Configure(service, f.Links, now)
		return append(actions, p.allocator.SetContracts(f.Contracts, now)...)
	})
	p.updateProbes(service)
}

// handleEvent passes one event to the allocator and executes the resulting actions.
func (p *pool) handleEvent(event func(now time.Time) []allocator.Action) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.runActions(event(now), now)
}

// runActions executes actions. The caller holds p.mu.
func (p *pool) runActions(actions []allocator.Action, now time.Time) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case allocator.Granted:
			if !p.reply(a.Attempt, askResult{granted: a}) {
				more := p.allocator.Release(a.Attempt, allocator.Outcome{Ending: allocator.EndingCanceled}, now)
				actions = append(actions, more...)
			}
		case allocator.Bound:
			p.deliverBinding(a)
		case allocator.Refused:
			p.logRefused(a, now)
			p.reply(a.Attempt, askResult{err: p.refusedError(a)})
		case allocator.CancelAt:
			p.deps.Group.Run(func(ctx context.Context) { p.orphans.cancel(ctx, a) })
		case allocator.RequestGrantList:
			// renew returns this to the home in the answer to its renewal.
		}
	}
	p.schedule()
}

// reply delivers the result to the waiting slot request and reports whether there
// was one.
func (p *pool) reply(a identifier.Attempt, v askResult) bool {
	waiting, ok := p.waiting[a]
	if !ok {
		return false
	}
	delete(p.waiting, a)
	waiting.answer <- v
	return true
}

func (p *pool) refusedError(r allocator.Refused) error {
	return classifier.NotRun(r.Reason, r.RetryAfter, "service %q in data center %q accepts no more requests", p.key.Service, p.key.DataCenter)
}

// logRefused logs the inputs of a refusal. The caller holds p.mu.
func (p *pool) logRefused(r allocator.Refused, now time.Time) {
	w := p.waiting[r.Attempt]
	waited := now.Sub(w.since)
	p.deps.Log.Debug("slot-request-refused",
		zap.Stringer("attempt", r.Attempt),
		zap.String("service", string(p.key.Service)),
		zap.String("reason", string(r.Reason)),
		zap.Stringer("urgency", w.request.Urgency),
		zap.Bool("resumes", w.request.Resumes),
		zap.Duration("waited", waited),
		zap.Duration("time-left", w.request.TimeLeft-waited),
		zap.Int("waiting", len(p.waiting)),
		zap.Duration("expected-wait", p.allocator.ExpectedWait(w.request.Urgency)))
}

// schedule sets the timer for the allocator's next due time. The caller holds p.mu.
func (p *pool) schedule() {
	due := p.allocator.Due()
	if p.closed || due.IsZero() || due.Equal(p.wakeUpAt) {
		return
	}
	if p.wakeUp != nil {
		p.wakeUp.Cancel()
	}
	p.wakeUpAt = due
	p.wakeUp = p.deps.Timer.After(time.Until(due), func(time.Time) { p.tick() })
}

func (p *pool) tick() {
	p.handleEvent(func(now time.Time) []allocator.Action {
		p.wakeUpAt = time.Time{}
		return p.allocator.Tick(now)
	})
}

func (p *pool) waitingCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting)
}

// idleSince reports whether no slot request has arrived since t and none waits.
func (p *pool) idleSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.waiting) == 0 && p.lastUsed.Before(t)
}

// close stops the allocator and its probes and rejects waiting slot requests.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.wakeUp != nil {
		p.wakeUp.Cancel()
	}
	for _, r := range p.probes {
		r.stop()
	}
	p.rejectWaiting()
}

// rejectWaiting rejects waiting slot requests with notOwnerError, upon which their
// homes look up the owner again. The caller holds p.mu.
func (p *pool) rejectWaiting() {
	for a := range p.waiting {
		_ = p.allocator.Release(a, allocator.Outcome{Ending: allocator.EndingCanceled}, time.Now())
		p.reply(a, askResult{err: notOwnerError(p.key)})
	}
}

func notOwnerError(k Key) error {
	return classifier.NotRun(classifier.ReasonAllocatorUnknown, 0, "this host does not allocate service %q in data center %q", k.Service, k.DataCenter)
}
