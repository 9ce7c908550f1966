// Package retrier decides whether a failed attempt is tried again. A token
// bucket per group of endpoints bounds the retries that the group sees: each
// first attempt adds the ratio of a token, each retry takes one, and a retry
// that succeeds gives it back. The idea and the refund are those of Autumn's
// retry budget ("Timeouts, budgets and requests", Autumn documentation).
//
// # Usage
//
//	budget := retrier.NewBudget(service.Retry)
//	budget.First()
//	decision := budget.Decide(retrier.Failure{
//		Attempt: 1, Verdict: classifier.VerdictOf(err), Repeatable: service.Repeatable,
//		Left: time.Until(deadline), Expected: 300 * time.Millisecond,
//	}, rand.Float64())
//	if decision.Retry { /* after decision.After */ }
//	if succeededOnRetry { budget.Succeeded() }
//
// A Budget is safe for concurrent use and takes no lock.
package retrier

import (
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

const (
	// unit is a token in the bucket's counter.
	unit = 1000
	// firstBackoff is the longest wait before the first retry; it doubles.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// Defaults of a service's declaration.
	defaultRatio       = 0.1
	defaultCapacity    = 10
	defaultMaxAttempts = 3
)

// Budget bounds the retries of a group of endpoints.
type Budget struct {
	ratio       atomic.Int64
	capacity    atomic.Int64
	maxAttempts int
	tokens      atomic.Int64
}

// NewBudget gives a full budget; zero fields of the declaration get defaults.
func NewBudget(declared compiler.RetryBudget) *Budget {
	if declared == (compiler.RetryBudget{}) {
		declared = compiler.RetryBudget{Ratio: defaultRatio, Capacity: defaultCapacity, MaxAttempts: defaultMaxAttempts}
	}
	b := &Budget{maxAttempts: declared.MaxAttempts}
	b.Resize(declared.Ratio, declared.Capacity)
	b.tokens.Store(b.capacity.Load())
	return b
}

// First notes a first attempt; it never waits for tokens.
func (b *Budget) First() {
	b.add(b.ratio.Load())
}

// Succeeded gives back the token of a retry that succeeded.
func (b *Budget) Succeeded() {
	b.add(unit)
}

// Resize changes the ratio and the capacity of a budget in use.
func (b *Budget) Resize(ratio, capacity float64) {
	b.ratio.Store(int64(ratio * unit))
	b.capacity.Store(int64(capacity * unit))
}

// Grant adds tokens, up to the capacity, without a first attempt.
func (b *Budget) Grant(tokens float64) {
	b.add(int64(tokens * unit))
}

// Drain takes all tokens away, as for a process that can't know what the one
// before it has spent.
func (b *Budget) Drain() {
	b.tokens.Store(0)
}

// Take takes a token for a retry; false: there is none.
func (b *Budget) Take() bool {
	return b.take()
}

// Tokens gives the retries that may follow at once.
func (b *Budget) Tokens() float64 {
	return float64(b.tokens.Load()) / unit
}

func (b *Budget) add(amount int64) {
	for {
		old := b.tokens.Load()
		grown := min(b.capacity.Load(), old+amount)
		if grown == old || b.tokens.CompareAndSwap(old, grown) {
			return
		}
	}
}

func (b *Budget) take() bool {
	for {
		old := b.tokens.Load()
		if old < unit {
			return false
		}
		if b.tokens.CompareAndSwap(old, old-unit) {
			return true
		}
	}
}

// Failure is an attempt that failed.
type Failure struct {
	// Attempt counts the request's attempts, this one included.
	Attempt int
	Verdict classifier.Verdict
	// Repeatable is false for calls that must run at most once.
	Repeatable bool
	// Left is the time until the caller's deadline; 0: it has passed.
	Left time.Duration
	// Expected is the time that an attempt needs.
	Expected time.Duration
	// RetryAfter is the wait that the endpoint or allocator asked for.
	RetryAfter time.Duration
}

// Decision is what to do about a failure.
type Decision struct {
	Retry bool
	// After is how long to wait before the retry.
	After time.Duration
}

// Decide takes a token and allows a retry, unless the request may have run
// and must not be repeated, has had its attempts, can't end in the time left,
// or the budget is empty. draw is a random number in [0, 1) that spreads the
// wait.
func (b *Budget) Decide(f Failure, draw float64) Decision {
	if !f.Repeatable && f.Verdict != classifier.VerdictNotRun || f.Verdict == classifier.VerdictRan {
		return Decision{}
	}
	if f.Attempt >= b.maxAttempts {
		return Decision{}
	}
	after := max(f.RetryAfter, backoff(f.Attempt, draw))
	if after+f.Expected >= f.Left || !b.take() {
		return Decision{}
	}
	return Decision{Retry: true, After: after}
}

func backoff(attempt int, draw float64) time.Duration {
	longest := min(maxBackoff, firstBackoff<<min(attempt-1, 10))
	return time.Duration(draw * float64(longest))
}
