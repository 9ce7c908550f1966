package limiter

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/compiler"
)

// bucket is a host's account of one customer. All its fields are atomic.
type bucket struct {
	customer *compiler.Customer
	// requests and tokens are the times, in nanoseconds since the epoch, at
	// which what was admitted is paid off (the theoretical arrival time of
	// the generic cell rate algorithm).
	requests atomic.Int64
	tokens   atomic.Int64
	// part and burst are the bits of the latest answer's numbers.
	part     atomic.Uint64
	burst    atomic.Uint64
	answered atomic.Int64
	// asked is when the first report without an answer was made; 0: none.
	asked atomic.Int64

	admittedRequests atomic.Uint64
	wantedRequests   atomic.Uint64
	admittedTokens   atomic.Uint64
	wantedTokens     atomic.Uint64
	// skipped counts the intervals since the last report.
	skipped atomic.Int32
}

// charge takes cost from a rate; it gives how long the next may have to wait.
func charge(paid *atomic.Int64, cost, rate, burst float64, now int64) (bool, time.Duration) {
	interval := float64(time.Second) / rate
	// A request that is larger than the burst passes when nothing is owed.
	allowance := int64(max(0, burst-cost) * interval)
	for {
		old := paid.Load()
		if old-now > allowance {
			return false, time.Duration(old - now - allowance)
		}
		if paid.CompareAndSwap(old, max(old, now)+int64(cost*interval)) {
			return true, 0
		}
	}
}

// refund undoes a charge.
func refund(paid *atomic.Int64, cost, rate float64) {
	paid.Add(-int64(cost * float64(time.Second) / rate))
}

func (b *bucket) admit(cost Cost, part, burst float64, now int64) (bool, time.Duration) {
	c := b.customer
	if c.RequestsPerSecond > 0 {
		if ok, wait := charge(&b.requests, cost.Requests, c.RequestsPerSecond*part, burst, now); !ok {
			return false, wait
		}
	}
	if c.TokensPerSecond > 0 {
		rate := c.TokensPerSecond * part
		ok, wait := charge(&b.tokens, cost.Tokens, rate, rate*defaultBurst.Seconds(), now)
		if !ok && c.RequestsPerSecond > 0 {
			refund(&b.requests, cost.Requests, c.RequestsPerSecond*part)
		}
		if !ok {
			return false, wait
		}
	}
	return true, 0
}

// note counts a request for the next report.
func (b *bucket) note(cost Cost, admitted bool) {
	b.wantedRequests.Add(uint64(cost.Requests))
	b.wantedTokens.Add(uint64(cost.Tokens))
	if admitted {
		b.admittedRequests.Add(uint64(cost.Requests))
		b.admittedTokens.Add(uint64(cost.Tokens))
	}
}

// take gives the counts since the last report and starts new ones.
func (b *bucket) take() Usage {
	return Usage{
		Customer: b.customer.Name,
		Admitted: Cost{Requests: float64(b.admittedRequests.Swap(0)), Tokens: float64(b.admittedTokens.Swap(0))},
		Wanted:   Cost{Requests: float64(b.wantedRequests.Swap(0)), Tokens: float64(b.wantedTokens.Swap(0))},
	}
}

// limited tells whether the customer has limits at all.
func (b *bucket) limited() bool {
	return b.customer.RequestsPerSecond > 0 || b.customer.TokensPerSecond > 0
}

// burstOf gives a customer's burst in requests.
func burstOf(c *compiler.Customer) float64 {
	if c.Burst > 0 {
		return c.Burst
	}
	return max(1, c.RequestsPerSecond*defaultBurst.Seconds())
}

func store(field *atomic.Uint64, value float64) {
	field.Store(math.Float64bits(value))
}

func load(field *atomic.Uint64) float64 {
	return math.Float64frombits(field.Load())
}
