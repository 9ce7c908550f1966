package experimenter

import (
	"github.com/jackdawthread/jackdawthread/allocator"
)

// Faults returns the names of the faults that can be injected. The first one, the
// empty string, stands for no fault.
func Faults() []string {
	return []string{"", "slow-engine", "dead-engine", "allocator-lost"}
}

// slowEngineFactor multiplies the step time of a slow decode engine.
const slowEngineFactor = 4

// scheduleFault schedules the run's fault for the middle third of the measured
// time.
func (b *benchmark) scheduleFault() {
	measured := b.options.Duration - b.options.WarmUp
	begin := b.options.WarmUp + measured/3
	b.clock.after(begin, func() { b.setFault(true) })
	b.clock.after(begin+measured/3, func() { b.setFault(false) })
}

func (b *benchmark) setFault(active bool) {
	e := b.decodeEngines[0]
	switch b.options.Fault {
	case "slow-engine":
		e.slowdown = 1
		if active {
			e.slowdown = slowEngineFactor
		}
	case "dead-engine":
		e.unreachable = active
		if active {
			b.failAttempts(e)
		}
	case "allocator-lost":
		if p, ok := b.placer.(*poolPlacer); ok && active {
			p.replaceAllocator()
		}
	}
}

// failAttempts fails all attempts at a dead engine.
func (b *benchmark) failAttempts(e *decodeEngine) {
	for _, a := range sortedAttempts(e.reservations) {
		if r := b.hostByIncarnation(a.Incarnation).running[a]; r != nil {
			b.failAttempt(r, e.name, false)
		}
	}
}

// replaceAllocator replaces the allocator by a new one without state, after which
// the hosts resend their pending slot requests.
func (p *poolPlacer) replaceAllocator() {
	p.pool = p.newPool()
	for _, r := range p.bench.tally.requests {
		if p.pending[r.attempt] == r && !r.ended {
			p.submit(r)
		}
	}
}

// heldGrant returns a host's record of a running attempt.
func (p *poolPlacer) heldGrant(r *request) allocator.HeldGrant {
	held := allocator.HeldGrant{
		Attempt: r.attempt, Prefill: r.prefill.name, PromptTokens: r.prompt, MaxTokens: r.kind.maxTokens,
		Urgency: r.urgency(), Pieces: r.pieces(), Phase: r.phase,
	}
	if d := p.decodeEngines[r.attempt]; d != nil {
		held.Decode = d.name
	}
	return held
}
