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
	"github.com/jackdawthread/jackdawthread/estimator"
	"github.com/jackdawthread/jackdawthread/fencer"
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

// waiter is a request for placement in a service queue.
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

	mu           sync.Mutex
	admission    *admitter.Queue
	waiters      map[admitter.Key]*waiter
	lastKey      admitter.Key
	searches     int
	released     chan struct{} // signaled when capacity may have been released
	stager       *stager.Stager
	tenure       tenure
	fencer       *fencer.Fencer
	model        *estimator.Model
	modelCopy    modelCopy
	modelChanged time.Time
	earmarks     *earmarker.Earmarks
}

func newServiceQueue(r *Reserver, s identifier.Service) *serviceQueue {
	return &serviceQueue{
		reserver:  r,
		service:   s,
		admission: admitter.New(admitter.Options{Seed: r.deps.Seed}),
		waiters:   map[admitter.Key]*waiter{},
		released:  make(chan struct{}, 1),
		stager:    stager.New(),
		fencer:    fencer.New(r.deps.OrderOptions.Holder),
		model:     estimator.New(),
		earmarks:  earmarker.New(),
	}
}

func (q *serviceQueue) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

func (q *serviceQueue) statuses() []QueueStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	var all []QueueStatus
	for g, c := range q.admission.Statistics() {
		all = append(all, QueueStatus{Service: q.service, Priority: g.Priority, Customer: g.Customer, Counts: c})
	}
	return all
}

// place waits for capacity. Its error is NotRun.
func (q *serviceQueue) place(ctx context.Context, origin identifier.Incarnation, originSeq uint64, req *PlacementRequest) (Plan, error) {
	a, err := q.enqueue(origin, originSeq, req)
	if err != nil {
		return Plan{}, err
	}
	select {
	case p := <-a.result:
		return p.plan, p.err
	case <-ctx.Done():
	}
	q.abandon(a)
	return Plan{}, classifier.NotRun(classifier.ReasonCanceled, 0, "canceled while waiting for capacity at service %q: %w", q.service, context.Cause(ctx))
}

func (q *serviceQueue) enqueue(origin identifier.Incarnation, originSeq uint64, req *PlacementRequest) (*waiter, error) {
	if err := q.limitTokens(req); err != nil {
		return nil, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastKey++
	req.Key = q.lastKey
	req.Entry.Tokens = req.Tokens
	req.Entry.Deadline = req.Deadline
	req.Work = q.work(req)
	q.setStartTimes(req)
	now := time.Now()
	q.admission.Recognize(&req.Entry, now)
	if retryAfter, ok := q.admit(req, now); !ok {
		q.log("placement-rejected", req, zap.Duration("expected-wait", q.admission.ExpectedWait()), zap.Duration("retry-after", retryAfter))
		return nil, classifier.NotRun(classifier.ReasonQueueFull, retryAfter, "queue of service %q is full: its %d requests are more than can be served in time", q.service, q.admission.Len())
	}
	a := &waiter{PlacementRequest: req, origin: origin, originSeq: originSeq, result: make(chan placeResult, 1)}
	q.waiters[req.Key] = a
	q.startSearch()
	return a, nil
}

// limitTokens caps a request's tokens at the memory of an engine. A larger prompt
// fits no engine and is rejected without a retry time.
func (q *serviceQueue) limitTokens(req *PlacementRequest) error {
	memory := engineConfig(q.reserver.deps.Registry.Snapshot(), q.service).Memory
	if memory <= 0 {
		return nil
	}
	if req.Prompt > memory {
		return classifier.NotRun(classifier.ReasonTooLarge, 0, "prompt of %d tokens is larger than an engine's memory of %d", req.Prompt, memory)
	}
	req.Tokens = min(req.Tokens, memory)
	return nil
}

// admit queues a request or returns the delay before a retry. If no other request
// waits, engines are searched for it whatever its estimates are. A request of an
// underserved size skips admission control if an engine can be earmarked for it.
// q.mu must be held.
func (q *serviceQueue) admit(req *PlacementRequest, now time.Time) (retryAfter time.Duration, ok bool) {
	if q.admission.Len() == 0 {
		q.admission.Admit(req.unconditional())
		return 0, true
	}
	if q.admission.Underserved(&req.Entry) && q.canEarmark() {
		q.admission.Admit(req.Entry)
		return 0, true
	}
	return q.admission.Push(req.Entry, now)
}

// startSearch starts a search goroutine unless enough are running. q.mu must be
// held.
func (q *serviceQueue) startSearch() {
	engines := len(q.reserver.deps.Registry.Snapshot().Endpoints(q.service))
	if q.searches < min(maxSearches, max(minSearches, engines/enginesPerSearch)) {
		q.searches++
		q.reserver.deps.Group.Run(q.run)
	}
}

// stopSurplusSearch reports whether a search goroutine that found no capacity has
// to stop, which leaves minSearches running.
func (q *serviceQueue) stopSurplusSearch() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.searches <= minSearches {
		return false
	}
	q.searches--
	return true
}

