package reserver

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/assigner"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// slotCheckPeriod is the interval between checks of the waiting requests: some can't
	// start in time any more, and some slots become free without a message.
	slotCheckPeriod = 10 * time.Millisecond
	// slotMargin is how long after its request's deadline a slot counts as in use if its
	// origin doesn't end it.
	slotMargin = 500 * time.Millisecond
	// maxSkipped is the number of waiting requests that are passed over because no
	// endpoint with a slot is good for them.
	maxSkipped = 8
)

// slotGrant is a slot that this host has granted.
type slotGrant struct {
	origin    identifier.Incarnation
	originSeq uint64 // the origin's number for the request; 0 for this host's own
	endpoint  *registrar.Endpoint
	expires   time.Time
}

// slotResult is the result of a request for a slot.
type slotResult struct {
	slot Slot
	err  error
}

// slotWaiter is a request that waits for a slot.
type slotWaiter struct {
	*SlotRequest
	origin    identifier.Incarnation
	originSeq uint64
	queuedAt  time.Time
	result    chan slotResult
}

// slotQueue grants the slots of one plain service's endpoints, in the order of its
// admitter.Queue.
type slotQueue struct {
	reserver *Reserver
	service  identifier.Service
	breaker  breaker

	mu        sync.Mutex
	admission *admitter.Queue
	waiters   map[admitter.Key]*slotWaiter
	lastKey   admitter.Key
	assigner  *assigner.Assigner
	lastGrant grantID
	grants    map[grantID]*slotGrant
	// watched is set while a goroutine looks at the waiting requests.
	watched bool
	stats   SlotStats
}

func newSlotQueue(r *Reserver, s identifier.Service) *slotQueue {
	return &slotQueue{
		reserver:  r,
		service:   s,
		admission: admitter.New(admitter.Options{Seed: r.deps.Seed}),
		waiters:   map[admitter.Key]*slotWaiter{},
		assigner:  assigner.New(),
		lastGrant: firstGrant(r.deps.Self),
		grants:    map[grantID]*slotGrant{},
	}
}

// acquire waits for a slot on behalf of an origin host, which numbered the request with
// originSeq. Its error is NotRun.
func (q *slotQueue) acquire(ctx context.Context, origin identifier.Incarnation, originSeq uint64, req *SlotRequest) (Slot, error) {
	now := time.Now()
	w := &slotWaiter{SlotRequest: req, origin: origin, originSeq: originSeq, queuedAt: now, result: make(chan slotResult, 1)}
	if err := q.enqueue(w, now); err != nil {
		return Slot{}, err
	}
	select {
	case p := <-w.result:
		return p.slot, p.err
	case <-ctx.Done():
	}
	q.abandon(w)
	return Slot{}, classifier.NotRun(classifier.ReasonCanceled, 0, "canceled while waiting for a slot at service %q: %w", q.service, context.Cause(ctx))
}

// enqueue grants a slot if one is free and nobody waits, and queues the request otherwise.
func (q *slotQueue) enqueue(w *slotWaiter, now time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := q.candidates(now)
	if !anyLeft(all, w.Exclude) {
		return q.noEndpoint()
	}
	q.lastKey++
	w.Key = q.lastKey
	work := q.assigner.Work()
	w.Work = work
	w.LatestOnTimeStart = w.OnTimeBy.Add(-work)
	w.LatestStart = w.Deadline.Add(-work)
	w.Entry.Deadline = w.Deadline
	q.admission.Recognize(&w.Entry, now)
	if q.admission.Len() == 0 {
		if at := q.choose(w, all, 0, now); at != nil {
			q.grant(w, at, now)
			return nil
		}
	}
	if w.NoWait {
		return noSlot(0, "service %q has no free slot", q.service)
	}
	if retryAfter, ok := q.admission.Push(w.Entry, now); !ok {
		return q.refusal(w, retryAfter, "queue of service %q is full: its %d requests are more than can be served in time", q.service, q.admission.Len())
	}
	q.waiters[w.Key] = w
	q.assign(now) // those before it may not want the slot that is free
	q.watch()
	return nil
}

// anyLeft reports whether a request doesn't exclude all candidates.
func anyLeft(all []assigner.Candidate, exclude []identifier.Endpoint) bool {
	return slices.ContainsFunc(all, func(c assigner.Candidate) bool { return !slices.Contains(exclude, c.Name) })
}

// candidates returns the endpoints that may get calls now.
func (q *slotQueue) candidates(now time.Time) []assigner.Candidate {
	r := q.reserver
	usable := r.usableEngines(r.deps.Registry.Snapshot().Endpoints(q.service))
	healthy := r.deps.Placer.Healthiest(usable, nil, now)
	all := make([]assigner.Candidate, len(healthy))
	for i, e := range healthy {
		all[i] = assigner.Candidate{Endpoint: e, HealthFactor: r.deps.Placer.FailureFactor(e)}
	}
	return all
}

// choose returns an endpoint with a slot for a request, or nil. Some requests may wait before
// it. q.mu must be held.
func (q *slotQueue) choose(w *slotWaiter, all []assigner.Candidate, ahead int, now time.Time) *registrar.Endpoint {
	return q.assigner.Choose(all, assigner.Demand{
		PreferredDataCenter: w.preferredDataCenter,
		Exclude:             w.Exclude,
		Ahead:               ahead,
		Waited:              now.Sub(w.queuedAt),
	}, now)
}

