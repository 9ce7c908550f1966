package allocator

import (
	"slices"
	"time"
)

// pendingPrefill is a granted prefill that has not ended.
type pendingPrefill struct {
	grant  *grant
	tokens float64 // that have to be computed
	prompt float64 // tokens that the engine counts
}

// endedPrefill is one that a lagging report may still count.
type endedPrefill struct {
	prompt     float64
	begin, end time.Time
}

// backlog is the prefill that waits or runs at an engine. The pool knows its
// own grants at once and counts only the rest from the lagging reports.
type backlog struct {
	pending []pendingPrefill
	own     float64 // tokens of pending
	ended   []endedPrefill
	foreign float64 // tokens, at foreignAt
	// since is when the engine began with its present prefill.
	since     time.Time
	foreignAt time.Time
}

func (b *backlog) add(g *grant, tokens, prompt float64, now time.Time) {
	if len(b.pending) == 0 {
		b.since = now
	}
	b.pending = append(b.pending, pendingPrefill{grant: g, tokens: tokens, prompt: prompt})
	b.own += tokens
}

// finish notes that a grant's prefill has ended, or will never run.
func (b *backlog) finish(g *grant, now time.Time) {
	for i := range b.pending {
		if b.pending[i].grant == g {
			b.own -= b.pending[i].tokens
			b.ended = append(b.ended, endedPrefill{prompt: b.pending[i].prompt, begin: g.since, end: now})
			b.pending = slices.Delete(b.pending, i, i+1)
			b.since = now
			return
		}
	}
}

// report takes in a reported backlog; what the pool granted and still counts
// is part of it.
func (b *backlog) report(tokens float64, at time.Time) {
	known := 0.0
	for _, p := range b.pending {
		if !p.grant.since.After(at) {
			known += p.prompt
		}
	}
	b.ended = slices.DeleteFunc(b.ended, func(e endedPrefill) bool { return !e.end.After(at) })
	for _, e := range b.ended {
		if !e.begin.After(at) {
			known += e.prompt
		}
	}
	b.foreign = max(0, tokens-known)
	b.foreignAt = at
}

// waiting gives the seconds until the engine is idle.
func (b *backlog) waiting(rate float64, now time.Time) float64 {
	foreign := max(0, b.foreign/rate-now.Sub(b.foreignAt).Seconds())
	if len(b.pending) == 0 {
		return foreign
	}
	progress := min(now.Sub(b.since).Seconds(), b.pending[0].tokens/rate)
	return foreign + b.own/rate - progress
}
