package experimenter

import (
	"github.com/jackdawthread/jackdawthread/allocator"
)

// Faults gives the names of the faults that a run can meet; the first is none.
func Faults() []string {
	return []string{"", "slow-engine", "dead-engine", "allocator-lost"}
}

// slowness of a slow engine's decode steps.
const slowness = 4

// scheduleFault lets the run's fault begin a third into the measured time and
// end at two thirds.
func (b *bench) scheduleFault() {
	measured := b.options.Duration - b.options.WarmUp
	from := b.options.WarmUp + measured/3
	b.clock.after(from, func() { b.fault(true) })
	b.clock.after(from+measured/3, func() { b.fault(false) })
}

func (b *bench) fault(begins bool) {
	e := b.decodes[0]
	switch b.options.Fault {
	case "slow-engine":
		e.slowness = 1
		if begins {
			e.slowness = slowness
		}
	case "dead-engine":
		e.failing = begins
		if begins {
			b.failAll(e)
		}
	case "allocator-lost":
		if p, ok := b.placer.(*poolPlacer); ok && begins {
			p.lose()
		}
	}
}

// failAll ends what an engine holds that has died.
func (b *bench) failAll(e *decodeEngine) {
	for _, a := range sortedAttempts(e.held) {
		if r := b.homeOf(a.Incarnation).running[a]; r != nil {
			b.fail(r, e.name, false)
		}
	}
}

// lose replaces the allocator by a new one that knows nothing; homes repeat
// the asks that wait.
func (p *poolPlacer) lose() {
	p.pool = p.newPool()
	for _, r := range p.bench.tally.requests {
		if p.waiting[r.attempt] == r && !r.over {
			p.submit(r)
		}
	}
}

// held gives what a home knows of a running attempt.
func (p *poolPlacer) held(r *request) allocator.HeldGrant {
	held := allocator.HeldGrant{
		Attempt: r.attempt, Prefill: r.prefill.name, PromptTokens: r.prompt, MaxTokens: r.kind.maxTokens,
		Urgency: r.urgency(), Pieces: r.pieces(), Phase: r.phase,
	}
	if d := p.chosen[r.attempt]; d != nil {
		held.Decode = d.name
	}
	return held
}
