package reserver

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/earmarker"
	"github.com/jackdawthread/jackdawthread/estimator"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// tryEarmark earmarks an engine for a request that found no capacity, if its size
// is underserved. It chooses the engine that is predicted to have enough free
// memory first.
func (q *serviceQueue) tryEarmark(all []*registrar.Endpoint, a *waiter) {
	now := time.Now()
	exclude := append(q.enginesInTransition(all, now), a.Exclude...)
	q.mu.Lock()
	defer q.mu.Unlock()
	if a.abandoned {
		return
	}
	if e, ok := q.earmarks.Engine(a.Key); ok && !usable(all, e, exclude) {
		q.earmarks.Release(a.Key)
		a.Earmarked = false
		q.log("earmark-released", a.PlacementRequest, zap.String("endpoint", string(e)))
	}
	if a.Earmarked || a.EarmarkFailed || !q.admission.Underserved(&a.Entry) || !q.earmarks.CanEarmark(countDecoders(all)) {
		return
	}
	exclude = append(exclude, q.earmarks.EnginesOfOthers(a.Key)...)
	engines := q.reserver.deps.Placer.HealthyDecodeEngines(all, exclude, now)
	need := earmarker.Demand{Tokens: a.Tokens, Memory: engineConfig(q.reserver.deps.Registry.Snapshot(), q.service).Memory}
	e, at := earmarker.EarliestEngine(engines, q.reserver.runningRequests(q.model), need, now)
	if e == "" {
		return
	}
	if at.After(a.LatestStart) {
		a.EarmarkFailed = true
		q.log("engine-not-earmarked", a.PlacementRequest, zap.String("endpoint", string(e)), zap.Duration("expected-wait", at.Sub(now)))
		return
	}
	q.earmarks.Earmark(a.Key, e)
	a.Earmarked = true
	q.log("engine-earmarked", a.PlacementRequest, zap.String("endpoint", string(e)), zap.Duration("expected-wait", at.Sub(now)))
}

// runningRequests returns the requests that this host has placed, with their
// predicted ends. Without measurements these are their starts, which have passed.
func (r *Reserver) runningRequests(m *estimator.Model) []earmarker.RunningRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]earmarker.RunningRequest, 0, len(r.grants.all))
	for _, g := range r.grants.all {
		response, _ := m.Response(g.prompt, outputTokens(g.prompt, g.tokens))
		all = append(all, earmarker.RunningRequest{Engine: g.decode.Name, Tokens: g.tokens, ExpectedEnd: g.grantedAt.Add(response)})
	}
	return all
}

// earmarkedForOthers returns the engines that are earmarked for other requests.
func (q *serviceQueue) earmarkedForOthers(a *waiter) []identifier.Endpoint {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.earmarks.EnginesOfOthers(a.Key)
}

// canEarmark reports whether another engine may be earmarked. q.mu must be held.
func (q *serviceQueue) canEarmark() bool {
	return q.earmarks.CanEarmark(countDecoders(q.reserver.deps.Registry.Snapshot().Endpoints(q.service)))
}

// earmarkedWithCapacity returns a queued request whose earmarked engine appears to
// have enough free memory. q.mu must be held.
func (q *serviceQueue) earmarkedWithCapacity(now time.Time) (admitter.Key, bool) {
	memory := engineConfig(q.reserver.deps.Registry.Snapshot(), q.service).Memory
	for k, e := range q.earmarks.All() {
		if a := q.waiters[k]; a != nil && q.admission.Contains(k) && q.reserver.deps.Placer.HasCapacity(e, q.demandLocked(a.PlacementRequest, memory), now) {
			return k, true
		}
	}
	return 0, false
}

// usable reports whether an engine is still in the pool, decodes and isn't
// excluded.
func usable(all []*registrar.Endpoint, name identifier.Endpoint, exclude []identifier.Endpoint) bool {
	if slices.Contains(exclude, name) {
		return false
	}
	return slices.ContainsFunc(all, func(e *registrar.Endpoint) bool { return e.Name == name && e.AcceptsDecode() })
}

// countDecoders returns the number of engines that decode.
func countDecoders(all []*registrar.Endpoint) int {
	n := 0
	for _, e := range all {
		if e.AcceptsDecode() {
			n++
		}
	}
	return n
}