// abandon removes a request, and releases a plan that was already made for it.
func (q *serviceQueue) abandon(a *waiter) {
	q.mu.Lock()
	a.abandoned = true
	q.admission.Remove(a.Key)
	q.earmarks.Release(a.Key)
	delete(q.waiters, a.Key)
	q.mu.Unlock()
	select {
	case p := <-a.result:
		if p.err == nil {
			q.reserver.Release(p.plan)
		}
	default:
	}
}

// notifyReleased signals that capacity may have been released.
func (q *serviceQueue) notifyReleased() {
	select {
	case q.released <- struct{}{}:
	default:
	}
}

// run places one request after another until none is waiting.
func (q *serviceQueue) run(ctx context.Context) {
	for ctx.Err() == nil {
		a := q.next()
		if a == nil {
			return
		}
		p, err := q.search(ctx, a)
		if err == nil || classifier.Of(err).Reason == classifier.ReasonNoEndpoint {
			q.deliver(a, placeResult{plan: p, err: err})
			continue
		}
		q.requeue(a)
		if q.stopSurplusSearch() {
			return
		}
		q.waitForCapacity(ctx)
	}
}

// next rejects expired requests and returns the next one to place. It returns nil
// if none is waiting, and then counts the search goroutine as ended.
func (q *serviceQueue) next() *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.rejectExpired(now)
	k, ok := q.earmarkedWithCapacity(now)
	if !ok && q.canEarmark() {
		k, ok = q.admission.MostUnderserved()
	}
	if !ok {
		k, ok = q.admission.Next(now)
	}
	if !ok {
		q.searches--
		return nil
	}
	q.admission.Take(k, now)
	return q.waiters[k]
}

// rejectExpired rejects the requests that can't start in time. q.mu must be held.
func (q *serviceQueue) rejectExpired(now time.Time) {
	for _, r := range q.admission.Reject(now) {
		a := q.waiters[r.Entry.Key]
		err := classifier.NotRun(classifier.ReasonDeadline, r.RetryAfter, "no capacity at service %q in time", q.service)
		extra := []zap.Field{zap.Error(err), zap.Duration("retry-after", r.RetryAfter)}
		if by := q.waiters[r.DisplacedBy]; by != nil {
			extra = append(extra, zap.String("displaced-by", string(by.Request)))
		}
		q.log("placement-rejected", a.PlacementRequest, extra...)
		a.result <- placeResult{err: err}
		q.earmarks.Release(a.Key)
		delete(q.waiters, a.Key)
	}
}

// requeue returns a request to the queue after an unsuccessful search.
func (q *serviceQueue) requeue(a *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !a.abandoned {
		q.admission.Requeue(a.Entry)
	}
}

// deliver sends the result to the caller. The plan of an abandoned request is
// released.
func (q *serviceQueue) deliver(a *waiter, p placeResult) {
	q.mu.Lock()
	abandoned := a.abandoned
	if !abandoned {
		delete(q.waiters, a.Key)
		a.result <- p
	}
	q.earmarks.Release(a.Key)
	if p.err == nil {
		q.admission.RecordGrant(&a.Entry, time.Now())
		if q.admission.Len() > 0 {
			q.startSearch()
		}
		q.log("request-placed", a.PlacementRequest, zap.String("endpoint", string(p.plan.Decode.Name)))
	}
	q.mu.Unlock()
	if abandoned && p.err == nil {
		q.reserver.Release(p.plan)
	}
}

// log logs a decision on a request. q.mu must be held.
func (q *serviceQueue) log(event string, req *PlacementRequest, extra ...zap.Field) {
	now := time.Now()
	fields := []zap.Field{
		zap.String("request", string(req.Request)),
		zap.String("service", string(q.service)),
		zap.Duration("age", now.Sub(req.Arrived)),
		zap.Uint32("tokens", uint32(req.Tokens)),
		zap.Int("waiting", q.admission.Len()),
	}
	fields = append(fields, q.modelFields(req)...)
	fields = append(fields,
		zap.Int("priority", req.Priority),
		zap.Bool("returning", req.Returning),
		zap.Int("rank", q.admission.Rank(&req.Entry, now)),
		zap.Duration("slack", req.LatestOnTimeStart.Sub(now)))
	if req.Work > 0 {
		fields = append(fields, zap.Duration("work", req.Work))
	}
	if req.Customer != "" {
		fields = append(fields, zap.String("customer", string(req.Customer)))
	}
	q.reserver.deps.Log.Info(event, append(fields, extra...)...)
}

// waitForCapacity waits for a release signal or for a short random time, since
// capacity that other hosts release isn't signaled here.
func (q *serviceQueue) waitForCapacity(ctx context.Context) {
	timeout := time.NewTimer(maxSearchBackoff/2 + rand.N(maxSearchBackoff/2))
	defer timeout.Stop()
	select {
	case <-q.released:
	case <-timeout.C:
	case <-ctx.Done():
	}
}
