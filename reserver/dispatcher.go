package reserver

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/earmarker"
	"github.com/jackdawthread/jackdawthread/stager"
)

const (
	// maxSearchBackoff is the longest wait between two searches for capacity if no
	// release is signaled.
	maxSearchBackoff = 30 * time.Millisecond
	// minSearches is the number of concurrent searches per service that continue
	// even while no capacity is found. A larger pool has one search for every
	// enginesPerSearch engines, up to maxSearches.
	minSearches      = 4
	enginesPerSearch = 4
	maxSearches      = 48
	// noEndpointRetryAfter is the retry delay for services without engines.
	noEndpointRetryAfter = 250 * time.Millisecond
)

// placeResult is the result of a placement.
type placeResult struct {
	plan Plan
	err  error
}

// waiter is a request for placement in a dispatcher's queue.
type waiter struct {
	*PlacementRequest
	origin    identifier.Incarnation
	originSeq uint64 // the origin's number for this request
	result    chan placeResult
	// abandoned is set once the caller no longer waits for the result.
	abandoned bool
}

// serviceQueue places the requests of one service, in the order of its
// admitter.Queue.
type serviceQueue struct {
	reserver *Reserver
	service  identifier.Service

	mu             sync.Mutex
	queue          *admitter.Queue
	waiters        map[admitter.Key]*waiter
	lastKey        admitter.Key
	searches       int
	released       chan struct{} // signaled when capacity may have been released
	stager         *stager.Stager
	tenure         tenure
	prefillLatency prefillLatency
	responsePace   responsePace
	earmarks       *earmarker.Earmarks
}

func newServiceQueue(r *Reserver, s identifier.Service) *serviceQueue {
	return &serviceQueue{
		reserver: r,
		service:  s,
		queue:    admitter.New(admitter.Options{Seed: r.deps.Seed}),
		waiters:  map[admitter.Key]*waiter{},
		released: make(chan struct{}, 1),
		stager:   stager.New(),
		earmarks: earmarker.New(),
	}
}

func (d *serviceQueue) waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiters)
}

// place waits for capacity. Its error is NotRun.
func (d *serviceQueue) place(ctx context.Context, origin identifier.Incarnation, originSeq uint64, w *PlacementRequest) (Plan, error) {
	a, err := d.enqueue(origin, originSeq, w)
	if err != nil {
		return Plan{}, err
	}
	select {
	case p := <-a.result:
		return p.plan, p.err
	case <-ctx.Done():
	}
	d.abandon(a)
	return Plan{}, classifier.NotRun(classifier.ReasonCanceled, 0, "canceled while waiting for capacity at service %q: %w", d.service, context.Cause(ctx))
}

func (d *serviceQueue) enqueue(origin identifier.Incarnation, originSeq uint64, w *PlacementRequest) (*waiter, error) {
	if err := d.limitTokens(w); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastKey++
	w.Key = d.lastKey
	w.Entry.Tokens = w.Tokens
	w.LatestOnTimeStart = w.LatestOnTimeStart.Add(-d.prefillLatency.excess())
	if retryAfter, ok := d.admit(w, time.Now()); !ok {
		d.log("room-refused", w, zap.Duration("expected-wait", d.queue.ExpectedWait()), zap.Duration("retry-after", retryAfter))
		return nil, classifier.NotRun(classifier.ReasonQueueFull, retryAfter, "queue of service %q is full: its %d requests are more than can be served in time", d.service, d.queue.Len())
	}
	a := &waiter{PlacementRequest: w, origin: origin, originSeq: originSeq, result: make(chan placeResult, 1)}
	d.waiters[w.Key] = a
	d.startSearch()
	return a, nil
}

// limitTokens caps a request's tokens at the memory of an engine. A larger prompt
// fits no engine and is rejected without a retry time.
func (d *serviceQueue) limitTokens(w *PlacementRequest) error {
	memory := engineConfig(d.reserver.deps.Registry.Snapshot(), d.service).Memory
	if memory <= 0 {
		return nil
	}
	if w.Prompt > memory {
		return classifier.NotRun(classifier.ReasonTooLarge, 0, "prompt of %d tokens is larger than an engine's memory of %d", w.Prompt, memory)
	}
	w.Tokens = min(w.Tokens, memory)
	return nil
}

// admit queues a request or returns the delay before a retry. A request of an
// underserved size skips admission control if an engine can be earmarked for it.
// d.mu must be held.
func (d *serviceQueue) admit(w *PlacementRequest, now time.Time) (retryAfter time.Duration, ok bool) {
	if d.queue.Underserved(&w.Entry) && d.canEarmark() {
		d.queue.Admit(w.Entry)
		return 0, true
	}
	return d.queue.Push(w.Entry, now)
}

