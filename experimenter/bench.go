package experimenter

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/retrier"
)

const (
	dataCenter     = identifier.DataCenter("here")
	reportInterval = 200 * time.Millisecond
	// reportAge is how old a load report is when it arrives.
	reportAge = 200 * time.Millisecond
	// eventAge is how late cache events are.
	eventAge = time.Second
	// eventLoss is the share of cache events that never arrive.
	eventLoss = 0.1
)

// bench is one run: homes, engines, a policy and requests in virtual time.
type bench struct {
	options  runOptions
	mix      mix
	clock    *clock
	random   *rand.Rand
	homes    []*home
	prefills []*prefillEngine
	decodes  []*decodeEngine
	link     *link
	placer   placer
	tally    tally
}

// runOptions describe one run.
type runOptions struct {
	Seed  uint64
	Load  float64
	Homes int
	// WarmUp is the start of the run that is not measured; Duration includes
	// it.
	WarmUp   time.Duration
	Duration time.Duration
	Fault    string
	// PerfectEvents brings all cache events at once.
	PerfectEvents bool
}

func newBench(m mix, o runOptions) *bench {
	c := &clock{}
	b := &bench{
		options: o,
		mix:     m,
		clock:   c,
		random:  rand.New(rand.NewPCG(o.Seed, 1)),
		link:    &link{clock: c, rate: m.linkRate},
	}
	for i := range o.Homes {
		b.homes = append(b.homes, &home{
			incarnation: identifier.Incarnation(i + 1),
			budget:      retrier.NewBudget(compiler.RetryBudget{}),
			running:     map[identifier.Attempt]*request{},
		})
	}
	for i := range m.prefills {
		name := identifier.Endpoint(fmt.Sprintf("prefill-%d", i))
		b.prefills = append(b.prefills, &prefillEngine{name: name, clock: c, rate: prefillRate, cache: newBlockCache()})
	}
	for i := range m.decodes {
		name := identifier.Endpoint(fmt.Sprintf("decode-%d", i))
		held := map[identifier.Attempt]identifier.Pieces{}
		b.decodes = append(b.decodes, &decodeEngine{name: name, clock: c, slowness: 1, held: held})
	}
	return b
}

// service declares the engines.
func (b *bench) service() *compiler.Service {
	s := &compiler.Service{
		Name: identifier.Service(b.mix.name), FirstToken: firstToken, BetweenTokens: betweenTokens,
		FloorShare: floorShare, AgeLimit: ageLimit,
	}
	declare := func(name identifier.Endpoint, role compiler.Role) {
		s.Endpoints = append(s.Endpoints, &compiler.Endpoint{
			Name: name, DataCenter: dataCenter, Role: role,
			Slots: engineSlots, Pieces: enginePieces, TokensPerPiece: blockTokens,
		})
	}
	for _, e := range b.prefills {
		declare(e.name, compiler.RolePrefill)
	}
	for _, e := range b.decodes {
		declare(e.name, compiler.RoleDecode)
	}
	return s
}

// floorShare and ageLimit of the measured service.
const (
	floorShare = 0.1
	ageLimit   = 20 * time.Second
)

// run drives the requests through the policy.
func (b *bench) run() {
	arrivals := rand.New(rand.NewPCG(b.options.Seed, 2))
	b.scheduleArrival(arrivals)
	b.report()
	b.clock.every(reportInterval, b.report)
	if b.options.PerfectEvents {
		b.clock.every(latency, b.cacheEvents)
	} else {
		b.clock.every(eventAge, b.cacheEvents)
	}
	b.scheduleFault()
	b.clock.run(b.options.WarmUp)
	b.tally.begin(b.clock.elapsed)
	b.clock.run(b.options.Duration)
}

func (b *bench) scheduleArrival(random *rand.Rand) {
	warm := b.options.WarmUp.Seconds()
	part := max(0, b.clock.elapsed.Seconds()-warm) / (b.options.Duration.Seconds() - warm)
	rate := b.options.Load * b.mix.capacity(b.mix.urgentShare(part))
	wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	b.clock.after(wait, func() {
		if b.clock.elapsed >= b.options.Duration {
			return
		}
		b.arrive(b.mix.draw(random, part))
		b.scheduleArrival(random)
	})
}

// report takes the engines' figures, which reach the policy later.
func (b *bench) report() {
	for i, e := range b.prefills {
		r := allocator.Report{Age: reportAge, Slots: engineSlots, Pieces: enginePieces, Backlog: uint64(e.tokens), PrefillRate: e.rate, Unreachable: e.failing}
		b.clock.after(reportAge, func() { b.deliver(e.name, i, true, e.tokens/prefillRate, r) })
	}
	for i, e := range b.decodes {
		r := allocator.Report{
			Age: reportAge, Slots: engineSlots, SlotsUsed: e.slots, Pieces: enginePieces, PiecesUsed: e.pieces,
			StepTime: e.stepTime(), Attempts: sortedAttempts(e.held), Unreachable: e.failing,
		}
		load := max(float64(e.slots)/engineSlots, float64(e.pieces)/enginePieces)
		b.clock.after(reportAge, func() { b.deliver(e.name, i, false, load, r) })
	}
}

func (b *bench) deliver(name identifier.Endpoint, index int, prefill bool, load float64, r allocator.Report) {
	switch p := b.placer.(type) {
	case *poolPlacer:
		p.report(name, r)
	case *baselinePlacer:
		if prefill {
			p.loads.Set(int32(index), load)
		} else {
			p.used.Set(int32(index), load)
		}
	}
}

// cacheEvents delivers the events of the last interval, with gaps.
func (b *bench) cacheEvents() {
	p, ok := b.placer.(*poolPlacer)
	for _, e := range b.prefills {
		events := make([]allocator.CacheEvent, 0, len(e.cache.events))
		for _, event := range e.cache.events {
			if b.options.PerfectEvents || b.random.Float64() >= eventLoss {
				events = append(events, allocator.CacheEvent{Block: event.block, Evicted: event.evicted})
			}
		}
		e.cache.events = nil
		if ok {
			p.pool.CacheEvents(e.name, events, b.clock.now())
		}
	}
}

func (b *bench) prefillNamed(name identifier.Endpoint) *prefillEngine {
	for _, e := range b.prefills {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (b *bench) decodeNamed(name identifier.Endpoint) *decodeEngine {
	for _, e := range b.decodes {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (b *bench) homeOf(i identifier.Incarnation) *home {
	return b.homes[i-1]
}
