package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// grant is a granted attempt that has not ended.
type grant struct {
	attempt identifier.Attempt
	urgency compiler.Urgency
	firm    identifier.Firm
	prefill *endpoint // nil once the KV cache is transferred
	decode  *endpoint
	pieces  identifier.Pieces
	// transferPieces is the number of pieces not yet transferred over the link.
	transferPieces identifier.Pieces
	phase          Phase
	addedAt        time.Time
	// request and prefillEnd, the expected end of the prefill, are set while
	// decode is nil.
	request    *pendingRequest
	prefillEnd time.Time
}

// grant records the grant of a planned attempt and emits it.
func (p *Pool) grant(a *pendingRequest, plan plan, now time.Time) {
	g := &grant{
		attempt:        a.Attempt,
		urgency:        a.Urgency,
		firm:           p.firm(a.Firm),
		prefill:        plan.prefill,
		decode:         plan.decode,
		pieces:         plan.decodePieces,
		transferPieces: plan.promptPieces,
		phase:          PhaseGranted,
		addedAt:        now,
	}
	p.addGrant(g, plan.promptPieces, now)
	decode := identifier.Endpoint("")
	if plan.decode != nil {
		decode = plan.decode.name
	} else {
		prefill := plan.prefill.prefillWait(now) + plan.prefillTokens/plan.prefill.prefillRate
		p.addUnbound(g, a, now.Add(seconds(prefill)))
	}
	plan.prefill.backlog.add(g, plan.prefillTokens, float64(a.PromptTokens), now)
	p.refresh(plan.prefill, now)
	p.prefillPolicy.RecordPlacement(a.Blocks, plan.prefill.index, now)
	p.emit(Granted{
		Attempt:      a.Attempt,
		Prefill:      plan.prefill.name,
		Decode:       decode,
		PrefillDelay: plan.wait,
		Lease:        p.options.Lease,
		Pieces:       plan.decodePieces,
	})
}

// addGrant records a grant at its endpoints, on the link and at its home.
func (p *Pool) addGrant(g *grant, promptPieces identifier.Pieces, now time.Time) {
	p.grants[g.attempt] = g
	p.useSlot(g.firm)
	p.link.outstanding += g.transferPieces
	p.renewHome(g.attempt.Incarnation, now).add(g)
	if g.prefill != nil {
		g.prefill.allocate(g, promptPieces)
		g.prefill.health.requestStarted(now)
		p.refresh(g.prefill, now)
	}
	if g.decode != nil {
		g.decode.allocate(g, g.pieces)
		g.decode.health.requestStarted(now)
		p.refresh(g.decode, now)
	}
}

// advance moves a grant to a later phase; an earlier one is ignored.
func (p *Pool) advance(g *grant, phase Phase, now time.Time) {
	if phase <= g.phase {
		return
	}
	g.phase = phase
	if g.prefill != nil {
		g.prefill.backlog.finish(g, now)
		p.refresh(g.prefill, now)
	}
	if phase != PhaseTransferred {
		return
	}
	p.link.outstanding -= g.transferPieces
	g.transferPieces = 0
	if e := g.prefill; e != nil {
		g.prefill = nil
		e.release(g)
		e.health.succeeded()
		p.refresh(e, now)
	}
}

// endGrant frees all that a grant holds.
func (p *Pool) endGrant(g *grant, now time.Time) {
	delete(p.grants, g.attempt)
	if g.decode == nil {
		p.removeUnbound(g)
	} else if g.phase == PhaseTransferred {
		p.completions.record(g.pieces, now)
	}
	p.slotsUsed[g.firm]--
	p.link.outstanding -= g.transferPieces
	if h := p.homes[g.attempt.Incarnation]; h != nil {
		h.remove(g)
	}
	for _, e := range [...]*endpoint{g.prefill, g.decode} {
		if e != nil {
			e.backlog.finish(g, now)
			e.release(g)
			p.refresh(e, now)
		}
	}
}

// useSlot charges a slot to a firm.
func (p *Pool) useSlot(f identifier.Firm) {
	p.trackFirm(f)
	p.slotsUsed[f]++
}

// trackFirm starts to count the slots of a firm.
func (p *Pool) trackFirm(f identifier.Firm) {
	if _, ok := p.slotsUsed[f]; !ok {
		p.firms = append(p.firms, f)
		p.slotsUsed[f] = 0
	}
}

func (p *Pool) emit(a Action) {
	p.actions = append(p.actions, a)
}
