package experimenter

import (
	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/router"
)

// baselinePlacer places requests at each host independently, based on delayed
// load reports. It chooses the decode engine only after the prefill has ended.
type baselinePlacer struct {
	bench        *benchmark
	prefill      map[*entryHost]router.Policy
	decode       map[*entryHost]router.Policy
	prefillLoads *router.Table // queued prefill time in seconds
	decodeLoads  *router.Table // share of slots or of pieces in use, whichever is larger
}

func newBaselinePlacer(b *benchmark, policy func(seed uint64) router.Policy) *baselinePlacer {
	p := &baselinePlacer{
		bench:        b,
		prefill:      map[*entryHost]router.Policy{},
		decode:       map[*entryHost]router.Policy{},
		prefillLoads: router.NewTable(len(b.prefillEngines)),
		decodeLoads:  router.NewTable(len(b.decodeEngines)),
	}
	for i, h := range b.hosts {
		p.prefill[h] = policy(b.options.Seed + uint64(2*i))
		p.decode[h] = policy(b.options.Seed + uint64(2*i+1))
	}
	for i := range b.prefillEngines {
		p.prefillLoads.Set(int32(i), 0)
	}
	for i := range b.decodeEngines {
		p.decodeLoads.Set(int32(i), 0)
	}
	return p
}

func (p *baselinePlacer) submit(r *request) {
	chosen, _, ok := p.prefill[r.host].Pick(p.prefillLoads, router.Query{}, p.bench.clock.now())
	if ok {
		p.bench.startPrefill(r, p.bench.prefillEngines[chosen])
	}
}

func (p *baselinePlacer) decodeEngineFor(r *request) *decodeEngine {
	chosen, _, ok := p.decode[r.host].Pick(p.decodeLoads, router.Query{}, p.bench.clock.now())
	if !ok {
		return nil
	}
	return p.bench.decodeEngines[chosen]
}

func (p *baselinePlacer) phaseReached(*request, allocator.Phase) {}

func (p *baselinePlacer) attemptEnded(*request, allocator.Outcome) {}
