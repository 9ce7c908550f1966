package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/compiler"
)

// messageMargin is the allowance for messages between a home, the pool and
// the engines.
const messageMargin = 30 * time.Millisecond

// decodeMargin is the safety factor on the expected decode time for the check
// of deadlines.
const decodeMargin = 1.05

// pendingRequest is a slot request with its deadlines and expected durations.
type pendingRequest struct {
	SlotRequest
	// firstTokenBy and doneBy are the deadlines of the first and the last
	// token; zero: none.
	firstTokenBy, doneBy time.Time
	// prefillTime, firstTokenDelay and decodeTime are the expected durations
	// of the prefill, from its end to the first token, and of the whole decode.
	prefillTime, firstTokenDelay, decodeTime time.Duration
	// excludedIndexes caches the indexes of the excluded endpoints for the
	// endpoint list of version excludedVersion.
	excludedIndexes []int32
	excludedVersion int
	// blockedSince is when the slot request first was at the head of its queue and did
	// not fit.
	blockedSince time.Time
}

func (p *Pool) newPendingRequest(a SlotRequest, now time.Time) *pendingRequest {
	pending := &pendingRequest{SlotRequest: a}
	if a.TimeLeft > 0 {
		pending.doneBy = now.Add(a.TimeLeft)
	}
	target := p.service.FirstToken
	if a.Urgency == compiler.UrgencyUrgent && target > 0 && !a.Resumes && !p.options.AllowLateFirstToken {
		pending.firstTokenBy = now.Add(target)
	}
	step := p.stepTime()
	pending.prefillTime = seconds(float64(a.PromptTokens) / p.prefillRate())
	pending.firstTokenDelay = step + messageMargin + p.link.transferTime(a.PromptTokens, p.tokensPerPiece)
	pending.decodeTime = seconds(float64(max(1, a.MaxTokens)) * step.Seconds() * decodeMargin)
	return pending
}

// latestStart returns the latest start of the prefill that meets the deadlines;
// zero: no deadline.
func (a *pendingRequest) latestStart() time.Time {
	var bound time.Time
	if !a.firstTokenBy.IsZero() {
		bound = a.firstTokenBy.Add(-a.prefillTime - a.firstTokenDelay)
	}
	if a.doneBy.IsZero() {
		return bound
	}
	done := a.doneBy.Add(-a.prefillTime - a.firstTokenDelay - a.decodeTime)
	if bound.IsZero() || done.Before(bound) {
		return done
	}
	return bound
}

// missesDeadline reports whether the plan would miss a deadline, so that its
// prefill would be wasted.
func (p *Pool) missesDeadline(a *pendingRequest, chosen *plan, now time.Time) bool {
	prefill := chosen.prefill.prefillWait(now) + chosen.prefillTokens/chosen.prefill.prefillRate
	first := now.Add(seconds(prefill) + a.firstTokenDelay)
	if !a.firstTokenBy.IsZero() && first.After(a.firstTokenBy) {
		return true
	}
	return !a.doneBy.IsZero() && first.Add(a.decodeTime).After(a.doneBy)
}

// prefillRate returns the expected prefill rate in tokens per second.
func (p *Pool) prefillRate() float64 {
	if p.meanRate == 0 {
		return p.options.PrefillRate
	}
	return p.meanRate
}

// stepTime returns the expected duration of a decode step.
func (p *Pool) stepTime() time.Duration {
	if p.meanStep == 0 {
		return p.options.StepTime
	}
	return seconds(p.meanStep)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
