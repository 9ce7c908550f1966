// Package retrier decides whether to retry a failed attempt. Retries against a
// group of endpoints are limited by a token bucket: each first attempt adds a
// configured fraction of a token, each retry takes one token, and a successful
// retry refunds it. The scheme, including the refund, follows Autumn's retry
// budget ("Timeouts, budgets and requests", Autumn documentation).
//
// # Usage
//
//	budget := retrier.NewBudget(service.Retry)
//	budget.RecordFirstAttempt()
//	decision := budget.Decide(retrier.Failure{
//		Attempt: 1, Verdict: classifier.VerdictOf(err), Repeatable: service.Repeatable,
//		Left: time.Until(deadline), Expected: 300 * time.Millisecond,
//	}, rand.Float64())
//	if decision.Retry { /* after decision.After */ }
//	if succeededOnRetry { budget.RefundRetry() }
//
// A Budget is safe for concurrent use and lock-free.
package retrier

import (
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

const (
	// countsPerToken scales fractional tokens to the bucket's integer counter.
	countsPerToken = 1000
	// initialBackoff is the upper limit of the delay before the first retry. The
	// limit doubles with each attempt, up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// Defaults for a service that declares no retry budget.
	defaultRatio       = 0.1
	defaultCapacity    = 10
	defaultMaxAttempts = 3
)

// Budget limits the retries against a group of endpoints.
type Budget struct {
	ratio       atomic.Int64
	capacity    atomic.Int64
	maxAttempts int
	tokens      atomic.Int64
}

// NewBudget returns a full budget. The zero declaration selects the defaults.
func NewBudget(declared compiler.RetryBudget) *Budget {
	if declared == (compiler.RetryBudget{}) {
		declared = compiler.RetryBudget{Ratio: defaultRatio, Capacity: defaultCapacity, MaxAttempts: defaultMaxAttempts}
	}
	b := &Budget{maxAttempts: declared.MaxAttempts}
	b.Resize(declared.Ratio, declared.Capacity)
	b.tokens.Store(b.capacity.Load())
	return b
}

// RecordFirstAttempt records a first attempt, which needs no token.
func (b *Budget) RecordFirstAttempt() {
	b.add(b.ratio.Load())
}

// RefundRetry refunds the token of a successful retry.
func (b *Budget) RefundRetry() {
	b.add(countsPerToken)
}

// Resize changes the ratio and the capacity. It may run concurrently with other
// calls.
func (b *Budget) Resize(ratio, capacity float64) {
	b.ratio.Store(int64(ratio * countsPerToken))
	b.capacity.Store(int64(capacity * countsPerToken))
}

// AddTokens adds tokens, up to the capacity, independently of first attempts.
func (b *Budget) AddTokens(tokens float64) {
	b.add(int64(tokens * countsPerToken))
}

// Drain empties the budget. A restarted process calls it because it can't know
// how many tokens its predecessor spent.
func (b *Budget) Drain() {
	b.tokens.Store(0)
}

// Take takes a token for a retry and reports whether one was available.
func (b *Budget) Take() bool {
	return b.take()
}

// Tokens returns the number of tokens available.
func (b *Budget) Tokens() float64 {
	return float64(b.tokens.Load()) / countsPerToken
}

func (b *Budget) add(amount int64) {
	for {
		old := b.tokens.Load()
		updated := min(b.capacity.Load(), old+amount)
		if updated == old || b.tokens.CompareAndSwap(old, updated) {
			return
		}
	}
}

func (b *Budget) take() bool {
	for {
		old := b.tokens.Load()
		if old < countsPerToken {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-countsPerToken) {
			return true
		}
	}
}

// Failure describes a failed attempt.
type Failure struct {
	// Attempt is the number of attempts so far, including this one.
	Attempt int
	Verdict classifier.Verdict
	// Repeatable is false for non-idempotent calls, which must run at most once.
	Repeatable bool
	// TimeLeft is the time until the caller's deadline; 0 means that it has passed.
	TimeLeft time.Duration
	// Expected is the expected duration of an attempt.
	Expected time.Duration
	// RetryAfter is the minimum delay requested by the endpoint or allocator.
	RetryAfter time.Duration
}

// Decision says whether and when to retry after a failure.
type Decision struct {
	Retry bool
	// After is the delay before the retry.
	After time.Duration
}

// Decide takes a token and allows a retry. It refuses one if the request has
// run, if a non-repeatable request may have run, if the attempts are used up, if
// another attempt can't finish before the deadline, or if the budget is empty.
// jitter is a random number in [0, 1) that scales the backoff.
func (b *Budget) Decide(f Failure, jitter float64) Decision {
	if !f.Repeatable && f.Verdict != classifier.VerdictNotRun || f.Verdict == classifier.VerdictRan {
		return Decision{}
	}
	if f.Attempt >= b.maxAttempts {
		return Decision{}
	}
	after := max(f.RetryAfter, backoff(f.Attempt, jitter))
	if after+f.Expected >= f.TimeLeft || !b.take() {
		return Decision{}
	}
	return Decision{Retry: true, After: after}
}

// backoff returns an exponential backoff with full jitter.
func backoff(attempt int, jitter float64) time.Duration {
	limit := min(maxBackoff, initialBackoff<<min(attempt-1, 10))
	return time.Duration(jitter * float64(limit))
}
