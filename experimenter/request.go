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
	// latency is the one-way latency of a message between hosts, or between a
	// host and an engine.
	latency = time.Millisecond
	// importRetryInterval is the wait before a refused import is retried.
	importRetryInterval = 20 * time.Millisecond
	// onTimeGapShare is the share of a request's inter-token gaps that must
	// meet the target.
	onTimeGapShare = 0.95
)

// request is a caller's request with the state of its current attempt.
type request struct {
	kind    *requestKind
	prompt  identifier.Tokens
	output  identifier.Tokens
	blocks  []identifier.BlockHash
	arrival time.Duration
	host    *entryHost

	attempt        identifier.Attempt
	attempts       int
	phase          allocator.Phase
	excluded       []identifier.Endpoint
	prefill        *prefillEngine
	decode         *decodeEngine
	job            *prefillJob
	computedTokens float64 // prefill tokens computed for the current attempt
	resultExpiry   time.Duration

	endedAt          time.Duration
	timeToFirstToken time.Duration // 0 before the first token
	gaps             int
	lateGaps         int
	ended            bool
	succeeded        bool
	refused          bool
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

// meetsTargets reports whether the request met both latency targets. A patient
// request has no target for its first token other than its deadline.
func (r *request) meetsTargets() bool {
	onTime := !r.kind.urgent || r.timeToFirstToken <= firstToken
	return r.succeeded && onTime && float64(r.lateGaps) <= (1-onTimeGapShare)*float64(r.gaps)
}

// entryHost is an entry host with its retry budget and its running attempts.
type entryHost struct {
	incarnation identifier.Incarnation
	sequence    identifier.Sequence
	budget      *retrier.Budget
	running     map[identifier.Attempt]*request
}

// requestPlacer is the interface of the placement policies.
type requestPlacer interface {
	// submit requests a placement for a new attempt.
	submit(r *request)
	// decodeEngineFor returns the decode engine for a prefilled attempt, or nil
	// if there is none yet.
	decodeEngineFor(r *request) *decodeEngine
	// phaseReached records that an attempt has reached a phase.
	phaseReached(r *request, phase allocator.Phase)
	// attemptEnded records that an attempt has ended.
	attemptEnded(r *request, outcome allocator.Outcome)
}

// arrive assigns a new request to a random host and starts its first attempt.
func (b *benchmark) arrive(r *request) {
	r.arrival = b.clock.elapsed
	r.host = b.hosts[b.random.IntN(len(b.hosts))]
	r.host.budget.RecordFirstAttempt()
	b.tally.addRequest(r)
	b.clock.after(r.kind.timeout, func() { b.expire(r) })
	b.startAttempt(r)
}

func (b *benchmark) startAttempt(r *request) {
	if r.ended {
		return
	}
	r.attempts++
	r.phase = allocator.PhaseGranted
	r.attempt = identifier.Attempt{Incarnation: r.host.incarnation, Sequence: r.host.sequence.Next()}
	b.placer.submit(r)
}

// expire ends a request whose deadline has passed.
func (b *benchmark) expire(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if r.attempt.IsZero() {
		return // waiting for its next attempt
	}
	b.releaseAttempt(r)
	b.placer.attemptEnded(r, allocator.Outcome{Ending: allocator.EndingCanceled})
}

// refuse ends a request whose attempt the allocator refused to place.
func (b *benchmark) refuse(r *request) {
	r.ended = true
	r.refused = true
}

// releaseAttempt frees the resources of an attempt and counts its prefill as
// wasted.
func (b *benchmark) releaseAttempt(r *request) {
	if r.job != nil {
		r.job.canceled = true
		r.job = nil
	}
	b.tally.addWaste(r)
	if r.decode != nil {
		r.decode.free(r.attempt)
		r.decode = nil
	}
	delete(r.host.running, r.attempt)
}

// failAttempt ends an attempt and schedules a retry if the retry budget allows
// it.
func (b *benchmark) failAttempt(r *request, at identifier.Endpoint, refused bool) {
	b.releaseAttempt(r)
	b.placer.attemptEnded(r, allocator.Outcome{Ending: allocator.EndingFailed, Endpoint: at, Refused: refused})
	r.attempt = identifier.Attempt{} // invalidates pending events of the attempt
	decision := r.host.budget.Decide(retrier.Failure{
		Attempt:    r.attempts,
		Verdict:    classifier.VerdictNotRun,
		Repeatable: true,
		TimeLeft:   r.deadline() - b.clock.elapsed,
	}, b.random.Float64())
	if !decision.Retry {
		r.ended = true
		return
	}
	r.excluded = append(r.excluded, at)
	b.clock.after(decision.After, func() { b.startAttempt(r) })
}

// startPrefill sends an attempt to a prefill engine.
func (b *benchmark) startPrefill(r *request, e *prefillEngine) {
	attempt := r.attempt
	r.prefill = e
	r.host.running[attempt] = r
	r.job = &prefillJob{attempt: attempt, prompt: r.prompt, blocks: r.blocks, urgent: r.kind.urgent}
	r.job.onDone = func(computed float64) {
		b.tally.addPrefill(r, computed)
		if r.ended || r.attempt != attempt {
			b.tally.wastedTokens += computed
			return
		}
		r.job = nil
		r.computedTokens = computed
		r.resultExpiry = b.clock.elapsed + resultTTL
		b.placer.phaseReached(r, allocator.PhasePrefilled)
		b.clock.after(latency, func() { b.importResult(r, attempt, b.placer.decodeEngineFor(r)) })
	}
	j := r.job
	b.clock.after(latency, func() {
		if e.unreachable {
			b.failAttempt(r, e.name, false)
			return
		}
		if !j.canceled {
			e.submit(j)
		}
	})
}

// importResult transfers a prefill result to a decode engine. If the engine is
// full, it asks the placer again at intervals until the result expires.
func (b *benchmark) importResult(r *request, attempt identifier.Attempt, d *decodeEngine) {
	if r.ended || r.attempt != attempt {
		return
	}
	if b.clock.elapsed >= r.resultExpiry {
		b.failAttempt(r, endpointName(d), true)
		return
	}
	if d == nil || !d.reserve(attempt, r.pieces()) {
		b.tally.importRefusals++
		b.clock.after(importRetryInterval, func() { b.importResult(r, attempt, b.placer.decodeEngineFor(r)) })
		return
	}
	r.decode = d
	b.link.transfer(piecesFor(r.prompt), func() { b.startDecode(r, attempt) })
}

func endpointName(d *decodeEngine) identifier.Endpoint {
	if d == nil {
		return ""
	}
	return d.name
}

func (b *benchmark) startDecode(r *request, attempt identifier.Attempt) {
	if r.ended || r.attempt != attempt {
		return
	}
	if b.clock.elapsed > r.resultExpiry {
		b.tally.expired++
		b.failAttempt(r, r.decode.name, true)
		return
	}
	b.placer.phaseReached(r, allocator.PhaseTransferred)
	r.decode.decode(&stream{
		attempt:   attempt,
		remaining: r.output,
		onToken:   func(gap time.Duration) { b.recordToken(r, gap) },
		onDone:    func() { b.complete(r) },
	})
}

func (b *benchmark) recordToken(r *request, gap time.Duration) {
	if r.timeToFirstToken == 0 {
		r.timeToFirstToken = b.clock.elapsed - r.arrival
		return
	}
	r.gaps++
	if gap > betweenTokens {
		r.lateGaps++
	}
}

func (b *benchmark) complete(r *request) {
	r.ended = true
	r.succeeded = true
	r.endedAt = b.clock.elapsed
	if r.attempts > 1 {
		r.host.budget.RefundRetry()
	}
	delete(r.host.running, r.attempt)
	b.placer.attemptEnded(r, allocator.Outcome{Ending: allocator.EndingDone})
}
