package experimenter

import (
	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/router"
)

// baselinePlacer lets each home place by itself on lagging reports: the
// prefill engine first, the decode engine when the prefill has ended.
type baselinePlacer struct {
	bench   *bench
	prefill map[*home]router.Policy
	decode  map[*home]router.Policy
	loads   *router.Table // of prefill engines
	used    *router.Table // of decode engines
}

func newBaselinePlacer(b *bench, policy func(seed uint64) router.Policy) *baselinePlacer {
	p := &baselinePlacer{
		bench:   b,
		prefill: map[*home]router.Policy{},
		decode:  map[*home]router.Policy{},
		loads:   router.NewTable(len(b.prefills)),
		used:    router.NewTable(len(b.decodes)),
	}
	for i, h := range b.homes {
		p.prefill[h] = policy(b.options.Seed + uint64(2*i))
		p.decode[h] = policy(b.options.Seed + uint64(2*i+1))
	}
	for i := range b.prefills {
		p.loads.Set(int32(i), 0)
	}
	for i := range b.decodes {
		p.used.Set(int32(i), 0)
	}
	return p
}

func (p *baselinePlacer) submit(r *request) {
	chosen, _, ok := p.prefill[r.home].Pick(p.loads, router.Query{}, p.bench.clock.now())
	if ok {
		p.bench.startPrefill(r, p.bench.prefills[chosen])
	}
}

func (p *baselinePlacer) decodeFor(r *request) *decodeEngine {
	chosen, _, ok := p.decode[r.home].Pick(p.used, router.Query{}, p.bench.clock.now())
	if !ok {
		return nil
	}
	return p.bench.decodes[chosen]
}

func (p *baselinePlacer) advanced(*request, allocator.Phase) {}

func (p *baselinePlacer) ended(*request, allocator.Outcome) {}
