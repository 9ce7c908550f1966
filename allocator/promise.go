package allocator

import (
	"math"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// completionMemory is the time constant of the rate of completions.
	completionMemory = 10 * time.Second
	// promiseMargin is how many standard deviations of the number of
	// completions are left out of account.
	promiseMargin = 1.5
	// promiseSlack is the share of a result's life that a prefilled attempt
	// may wait for its decode engine.
	promiseSlack = 0.4
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

// weight gives how many completions an attempt of that size needs.
func (c *completions) weight(pieces identifier.Pieces) float64 {
	return max(1, float64(pieces)/max(1, c.pieces))
}

// promises tells whether a decode engine will have room for the plan when its
// prefill ends, though none has now.
func (p *Pool) promises(w *wish, chosen *plan, now time.Time) bool {
	if !p.options.LateBinding || p.decode.Len() == 0 {
		return false
	}
	pieces := p.piecesFor(w)
	needed := p.freed.weight(pieces)
	for _, g := range p.promised {
		needed += p.freed.weight(g.pieces)
	}
	prefill := chosen.prefill.waiting(now) + chosen.prefillTokens/chosen.prefill.rate
	within := seconds(prefill + promiseSlack*p.options.ResultLife.Seconds())
	return needed <= p.freed.surely(within, now)
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
	p.promised = slices.DeleteFunc(p.promised, func(g *grant) bool {
		return p.bindOne(g, now)
	})
}

func (p *Pool) bindOne(g *grant, now time.Time) bool {
	var excluded [maxExcluded]int32
	e := p.placeDecode(g.wish, p.excluded(g.wish, &excluded))
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
