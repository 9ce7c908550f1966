package experimenter

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/assigner"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

func newSlotChooser(policy string, b *slotBenchmark, seed uint64) slotChooser {
	switch policy {
	case "shared":
		return &sharedSlots{benchmark: b, assigner: assigner.New(), queue: admitter.New(admitter.Options{Seed: seed}), waiting: map[admitter.Key]*slotWait{}}
	case "oracle":
		return &slotOracle{benchmark: b}
	case "own-view":
		return newOwnViews(b, seed)
	default:
		o := &outstanding{benchmark: b, random: rand.New(rand.NewPCG(seed, 12)), calls: map[[2]int]int{}}
		o.sampled = policy == "power-of-two"
		return o
	}
}

// sharedSlots lets one host grant the slots, as package reserver does.
type sharedSlots struct {
	benchmark *slotBenchmark
	assigner  *assigner.Assigner
	queue     *admitter.Queue
	waiting   map[admitter.Key]*slotWait
	lastKey   admitter.Key
	// watched is set while a check is due.
	watched bool
}

// slotWait is a request that waits for a slot.
type slotWait struct {
	run   *slotRun
	since time.Time
	send  func(endpoint int)
}

// choose implements slotChooser. The request and its reply take a round trip.
func (s *sharedSlots) choose(r *slotRun, send func(int)) {
	c := s.benchmark.clock
	reply := func(at int) { c.after(slotLatency, func() { send(at) }) }
	c.after(slotLatency, func() { s.request(&slotWait{run: r, since: c.now(), send: reply}) })
}

func (s *sharedSlots) request(w *slotWait) {
	now := s.benchmark.clock.now()
	arrived := epoch.Add(w.run.arrived)
	s.lastKey++
	work := s.assigner.Work()
	e := admitter.Entry{
		Key: s.lastKey, Arrived: arrived, Work: work,
		LatestOnTimeStart: arrived.Add(slotObjective - work), LatestStart: arrived.Add(slotDeadline - work),
	}
	if s.queue.Len() == 0 && s.grant(w, &e, 0, now) {
		return
	}
	if _, ok := s.queue.Push(e, now); !ok {
		w.send(-1)
		return
	}
	s.waiting[e.Key] = w
	if !s.watched {
		s.watched = true
		s.benchmark.clock.after(slotCheckPeriod, s.check)
	}
}

// slotCheckPeriod is the interval between checks of the waiting requests.
const slotCheckPeriod = 10 * time.Millisecond

func (s *sharedSlots) check() {
	s.assign(s.benchmark.clock.now())
	s.watched = s.queue.Len() > 0
	if s.watched {
		s.benchmark.clock.after(slotCheckPeriod, s.check)
	}
}

func (s *sharedSlots) candidates() []assigner.Candidate {
	all := make([]assigner.Candidate, len(s.benchmark.registry))
	for i, e := range s.benchmark.registry {
		all[i] = assigner.Candidate{Endpoint: e, HealthFactor: 1}
	}
	return all
}

func (s *sharedSlots) grant(w *slotWait, e *admitter.Entry, ahead int, now time.Time) bool {
	at := s.assigner.Choose(s.candidates(), assigner.Demand{
		PreferredDataCenter: slotDataCenter(w.run.host), Exclude: w.run.exclude, Ahead: ahead, Waited: now.Sub(w.since),
	}, now)
	if at == nil {
		return false
	}
	s.assigner.Begin(at)
	s.queue.RecordGrant(e, now)
	w.send(slices.Index(s.benchmark.registry, at))
	return true
}

func (s *sharedSlots) started(*slotRun, int) {}

// ended implements slotChooser.
func (s *sharedSlots) ended(_ *slotRun, at int, o slotEnd) {
	s.benchmark.clock.after(slotLatency, func() {
		now := s.benchmark.clock.now()
		result := assigner.Result{Load: o.load, Refused: o.refused}
		if !o.refused {
			result.Took = o.took
		}
		s.assigner.End(s.benchmark.registry[at], result, now)
		s.assign(now)
	})
}

