package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/compiler"
)

// messageMargin is the time for messages between a home, the pool and engines.
const messageMargin = 30 * time.Millisecond

// runMargin is the factor on the expected time of decoding, against deadlines.
const runMargin = 1.05

// wish is an ask with what it is expected to take.
type wish struct {
	Ask
	// firstBy and doneBy are when the first and the last token have to be
	// out; zero: no bound.
	firstBy, doneBy time.Time
	// prefill, first and run are the expected times of the prefill, from its
	// end to the first token, and of the whole decoding.
	prefill, first, run time.Duration
	// exclude are the numbers of the excluded endpoints, as of installed.
	exclude   []int32
	installed int
	// passedOver is when the ask was the first of its lane and did not fit.
	passedOver time.Time
}

func (p *Pool) newWish(a Ask, now time.Time) *wish {
	w := &wish{Ask: a}
	if a.Left > 0 {
		w.doneBy = now.Add(a.Left)
	}
	target := p.service.FirstToken
	if a.Urgency == compiler.UrgencyUrgent && target > 0 && !a.Resumes && !p.options.LateAnswers {
		w.firstBy = now.Add(target)
	}
	step := p.step()
	w.prefill = seconds(float64(a.PromptTokens) / p.rate())
	w.first = step + messageMargin + p.link.time(a.PromptTokens, p.perPiece)
	w.run = seconds(float64(max(1, a.MaxTokens)) * step.Seconds() * runMargin)
	return w
}

// startBy gives when the prefill must have started at the latest; zero: no
// bound.
func (w *wish) startBy() time.Time {
	var bound time.Time
	if !w.firstBy.IsZero() {
		bound = w.firstBy.Add(-w.prefill - w.first)
	}
	if w.doneBy.IsZero() {
		return bound
	}
	done := w.doneBy.Add(-w.prefill - w.first - w.run)
	if bound.IsZero() || done.Before(bound) {
		return done
	}
	return bound
}

// late tells whether the plan would miss a bound: then its prefill would be
// for nothing.
func (p *Pool) late(w *wish, chosen *plan, now time.Time) bool {
	prefill := chosen.prefill.waiting(now) + chosen.prefillTokens/chosen.prefill.rate
	first := now.Add(seconds(prefill) + w.first)
	if !w.firstBy.IsZero() && first.After(w.firstBy) {
		return true
	}
	return !w.doneBy.IsZero() && first.Add(w.run).After(w.doneBy)
}

// rate gives the expected prefill rate in tokens a second.
func (p *Pool) rate() float64 {
	if p.meanRate == 0 {
		return p.options.PrefillRate
	}
	return p.meanRate
}

// step gives the expected time of a decode step.
func (p *Pool) step() time.Duration {
	if p.meanStep == 0 {
		return p.options.Step
	}
	return seconds(p.meanStep)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
