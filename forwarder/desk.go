package forwarder

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// reserveTimeout bounds a reservation; an engine answers in a round trip.
	reserveTimeout = 150 * time.Millisecond
	// searchPause is the longest wait between two searches for room while
	// nothing is heard of any becoming free.
	searchPause = 30 * time.Millisecond
	// reservationLife is how long room is reserved: for the prefill, its
	// transfer and the queue before both.
	reservationLife = 1500 * time.Millisecond
)

// plan is where a request is to be served.
type plan struct {
	decode      *registrar.Endpoint
	reservation Reservation
	tokens      identifier.Tokens
}

// wish is a request that waits for a plan.
type wish struct {
	admitter.Wish
	tokens  identifier.Tokens
	exclude []identifier.Endpoint
	request identifier.Request
}

// placed answers a wish.
type placed struct {
	plan plan
	err  error
}

// desk finds room for the requests to one model service, one after another in
// the order that the admitter gives.
type desk struct {
	forwarder *Forwarder
	service   identifier.Service

	mu      sync.Mutex
	queue   *admitter.Queue
	wishes  map[admitter.Key]*wish
	answers map[admitter.Key]chan placed
	last    admitter.Key
	busy    bool
	free    chan struct{} // told when room may have become free
}

func (f *Forwarder) desk(s identifier.Service) *desk {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.desks[s]
	if d == nil {
		d = &desk{
			forwarder: f,
			service:   s,
			queue:     admitter.New(admitter.Options{Seed: f.options.Seed}),
			wishes:    map[admitter.Key]*wish{},
			answers:   map[admitter.Key]chan placed{},
			free:      make(chan struct{}, 1),
		}
		f.desks[s] = d
	}
	return d
}

// Waiting counts the requests that wait for room.
func (f *Forwarder) Waiting() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, d := range f.desks {
		d.mu.Lock()
		n += d.queue.Len()
		d.mu.Unlock()
	}
	return n
}

// place waits for room. Its error is NotRun.
func (d *desk) place(ctx context.Context, w *wish) (plan, error) {
	answer, err := d.enter(w)
	if err != nil {
		return plan{}, err
	}
	select {
	case p := <-answer:
		return p.plan, p.err
	case <-ctx.Done():
	}
	if d.withdraw(w.Key) {
		return plan{}, ended(ctx, classifier.VerdictNotRun)
	}
	p := <-answer // it was decided meanwhile
	if p.err == nil {
		d.giveBack(p.plan)
	}
	return plan{}, ended(ctx, classifier.VerdictNotRun)
}

func (d *desk) enter(w *wish) (chan placed, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	w.Key = d.last
	retryAfter, ok := d.queue.Push(w.Wish, time.Now())
	if !ok {
		return nil, classifier.NotRun(classifier.ReasonQueueFull, retryAfter, "%d requests to service %q wait, more than can be served in time", d.queue.Len(), d.service)
	}
	answer := make(chan placed, 1)
	d.wishes[w.Key] = w
	d.answers[w.Key] = answer
	if !d.busy {
		d.busy = true
		d.forwarder.deps.Group.Run(d.run)
	}
	return answer, nil
}

// withdraw forgets a wish; false: it has its answer.
func (d *desk) withdraw(k admitter.Key) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.queue.Remove(k) {
		return false
	}
	delete(d.wishes, k)
	delete(d.answers, k)
	return true
}

// released tells the desk that room may have become free.
func (d *desk) released() {
	select {
	case d.free <- struct{}{}:
	default:
	}
}

// run finds room for one wish after another until none is left.
func (d *desk) run(ctx context.Context) {
	for ctx.Err() == nil {
		w := d.next()
		if w == nil {
			return
		}
		p, err := d.search(ctx, w)
		switch {
		case err == nil:
			d.answer(w.Key, placed{plan: p})
		case classifier.Of(err).Reason == classifier.ReasonNoEndpoint:
			d.answer(w.Key, placed{err: err})
		default:
			d.pause(ctx)
		}
	}
}

