package experimenter

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	shortageDuration = 60 * time.Second
	shortageSlots    = 20
	// shortageTick is the interval at which expired requests are rejected.
	shortageTick = 10 * time.Millisecond
	// firstEventFactor is the multiple of its objective after which a caller cancels an
	// attempt that was not started.
	firstEventFactor = 4
	// callerDeadline is the time that a caller has for all its attempts.
	callerDeadline = 14 * time.Second
	// callerPatienceShare is the share of its time left that a caller waits at most
	// before it returns.
	callerPatienceShare = 1.0 / 3
	// fixedWorthShare is the part of a request's worth that doesn't depend on its size.
	fixedWorthShare = 0.3
	// largestShare is the share of a kind's requests that count as its largest.
	largestShare = 0.1
)

// shortageKind is one kind of request.
type shortageKind struct {
	Priority  int
	Share     float64 // of the requests
	Work      time.Duration
	Spread    float64 // of the work's logarithm
	Objective time.Duration
	// Worth is what a request of mean size is worth on time, LateWorth if it is late.
	Worth, LateWorth float64
}

// shortageMixes returns mixes of priorities, sizes and deadlines.
func shortageMixes() map[string][]shortageKind {
	return map[string][]shortageKind{
		"three ranks": {
			{Priority: 0, Share: 0.30, Work: 600 * time.Millisecond, Spread: 0.6, Objective: 800 * time.Millisecond, Worth: 9, LateWorth: 1},
			{Priority: 1, Share: 0.36, Work: 600 * time.Millisecond, Spread: 0.6, Objective: time.Second, Worth: 5, LateWorth: 1},
			{Priority: 2, Share: 0.34, Work: 600 * time.Millisecond, Spread: 0.6, Objective: 2 * time.Second, Worth: 2.5, LateWorth: 0.75},
		},
		"large urgent": {
			{Priority: 0, Share: 0.2, Work: 1500 * time.Millisecond, Spread: 0.6, Objective: 800 * time.Millisecond, Worth: 9, LateWorth: 1},
			{Priority: 2, Share: 0.8, Work: 400 * time.Millisecond, Spread: 0.6, Objective: 2 * time.Second, Worth: 2.5, LateWorth: 0.75},
		},
		"one rank": {
			{Priority: 1, Share: 0.5, Work: 400 * time.Millisecond, Spread: 0.6, Objective: 900 * time.Millisecond, Worth: 5, LateWorth: 1},
			{Priority: 1, Share: 0.5, Work: time.Second, Spread: 0.6, Objective: 900 * time.Millisecond, Worth: 5, LateWorth: 1},
		},
	}
}

// shortageRequest is a request with what became of it.
type shortageRequest struct {
	kind    int
	work    time.Duration
	size    float64 // against the kind's mean
	arrived time.Duration
	refused int
	started bool
	onTime  bool
	// overtaken are the more urgent requests that were waiting and on time when it was
	// started.
	overtaken []int
}

// ShortageMetrics holds the measurements of one policy at one load.
type ShortageMetrics struct {
	Mix    string  `json:"mix"`
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	// Worth is the share of the worth of all requests that callers got.
	Worth float64 `json:"worth"`
	// Served is the share of each kind's requests that were served, Largest that of the
	// largest tenth of all kinds.
	Served  []float64 `json:"served"`
	Largest float64   `json:"largest"`
	// RefusedTwice is the share of requests that were refused more than once.
	RefusedTwice float64 `json:"refused-twice"`
	// Inversions is the share of the started requests that overtook a more urgent one
	// which missed its objective.
	Inversions float64 `json:"inversions"`
}

// RunShortage compares orders of a queue at loads below and above the capacity.
func RunShortage(seed uint64) []ShortageMetrics {
	var all []ShortageMetrics
	for _, mix := range []string{"three ranks", "large urgent", "one rank"} {
		for _, load := range []float64{0.5, 0.9, 1.2, 2, 3} {
			for _, policy := range shortagePolicies() {
				all = append(all, runShortage(mix, policy, load, seed))
			}
		}
	}
	return all
}

func runShortage(mix, policy string, load float64, seed uint64) ShortageMetrics {
	kinds := shortageMixes()[mix]
	requests := drawShortage(kinds, load, rand.New(rand.NewPCG(seed, 7)))
	if policy == oraclePolicy {
		scheduleByOracle(kinds, requests)
	} else {
		b := &shortageBenchmark{kinds: kinds, requests: requests, queue: newShortageQueue(policy), free: shortageSlots, waiting: map[int]bool{}}
		b.run()
	}
	m := shortageMetrics(kinds, requests)
	m.Mix, m.Policy, m.Load = mix, policy, load
	return m
}

// drawShortage draws requests in the order of their arrival.
func drawShortage(kinds []shortageKind, load float64, random *rand.Rand) []shortageRequest {
	mean := 0.0
	for _, k := range kinds {
		mean += k.Share * k.Work.Seconds()
	}
	rate := load * shortageSlots / mean
	var requests []shortageRequest
	for at := 0.0; at < shortageDuration.Seconds(); at += random.ExpFloat64() / rate {
		kind, pick := 0, random.Float64()
		for pick > kinds[kind].Share && kind < len(kinds)-1 {
			pick -= kinds[kind].Share
			kind++
		}
		k := kinds[kind]
		size := math.Exp(k.Spread*random.NormFloat64() - k.Spread*k.Spread/2)
		requests = append(requests, shortageRequest{
			kind: kind, size: size, work: time.Duration(size * float64(k.Work)), arrived: time.Duration(at * float64(time.Second)),
		})
	}
	return requests
}

