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
	stormDuration = 3 * time.Minute
	stormFrom     = 40 * time.Second
	stormTo       = 70 * time.Second
	stormLoad     = 0.8 // of the group's capacity
	stormServers  = 10
	stormWork     = 50 * time.Millisecond
	// stormMargin is the time that an attempt needs, with some to spare.
	stormMargin   = 2 * stormWork
	stormTimeout  = time.Second
	stormAttempts = 3
	// stormPart is the share of attempts that fail in a partial fault.
	stormPart      = 0.2
	callerAttempts = 4
	// callerPause is the wait of a caller that is told no retry-after.
	callerPause = 100 * time.Millisecond
	// recovered is the share of requests that succeed within a second, of
	// that before the fault, at which service counts as back.
	recovered = 0.95
)

// stormPolicy is what the retry storm is met with.
type stormPolicy struct {
	Name string
	// Budget bounds retries; Refund gives tokens of good retries back.
	Budget, Refund bool
	// RetryAfter makes callers wait as long as they are told.
	RetryAfter bool
	// Deadline lets endpoints drop work that can't end in time.
	Deadline bool
	// Bounded refuses what would wait longer than its time.
	Bounded bool
}

func stormPolicies() []stormPolicy {
	return []stormPolicy{
		{Name: "nothing"},
		{Name: "budget", Budget: true, Refund: true},
		{Name: "budget without refund", Budget: true},
		{Name: "retry-after", RetryAfter: true},
		{Name: "deadline passed on", Deadline: true},
		{Name: "early refusal", Bounded: true},
		{Name: "budget, retry-after", Budget: true, Refund: true, RetryAfter: true},
		{Name: "budget, retry-after, deadline", Budget: true, Refund: true, RetryAfter: true, Deadline: true},
		{Name: "all", Budget: true, Refund: true, RetryAfter: true, Deadline: true, Bounded: true},
	}
}

// StormFigures are the measurements of one policy in the retry storm.
type StormFigures struct {
	// Fault is "slow" when failing endpoints take as long as ever, and "fast"
	// when they fail at once, and "partial" when a part of them does.
	Fault  string `json:"fault"`
	Policy string `json:"policy"`
	// Amplification is attempts at the endpoints for each new request during
	// the fault.
	Amplification float64 `json:"amplification"`
	// Peak is the most attempts in a second, in multiples of the capacity.
	Peak float64 `json:"peak"`
	// Recovery is the time from the end of the fault until service is back,
	// in seconds; -1: not by the end of the run.
	Recovery float64 `json:"recovery"`
	// Succeeded is the share of all requests that ended well, and FirstCalls
	// the share whose caller did not have to repeat the call.
	Succeeded  float64 `json:"succeeded"`
	FirstCalls float64 `json:"first-calls"`
}

// stormBench is one run: callers, a router with retries, and endpoints that
// fail for a while.
type stormBench struct {
	stormPolicy
	fault     string
	clock     *clock
	random    *rand.Rand
	budget    *retrier.Budget
	queue     []*stormCall
	busy      int
	started   []int // new requests, by second
	attempts  []int
	succeeded []int
	good      int
	goodFirst int
	requests  int
}

// stormCall is one attempt at the endpoints.
type stormCall struct {
	deadline time.Duration
	over     bool
	answer   func(ok bool)
}

// RunStorm measures the retry storm under each policy.
func RunStorm(seed uint64) []StormFigures {
	var all []StormFigures
	for _, fault := range []string{"slow", "fast", "partial"} {
		all = append(all, runStorm(fault, seed)...)
	}
	return all
}

func runStorm(fault string, seed uint64) []StormFigures {
	var all []StormFigures
	for _, p := range stormPolicies() {
		b := &stormBench{
			stormPolicy: p, fault: fault, clock: &clock{}, random: rand.New(rand.NewPCG(seed, 4)),
			budget:  retrier.NewBudget(compiler.RetryBudget{}),
			started: make([]int, stormSeconds), attempts: make([]int, stormSeconds), succeeded: make([]int, stormSeconds),
		}
		b.schedule()
		b.clock.run(stormDuration)
		all = append(all, b.figures())
	}
	return all
}

// stormSeconds is the length of a run, and a second for its end.
const stormSeconds = int(stormDuration/time.Second) + 1

func (b *stormBench) second() int {
	return int(b.clock.elapsed / time.Second)
}

func (b *stormBench) schedule() {
	rate := stormLoad * stormServers / stormWork.Seconds()
	wait := time.Duration(b.random.ExpFloat64() / rate * float64(time.Second))
	b.clock.after(wait, func() {
		b.requests++
		b.started[b.second()]++
		b.call(1)
		b.schedule()
	})
}

// call is a caller's n-th try.
func (b *stormBench) call(n int) {
	b.budget.RecordFirstAttempt()
	deadline := b.clock.elapsed + stormTimeout
	b.attempt(1, deadline, func(ok bool) {
		if ok {
			b.good++
			if n == 1 {
				b.goodFirst++
			}
			b.succeeded[b.second()]++
			return
		}
		if n < callerAttempts {
			b.clock.after(b.pause(), func() { b.call(n + 1) })
		}
	})
}