// next gives the wish whose turn it is, and refuses those that it is too late
// for; nil: none waits.
func (d *desk) next() *wish {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, k := range d.queue.Expired(now) {
		err := classifier.NotRun(classifier.ReasonDeadline, d.queue.RetryAfter(), "no room at service %q in time", d.service)
		d.deliver(k, placed{err: err})
	}
	k, ok := d.queue.Next(now)
	if !ok {
		d.busy = false
		return nil
	}
	return d.wishes[k]
}

// answer ends a wish that still waits; the room of one that doesn't is given
// back.
func (d *desk) answer(k admitter.Key, p placed) {
	d.mu.Lock()
	_, waits := d.wishes[k]
	if waits {
		d.queue.Take(k, time.Now())
		d.deliver(k, p)
	}
	d.mu.Unlock()
	if !waits && p.err == nil {
		d.giveBack(p.plan)
	}
}

// deliver hands a wish its answer; d.mu is held.
func (d *desk) deliver(k admitter.Key, p placed) {
	d.answers[k] <- p
	delete(d.answers, k)
	delete(d.wishes, k)
}

// pause waits until room may have become free, or for a short random time:
// other hosts' requests end as well.
func (d *desk) pause(ctx context.Context) {
	alarm := time.NewTimer(searchPause/2 + rand.N(searchPause/2))
	defer alarm.Stop()
	select {
	case <-d.free:
	case <-alarm.C:
	case <-ctx.Done():
	}
}

// search looks for an engine with room, the emptiest first.
func (d *desk) search(ctx context.Context, w *wish) (plan, error) {
	f := d.forwarder
	s := f.deps.Registry.Snapshot()
	now := time.Now()
	if !anyDecodes(s.Endpoints(d.service)) {
		return plan{}, classifier.NotRun(classifier.ReasonNoEndpoint, classifier.Spread(absentRetryAfter), "service %q has no engine that decodes", d.service)
	}
	var last error = classifier.NotRun(classifier.ReasonEndpointRefused, 0, "all engines of service %q are full", d.service)
	for _, e := range f.deps.Placer.Decodes(s.Endpoints(d.service), w.exclude, now) {
		p, err := d.reserve(ctx, s, e, w)
		if err == nil {
			return p, nil
		}
		last = err
	}
	return plan{}, last
}

func anyDecodes(all []*registrar.Endpoint) bool {
	for _, e := range all {
		if e.Stage != registrar.StagePrefill && !e.Leaving {
			return true
		}
	}
	return false
}

// reserve reserves room for a wish at one engine.
func (d *desk) reserve(ctx context.Context, s *registrar.Snapshot, e *registrar.Endpoint, w *wish) (plan, error) {
	f := d.forwarder
	p := plan{decode: e, tokens: w.tokens}
	service := s.Declarations.Services[d.service]
	if service == nil || service.Engine == nil || service.Engine.ReservationLimit <= 0 {
		f.deps.Placer.Begin(e, p.tokens)
		return p, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	r, err := f.deps.Engines.Reserve(ctx, e, w.tokens, min(reservationLife, service.Engine.ReservationLimit))
	if err == nil {
		p.reservation = r
		f.deps.Placer.Begin(e, p.tokens)
		return p, nil
	}
	if classifier.Of(err).Reason == classifier.ReasonEndpointRefused {
		f.deps.Placer.Full(e, time.Now())
	} else {
		f.deps.Placer.Broken(e, time.Now())
		f.deps.Log.Info("reservation-failed",
			zap.String("request", string(w.request)), zap.String("endpoint", string(e.Name)), zap.Error(err))
	}
	return plan{}, err
}

// giveBack cancels the room of a plan that isn't used.
func (d *desk) giveBack(p plan) {
	d.forwarder.deps.Placer.End(p.decode, p.tokens, placer.Outcome{Verdict: placer.VerdictNone}, time.Now())
	d.cancel(p)
	d.released()
}

// cancel gives up a plan's reservation, which its engine may have used or let
// lapse already.
func (d *desk) cancel(p plan) {
	f := d.forwarder
	if p.reservation == "" {
		return
	}
	f.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
		defer cancel()
		if err := f.deps.Engines.CancelReservation(ctx, p.decode, p.reservation); err != nil {
			f.deps.Log.Debug("reservation-not-canceled", zap.String("endpoint", string(p.decode.Name)), zap.Error(err))
		}
	})
}