// shortageBenchmark simulates one run of a queue.
type shortageBenchmark struct {
	clock    clock
	kinds    []shortageKind
	requests []shortageRequest
	queue    shortageQueue
	free     int
	waiting  map[int]bool
}

func (b *shortageBenchmark) run() {
	for i := range b.requests {
		b.clock.after(b.requests[i].arrived, func() { b.arrive(i) })
	}
	b.clock.every(shortageTick, b.serve)
	b.clock.run(shortageDuration + callerDeadline)
}

// arrive adds a caller's attempt to the queue.
func (b *shortageBenchmark) arrive(i int) {
	r := &b.requests[i]
	k := b.kinds[r.kind]
	now := b.clock.now()
	deadline := epoch.Add(r.arrived + callerDeadline)
	e := admitter.Entry{
		Key: admitter.Key(i), Arrived: now, Priority: k.Priority, Work: r.work, Tokens: identifier.Tokens(r.work.Milliseconds()), Fingerprint: uint64(i + 1), Deadline: deadline,
		LatestOnTimeStart: now.Add(k.Objective), LatestStart: minTime(now.Add(firstEventFactor*k.Objective), deadline),
	}
	if b.free > 0 {
		b.start(i)
		return
	}
	if retryAfter, ok := b.queue.Push(e, now); !ok {
		b.refuse(i, retryAfter)
		return
	}
	b.waiting[i] = true
	b.serve()
}

// serve rejects and starts requests.
func (b *shortageBenchmark) serve() {
	now := b.clock.now()
	for _, r := range b.queue.Reject(now) {
		delete(b.waiting, int(r.Entry.Key))
		b.refuse(int(r.Entry.Key), r.RetryAfter)
	}
	for b.free > 0 {
		k, ok := b.queue.Next(now)
		if !ok {
			return
		}
		e, _ := b.queue.Take(k, now)
		b.queue.RecordGrant(&e, now)
		delete(b.waiting, int(k))
		b.start(int(k))
	}
}

func (b *shortageBenchmark) start(i int) {
	r := &b.requests[i]
	r.started = true
	r.onTime = b.clock.elapsed <= r.arrived+b.kinds[r.kind].Objective
	for o := range b.waiting {
		other := &b.requests[o]
		k := b.kinds[other.kind]
		if k.Priority < b.kinds[r.kind].Priority && b.clock.elapsed <= other.arrived+k.Objective {
			r.overtaken = append(r.overtaken, o)
		}
	}
	b.free--
	b.clock.after(r.work, func() {
		b.free++
		b.serve()
	})
}

// refuse sends the caller back, once.
func (b *shortageBenchmark) refuse(i int, retryAfter time.Duration) {
	r := &b.requests[i]
	r.refused++
	if r.refused > 1 {
		return
	}
	left := r.arrived + callerDeadline - b.clock.elapsed
	b.clock.after(min(retryAfter, time.Duration(callerPatienceShare*float64(left))), func() { b.arrive(i) })
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// worth returns what a request of a kind is worth to its caller, if it is on time.
func (r *shortageRequest) worth(k *shortageKind, onTime bool) float64 {
	worth := k.LateWorth
	if onTime {
		worth = k.Worth
	}
	return worth * (fixedWorthShare + (1-fixedWorthShare)*r.size)
}

func shortageMetrics(kinds []shortageKind, requests []shortageRequest) ShortageMetrics {
	m := ShortageMetrics{Served: make([]float64, len(kinds))}
	counts := make([]float64, len(kinds))
	owed, earned, twice, started, inverted := 0.0, 0.0, 0.0, 0.0, 0.0
	for i := range requests {
		r := &requests[i]
		k := &kinds[r.kind]
		counts[r.kind]++
		owed += r.worth(k, true)
		if r.started {
			m.Served[r.kind]++
			started++
			earned += r.worth(k, r.onTime)
		}
		if r.refused > 1 {
			twice++
		}
		if slices.ContainsFunc(r.overtaken, func(o int) bool { return !requests[o].onTime }) {
			inverted++
		}
	}
	for i := range counts {
		m.Served[i] /= max(1, counts[i])
	}
	m.Worth, m.RefusedTwice, m.Inversions = earned/owed, twice/float64(len(requests)), inverted/max(1, started)
	m.Largest = servedOfLargest(requests)
	return m
}

// servedOfLargest returns the share of the largest requests that were served.
func servedOfLargest(requests []shortageRequest) float64 {
	bySize := slices.Clone(requests)
	slices.SortFunc(bySize, func(a, b shortageRequest) int { return cmp.Compare(b.size, a.size) })
	count, served := int(math.Ceil(largestShare*float64(len(bySize)))), 0.0
	for _, r := range bySize[:count] {
		if r.started {
			served++
		}
	}
	return served / float64(count)
}

// ShortageTable formats the metrics as a Markdown table.
func ShortageTable(all []ShortageMetrics) string {
	rows := make([][]string, 0, len(all))
	for _, m := range all {
		served := ""
		for _, s := range m.Served {
			served += fmt.Sprintf("%.2f ", s)
		}
		rows = append(rows, []string{
			m.Mix, fmt.Sprintf("%.1f", m.Load), m.Policy, fmt.Sprintf("%.3f", m.Worth), served, fmt.Sprintf("%.2f", m.Largest),
			fmt.Sprintf("%.1f%%", 100*m.RefusedTwice), fmt.Sprintf("%.1f%%", 100*m.Inversions),
		})
	}
	return markdownTable([]string{"mix", "load", "policy", "worth", "served of each kind", "of the largest tenth", "refused twice", "inversions"}, rows)
}
