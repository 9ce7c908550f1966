package allocator

import (
	"math"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

const (
	// completionDecay is the time constant of the exponential decay of the
	// completion count.
	completionDecay = 10 * time.Second
	// completionMargin is the number of standard deviations below the expected
	// number of completions that late binding relies on.
	completionMargin = 1.5
	// patientSlack and urgentSlack are the shares of ResultTTL that a
	// prefilled attempt may wait for its decode engine.
	patientSlack = 0.65
	urgentSlack  = 0.25
)

// completions measures the rate at which decode engines free slots.
type completions struct {
	count  float64 // with exponential decay
	pieces float64 // mean number per completion
	at     time.Time
}

func (c *completions) record(pieces identifier.Pieces, now time.Time) {
	c.decay(now)
	c.count++
	if c.pieces == 0 {
		c.pieces = float64(pieces)
	}
	c.pieces += intervalWeight * (float64(pieces) - c.pieces)
}

func (c *completions) decay(now time.Time) {
	c.count *= math.Exp(-now.Sub(c.at).Seconds() / completionDecay.Seconds())
	c.at = now
}

// lowerBound returns the number of completions to rely on within a time: the
// expected number minus completionMargin standard deviations.
func (c *completions) lowerBound(within time.Duration, now time.Time) float64 {
	c.decay(now)
	expected := c.count / completionDecay.Seconds() * within.Seconds()
	return expected - completionMargin*math.Sqrt(expected)
}

// canBindLate reports whether a decode engine is expected to have capacity for the
// plan by the end of its prefill.
func (p *Pool) canBindLate(a *pendingRequest, chosen *plan, now time.Time) bool {
	if !p.options.LateBinding || p.decodeTable.Len() == 0 {
		return false
	}
	pieces := p.piecesFor(a)
	for _, g := range p.unbound {
		pieces += g.pieces
	}
	prefill := chosen.prefill.prefillWait(now) + chosen.prefillTokens/chosen.prefill.prefillRate
	slack := patientSlack
	if a.Urgency == compiler.UrgencyUrgent {
		slack = urgentSlack
	}
	within := seconds(prefill + slack*p.options.ResultTTL.Seconds())
	minCompletions := p.completions.lowerBound(within, now)
	free := p.slots - (len(p.grants) - len(p.unbound))
	return float64(pieces) <= minCompletions*p.completions.pieces && float64(len(p.unbound)+1) <= minCompletions+float64(free)
}

// hasUnbound reports whether grants of the same or a higher urgency wait for a
// decode engine. They take precedence over new slot requests for free capacity.
func (p *Pool) hasUnbound(u compiler.Urgency) bool {
	for _, g := range p.unbound {
		if g.urgency >= u {
			return true
		}
	}
	return false
}

// piecesFor returns the number of pieces that an attempt needs at a decode
// engine.
func (p *Pool) piecesFor(a *pendingRequest) identifier.Pieces {
	perPiece := max(1, p.tokensPerPiece)
	return identifier.Pieces((a.PromptTokens + a.MaxTokens + perPiece - 1) / perPiece)
}

// addUnbound adds a grant that has no decode engine yet.
func (p *Pool) addUnbound(g *grant, a *pendingRequest, prefillEnd time.Time) {
	g.request = a
	g.prefillEnd = prefillEnd
	index := slices.IndexFunc(p.unbound, func(other *grant) bool { return other.prefillEnd.After(prefillEnd) })
	if index < 0 {
		index = len(p.unbound)
	}
	p.unbound = slices.Insert(p.unbound, index, g)
}

// bind assigns decode engines to unbound grants, in the order in which their
// prefills end, until one doesn't fit.
func (p *Pool) bind(now time.Time) {
	n := 0
	for n < len(p.unbound) && p.bindOne(p.unbound[n], now) {
		n++
	}
	p.unbound = slices.Delete(p.unbound, 0, n)
}

func (p *Pool) bindOne(g *grant, now time.Time) bool {
	e := p.placeDecode(g.request, p.excluded(g.request))
	if e == nil {
		return false
	}
	g.decode = e
	g.pieces = e.piecesFor(g.request.PromptTokens + g.request.MaxTokens)
	e.allocate(g, g.pieces)
	e.health.requestStarted(now)
	p.refresh(e, now)
	p.emit(Bound{Attempt: g.attempt, Decode: e.name, Pieces: g.pieces})
	return true
}

// removeUnbound removes a grant that ended without a decode engine.
func (p *Pool) removeUnbound(g *grant) {
	p.unbound = slices.DeleteFunc(p.unbound, func(other *grant) bool { return other == g })
}
