package allocator

import (
	"slices"
	"time"
)

// pendingPrefill is a granted prefill that has not ended.
type pendingPrefill struct {
	grant         *grant
	computeTokens float64 // tokens to compute, without cached ones
	promptTokens  float64 // prompt tokens, which the engine reports as backlog
}

// endedPrefill is a finished prefill that a delayed report may still include.
type endedPrefill struct {
	promptTokens float64
	begin, end   time.Time
}

// backlog tracks the prefill work that is queued or running at an engine. The
// pool counts its own grants immediately; reports arrive late and only add
// the work that the pool did not grant.
type backlog struct {
	pending       []pendingPrefill
	ownTokens     float64 // sum of computeTokens in pending
	ended         []endedPrefill
	foreignTokens float64 // tokens not granted by this pool, as of foreignAt
	// startedAt is the start of the current prefill.
	startedAt time.Time
	foreignAt time.Time
}

// add appends a granted prefill to the backlog.
func (b *backlog) add(g *grant, tokens, prompt float64, now time.Time) {
	if len(b.pending) == 0 {
		b.startedAt = now
	}
	b.pending = append(b.pending, pendingPrefill{grant: g, computeTokens: tokens, promptTokens: prompt})
	b.ownTokens += tokens
}

// finish removes a grant's prefill, which has ended or will not run.
func (b *backlog) finish(g *grant, now time.Time) {
	for i := range b.pending {
		if b.pending[i].grant == g {
			b.ownTokens -= b.pending[i].computeTokens
			b.ended = append(b.ended, endedPrefill{promptTokens: b.pending[i].promptTokens, begin: g.addedAt, end: now})
			b.pending = slices.Delete(b.pending, i, i+1)
			b.startedAt = now
			return
		}
	}
}

// report updates the foreign backlog from a report taken at the given time. A
// report includes the pool's own prefills of that time, so those are
// subtracted.
func (b *backlog) report(tokens float64, at time.Time) {
	known := 0.0
	for _, p := range b.pending {
		if !p.grant.addedAt.After(at) {
			known += p.promptTokens
		}
	}
	b.ended = slices.DeleteFunc(b.ended, func(e endedPrefill) bool { return !e.end.After(at) })
	for _, e := range b.ended {
		if !e.begin.After(at) {
			known += e.promptTokens
		}
	}
	b.foreignTokens = max(0, tokens-known)
	b.foreignAt = at
}

// wait returns the expected seconds until the engine is idle.
func (b *backlog) wait(rate float64, now time.Time) float64 {
	foreign := max(0, b.foreignTokens/rate-now.Sub(b.foreignAt).Seconds())
	if len(b.pending) == 0 {
		return foreign
	}
	progress := min(now.Sub(b.startedAt).Seconds(), b.pending[0].computeTokens/rate)
	return foreign + b.ownTokens/rate - progress
}
