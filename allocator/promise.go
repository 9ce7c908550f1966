package allocator

import (
	"math"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

const (
	// completionMemory is the time constant of the rate of completions.
	completionMemory = 10 * time.Second
	// promiseMargin is how many standard deviations of the number of
	// completions are left out of account.
	promiseMargin = 1.5
	// patientSlack and urgentSlack are the shares of a result's life that a
	// prefilled attempt may wait for its decode engine.
	patientSlack = 0.65
	urgentSlack  = 0.25
)

// completions measures how fast decode engines free slots.
type completions struct {
	count  float64 // decayed
	pieces float64 // mean of one completion
	at     time.Time
}

func (c *completions) note(pieces identifier.Pieces, now time.Time) {
	c.decay(now)
	c.count++
	if c.pieces == 0 {
		c.pieces = float64(pieces)
	}
	c.pieces += drainWeight * (float64(pieces) - c.pieces)
}

func (c *completions) decay(now time.Time) {
	c.count *= math.Exp(-now.Sub(c.at).Seconds() / completionMemory.Seconds())
	c.at = now
}

// surely gives the completions that are as good as certain within a time.
func (c *completions) surely(within time.Duration, now time.Time) float64 {
	c.decay(now)
	expected := c.count / completionMemory.Seconds() * within.Seconds()
	return expected - promiseMargin*math.Sqrt(expected)
}

// promises tells whether a decode engine will have room for the plan when its
// prefill ends, though none has now.
func (p *Pool) promises(w *wish, chosen *plan, now time.Time) bool {
	if !p.options.LateBinding || p.decode.Len() == 0 {
		return false
	}
	pieces := p.piecesFor(w)
	for _, g := range p.promised {
		pieces += g.pieces
	}
	prefill := chosen.prefill.waiting(now) + chosen.prefillTokens/chosen.prefill.rate
	slack := patientSlack
	if w.Urgency == compiler.UrgencyUrgent {
		slack = urgentSlack
	}
	within := seconds(prefill + slack*p.options.ResultLife.Seconds())
	surely := p.freed.surely(within, now)
	free := p.slots - (len(p.grants) - len(p.promised))
	return float64(pieces) <= surely*p.freed.pieces && float64(len(p.promised)+1) <= surely+float64(free)
}

// owes tells whether promised attempts, of the same urgency or a higher one,
// wait for a decode engine: then what is free is theirs.
func (p *Pool) owes(u compiler.Urgency) bool {
	for _, g := range p.promised {
		if g.urgency >= u {
			return true
		}
	}
	return false
}

// piecesFor gives the pieces that an attempt takes at a decode engine.
func (p *Pool) piecesFor(w *wish) identifier.Pieces {
	perPiece := max(1, p.perPiece)
	return identifier.Pieces((w.PromptTokens + w.MaxTokens + perPiece - 1) / perPiece)
}

// promise keeps a grant that has no decode engine yet.
func (p *Pool) promise(g *grant, w *wish, ready time.Time) {
	g.wish = w
	g.ready = ready
	place := slices.IndexFunc(p.promised, func(other *grant) bool { return other.ready.After(ready) })
	if place < 0 {
		place = len(p.promised)
	}
	p.promised = slices.Insert(p.promised, place, g)
}

// bind gives promised attempts the room that has become free, in the order in
// which their prefills end.
func (p *Pool) bind(now time.Time) {
	n := 0
	for n < len(p.promised) && p.bindOne(p.promised[n], now) {
		n++
	}
	p.promised = slices.Delete(p.promised, 0, n)
}

func (p *Pool) bindOne(g *grant, now time.Time) bool {
	e := p.placeDecode(g.wish, p.excluded(g.wish))
	if e == nil {
		return false
	}
	g.decode = e
	g.pieces = e.piecesFor(g.wish.PromptTokens + g.wish.MaxTokens)
	e.hold(g, g.pieces)
	e.health.entered(now)
	p.refresh(e, now)
	p.emit(Bound{Attempt: g.attempt, Decode: e.name, Pieces: g.pieces})
	return true
}

// breakPromise forgets a grant that ends without a decode engine.
func (p *Pool) breakPromise(g *grant) {
	p.promised = slices.DeleteFunc(p.promised, func(other *grant) bool { return other == g })
}
