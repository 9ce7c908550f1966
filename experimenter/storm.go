package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/retrier"
)

const (
	stormDuration    = 3 * time.Minute
	stormFaultStart  = 40 * time.Second
	stormFaultEnd    = 70 * time.Second
	stormLoad        = 0.8 // as a multiple of the endpoints' capacity
	stormServers     = 10
	stormServiceTime = 50 * time.Millisecond
	// stormMinTimeLeft is the time that an attempt needs, with a margin.
	stormMinTimeLeft = 2 * stormServiceTime
	stormTimeout     = time.Second
	stormAttempts    = 3
	// stormFailureShare is the share of attempts that fail in a partial fault.
	stormFailureShare = 0.2
	callerAttempts    = 4
	// callerRetryDelay is the wait of a caller that gets no retry-after.
	callerRetryDelay = 100 * time.Millisecond
	// recoveryThreshold is the throughput of successful requests at which the
	// service counts as recovered, as a share of that before the fault.
	recoveryThreshold = 0.95
)

// stormPolicy selects the protections against a retry storm.
type stormPolicy struct {
	Name string
	// Budget limits retries with a token budget. RefundRetries returns the token
	// of a retry that succeeds.
	Budget, RefundRetries bool
	// RetryAfter makes callers wait for the retry-after time that they get.
	RetryAfter bool
	// DropLateWork makes endpoints drop work that can't finish before its
	// deadline.
	DropLateWork bool
	// RefuseEarly rejects an attempt that would wait in the queue until it is too
	// late for its deadline.
	RefuseEarly bool
}

func stormPolicies() []stormPolicy {
	return []stormPolicy{
		{Name: "nothing"},
		{Name: "budget", Budget: true, RefundRetries: true},
		{Name: "budget without refund", Budget: true},
		{Name: "retry-after", RetryAfter: true},
		{Name: "deadline passed on", DropLateWork: true},
		{Name: "early refusal", RefuseEarly: true},
		{Name: "budget, retry-after", Budget: true, RefundRetries: true, RetryAfter: true},
		{Name: "budget, retry-after, deadline", Budget: true, RefundRetries: true, RetryAfter: true, DropLateWork: true},
		{Name: "all", Budget: true, RefundRetries: true, RetryAfter: true, DropLateWork: true, RefuseEarly: true},
	}
}

// StormMetrics holds the measurements of one policy in the retry storm.
type StormMetrics struct {
	// Fault is "slow" if failing attempts take the usual service time, "fast" if
	// they fail immediately, and "partial" if only a fifth of them fail,
	// immediately.
	Fault  string `json:"fault"`
	Policy string `json:"policy"`
	// Amplification is the number of attempts at the endpoints per new request
	// during the fault.
	Amplification float64 `json:"amplification"`
	// Peak is the largest number of attempts in a second, as a multiple of the
	// capacity.
	Peak float64 `json:"peak"`
	// Recovery is the time from the end of the fault until the service has
	// recovered, in seconds, or -1 if it has not by the end of the run.
	Recovery float64 `json:"recovery"`
	// Succeeded is the share of all requests that succeeded, FirstCalls the share
	// that succeeded without the caller repeating the call.
	Succeeded  float64 `json:"succeeded"`
	FirstCalls float64 `json:"first-calls"`
}

// stormBenchmark simulates one run: callers, a router with retries, and endpoints
// that fail temporarily.
type stormBenchmark struct {
	stormPolicy
	fault              string
	clock              *clock
	random             *rand.Rand
	budget             *retrier.Budget
	queue              []*stormAttempt
	busyServers        int
	startedPerSecond   []int // new requests
	attemptsPerSecond  []int
	succeededPerSecond []int
	successes          int
	firstCallSuccesses int
	requests           int
}

// stormAttempt is one attempt at the endpoints.
type stormAttempt struct {
	deadline time.Duration
	ended    bool
	respond  func(ok bool)
}

// RunStorm simulates a retry storm under each policy and fault.
func RunStorm(seed uint64) []StormMetrics {
	var all []StormMetrics
	for _, fault := range []string{"slow", "fast", "partial"} {
		all = append(all, runStorm(fault, seed)...)
	}
	return all
}

func runStorm(fault string, seed uint64) []StormMetrics {
	var all []StormMetrics
	for _, p := range stormPolicies() {
		b := &stormBenchmark{
			stormPolicy: p, fault: fault, clock: &clock{}, random: rand.New(rand.NewPCG(seed, 4)),
			budget:           retrier.NewBudget(compiler.RetryBudget{}),
			startedPerSecond: make([]int, stormSeconds), attemptsPerSecond: make([]int, stormSeconds), succeededPerSecond: make([]int, stormSeconds),
		}
		b.scheduleRequest()
		b.clock.run(stormDuration)
		all = append(all, b.metrics())
	}
	return all
}

// stormSeconds is the number of one-second counters: the length of a run, plus
// one for events at its end.
const stormSeconds = int(stormDuration/time.Second) + 1

func (b *stormBenchmark) second() int {
	return int(b.clock.elapsed / time.Second)
}

func (b *stormBenchmark) scheduleRequest() {
	rate := stormLoad * stormServers / stormServiceTime.Seconds()
	wait := time.Duration(b.random.ExpFloat64() / rate * float64(time.Second))
	b.clock.after(wait, func() {
		b.requests++
		b.startedPerSecond[b.second()]++
		b.call(1)
		b.scheduleRequest()
	})
}

// call makes a caller's n-th call for a request.
func (b *stormBenchmark) call(n int) {
	b.budget.RecordFirstAttempt()
	deadline := b.clock.elapsed + stormTimeout
	b.attempt(1, deadline, func(ok bool) {
		if ok {
			b.successes++
			if n == 1 {
				b.firstCallSuccesses++
			}
			b.succeededPerSecond[b.second()]++
			return
		}
		if n < callerAttempts {
			b.clock.after(b.callerDelay(), func() { b.call(n + 1) })
		}
	})
}

