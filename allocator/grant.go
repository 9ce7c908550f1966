package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// grant is a running attempt.
type grant struct {
	attempt identifier.Attempt
	urgency compiler.Urgency
	firm    identifier.Firm
	prefill *endpoint // nil once the KV cache is transferred
	decode  *endpoint
	pieces  identifier.Pieces
	// transfer is the pieces that are still to pass the link.
	transfer identifier.Pieces
	phase    Phase
	since    time.Time
	// wish and ready, the end of the prefill, are set while decode is not.
	wish  *wish
	ready time.Time
}

func (p *Pool) grant(a *wish, plan plan, now time.Time) {
	g := &grant{
		attempt:  a.Attempt,
		urgency:  a.Urgency,
		firm:     p.firm(a.Firm),
		prefill:  plan.prefill,
		decode:   plan.decode,
		pieces:   plan.decodePieces,
		transfer: plan.promptPieces,
		phase:    PhaseGranted,
		since:    now,
	}
	p.enter(g, plan.promptPieces, now)
	decode := identifier.Endpoint("")
	if plan.decode != nil {
		decode = plan.decode.name
	} else {
		prefill := plan.prefill.waiting(now) + plan.prefillTokens/plan.prefill.rate
		p.promise(g, a, now.Add(seconds(prefill)))
	}
	plan.prefill.backlog.add(g, plan.prefillTokens, float64(a.PromptTokens), now)
	p.refresh(plan.prefill, now)
	p.choice.Placed(a.Blocks, plan.prefill.index, now)
	p.emit(Granted{
		Attempt: a.Attempt,
		Prefill: plan.prefill.name,
		Decode:  decode,
		Wait:    plan.wait,
		Lease:   p.options.Lease,
		Pieces:  plan.decodePieces,
	})
}

// enter counts a grant at its endpoints, on the link and at its home.
func (p *Pool) enter(g *grant, promptPieces identifier.Pieces, now time.Time) {
	p.grants[g.attempt] = g
	p.use(g.firm)
	p.link.outstanding += g.transfer
	p.homeOf(g.attempt.Incarnation, now).enter(g)
	if g.prefill != nil {
		g.prefill.hold(g, promptPieces)
		g.prefill.health.entered(now)
		p.refresh(g.prefill, now)
	}
	if g.decode != nil {
		g.decode.hold(g, g.pieces)
		g.decode.health.entered(now)
		p.refresh(g.decode, now)
	}
}

// advance moves a grant to a later phase.
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
	p.link.outstanding -= g.transfer
	g.transfer = 0
	if e := g.prefill; e != nil {
		g.prefill = nil
		e.release(g)
		e.health.succeeded()
		p.refresh(e, now)
	}
}

// drop ends a grant.
func (p *Pool) drop(g *grant, now time.Time) {
	delete(p.grants, g.attempt)
	if g.decode == nil {
		p.breakPromise(g)
	} else if g.phase == PhaseTransferred {
		p.freed.note(g.pieces, now)
	}
	p.used[g.firm]--
	p.link.outstanding -= g.transfer
	if h := p.homes[g.attempt.Incarnation]; h != nil {
		h.leave(g)
	}
	for _, e := range [...]*endpoint{g.prefill, g.decode} {
		if e != nil {
			e.backlog.finish(g, now)
			e.release(g)
			p.refresh(e, now)
		}
	}
}

// use counts a slot for a firm.
func (p *Pool) use(f identifier.Firm) {
	p.meet(f)
	p.used[f]++
}

// meet notes a firm that asks.
func (p *Pool) meet(f identifier.Firm) {
	if _, ok := p.used[f]; !ok {
		p.firms = append(p.firms, f)
		p.used[f] = 0
	}
}

func (p *Pool) emit(a Action) {
	p.actions = append(p.actions, a)
}
