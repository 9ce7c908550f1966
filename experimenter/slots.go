package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// A few uneven endpoints of a plain service, shared by many hosts.
const (
	slotDuration  = 3 * time.Minute
	slotWarmUp    = 20 * time.Second
	slotEndpoints = 4
	slotCount     = 6
	// slotQueueLength is the number of calls that wait at an endpoint, which refuses
	// further ones.
	slotQueueLength = 24
	slotWork        = 60 * time.Millisecond
	slotWorkSpread  = 0.4
	slotObjective   = 300 * time.Millisecond
	slotDeadline    = 4 * time.Second
	// slotLatency is the one-way latency of all links.
	slotLatency = time.Millisecond
	// slotBaseLoad is the load outside of bursts, as a share of what the endpoints can do.
	slotBaseLoad = 0.42
	// Bursts come every slotBurstPeriod.
	slotBurstPeriod = 15 * time.Second
	slotBurstLength = 4 * time.Second
	// Neighbors slow a share of the endpoints for slowedPeriod.
	slowedShare  = 0.15
	slowedFactor = 2.5
	slowedPeriod = 600 * time.Millisecond
	// slotAttempts is the number of endpoints that a refused call is sent to.
	slotAttempts = 3
)

// slotSpeeds are the speeds of the endpoints.
var slotSpeeds = [slotEndpoints]float64{0.6, 1, 1, 1.6}

// SlotPolicies returns the names of the policies that RunSlots compares. The first one is
// used where slots are shared, the second one elsewhere; the others are baselines.
func SlotPolicies() []string {
	return []string{"shared", "own-view", "least-outstanding", "power-of-two", "oracle"}
}

// SlotMetrics holds the measurements of one policy.
type SlotMetrics struct {
	Policy string `json:"policy"`
	Hosts  int    `json:"hosts"`
	// Burst is the load in bursts, as a multiple of the load in calm.
	Burst    float64 `json:"burst"`
	Requests int     `json:"requests"`
	// Shed is the number of calls that endpoints refused, Failed that of requests that
	// were never served, and Late that of those served after the objective, each as a
	// share of the requests.
	Shed   float64 `json:"shed"`
	Failed float64 `json:"failed"`
	Late   float64 `json:"late"`
	// Median and P99 are of the time until the response, and CalmMedian is the median
	// outside of bursts.
	Median     time.Duration `json:"median"`
	P99        time.Duration `json:"p99"`
	CalmMedian time.Duration `json:"calm-median"`
	// Connections is the number that hosts had to open.
	Connections int `json:"connections"`
}

// slotChooser decides where a host's request is sent. It calls send once, now or later.
type slotChooser interface {
	choose(r *slotRun, send func(endpoint int))
	// started and ended report on the calls to endpoints.
	started(r *slotRun, endpoint int)
	ended(r *slotRun, endpoint int, o slotEnd)
}

// slotEnd is the end of a call to an endpoint.
type slotEnd struct {
	refused bool
	took    time.Duration
	load    placer.Load
}

// slotRun is a request.
type slotRun struct {
	host    int
	arrived time.Duration
	inBurst bool
	exclude []identifier.Endpoint
}

// slotEndpoint simulates an endpoint.
type slotEndpoint struct {
	*registrar.Endpoint
	speed    float64
	slowdown float64
	running  int
	queue    []func()
}

// slotCase is a load of the benchmark.
type slotCase struct {
	hosts int
	burst float64
}

func slotCases() []slotCase {
	return []slotCase{{hosts: 70, burst: 2}, {hosts: 300, burst: 2}, {hosts: 70, burst: 3}}
}

// slotBenchmark simulates one run.
type slotBenchmark struct {
	slotCase
	// arrivals and random are independent, so that all policies get the same requests.
	arrivals  *rand.Rand
	random    *rand.Rand
	clock     *clock
	endpoints []*slotEndpoint
	registry  []*registrar.Endpoint
	chooser   slotChooser
	open      map[[2]int]int // connections in use, by host and endpoint
	opened    map[[2]int]int
	requests  int
	shed      int
	failed    int
	late      int
	times     []time.Duration
	calmTimes []time.Duration
}

// RunSlots compares the policies for plain services with few slots.
func RunSlots(seed uint64) []SlotMetrics {
	var all []SlotMetrics
	for _, c := range slotCases() {
		for _, policy := range SlotPolicies() {
			all = append(all, newSlotBenchmark(policy, c, seed).run(policy))
		}
	}
	return all
}

func newSlotBenchmark(policy string, c slotCase, seed uint64) *slotBenchmark {
	b := &slotBenchmark{
		slotCase: c, clock: &clock{}, arrivals: rand.New(rand.NewPCG(seed, 10)), random: rand.New(rand.NewPCG(seed, 11)),
		open: map[[2]int]int{}, opened: map[[2]int]int{},
	}
	for n, speed := range slotSpeeds {
		e := &registrar.Endpoint{
			Name: identifier.Endpoint(fmt.Sprintf("p%d", n)), Service: "desk", DataCenter: slotDataCenter(n), Slots: slotCount, StartID: 1,
		}
		b.registry = append(b.registry, e)
		b.endpoints = append(b.endpoints, &slotEndpoint{Endpoint: e, speed: speed, slowdown: 1})
	}
	b.chooser = newSlotChooser(policy, b, seed)
	return b
}

// slotDataCenter returns the data center of the host or endpoint n.
func slotDataCenter(n int) identifier.DataCenter {
	return identifier.DataCenter(fmt.Sprintf("dc-%d", n%3))
}

