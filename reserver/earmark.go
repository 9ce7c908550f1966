package reserver

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/earmarker"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// tryEarmark earmarks an engine for a request that found no capacity, if its size
// is underserved. It chooses the engine that is predicted to have enough free
// memory first.
func (d *serviceQueue) tryEarmark(all []*registrar.Endpoint, a *waiter) {
	now := time.Now()
	exclude := append(d.enginesInTransition(all, now), a.Exclude...)
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.abandoned {
		return
	}
	if e, ok := d.earmarks.Engine(a.Key); ok && !usable(all, e, exclude) {
		d.earmarks.Release(a.Key)
		a.Earmarked = false
		d.log("engine-kept-no-more", a.PlacementRequest, zap.String("endpoint", string(e)))
	}
	if a.Earmarked || a.EarmarkFailed || !d.queue.Underserved(&a.PlacementRequest.Entry) || !d.earmarks.CanEarmark(countDecoders(all)) {
		return
	}
	exclude = append(exclude, d.earmarks.EnginesOfOthers(a.Key)...)
	engines := d.reserver.deps.Placer.HealthyDecodeEngines(all, exclude, now)
	need := earmarker.Demand{Tokens: a.Tokens, Memory: engineConfig(d.reserver.deps.Registry.Snapshot(), d.service).Memory}
	e, at := earmarker.EarliestEngine(engines, d.reserver.runningRequests(&d.responsePace), need, now)
	if e == "" {
		return
	}
	if at.After(a.LatestStart) {
		a.EarmarkFailed = true
		d.log("engine-not-kept", a.PlacementRequest, zap.String("endpoint", string(e)), zap.Duration("expected-wait", at.Sub(now)))
		return
	}
	d.earmarks.Earmark(a.Key, e)
	a.Earmarked = true
	d.log("engine-kept", a.PlacementRequest, zap.String("endpoint", string(e)), zap.Duration("expected-wait", at.Sub(now)))
}

// runningRequests returns the requests that this host has placed, with their
// predicted ends.
func (r *Reserver) runningRequests(p *responsePace) []earmarker.RunningRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]earmarker.RunningRequest, 0, len(r.grants.all))
	for _, g := range r.grants.all {
		all = append(all, earmarker.RunningRequest{Engine: g.decode.Name, Tokens: g.tokens, ExpectedEnd: g.grantedAt.Add(p.estimate(responseTime(g.prompt, g.tokens)))})
	}
	return all
}

// earmarkedForOthers returns the engines that are earmarked for other requests.
func (d *serviceQueue) earmarkedForOthers(a *waiter) []identifier.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.earmarks.EnginesOfOthers(a.Key)
}

// canEarmark reports whether another engine may be earmarked. d.mu must be held.
func (d *serviceQueue) canEarmark() bool {
	return d.earmarks.CanEarmark(countDecoders(d.reserver.deps.Registry.Snapshot().Endpoints(d.service)))
}

// earmarkedWithCapacity returns a queued request whose earmarked engine appears to
// have enough free memory. d.mu must be held.
func (d *serviceQueue) earmarkedWithCapacity(now time.Time) (admitter.Key, bool) {
	memory := engineConfig(d.reserver.deps.Registry.Snapshot(), d.service).Memory
	for k, e := range d.earmarks.All() {
		if a := d.waiters[k]; a != nil && d.queue.Contains(k) && d.reserver.deps.Placer.HasCapacity(e, a.Tokens, memory, now) {
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