// callerDelay returns how long a caller waits before it repeats a call. With
// RetryAfter it is derived from the queue length, with jitter; otherwise it is
// constant.
func (b *stormBenchmark) callerDelay() time.Duration {
	if !b.RetryAfter {
		return callerRetryDelay
	}
	drain := time.Duration(len(b.queue)) * stormServiceTime / stormServers
	return time.Duration((0.5 + b.random.Float64()) * float64(max(2*time.Second, drain)))
}

// attempt makes the router's n-th attempt of a call.
func (b *stormBenchmark) attempt(n int, deadline time.Duration, done func(bool)) {
	b.send(deadline, func(ok bool) {
		if ok {
			if n > 1 && b.RefundRetries {
				b.budget.RefundRetry()
			}
			done(true)
			return
		}
		timeLeft := deadline - b.clock.elapsed
		wait, retry := b.shouldRetry(n, timeLeft)
		if !retry {
			done(false)
			return
		}
		b.clock.after(wait, func() { b.attempt(n+1, deadline, done) })
	})
}

func (b *stormBenchmark) shouldRetry(n int, timeLeft time.Duration) (time.Duration, bool) {
	if !b.Budget {
		return 0, n < stormAttempts && timeLeft > 0
	}
	d := b.budget.Decide(retrier.Failure{
		Attempt: n, Verdict: classifier.VerdictMayHaveRun, Repeatable: true, TimeLeft: timeLeft, Expected: stormServiceTime,
	}, b.random.Float64())
	return d.After, d.Retry
}

// send queues an attempt at the endpoints and fails it at its deadline.
func (b *stormBenchmark) send(deadline time.Duration, respond func(bool)) {
	wait := time.Duration(len(b.queue)) * stormServiceTime / stormServers
	if b.RefuseEarly && b.clock.elapsed+wait+stormMinTimeLeft >= deadline {
		b.clock.after(latency, func() { respond(false) })
		return
	}
	b.attemptsPerSecond[b.second()]++
	c := &stormAttempt{deadline: deadline, respond: respond}
	b.queue = append(b.queue, c)
	b.clock.after(deadline-b.clock.elapsed, func() { c.end(false) })
	b.serve()
}

func (c *stormAttempt) end(ok bool) {
	if !c.ended {
		c.ended = true
		c.respond(ok)
	}
}

func (b *stormBenchmark) serve() {
	for b.busyServers < stormServers && len(b.queue) > 0 {
		c := b.queue[0]
		b.queue = b.queue[1:]
		if b.DropLateWork && b.clock.elapsed+stormServiceTime >= c.deadline {
			continue
		}
		b.busyServers++
		failing := b.failing()
		serviceTime := stormServiceTime
		if failing && b.fault != "slow" {
			serviceTime = latency
		}
		b.clock.after(serviceTime, func() {
			b.busyServers--
			c.end(!failing)
			b.serve()
		})
	}
}

// failing reports whether an attempt that starts now will fail.
func (b *stormBenchmark) failing() bool {
	if b.clock.elapsed < stormFaultStart || b.clock.elapsed >= stormFaultEnd {
		return false
	}
	return b.fault != "partial" || b.random.Float64() < stormFailureShare
}

func (b *stormBenchmark) metrics() StormMetrics {
	from, to := int(stormFaultStart/time.Second), int(stormFaultEnd/time.Second)
	attempts, started, peak := 0, 0, 0
	for s := from; s < to; s++ {
		attempts += b.attemptsPerSecond[s]
		started += b.startedPerSecond[s]
	}
	for _, n := range b.attemptsPerSecond {
		peak = max(peak, n)
	}
	return StormMetrics{
		Fault:         b.fault,
		Policy:        b.Name,
		Amplification: float64(attempts) / float64(started),
		Peak:          float64(peak) / (stormServers / stormServiceTime.Seconds()),
		Recovery:      b.recovery(from, to),
		Succeeded:     float64(b.successes) / float64(b.requests),
		FirstCalls:    float64(b.firstCallSuccesses) / float64(b.requests),
	}
}

// recovery returns the number of seconds from the end of the fault until the
// throughput of successful requests reaches recoveryThreshold, or -1 if it does
// not by the end of the run.
func (b *stormBenchmark) recovery(from, to int) float64 {
	before := 0
	for s := range from {
		before += b.succeededPerSecond[s]
	}
	threshold := recoveryThreshold * float64(before) / float64(from)
	const windowSeconds = 5 // averaged to suppress noise
	for s := to; s+windowSeconds < stormSeconds-1; s++ {
		sum := 0
		for i := range windowSeconds {
			sum += b.succeededPerSecond[s+i]
		}
		if float64(sum) >= threshold*windowSeconds {
			return float64(s - to)
		}
	}
	return -1
}

// StormTable formats the metrics of the retry storm as a Markdown table.
func StormTable(all []StormMetrics) string {
	rows := make([][]string, 0, len(all))
	for _, m := range all {
		recovery := fmt.Sprintf("%.0f s", m.Recovery)
		if m.Recovery < 0 {
			recovery = "never"
		}
		rows = append(rows, []string{
			m.Fault, m.Policy, fmt.Sprintf("%.2f", m.Amplification), fmt.Sprintf("%.1f", m.Peak), recovery, fmt.Sprintf("%.1f%%", 100*m.Succeeded), fmt.Sprintf("%.1f%%", 100*m.FirstCalls),
		})
	}
	return markdownTable([]string{"fault", "with", "amplification", "peak, of capacity", "back after", "requests that succeed", "at the first call"}, rows)
}