func (b *slotBenchmark) run(policy string) SlotMetrics {
	b.clock.every(slowedPeriod, b.slowDown)
	b.scheduleRequest()
	b.clock.run(slotDuration)
	return SlotMetrics{
		Policy: policy, Hosts: b.hosts, Burst: b.burst, Requests: b.requests,
		Shed: b.share(b.shed), Failed: b.share(b.failed), Late: b.share(b.late),
		Median: quantile(b.times, 0.5), P99: quantile(b.times, 0.99), CalmMedian: quantile(b.calmTimes, 0.5),
		Connections: b.connections(),
	}
}

func (b *slotBenchmark) share(n int) float64 {
	return float64(n) / float64(max(1, b.requests))
}

func (b *slotBenchmark) connections() (n int) {
	for _, count := range b.opened {
		n += count
	}
	return n
}

func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

// slowDown draws which endpoints are slowed by their neighbors.
func (b *slotBenchmark) slowDown() {
	for _, e := range b.endpoints {
		e.slowdown = 1
		if b.random.Float64() < slowedShare {
			e.slowdown = slowedFactor
		}
	}
}

// rate returns the requests a second.
func (b *slotBenchmark) rate() float64 {
	speeds := 0.0
	for _, s := range slotSpeeds {
		speeds += s
	}
	capacity := slotCount * speeds / slotWork.Seconds() / (1 + slowedShare*(slowedFactor-1))
	if b.inBurst() {
		return b.burst * slotBaseLoad * capacity
	}
	return slotBaseLoad * capacity
}

func (b *slotBenchmark) inBurst() bool {
	return b.clock.elapsed%slotBurstPeriod >= slotBurstPeriod-slotBurstLength
}

func (b *slotBenchmark) scheduleRequest() {
	wait := time.Duration(b.arrivals.ExpFloat64() / b.rate() * float64(time.Second))
	b.clock.after(wait, func() {
		r := &slotRun{host: b.arrivals.IntN(b.hosts), arrived: b.clock.elapsed, inBurst: b.inBurst()}
		if b.measured(r) {
			b.requests++
		}
		b.attempt(r)
		b.scheduleRequest()
	})
}

// measured reports whether a request counts.
func (b *slotBenchmark) measured(r *slotRun) bool {
	return r.arrived >= slotWarmUp && r.arrived < slotDuration-slotDeadline
}

// attempt sends a request to one of the endpoints.
func (b *slotBenchmark) attempt(r *slotRun) {
	b.chooser.choose(r, func(at int) {
		if at < 0 {
			b.end(r, false)
			return
		}
		sent := b.clock.elapsed
		b.connect(r.host, at, 1)
		b.chooser.started(r, at)
		b.clock.after(slotLatency, func() {
			b.endpoints[at].serve(b, func(refused bool) {
				l := b.endpoints[at].load()
				b.clock.after(slotLatency, func() {
					b.connect(r.host, at, -1)
					b.chooser.ended(r, at, slotEnd{refused: refused, took: b.clock.elapsed - sent, load: l})
					b.answered(r, at, refused)
				})
			})
		})
	})
}

// answered handles an endpoint's response.
func (b *slotBenchmark) answered(r *slotRun, at int, refused bool) {
	if !refused {
		b.end(r, true)
		return
	}
	if b.measured(r) {
		b.shed++
	}
	r.exclude = append(r.exclude, b.registry[at].Name)
	if len(r.exclude) == slotAttempts {
		b.end(r, false)
		return
	}
	b.attempt(r)
}

func (b *slotBenchmark) connect(host, at, change int) {
	key := [2]int{host, at}
	b.open[key] += change
	b.opened[key] = max(b.opened[key], b.open[key])
}

func (b *slotBenchmark) end(r *slotRun, served bool) {
	if !b.measured(r) {
		return
	}
	if !served {
		b.failed++
		return
	}
	took := b.clock.elapsed - r.arrived
	b.times = append(b.times, took)
	if !r.inBurst {
		b.calmTimes = append(b.calmTimes, took)
	}
	if took > slotObjective {
		b.late++
	}
}

// serve runs a call, lets it wait or refuses it. It calls answer with the response.
func (e *slotEndpoint) serve(b *slotBenchmark, answer func(refused bool)) {
	if e.running >= slotCount && len(e.queue) >= slotQueueLength {
		answer(true)
		return
	}
	call := func() {
		e.running++
		work := float64(slotWork) * math.Exp(slotWorkSpread*b.random.NormFloat64()-slotWorkSpread*slotWorkSpread/2) * e.slowdown / e.speed
		b.clock.after(time.Duration(work), func() {
			answer(false)
			e.running--
			if len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				next()
			}
		})
	}
	if e.running >= slotCount {
		e.queue = append(e.queue, call)
		return
	}
	call()
}

// load returns what the endpoint reports.
func (e *slotEndpoint) load() placer.Load {
	return placer.Load{Running: e.running, Waiting: len(e.queue), Slots: slotCount, Slowdown: e.slowdown}
}

// SlotTable formats the metrics as a Markdown table.
func SlotTable(all []SlotMetrics) string {
	ms := func(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }
	rows := make([][]string, 0, len(all))
	for _, m := range all {
		rows = append(rows, []string{
			fmt.Sprint(m.Hosts), fmt.Sprint(m.Burst), m.Policy, fmt.Sprint(m.Requests), fmt.Sprintf("%.2f%%", 100*m.Shed), fmt.Sprintf("%.2f%%", 100*m.Failed),
			fmt.Sprintf("%.2f%%", 100*m.Late), ms(m.CalmMedian), ms(m.Median), ms(m.P99), fmt.Sprint(m.Connections),
		})
	}
	return markdownTable([]string{
		"hosts", "burst", "policy", "requests", "shed", "not served", "late", "median in calm ms", "median ms", "p99 ms", "connections",
	}, rows)
}
