package experimenter

import (
	"time"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// renewInterval is how often homes renew their leases.
const renewInterval = 3 * time.Second

// poolPlacer places by the real allocator, which runs on one of the homes.
type poolPlacer struct {
	bench   *bench
	pool    *allocator.Pool
	options allocator.Options
	waiting map[identifier.Attempt]*request
	chosen  map[identifier.Attempt]*decodeEngine
	tick    uint64
}

func newPoolPlacer(b *bench, options allocator.Options) *poolPlacer {
	options.PrefillRate = prefillRate
	options.StepTime = stepBase + engineSlots*stepPerSlot
	options.ResultTTL = resultTTL
	options.Affinity.BlockTokens = blockTokens
	p := &poolPlacer{
		bench:   b,
		options: options,
		waiting: map[identifier.Attempt]*request{},
		chosen:  map[identifier.Attempt]*decodeEngine{},
	}
	p.pool = p.newPool()
	b.clock.every(renewInterval, p.renew)
	return p
}

func (p *poolPlacer) newPool() *allocator.Pool {
	l := map[compiler.LinkKey]*compiler.Link{
		{From: dataCenter, To: dataCenter}: {Rate: p.bench.link.rate},
	}
	return allocator.New(p.bench.service(), dataCenter, l, p.options, p.bench.options.Seed)
}

func (p *poolPlacer) submit(r *request) {
	a := allocator.SlotRequest{
		Attempt: r.attempt, Urgency: r.urgency(), PromptTokens: r.prompt, MaxTokens: r.kind.maxTokens,
		Blocks: r.blocks, TimeLeft: r.deadline() - p.bench.clock.elapsed, Exclude: r.exclude,
	}
	p.waiting[r.attempt] = r
	p.send(func(now time.Time) []allocator.Action { return p.pool.Ask(a, now) })
}

// send brings a message to the pool, and its actions back.
func (p *poolPlacer) send(message func(time.Time) []allocator.Action) {
	p.bench.tally.messages++
	p.bench.clock.after(latency, func() {
		actions := message(p.bench.clock.now())
		p.do(actions)
	})
}

func (p *poolPlacer) do(actions []allocator.Action) {
	for _, a := range actions {
		p.bench.tally.messages++
		p.bench.clock.after(latency, func() { p.act(a) })
	}
	p.tick++
	tick := p.tick
	p.bench.clock.after(p.pool.Due().Sub(p.bench.clock.now()), func() {
		if tick == p.tick {
			p.do(p.pool.Tick(p.bench.clock.now()))
		}
	})
}

func (p *poolPlacer) act(a allocator.Action) {
	switch a := a.(type) {
	case allocator.Granted:
		r := p.waiting[a.Attempt]
		delete(p.waiting, a.Attempt)
		if r == nil || r.over || r.attempt != a.Attempt {
			return
		}
		if a.Decode != "" {
			p.chosen[a.Attempt] = p.bench.decodeNamed(a.Decode)
		}
		p.bench.clock.after(a.PrefillDelay, func() {
			if !r.over {
				p.bench.startPrefill(r, p.bench.prefillNamed(a.Prefill))
			}
		})
	case allocator.Bound:
		p.chosen[a.Attempt] = p.bench.decodeNamed(a.Decode)
	case allocator.Refused:
		r := p.waiting[a.Attempt]
		delete(p.waiting, a.Attempt)
		if r != nil && !r.over {
			p.bench.refuse(r)
		}
	case allocator.CancelAt:
		p.bench.tally.cancels++
	case allocator.RequestGrantList:
		p.list(a.Home)
	}
}

func (p *poolPlacer) list(incarnation identifier.Incarnation) {
	h := p.bench.homeOf(incarnation)
	var held []allocator.HeldGrant
	for _, a := range sortedAttempts(h.running) {
		held = append(held, p.held(h.running[a]))
	}
	p.send(func(now time.Time) []allocator.Action { return p.pool.ReconcileGrants(incarnation, held, now) })
}

func (p *poolPlacer) renew() {
	for _, h := range p.bench.homes {
		digest := uint64(0)
		for a := range h.running {
			digest ^= allocator.Digest(a)
		}
		p.send(func(now time.Time) []allocator.Action { return p.pool.Renew(h.incarnation, digest, now) })
	}
}

func (p *poolPlacer) decodeFor(r *request) *decodeEngine {
	return p.chosen[r.attempt]
}

func (p *poolPlacer) advanced(r *request, phase allocator.Phase) {
	a := r.attempt
	r.phase = phase
	p.send(func(now time.Time) []allocator.Action { return p.pool.AdvancePhase(a, phase, now) })
}

func (p *poolPlacer) ended(r *request, outcome allocator.Outcome) {
	a := r.attempt
	delete(p.waiting, a)
	delete(p.chosen, a)
	p.send(func(now time.Time) []allocator.Action { return p.pool.Release(a, outcome, now) })
}

func (p *poolPlacer) report(name identifier.Endpoint, r allocator.Report) {
	p.do(p.pool.Report(name, r, p.bench.clock.now()))
}