// assign grants free slots to waiting requests.
func (s *sharedSlots) assign(now time.Time) {
	for _, k := range s.queue.RemoveExpired(now) {
		s.waiting[k].send(-1)
		delete(s.waiting, k)
	}
	var skipped []admitter.Entry
	for s.assigner.HasSlot(s.candidates(), now) {
		k, ok := s.queue.Next(now)
		if !ok {
			break
		}
		e, _ := s.queue.Take(k, now)
		if !s.grant(s.waiting[k], &e, len(skipped), now) {
			skipped = append(skipped, e)
			continue
		}
		delete(s.waiting, k)
	}
	for _, e := range skipped {
		s.queue.Requeue(e)
	}
}

// ownViews lets each host choose by its own calls and the loads that it is told.
type ownViews struct {
	benchmark *slotBenchmark
	placers   []*placer.Placer
}

func newOwnViews(b *slotBenchmark, seed uint64) *ownViews {
	v := &ownViews{benchmark: b}
	for n := range b.hosts {
		v.placers = append(v.placers, placer.New(placer.Options{DataCenter: slotDataCenter(n)}, seed+uint64(n)))
	}
	return v
}

func (v *ownViews) choose(r *slotRun, send func(int)) {
	at := v.placers[r.host].ChoosePlain(v.benchmark.registry, r.exclude, v.benchmark.clock.now())
	send(slices.Index(v.benchmark.registry, at))
}

func (v *ownViews) started(r *slotRun, at int) {
	v.placers[r.host].Begin(v.benchmark.registry[at], placer.Size{})
}

func (v *ownViews) ended(r *slotRun, at int, o slotEnd) {
	e, now := v.benchmark.registry[at], v.benchmark.clock.now()
	p := v.placers[r.host]
	p.End(e, placer.Size{})
	p.RecordLoad(e, o.load, now)
	if o.refused {
		p.RecordOutcome(e, placer.Outcome{Verdict: placer.VerdictAtCapacity}, now)
		return
	}
	p.RecordOutcome(e, placer.Outcome{Verdict: placer.VerdictSuccess, Latency: o.took}, now)
}

// outstanding chooses the endpoint with the fewest calls of the own host: of all, or of two at
// random.
type outstanding struct {
	benchmark *slotBenchmark
	random    *rand.Rand
	sampled   bool
	calls     map[[2]int]int
}

func (o *outstanding) choose(r *slotRun, send func(int)) {
	var left []int
	for n, e := range o.benchmark.registry {
		if !excludes(r.exclude, e) {
			left = append(left, n)
		}
	}
	o.random.Shuffle(len(left), func(a, b int) { left[a], left[b] = left[b], left[a] })
	if o.sampled {
		left = left[:min(2, len(left))]
	}
	best := left[0]
	for _, n := range left {
		if o.calls[[2]int{r.host, n}] < o.calls[[2]int{r.host, best}] {
			best = n
		}
	}
	send(best)
}

func excludes(list []identifier.Endpoint, e *registrar.Endpoint) bool {
	return slices.Contains(list, e.Name)
}

func (o *outstanding) started(r *slotRun, at int) { o.calls[[2]int{r.host, at}]++ }

func (o *outstanding) ended(r *slotRun, at int, _ slotEnd) { o.calls[[2]int{r.host, at}]-- }

// slotOracle knows the state of all endpoints at any moment. It keeps one queue, and sends a
// request to the fastest endpoint with a free slot.
type slotOracle struct {
	benchmark *slotBenchmark
	calls     [slotEndpoints]int
	queue     []func(int)
}

func (o *slotOracle) choose(_ *slotRun, send func(int)) {
	o.queue = append(o.queue, send)
	o.assign()
}

func (o *slotOracle) started(*slotRun, int) {}

func (o *slotOracle) ended(_ *slotRun, at int, _ slotEnd) {
	o.calls[at]--
	o.assign()
}

func (o *slotOracle) assign() {
	for len(o.queue) > 0 {
		best := -1
		for n, e := range o.benchmark.endpoints {
			if o.calls[n] < slotCount && (best < 0 || e.slowdown/e.speed < o.benchmark.endpoints[best].slowdown/o.benchmark.endpoints[best].speed) {
				best = n
			}
		}
		if best < 0 {
			return
		}
		o.calls[best]++
		send := o.queue[0]
		o.queue = o.queue[1:]
		send(best)
	}
}
