package limiter

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/compiler"
)

// bucket holds a host's state for one customer: the rate limits and the usage
// since the last report. Fields that change are atomic.
type bucket struct {
	customer *compiler.Customer
	// requestTAT and tokenTAT are the theoretical arrival times of the generic
	// cell rate algorithm (GCRA), in nanoseconds since the Unix epoch: the times
	// at which the rate has made up for all admitted requests.
	requestTAT atomic.Int64
	tokenTAT   atomic.Int64
	// fraction and burst are the values of the latest share, as float64 bits.
	// answeredAt is when it arrived, in nanoseconds since the Unix epoch; 0 means
	// that there is none yet.
	fraction   atomic.Uint64
	burst      atomic.Uint64
	answeredAt atomic.Int64
	// unansweredSince is the time of the first unanswered report, in nanoseconds
	// since the Unix epoch; 0 means that all reports were answered.
	unansweredSince atomic.Int64

	admittedRequests atomic.Uint64
	wantedRequests   atomic.Uint64
	admittedTokens   atomic.Uint64
	wantedTokens     atomic.Uint64
	// skippedIntervals counts the intervals since the last report in which low
	// usage was not reported.
	skippedIntervals atomic.Int32
}

// charge charges cost to a rate limit. If the limit is exceeded, it charges
// nothing and returns false and how long to wait before a retry.
func charge(tat *atomic.Int64, cost, rate, burst float64, now int64) (bool, time.Duration) {
	interval := float64(time.Second) / rate
	// A cost above the burst conforms once tat has passed. Otherwise it would
	// never be admitted.
	allowance := int64(max(0, burst-cost) * interval)
	for {
		old := tat.Load()
		if old-now > allowance {
			return false, time.Duration(old - now - allowance)
		}
		if tat.CompareAndSwap(old, max(old, now)+int64(cost*interval)) {
			return true, 0
		}
	}
}

// refund undoes a charge.
func refund(tat *atomic.Int64, cost, rate float64) {
	tat.Add(-int64(cost * float64(time.Second) / rate))
}

// admit charges cost to the customer's request and token limits, or to neither
// if it exceeds one of them.
func (b *bucket) admit(cost Cost, fraction, burst float64, now int64) (bool, time.Duration) {
	c := b.customer
	if c.RequestsPerSecond > 0 {
		if ok, wait := charge(&b.requestTAT, cost.Requests, c.RequestsPerSecond*fraction, burst, now); !ok {
			return false, wait
		}
	}
	if c.TokensPerSecond > 0 {
		rate := c.TokensPerSecond * fraction
		ok, wait := charge(&b.tokenTAT, cost.Tokens, rate, rate*defaultBurst.Seconds(), now)
		if !ok && c.RequestsPerSecond > 0 {
			refund(&b.requestTAT, cost.Requests, c.RequestsPerSecond*fraction)
		}
		if !ok {
			return false, wait
		}
	}
	return true, 0
}

// recordUsage counts a request for the next report.
func (b *bucket) recordUsage(cost Cost, admitted bool) {
	b.wantedRequests.Add(uint64(cost.Requests))
	b.wantedTokens.Add(uint64(cost.Tokens))
	if admitted {
		b.admittedRequests.Add(uint64(cost.Requests))
		b.admittedTokens.Add(uint64(cost.Tokens))
	}
}

// takeUsage returns the usage since the last report and resets the counters.
func (b *bucket) takeUsage() Usage {
	return Usage{
		Customer: b.customer.Name,
		Admitted: Cost{Requests: float64(b.admittedRequests.Swap(0)), Tokens: float64(b.admittedTokens.Swap(0))},
		Wanted:   Cost{Requests: float64(b.wantedRequests.Swap(0)), Tokens: float64(b.wantedTokens.Swap(0))},
	}
}

// hasLimits reports whether the customer has any rate limit.
func (b *bucket) hasLimits() bool {
	return b.customer.RequestsPerSecond > 0 || b.customer.TokensPerSecond > 0
}

// burstOf returns a customer's burst in requests.
func burstOf(c *compiler.Customer) float64 {
	if c.Burst > 0 {
		return c.Burst
	}
	return max(1, c.RequestsPerSecond*defaultBurst.Seconds())
}

func storeFloat(field *atomic.Uint64, value float64) {
	field.Store(math.Float64bits(value))
}

func loadFloat(field *atomic.Uint64) float64 {
	return math.Float64frombits(field.Load())
}
