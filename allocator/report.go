package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// stepWeight is the weight of one report in the pool's mean speeds.
const stepWeight = 0.02

// Report takes in an endpoint's load report.
func (p *Pool) Report(name identifier.Endpoint, r Report, now time.Time) []Action {
	p.start(now)
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
		p.leave(e)
	}
	e.reported = true
	e.reportedAt = now.Add(-r.Age)
	p.setStale(e, false)
	p.takeSpeeds(e, &r, now)
	e.backlog.report(float64(r.Backlog), e.reportedAt)
	p.takeAttempts(e, &r, now)
	p.refresh(e, now)
	return p.serve(now)
}

func (p *Pool) takeSpeeds(e *endpoint, r *Report, now time.Time) {
	if r.PrefillRate > 0 {
		e.rate = r.PrefillRate
		if p.meanRate == 0 {
			p.meanRate = r.PrefillRate
		}
		p.meanRate += stepWeight * (r.PrefillRate - p.meanRate)
	}
	if r.Step <= 0 {
		return
	}
	e.step = r.Step
	if p.meanStep == 0 {
		p.meanStep = r.Step.Seconds()
	}
	e.health.judgeStep(r.Step, p.meanStep, p.service.BetweenTokens, p.options, now)
	p.meanStep += stepWeight * (min(r.Step.Seconds(), 2*p.meanStep) - p.meanStep)
}

// takeAttempts finds what the engine holds that the pool did not grant, and
// cancels what belongs to no living home.
func (p *Pool) takeAttempts(e *endpoint, r *Report, now time.Time) {
	own := identifier.Pieces(0)
	foreign := 0
	var seen map[identifier.Attempt]time.Time // nil as a rule
	for _, a := range r.Attempts {
		if g := p.grants[a]; g != nil {
			own += piecesAt(e, g)
			continue
		}
		released, ok := p.released.at(a)
		if ok && released.After(e.reportedAt) {
			continue // ended since
		}
		foreign++
		if ok {
			p.emit(CancelAt{Endpoint: e.name, Attempt: a})
			continue
		}
		if seen == nil {
			seen = map[identifier.Attempt]time.Time{}
		}
		seen[a] = p.orphan(e, a, now)
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
	for _, h := range e.holds {
		if h.grant == g {
			total += h.pieces
		}
	}
	return total
}

// orphan deals with an attempt at an engine that the pool knows no grant of:
// it is given the time that a living home needs to claim it. It gives when the
// attempt was first seen.
func (p *Pool) orphan(e *endpoint, a identifier.Attempt, now time.Time) time.Time {
	first, ok := e.orphans[a]
	if !ok {
		first = now
		p.emit(AskList{Home: a.Incarnation})
	}
	if now.Sub(first) >= p.options.Lease+p.options.OrphanGrace {
		p.emit(CancelAt{Endpoint: e.name, Attempt: a})
	}
	return first
}

// forgetOrphan stops the clock of an attempt that its home has claimed.
func (p *Pool) forgetOrphan(g *grant) {
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

// CacheEvents takes in an engine's news on its prefix cache.
func (p *Pool) CacheEvents(name identifier.Endpoint, events []CacheEvent, now time.Time) {
	e := p.byName[name]
	if e == nil {
		return
	}
	for _, event := range events {
		p.cache.Cached(event.Block, e.index, event.Evicted, now)
	}
}

// SetServing undoes leaving marks that a later revision of the declarations
// has overtaken.
func (p *Pool) SetServing(name identifier.Endpoint, now time.Time) []Action {
	p.start(now)
	if e := p.byName[name]; e != nil && e.leaving {
		e.leaving = false
		p.sumUp()
		p.refresh(e, now)
	}
	return p.serve(now)
}

// SetLeaving marks an endpoint as leaving; it gets no new work.
func (p *Pool) SetLeaving(name identifier.Endpoint, now time.Time) []Action {
	p.start(now)
	if e := p.byName[name]; e != nil {
		p.leave(e)
		p.refresh(e, now)
	}
	return p.serve(now)
}