// grant grants a slot at an endpoint to a request. q.mu must be held.
func (q *slotQueue) grant(w *slotWaiter, at *registrar.Endpoint, now time.Time) {
	slot := Slot{Endpoint: at, Expected: q.assigner.Expected(at, now)}
	q.assigner.Begin(at)
	q.lastGrant++
	slot.grant = q.lastGrant
	q.grants[slot.grant] = &slotGrant{origin: w.origin, originSeq: w.originSeq, endpoint: at, expires: w.Deadline.Add(slotMargin)}
	q.stats.Granted++
	q.admission.RecordGrant(&w.Entry, now)
	w.result <- slotResult{slot: slot}
}

// assign grants free slots to waiting requests. q.mu must be held.
func (q *slotQueue) assign(now time.Time) {
	if len(q.waiters) == 0 {
		return
	}
	all := q.candidates(now)
	var skipped []admitter.Entry
	for len(skipped) < maxSkipped && q.assigner.HasSlot(all, now) {
		k, ok := q.admission.Next(now)
		if !ok {
			break
		}
		w := q.waiters[k]
		at := q.choose(w, all, len(skipped), now)
		if at == nil {
			e, _ := q.admission.SetAside(k)
			skipped = append(skipped, e)
			continue
		}
		q.admission.Take(k, now)
		q.grant(w, at, now)
		delete(q.waiters, k)
	}
	for _, e := range skipped {
		q.admission.Requeue(e)
	}
}

// refusal returns the error of a request that gets no slot. q.mu must be held.
func (q *slotQueue) refusal(w *slotWaiter, retryAfter time.Duration, format string, args ...any) error {
	q.stats.Refused++
	q.reserver.deps.Log.Info("slot-refused",
		zap.String("request", string(w.Request)), zap.String("service", string(q.service)), zap.Duration("age", time.Since(w.Arrived)),
		zap.Int("waiting", len(q.waiters)), zap.Duration("retry-after", retryAfter))
	return noSlot(retryAfter, format, args...)
}

// watch starts a goroutine that looks at the waiting requests until there are none. q.mu
// must be held.
func (q *slotQueue) watch() {
	if q.watched {
		return
	}
	q.watched = true
	q.reserver.deps.Group.Run(func(ctx context.Context) {
		ticker := time.NewTicker(slotCheckPeriod)
		defer ticker.Stop()
		for q.look(time.Now()) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
}

// look refuses requests that can't be granted a slot, assigns slots, and reports whether any
// request still waits.
func (q *slotQueue) look(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refuseExpired(now)
	q.refuseWithoutEndpoint(now)
	q.assign(now)
	q.watched = len(q.waiters) > 0
	return q.watched
}

// refuseExpired refuses requests that can't start in time any more. q.mu must be held.
func (q *slotQueue) refuseExpired(now time.Time) {
	for _, r := range q.admission.Reject(now) {
		w := q.waiters[r.Entry.Key]
		delete(q.waiters, r.Entry.Key)
		w.result <- slotResult{err: q.refusal(w, r.RetryAfter, "no slot at service %q in time", q.service)}
	}
}

// refuseWithoutEndpoint refuses requests for which no endpoint is left, so that their homes
// choose alone. q.mu must be held.
func (q *slotQueue) refuseWithoutEndpoint(now time.Time) {
	all := q.candidates(now)
	for k, w := range q.waiters {
		if anyLeft(all, w.Exclude) {
			continue
		}
		q.admission.Remove(k)
		delete(q.waiters, k)
		w.result <- slotResult{err: q.noEndpoint()}
	}
}

// noEndpoint returns the error of a request for which no endpoint is left.
func (q *slotQueue) noEndpoint() error {
	return classifier.NotRun(classifier.ReasonNoEndpoint, 0, "service %q has no further endpoint for the request", q.service)
}

// abandon removes a request that isn't wanted any more, and ends a slot that was granted
// to it in the meantime.
func (q *slotQueue) abandon(w *slotWaiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.admission.Remove(w.Key)
	delete(q.waiters, w.Key)
	select {
	case p := <-w.result:
		if p.err == nil {
			q.remove(p.slot.grant, assigner.Result{}, time.Now())
		}
	default:
	}
}

// end ends a slot that was granted to an origin.
func (q *slotQueue) end(id grantID, o SlotOutcome, origin identifier.Incarnation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := q.grants[id]
	if g == nil || g.origin != origin {
		return // expired or revoked
	}
	if origin != q.reserver.deps.Self { // this host's own outcomes are recorded by the calls
		q.reserver.recordEndpointOutcome(g.endpoint, placer.Outcome{Verdict: o.Verdict})
		if o.Load.Slowdown > 0 {
			q.reserver.deps.Placer.RecordLoad(g.endpoint, o.Load, time.Now())
		}
	}
	result := assigner.Result{Load: o.Load, Refused: o.Verdict == placer.VerdictAtCapacity}
	if o.Verdict == placer.VerdictSuccess {
		result.Took = o.Latency
	}
	q.remove(id, result, time.Now())
}

// remove ends a grant, unless it has ended, and assigns its slot anew. q.mu must be held.
func (q *slotQueue) remove(id grantID, result assigner.Result, now time.Time) {
	g := q.grants[id]
	if g == nil {
		return // expired or revoked
	}
	q.assigner.End(g.endpoint, result, now)
	delete(q.grants, id)
	q.assign(now)
}

// revoke ends the matching grants, which their origins will not end.
func (q *slotQueue) revoke(match func(*slotGrant) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, g := range q.grants {
		if match(g) {
			q.stats.Revoked++
			q.remove(id, assigner.Result{}, time.Now())
		}
	}
}

func (q *slotQueue) forget(registered func(identifier.Endpoint) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.assigner.Forget(registered)
}

func (q *slotQueue) countUnreachable() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stats.Unreachable++
}

func (q *slotQueue) currentStats() SlotStats {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.stats
	s.Waiting = len(q.waiters)
	s.InUse = len(q.grants)
	s.WorkMs = q.assigner.Work().Milliseconds()
	return s
}
