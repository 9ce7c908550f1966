package experimenter

import (
	"time"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/retrier"
)

const (
	// latency of a message between hosts, or between a host and an engine.
	latency = time.Millisecond
	// importPause is the wait before a refused import is tried again.
	importPause = 20 * time.Millisecond
	// gapShare is the share of a request's gaps between tokens that have to
	// meet the target.
	gapShare = 0.95
)

// request is a caller's request on its way.
type request struct {
	kind    *kindOfWork
	prompt  identifier.Tokens
	output  identifier.Tokens
	blocks  []identifier.BlockHash
	arrival time.Duration
	home    *home

	attempt  identifier.Attempt
	attempts int
	phase    allocator.Phase
	exclude  []identifier.Endpoint
	prefill  *prefillEngine
	decode   *decodeEngine
	job      *job
	computed float64 // prefill tokens of this attempt
	expires  time.Duration

	ended    time.Duration
	first    time.Duration // time to first token, 0: none yet
	gaps     int
	lateGaps int
	over     bool
	done     bool
	refused  bool
}

func (r *request) deadline() time.Duration {
	return r.arrival + r.kind.timeout
}

func (r *request) urgency() compiler.Urgency {
	if r.kind.urgent {
		return compiler.UrgencyUrgent
	}
	return compiler.UrgencyPatient
}

func (r *request) pieces() identifier.Pieces {
	return piecesFor(r.prompt + r.kind.maxTokens)
}

func piecesFor(tokens identifier.Tokens) identifier.Pieces {
	return identifier.Pieces((tokens + blockTokens - 1) / blockTokens)
}

// good tells whether the request met both targets. A patient request has no
// target for its first token beyond its deadline.
func (r *request) good() bool {
	onTime := !r.kind.urgent || r.first <= firstToken
	return r.done && onTime && float64(r.lateGaps) <= (1-gapShare)*float64(r.gaps)
}

// home is an entry host that requests arrive at.
type home struct {
	incarnation identifier.Incarnation
	sequence    identifier.Sequence
	budget      *retrier.Budget
	running     map[identifier.Attempt]*request
}

// placer is what the policies under test do.
type placer interface {
	// submit places a new attempt.
	submit(r *request)
	// decodeFor gives the decode engine for a prefilled attempt.
	decodeFor(r *request) *decodeEngine
	// advanced tells that an attempt reached a phase.
	advanced(r *request, phase allocator.Phase)
	// ended tells that an attempt is over.
	ended(r *request, outcome allocator.Outcome)
}

// arrive takes in a new request.
func (b *bench) arrive(r *request) {
	r.arrival = b.clock.elapsed
	r.home = b.homes[b.random.IntN(len(b.homes))]
	r.home.budget.RecordFirstAttempt()
	b.tally.arrived(r)
	b.clock.after(r.kind.timeout, func() { b.giveUp(r) })
	b.try(r)
}

func (b *bench) try(r *request) {
	if r.over {
		return
	}
	r.attempts++
	r.phase = allocator.PhaseGranted
	r.attempt = identifier.Attempt{Incarnation: r.home.incarnation, Sequence: r.home.sequence.Next()}
	b.placer.submit(r)
}

// giveUp ends a request whose caller's deadline has passed.
func (b *bench) giveUp(r *request) {
	if r.over {
		return
	}
	r.over = true
	if r.attempt.IsZero() {
		return // it waits for its next attempt
	}
	b.abandon(r)
	b.placer.ended(r, allocator.Outcome{Ending: allocator.EndingCanceled})
}

// refuse ends a request that nothing ran of.
func (b *bench) refuse(r *request) {
	r.over = true
	r.refused = true
}

// abandon frees what an attempt holds and counts its prefill as wasted.
func (b *bench) abandon(r *request) {
	if r.job != nil {
		r.job.canceled = true
		r.job = nil
	}
	b.tally.waste(r)
	if r.decode != nil {
		r.decode.free(r.attempt)
		r.decode = nil
	}
	delete(r.home.running, r.attempt)
}

// fail ends an attempt and tries again where the budget allows it.
func (b *bench) fail(r *request, at identifier.Endpoint, refused bool) {
	b.abandon(r)
	b.placer.ended(r, allocator.Outcome{Ending: allocator.EndingFailed, Endpoint: at, Refused: refused})
	r.attempt = identifier.Attempt{} // what is under way for it is of no use
	decision := r.home.budget.Decide(retrier.Failure{
		Attempt:    r.attempts,
		Verdict:    classifier.VerdictNotRun,
		Repeatable: true,
		TimeLeft:   r.deadline() - b.clock.elapsed,
	}, b.random.Float64())
	if !decision.Retry {
		r.over = true
		return
	}
	r.exclude = append(r.exclude, at)
	b.clock.after(decision.After, func() { b.try(r) })
}

// startPrefill sends an attempt to a prefill engine.
func (b *bench) startPrefill(r *request, e *prefillEngine) {
	attempt := r.attempt
	r.prefill = e
	r.home.running[attempt] = r
	r.job = &job{attempt: attempt, prompt: r.prompt, blocks: r.blocks, urgent: r.kind.urgent}
	r.job.done = func(computed float64) {
		b.tally.prefilled(r, computed)
		if r.over || r.attempt != attempt {
			b.tally.wasted += computed
			return
		}
		r.job = nil
		r.computed = computed
		r.expires = b.clock.elapsed + resultTTL
		b.placer.advanced(r, allocator.PhasePrefilled)
		b.clock.after(latency, func() { b.importTo(r, attempt, b.placer.decodeFor(r)) })
	}
	j := r.job
	b.clock.after(latency, func() {
		if e.failing {
			b.fail(r, e.name, false)
			return
		}
		if !j.canceled {
			e.submit(j)
		}
	})
}

// importTo moves a prefill's result to a decode engine, trying others and
// again while the result is kept.
func (b *bench) importTo(r *request, attempt identifier.Attempt, d *decodeEngine) {
	if r.over || r.attempt != attempt {
		return
	}
	if b.clock.elapsed >= r.expires {
		b.fail(r, endpointName(d), true)
		return
	}
	if d == nil || !d.reserve(attempt, r.pieces()) {
		b.tally.importRefusals++
		b.clock.after(importPause, func() { b.importTo(r, attempt, b.placer.decodeFor(r)) })
		return
	}
	r.decode = d
	b.link.transfer(piecesFor(r.prompt), func() { b.transferred(r, attempt) })
}

func endpointName(d *decodeEngine) identifier.Endpoint {
	if d == nil {
		return ""
	}
	return d.name
}

func (b *bench) transferred(r *request, attempt identifier.Attempt) {
	if r.over || r.attempt != attempt {
		return
	}
	if b.clock.elapsed > r.expires {
		b.tally.expired++
		b.fail(r, r.decode.name, true)
		return
	}
	b.placer.advanced(r, allocator.PhaseTransferred)
	r.decode.decode(&stream{
		attempt: attempt,
		left:    r.output,
		token:   func(gap time.Duration) { b.token(r, gap) },
		done:    func() { b.finish(r) },
	})
}

func (b *bench) token(r *request, gap time.Duration) {
	if r.first == 0 {
		r.first = b.clock.elapsed - r.arrival
		return
	}
	r.gaps++
	if gap > betweenTokens {
		r.lateGaps++
	}
}

func (b *bench) finish(r *request) {
	r.over = true
	r.done = true
	r.ended = b.clock.elapsed
	if r.attempts > 1 {
		r.home.budget.RefundRetry()
	}
	delete(r.home.running, r.attempt)
	b.placer.ended(r, allocator.Outcome{Ending: allocator.EndingDone})
}
