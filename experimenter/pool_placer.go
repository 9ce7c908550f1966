package experimenter

import (
	"time"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// renewInterval is the interval at which hosts renew their leases.
const renewInterval = 3 * time.Second

// poolPlacer places requests with the real allocator, which runs on one of the
// entry hosts. Messages between them take one network latency.
type poolPlacer struct {
	bench           *benchmark
	pool            *allocator.Pool
	options         allocator.Options
	pending         map[identifier.Attempt]*request
	decodeEngines   map[identifier.Attempt]*decodeEngine
	timerGeneration uint64
}

func newPoolPlacer(b *benchmark, options allocator.Options) *poolPlacer {
	options.PrefillRate = prefillRate
	options.StepTime = stepBase + engineSlots*stepPerSlot
	options.ResultTTL = resultTTL
	options.Affinity.BlockTokens = blockTokens
	p := &poolPlacer{
		bench:         b,
		options:       options,
		pending:       map[identifier.Attempt]*request{},
		decodeEngines: map[identifier.Attempt]*decodeEngine{},
	}
	p.pool = p.newPool()
	b.clock.every(renewInterval, p.renewLeases)
	return p
}

func (p *poolPlacer) newPool() *allocator.Pool {
	links := map[compiler.LinkKey]*compiler.Link{
		{From: dataCenter, To: dataCenter}: {Rate: p.bench.link.rate},
	}
	return allocator.New(p.bench.service(), dataCenter, links, p.options, p.bench.options.Seed)
}

func (p *poolPlacer) submit(r *request) {
	slotRequest := allocator.SlotRequest{
		Attempt: r.attempt, Urgency: r.urgency(), PromptTokens: r.prompt, MaxTokens: r.kind.maxTokens,
		Blocks: r.blocks, TimeLeft: r.deadline() - p.bench.clock.elapsed, Exclude: r.excluded,
	}
	p.pending[r.attempt] = r
	p.send(func(now time.Time) []allocator.Action { return p.pool.Ask(slotRequest, now) })
}

// send delivers a message to the pool after the network latency and performs the
// resulting actions.
func (p *poolPlacer) send(message func(time.Time) []allocator.Action) {
	p.bench.tally.messages++
	p.bench.clock.after(latency, func() {
		actions := message(p.bench.clock.now())
		p.perform(actions)
	})
}

func (p *poolPlacer) perform(actions []allocator.Action) {
	for _, a := range actions {
		p.bench.tally.messages++
		p.bench.clock.after(latency, func() { p.apply(a) })
	}
	p.timerGeneration++
	generation := p.timerGeneration
	p.bench.clock.after(p.pool.Due().Sub(p.bench.clock.now()), func() {
		if generation == p.timerGeneration {
			p.perform(p.pool.Tick(p.bench.clock.now()))
		}
	})
}

func (p *poolPlacer) apply(a allocator.Action) {
	switch a := a.(type) {
	case allocator.Granted:
		r := p.pending[a.Attempt]
		delete(p.pending, a.Attempt)
		if r == nil || r.ended || r.attempt != a.Attempt {
			return
		}
		if a.Decode != "" {
			p.decodeEngines[a.Attempt] = p.bench.decodeEngineByName(a.Decode)
		}
		p.bench.clock.after(a.PrefillDelay, func() {
			if !r.ended {
				p.bench.startPrefill(r, p.bench.prefillEngineByName(a.Prefill))
			}
		})
	case allocator.Bound:
		p.decodeEngines[a.Attempt] = p.bench.decodeEngineByName(a.Decode)
	case allocator.Refused:
		r := p.pending[a.Attempt]
		delete(p.pending, a.Attempt)
		if r != nil && !r.ended {
			p.bench.refuse(r)
		}
	case allocator.CancelAt:
		p.bench.tally.cancels++
	case allocator.RequestGrantList:
		p.sendGrantList(a.Home)
	}
}

func (p *poolPlacer) sendGrantList(incarnation identifier.Incarnation) {
	h := p.bench.hostByIncarnation(incarnation)
	var held []allocator.HeldGrant
	for _, a := range sortedAttempts(h.running) {
		held = append(held, p.heldGrant(h.running[a]))
	}
	p.send(func(now time.Time) []allocator.Action { return p.pool.ReconcileGrants(incarnation, held, now) })
}

func (p *poolPlacer) renewLeases() {
	for _, h := range p.bench.hosts {
		digest := uint64(0)
		for a := range h.running {
			digest ^= allocator.Digest(a)
		}
		p.send(func(now time.Time) []allocator.Action { return p.pool.Renew(h.incarnation, digest, now) })
	}
}

func (p *poolPlacer) decodeEngineFor(r *request) *decodeEngine {
	return p.decodeEngines[r.attempt]
}

func (p *poolPlacer) phaseReached(r *request, phase allocator.Phase) {
	a := r.attempt
	r.phase = phase
	p.send(func(now time.Time) []allocator.Action { return p.pool.AdvancePhase(a, phase, now) })
}

func (p *poolPlacer) attemptEnded(r *request, outcome allocator.Outcome) {
	a := r.attempt
	delete(p.pending, a)
	delete(p.decodeEngines, a)
	p.send(func(now time.Time) []allocator.Action { return p.pool.Release(a, outcome, now) })
}

func (p *poolPlacer) report(name identifier.Endpoint, r allocator.Report) {
	p.perform(p.pool.Report(name, r, p.bench.clock.now()))
}
