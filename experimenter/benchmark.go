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
	// reportDelay is the time from a load report's sampling to its arrival.
	reportDelay = 200 * time.Millisecond
	// eventInterval is the interval at which cache events are delivered, and so
	// their largest delay.
	eventInterval = time.Second
	// eventLossRate is the share of cache events that are lost.
	eventLossRate = 0.1
)

// benchmark simulates one run: entry hosts, engines, a policy and requests in
// virtual time.
type benchmark struct {
	options        runOptions
	mix            mix
	clock          *clock
	random         *rand.Rand
	hosts          []*entryHost
	prefillEngines []*prefillEngine
	decodeEngines  []*decodeEngine
	link           *link
	placer         requestPlacer
	tally          tally
}

// runOptions configure one run.
type runOptions struct {
	Seed  uint64
	Load  float64
	Hosts int
	// WarmUp is the initial part of the run that is not measured. Duration
	// includes it.
	WarmUp   time.Duration
	Duration time.Duration
	Fault    string
	// PerfectEvents delivers all cache events within one network latency.
	PerfectEvents bool
}

func newBenchmark(m mix, o runOptions) *benchmark {
	c := &clock{}
	b := &benchmark{
		options: o,
		mix:     m,
		clock:   c,
		random:  rand.New(rand.NewPCG(o.Seed, 1)),
		link:    &link{clock: c, rate: m.linkRate},
	}
	for i := range o.Hosts {
		b.hosts = append(b.hosts, &entryHost{
			incarnation: identifier.Incarnation(i + 1),
			budget:      retrier.NewBudget(compiler.RetryBudget{}),
			running:     map[identifier.Attempt]*request{},
		})
	}
	for i := range m.prefillEngines {
		name := identifier.Endpoint(fmt.Sprintf("prefill-%d", i))
		b.prefillEngines = append(b.prefillEngines, &prefillEngine{name: name, clock: c, rate: prefillRate, cache: newBlockCache()})
	}
	for i := range m.decodeEngines {
		name := identifier.Endpoint(fmt.Sprintf("decode-%d", i))
		reservations := map[identifier.Attempt]identifier.Pieces{}
		b.decodeEngines = append(b.decodeEngines, &decodeEngine{name: name, clock: c, slowdown: 1, reservations: reservations})
	}
	return b
}

// service returns the declaration of the service with all engines.
func (b *benchmark) service() *compiler.Service {
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
	for _, e := range b.prefillEngines {
		declare(e.name, compiler.RolePrefill)
	}
	for _, e := range b.decodeEngines {
		declare(e.name, compiler.RoleDecode)
	}
	return s
}

// Scheduling parameters of the benchmarked service.
const (
	floorShare = 0.1
	ageLimit   = 20 * time.Second
)

// run simulates the requests and the fault, first for the warm-up, then for the
// measured time.
func (b *benchmark) run() {
	arrivals := rand.New(rand.NewPCG(b.options.Seed, 2))
	b.scheduleArrival(arrivals)
	b.sampleLoads()
	b.clock.every(reportInterval, b.sampleLoads)
	if b.options.PerfectEvents {
		b.clock.every(latency, b.deliverCacheEvents)
	} else {
		b.clock.every(eventInterval, b.deliverCacheEvents)
	}
	b.scheduleFault()
	b.clock.run(b.options.WarmUp)
	b.tally.endWarmUp(b.clock.elapsed)
	b.clock.run(b.options.Duration)
}

func (b *benchmark) scheduleArrival(random *rand.Rand) {
	warmUp := b.options.WarmUp.Seconds()
	progress := max(0, b.clock.elapsed.Seconds()-warmUp) / (b.options.Duration.Seconds() - warmUp)
	rate := b.options.Load * b.mix.capacity(b.mix.urgentShare(progress))
	wait := time.Duration(random.ExpFloat64() / rate * float64(time.Second))
	b.clock.after(wait, func() {
		if b.clock.elapsed >= b.options.Duration {
			return
		}
		b.arrive(b.mix.drawRequest(random, progress))
		b.scheduleArrival(random)
	})
}

// sampleLoads samples the load of all engines and delivers the reports to the
// policy after reportDelay.
func (b *benchmark) sampleLoads() {
	for i, e := range b.prefillEngines {
		r := allocator.Report{Age: reportDelay, Slots: engineSlots, Pieces: enginePieces, Backlog: uint64(e.pendingTokens), PrefillRate: e.rate, Unreachable: e.unreachable}
		b.clock.after(reportDelay, func() { b.deliverReport(e.name, i, true, e.pendingTokens/prefillRate, r) })
	}
	for i, e := range b.decodeEngines {
		r := allocator.Report{
			Age: reportDelay, Slots: engineSlots, SlotsUsed: e.usedSlots, Pieces: enginePieces, PiecesUsed: e.usedPieces,
			StepTime: e.stepTime(), Attempts: sortedAttempts(e.reservations), Unreachable: e.unreachable,
		}
		load := max(float64(e.usedSlots)/engineSlots, float64(e.usedPieces)/enginePieces)
		b.clock.after(reportDelay, func() { b.deliverReport(e.name, i, false, load, r) })
	}
}

func (b *benchmark) deliverReport(name identifier.Endpoint, index int, prefill bool, load float64, r allocator.Report) {
	switch p := b.placer.(type) {
	case *poolPlacer:
		p.report(name, r)
	case *baselinePlacer:
		if prefill {
			p.prefillLoads.Set(int32(index), load)
		} else {
			p.decodeLoads.Set(int32(index), load)
		}
	}
}

// deliverCacheEvents delivers the cache events of the last interval, dropping
// eventLossRate of them unless PerfectEvents is set.
func (b *benchmark) deliverCacheEvents() {
	p, ok := b.placer.(*poolPlacer)
	for _, e := range b.prefillEngines {
		events := make([]allocator.CacheEvent, 0, len(e.cache.events))
		for _, event := range e.cache.events {
			if b.options.PerfectEvents || b.random.Float64() >= eventLossRate {
				events = append(events, allocator.CacheEvent{Block: event.block, Evicted: event.evicted})
			}
		}
		e.cache.events = nil
		if ok {
			p.pool.CacheEvents(e.name, events, b.clock.now())
		}
	}
}

func (b *benchmark) prefillEngineByName(name identifier.Endpoint) *prefillEngine {
	for _, e := range b.prefillEngines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (b *benchmark) decodeEngineByName(name identifier.Endpoint) *decodeEngine {
	for _, e := range b.decodeEngines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (b *benchmark) hostByIncarnation(i identifier.Incarnation) *entryHost {
	return b.hosts[i-1]
}