// startSearch starts a search goroutine unless enough are running. d.mu must be
// held.
func (d *serviceQueue) startSearch() {
	engines := len(d.reserver.deps.Registry.Snapshot().Endpoints(d.service))
	if d.searches < min(maxSearches, max(minSearches, engines/enginesPerSearch)) {
		d.searches++
		d.reserver.deps.Group.Run(d.run)
	}
}

// stopSurplusSearch reports whether a search goroutine that found no capacity has
// to stop, which leaves minSearches running.
func (d *serviceQueue) stopSurplusSearch() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.searches <= minSearches {
		return false
	}
	d.searches--
	return true
}

// abandon removes a request, and releases a plan that was already made for it.
func (d *serviceQueue) abandon(a *waiter) {
	d.mu.Lock()
	a.abandoned = true
	d.queue.Remove(a.Key)
	d.earmarks.Release(a.Key)
	delete(d.waiters, a.Key)
	d.mu.Unlock()
	select {
	case p := <-a.result:
		if p.err == nil {
			d.reserver.Release(p.plan)
		}
	default:
	}
}

// notifyReleased signals that capacity may have been released.
func (d *serviceQueue) notifyReleased() {
	select {
	case d.released <- struct{}{}:
	default:
	}
}

// run places one request after another until none is waiting.
func (d *serviceQueue) run(ctx context.Context) {
	for ctx.Err() == nil {
		a := d.next()
		if a == nil {
			return
		}
		p, err := d.search(ctx, a)
		if err == nil || classifier.Of(err).Reason == classifier.ReasonNoEndpoint {
			d.deliver(a, placeResult{plan: p, err: err})
			continue
		}
		d.requeue(a)
		if d.stopSurplusSearch() {
			return
		}
		d.waitForCapacity(ctx)
	}
}

// next rejects expired requests and returns the next one to place. It returns nil
// if none is waiting, and then counts the search goroutine as ended.
func (d *serviceQueue) next() *waiter {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, k := range d.queue.RemoveExpired(now) {
		err := classifier.NotRun(classifier.ReasonDeadline, d.queue.RetryAfter(now), "no room at service %q in time", d.service)
		d.log("room-refused", d.waiters[k].PlacementRequest, zap.Error(err))
		d.waiters[k].result <- placeResult{err: err}
		d.earmarks.Release(k)
		delete(d.waiters, k)
	}
	k, ok := d.earmarkedWithCapacity(now)
	if !ok && d.canEarmark() {
		k, ok = d.queue.MostUnderserved()
	}
	if !ok {
		k, ok = d.queue.Next(now)
	}
	if !ok {
		d.searches--
		return nil
	}
	d.queue.Take(k, now)
	return d.waiters[k]
}

// requeue returns a request to the queue after an unsuccessful search.
func (d *serviceQueue) requeue(a *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !a.abandoned {
		d.queue.Requeue(a.PlacementRequest.Entry)
	}
}

// deliver sends the result to the caller. The plan of an abandoned request is
// released.
func (d *serviceQueue) deliver(a *waiter, p placeResult) {
	d.mu.Lock()
	abandoned := a.abandoned
	if !abandoned {
		delete(d.waiters, a.Key)
		a.result <- p
	}
	d.earmarks.Release(a.Key)
	if p.err == nil {
		d.queue.RecordGrant(&a.PlacementRequest.Entry, time.Now())
		if d.queue.Len() > 0 {
			d.startSearch()
		}
		d.log("room-given", a.PlacementRequest, zap.String("endpoint", string(p.plan.Decode.Name)))
	}
	d.mu.Unlock()
	if abandoned && p.err == nil {
		d.reserver.Release(p.plan)
	}
}

// log logs a decision on a request. d.mu must be held.
func (d *serviceQueue) log(event string, w *PlacementRequest, extra ...zap.Field) {
	fields := []zap.Field{
		zap.String("request", string(w.Request)),
		zap.String("service", string(d.service)),
		zap.Duration("age", time.Since(w.Arrived)),
		zap.Uint32("tokens", uint32(w.Tokens)),
		zap.Int("waiting", d.queue.Len()),
	}
	d.reserver.deps.Log.Info(event, append(fields, extra...)...)
}

// waitForCapacity waits for a release signal or for a short random time, since
// capacity that other hosts release isn't signaled here.
func (d *serviceQueue) waitForCapacity(ctx context.Context) {
	timeout := time.NewTimer(maxSearchBackoff/2 + rand.N(maxSearchBackoff/2))
	defer timeout.Stop()
	select {
	case <-d.released:
	case <-timeout.C:
	case <-ctx.Done():
	}
}
