package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// speedWeight is the smoothing factor of the pool's moving averages of prefill
// rate and step time.
const speedWeight = 0.02

// Report processes an endpoint's load report.
func (p *Pool) Report(name identifier.Endpoint, r Report, now time.Time) []Action {
	p.beginEvent(now)
	e := p.byName[name]
	if e == nil {
		return p.serve(now)
	}
	if r.Unreachable {
		e.health.failed(p.options, now)
		p.refresh(e, now)
		return p.serve(now)
	}
	if r.Leaving {
		p.markLeaving(e)
	}
	e.reported = true
	e.reportedAt = now.Add(-r.Age)
	p.setStale(e, false)
	p.updateSpeeds(e, &r, now)
	e.backlog.report(float64(r.Backlog), e.reportedAt)
	p.updateForeign(e, &r, now)
	p.refresh(e, now)
	return p.serve(now)
}

// updateSpeeds updates the prefill rate and the step time from a report. Step
// times enter the mean capped at twice the mean.
func (p *Pool) updateSpeeds(e *endpoint, r *Report, now time.Time) {
	if r.PrefillRate > 0 {
		e.prefillRate = r.PrefillRate
		if p.meanRate == 0 {
			p.meanRate = r.PrefillRate
		}
		p.meanRate += speedWeight * (r.PrefillRate - p.meanRate)
	}
	if r.StepTime <= 0 {
		return
	}
	e.stepTime = r.StepTime
	if p.meanStep == 0 {
		p.meanStep = r.StepTime.Seconds()
	}
	e.health.checkStepTime(r.StepTime, p.meanStep, p.service.BetweenTokens, p.options, now)
	p.meanStep += speedWeight * (min(r.StepTime.Seconds(), 2*p.meanStep) - p.meanStep)
}

// updateForeign counts the resources of attempts that the pool did not grant,
// and cancels the attempts without a live home.
func (p *Pool) updateForeign(e *endpoint, r *Report, now time.Time) {
	own := identifier.Pieces(0)
	foreign := 0
	var seen map[identifier.Attempt]time.Time // usually nil
	for _, a := range r.Attempts {
		if g := p.grants[a]; g != nil {
			own += piecesAt(e, g)
			continue
		}
		released, ok := p.released.at(a)
		if ok && released.After(e.reportedAt) {
			continue // ended after the report
		}
		foreign++
		if ok {
			p.emit(CancelAt{Endpoint: e.name, Attempt: a})
			continue
		}
		if seen == nil {
			seen = map[identifier.Attempt]time.Time{}
		}
		seen[a] = p.trackOrphan(e, a, now)
	}
	e.orphans = seen
	e.foreignSlots = foreign
	e.foreignPieces = 0
	if foreign > 0 && r.PiecesUsed > own {
		e.foreignPieces = r.PiecesUsed - own
	}
}

func piecesAt(e *endpoint, g *grant) identifier.Pieces {
	total := identifier.Pieces(0)
	for _, h := range e.allocations {
		if h.grant == g {
			total += h.pieces
		}
	}
	return total
}

// trackOrphan handles an attempt at an engine for which the pool has no grant.
// It requests the home's list, and cancels the attempt if the home doesn't
// claim it in time. It returns when the attempt was first seen.
func (p *Pool) trackOrphan(e *endpoint, a identifier.Attempt, now time.Time) time.Time {
	first, ok := e.orphans[a]
	if !ok {
		first = now
		p.emit(RequestGrantList{Home: a.Incarnation})
	}
	if now.Sub(first) >= p.options.Lease+p.options.OrphanGrace {
		p.emit(CancelAt{Endpoint: e.name, Attempt: a})
	}
	return first
}

// removeOrphan removes an attempt that its home has claimed from the orphans.
func (p *Pool) removeOrphan(g *grant) {
	for _, e := range [...]*endpoint{g.prefill, g.decode} {
		if e == nil {
			continue
		}
		if _, ok := e.orphans[g.attempt]; ok {
			delete(e.orphans, g.attempt)
			e.foreignSlots = max(0, e.foreignSlots-1)
			e.foreignPieces -= min(e.foreignPieces, g.pieces)
		}
	}
}

// CacheEvents processes changes to an engine's prefix cache.
func (p *Pool) CacheEvents(name identifier.Endpoint, events []CacheEvent, now time.Time) {
	e := p.byName[name]
	if e == nil {
		return
	}
	for _, event := range events {
		p.prefixCache.RecordCacheEvent(event.Block, e.index, event.Evicted, now)
	}
}

// SetServing clears the leaving mark of an endpoint, which a later revision of
// the declarations has superseded.
func (p *Pool) SetServing(name identifier.Endpoint, now time.Time) []Action {
	p.beginEvent(now)
	if e := p.byName[name]; e != nil && e.leaving {
		e.leaving = false
		p.updateCapacity()
		p.refresh(e, now)
	}
	return p.serve(now)
}

// SetLeaving marks an endpoint as leaving; it gets no new work.
func (p *Pool) SetLeaving(name identifier.Endpoint, now time.Time) []Action {
	p.beginEvent(now)
	if e := p.byName[name]; e != nil {
		p.markLeaving(e)
		p.refresh(e, now)
	}
	return p.serve(now)
}