// pause gives a caller's wait: what it is told, from the queue's state and
// spread at random, or always the same.
func (b *stormBench) pause() time.Duration {
	if !b.RetryAfter {
		return callerPause
	}
	drain := time.Duration(len(b.queue)) * stormWork / stormServers
	return time.Duration((0.5 + b.random.Float64()) * float64(max(2*time.Second, drain)))
}

// attempt is the router's n-th try of one call.
func (b *stormBench) attempt(n int, deadline time.Duration, done func(bool)) {
	b.send(deadline, func(ok bool) {
		if ok {
			if n > 1 && b.Refund {
				b.budget.RefundRetry()
			}
			done(true)
			return
		}
		left := deadline - b.clock.elapsed
		wait, again := b.again(n, left)
		if !again {
			done(false)
			return
		}
		b.clock.after(wait, func() { b.attempt(n+1, deadline, done) })
	})
}

func (b *stormBench) again(n int, left time.Duration) (time.Duration, bool) {
	if !b.Budget {
		return 0, n < stormAttempts && left > 0
	}
	d := b.budget.Decide(retrier.Failure{
		Attempt: n, Verdict: classifier.VerdictMayHaveRun, Repeatable: true, TimeLeft: left, Expected: stormWork,
	}, b.random.Float64())
	return d.After, d.Retry
}

// send queues an attempt at the endpoints and bounds it by its deadline.
func (b *stormBench) send(deadline time.Duration, answer func(bool)) {
	wait := time.Duration(len(b.queue)) * stormWork / stormServers
	if b.Bounded && b.clock.elapsed+wait+stormMargin >= deadline {
		b.clock.after(latency, func() { answer(false) })
		return
	}
	b.attempts[b.second()]++
	c := &stormCall{deadline: deadline, answer: answer}
	b.queue = append(b.queue, c)
	b.clock.after(deadline-b.clock.elapsed, func() { c.end(false) })
	b.serve()
}

func (c *stormCall) end(ok bool) {
	if !c.over {
		c.over = true
		c.answer(ok)
	}
}

func (b *stormBench) serve() {
	for b.busy < stormServers && len(b.queue) > 0 {
		c := b.queue[0]
		b.queue = b.queue[1:]
		if b.Deadline && b.clock.elapsed+stormWork >= c.deadline {
			continue
		}
		b.busy++
		failing := b.failing()
		work := stormWork
		if failing && b.fault != "slow" {
			work = latency
		}
		b.clock.after(work, func() {
			b.busy--
			c.end(!failing)
			b.serve()
		})
	}
}

// failing tells whether an attempt that starts now fails.
func (b *stormBench) failing() bool {
	if b.clock.elapsed < stormFrom || b.clock.elapsed >= stormTo {
		return false
	}
	return b.fault != "partial" || b.random.Float64() < stormPart
}

func (b *stormBench) figures() StormFigures {
	from, to := int(stormFrom/time.Second), int(stormTo/time.Second)
	attempts, started, peak := 0, 0, 0
	for s := from; s < to; s++ {
		attempts += b.attempts[s]
		started += b.started[s]
	}
	for _, n := range b.attempts {
		peak = max(peak, n)
	}
	return StormFigures{
		Fault:         b.fault,
		Policy:        b.Name,
		Amplification: float64(attempts) / float64(started),
		Peak:          float64(peak) / (stormServers / stormWork.Seconds()),
		Recovery:      b.recovery(from, to),
		Succeeded:     float64(b.good) / float64(b.requests),
		FirstCalls:    float64(b.goodFirst) / float64(b.requests),
	}
}

// recovery gives the seconds after the fault in which fewer requests succeed
// than before.
func (b *stormBench) recovery(from, to int) float64 {
	before := 0
	for s := range from {
		before += b.succeeded[s]
	}
	level := recovered * float64(before) / float64(from)
	const steady = 5 // seconds, to leave the noise out
	for s := to; s+steady < stormSeconds-1; s++ {
		sum := 0
		for i := range steady {
			sum += b.succeeded[s+i]
		}
		if float64(sum) >= level*steady {
			return float64(s - to)
		}
	}
	return -1
}

// StormTable gives the figures of the retry storm as a Markdown table.
func StormTable(all []StormFigures) string {
	rows := make([][]string, 0, len(all))
	for _, f := range all {
		back := fmt.Sprintf("%.0f s", f.Recovery)
		if f.Recovery < 0 {
			back = "never"
		}
		rows = append(rows, []string{
			f.Fault, f.Policy, fmt.Sprintf("%.2f", f.Amplification), fmt.Sprintf("%.1f", f.Peak), back, fmt.Sprintf("%.1f%%", 100*f.Succeeded), fmt.Sprintf("%.1f%%", 100*f.FirstCalls),
		})
	}
	return markdown([]string{"fault", "with", "amplification", "peak, of capacity", "back after", "requests that succeed", "at the first call"}, rows)
}
