package client

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/common/classifier"
)

// RetryPolicy bounds the attempts of requests.
type RetryPolicy struct {
	// MaxAttempts of one request, the first included; 0 counts as 1.
	MaxAttempts int
	// Ratio of requests that may be followed by a retry, and Capacity, in
	// retries, that may come in a burst. A Capacity of 0 means no budget.
	Ratio    float64
	Capacity float64
	// BaseDelay before the second retry; it doubles up to MaxDelay. The first
	// retry goes to another host at once.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// StallTimeout is the time without a message after which a stream counts
	// as broken; 0: none. It has to exceed the time spent in queues.
	StallTimeout time.Duration
	// MaxFetches bounds the resends that fetch the outcome of a call that
	// may have run.
	MaxFetches int
}

// DefaultRetry suits a caller with a few entry hosts.
var DefaultRetry = RetryPolicy{
	MaxAttempts: 4,
	Ratio:       0.1,
	Capacity:    20,
	BaseDelay:   50 * time.Millisecond,
	MaxDelay:    2 * time.Second,
	MaxFetches:  8,
}

func (p RetryPolicy) check() error {
	if p.MaxAttempts < 0 || p.MaxFetches < 0 {
		return eris.Errorf("retry policy has %d attempts and %d fetches, want 0 or more", p.MaxAttempts, p.MaxFetches)
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

// delay gives the wait before retry number n, counted from 1.
func (p RetryPolicy) delay(n int) time.Duration {
	if n <= 1 {
		return 0
	}
	d := p.BaseDelay
	for ; n > 2 && d < p.MaxDelay; n-- {
		d *= 2
	}
	return min(d, p.MaxDelay)
}

// terminal holds the reasons for which another attempt gives the same answer.
var terminal = map[classifier.Reason]bool{
	classifier.ReasonBadRequest:      true,
	classifier.ReasonTooLarge:        true,
	classifier.ReasonUnknownService:  true,
	classifier.ReasonUnknownCustomer: true,
	classifier.ReasonCanceled:        true,
	classifier.ReasonTakenOver:       true,
}

// immediate holds the reasons for which another host may answer at once.
var immediate = map[classifier.Reason]bool{
	classifier.ReasonHostUnreachable: true,
	classifier.ReasonStopping:        true,
	classifier.ReasonNotReady:        true,
	classifier.ReasonEndpointFailed:  true,
	classifier.ReasonEndpointRefused: true,
	classifier.ReasonInternal:        true,
	reasonBrokenStream:               true,
}

// reasonBrokenStream is for streams that ended or stalled before completion,
// or whose offsets show a gap.
const reasonBrokenStream classifier.Reason = "broken-stream"

// retryable tells whether another attempt may succeed where one failed so. A
// request that a host gave up as too late for its targets comes with a
// retry-after; one whose own deadline passed doesn't.
func retryable(e *classifier.Error) bool {
	if e.Verdict == classifier.VerdictRan || terminal[e.Reason] {
		return false
	}
	return e.RetryAfter > 0 || immediate[e.Reason]
}

// milli is the unit in which a budget counts, in thousandths of a retry.
const milli = 1000

// budget bounds the retries of all requests of a client.
type budget struct {
	level     atomic.Int64
	ratio     int64
	capacity  int64
	unbounded bool
}

func newBudget(p RetryPolicy) *budget {
	b := &budget{ratio: int64(p.Ratio * milli), capacity: int64(p.Capacity * milli), unbounded: p.Capacity == 0}
	b.level.Store(b.capacity)
	return b
}

// earn counts a request.
func (b *budget) earn() {
	for {
		level := b.level.Load()
		if b.level.CompareAndSwap(level, min(level+b.ratio, b.capacity)) {
			return
		}
	}
}

// spend takes a retry, if the budget has one.
func (b *budget) spend() bool {
	for !b.unbounded {
		level := b.level.Load()
		if level < milli {
			return false
		}
		if b.level.CompareAndSwap(level, level-milli) {
			break
		}
	}
	return true
}
