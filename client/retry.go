package client

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/common/classifier"
)

// RetryPolicy limits the retries of requests.
type RetryPolicy struct {
	// MaxAttempts limits the attempts of a request, including the first; 0 is
	// treated as 1.
	MaxAttempts int
	// Ratio is the long-term ratio of retries to requests that the retry
	// budget allows.
	Ratio float64
	// Capacity is the number of retries that the budget allows in a burst; 0
	// disables the budget.
	Capacity float64
	// BaseDelay is the delay before the second retry. The first retry goes to
	// another host immediately.
	BaseDelay time.Duration
	// MaxDelay limits the delay, which doubles with each further retry.
	MaxDelay time.Duration
	// StallTimeout is the time without a message after which a stream counts
	// as broken; 0 disables it. It must exceed the queueing time at the host.
	StallTimeout time.Duration
	// MaxOutcomeFetches limits the retries that fetch the stored outcome of a call
	// that may have run.
	MaxOutcomeFetches int
}

// DefaultRetry is a policy for callers with a small number of entry hosts.
var DefaultRetry = RetryPolicy{
	MaxAttempts:       4,
	Ratio:             0.1,
	Capacity:          20,
	BaseDelay:         50 * time.Millisecond,
	MaxDelay:          2 * time.Second,
	MaxOutcomeFetches: 8,
}

func (p RetryPolicy) validate() error {
	if p.MaxAttempts < 0 || p.MaxOutcomeFetches < 0 {
		return eris.Errorf("retry policy has %d attempts and %d fetches, want 0 or more", p.MaxAttempts, p.MaxOutcomeFetches)
	}
	if p.Ratio < 0 || p.Capacity < 0 || math.IsNaN(p.Ratio+p.Capacity) {
		return eris.Errorf("retry budget has ratio %v and capacity %v, want 0 or more", p.Ratio, p.Capacity)
	}
	if p.BaseDelay < 0 || p.MaxDelay < p.BaseDelay || p.StallTimeout < 0 {
		return eris.Errorf("retry delays are %s to %s with stall timeout %s, want 0 or more in this order",
			p.BaseDelay, p.MaxDelay, p.StallTimeout)
	}
	return nil
}

// backoff returns the delay before the n-th retry, counted from 1.
func (p RetryPolicy) backoff(n int) time.Duration {
	if n <= 1 {
		return 0
	}
	d := p.BaseDelay
	for ; n > 2 && d < p.MaxDelay; n-- {
		d *= 2
	}
	return min(d, p.MaxDelay)
}

// terminalReasons are the reasons for which a retry would fail the same way.
var terminalReasons = map[classifier.Reason]bool{
	classifier.ReasonBadRequest:      true,
	classifier.ReasonTooLarge:        true,
	classifier.ReasonUnknownService:  true,
	classifier.ReasonUnknownCustomer: true,
	classifier.ReasonCanceled:        true,
	classifier.ReasonTakenOver:       true,
}

// immediateRetryReasons are the reasons for which a retry on another host may
// succeed without a Retry-After.
var immediateRetryReasons = map[classifier.Reason]bool{
	classifier.ReasonHostUnreachable: true,
	classifier.ReasonStopping:        true,
	classifier.ReasonNotReady:        true,
	classifier.ReasonEndpointFailed:  true,
	classifier.ReasonEndpointRefused: true,
	classifier.ReasonInternal:        true,
	reasonBrokenStream:               true,
}

// reasonBrokenStream marks streams that ended or stalled before their
// completion, or whose offsets have a gap or an overlap.
const reasonBrokenStream classifier.Reason = "broken-stream"

// retryable reports whether another attempt may succeed after failure e. With
// ReasonDeadline, a host sets RetryAfter if it rejected the request because it
// couldn't meet its latency targets, but not if the request's own deadline
// passed.
func retryable(e *classifier.Error) bool {
	if e.Verdict == classifier.VerdictRan || terminalReasons[e.Reason] {
		return false
	}
	return e.RetryAfter > 0 || immediateRetryReasons[e.Reason]
}

// unitsPerRetry scales the budget, which counts in thousandths of a retry so
// that it can use integer atomics.
const unitsPerRetry = 1000

// retryBudget limits the retries across all requests of a client. It is a token
// bucket that each request refills by the policy's ratio.
type retryBudget struct {
	balance   atomic.Int64
	ratio     int64
	capacity  int64
	unbounded bool
}

func newRetryBudget(p RetryPolicy) *retryBudget {
	b := &retryBudget{ratio: int64(p.Ratio * unitsPerRetry), capacity: int64(p.Capacity * unitsPerRetry), unbounded: p.Capacity == 0}
	b.balance.Store(b.capacity)
	return b
}

// deposit adds the share of a retry that a new request earns.
func (b *retryBudget) deposit() {
	for {
		level := b.balance.Load()
		if b.balance.CompareAndSwap(level, min(level+b.ratio, b.capacity)) {
			return
		}
	}
}

// withdraw takes a retry from the budget. It returns false if the budget is
// exhausted.
func (b *retryBudget) withdraw() bool {
	for !b.unbounded {
		level := b.balance.Load()
		if level < unitsPerRetry {
			return false
		}
		if b.balance.CompareAndSwap(level, level-unitsPerRetry) {
			break
		}
	}
	return true
}
