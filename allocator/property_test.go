package allocator_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

func TestPoolInvariants(t *testing.T) {
	faults := func(s *simulation) map[string]func(*rapid.T) {
		return map[string]func(*rapid.T){
			"kill a home":                 func(*rapid.T) { s.killHome() },
			"mark an endpoint as leaving": func(*rapid.T) { s.markLeaving() },
			"restart the pool":            func(*rapid.T) { s.restartPool() },
			"let leases expire":           func(*rapid.T) { s.elapse(15 * time.Second) },
		}
	}
	t.Run("with early binding", func(t *testing.T) { checkInvariants(t, false, faults) })
	t.Run("with late binding", func(t *testing.T) {
		checkInvariants(t, true, func(s *simulation) map[string]func(*rapid.T) {
			steps := faults(s)
			steps["run under load"] = func(*rapid.T) { s.runUnderLoad() }
			return steps
		})
	})
}

func TestPoolServesPatientUnderUrgentOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.IntRange(1, 1000).Draw(t, "first")
		s := newService(2, 1, 2)
		s.FirstToken = 0
		p := newPool(s)
		answered := overload(p, seed, 3*time.Minute)
		for n := range 10 {
			if !answered[attempt(9, n+1)] {
				t.Fatalf("patient attempt %d was not granted in 3 minutes of urgent overload", n+1)
			}
		}
	})
}

// overload sends twice as many urgent attempts as the slots can serve, plus ten
// patient ones, and returns the attempts that were granted.
func overload(p *allocator.Pool, first int, d time.Duration) map[identifier.Attempt]bool {
	granted := map[identifier.Attempt]bool{}
	ends := map[time.Duration][]identifier.Attempt{}
	now := time.Duration(0)
	recordGrants := func(actions []allocator.Action) {
		for _, a := range actions {
			if g, ok := a.(allocator.Granted); ok {
				granted[g.Attempt] = true
				ends[now+time.Second] = append(ends[now+time.Second], g.Attempt)
			}
		}
	}
	for n := range 10 {
		a := ask(n+1, compiler.UrgencyPatient)
		a.Attempt, a.TimeLeft = attempt(9, n+1), time.Hour
		recordGrants(p.Ask(a, epoch))
	}
	for ; now < d; now += 250 * time.Millisecond {
		for _, a := range ends[now] {
			recordGrants(p.AdvancePhase(a, allocator.PhaseTransferred, at(now)))
			recordGrants(p.Release(a, allocator.Outcome{Ending: allocator.EndingDone}, at(now)))
		}
		first++
		recordGrants(p.Ask(ask(first, compiler.UrgencyUrgent), at(now)))
		recordGrants(p.Renew(9, 0, at(now)))
		recordGrants(p.Tick(at(now)))
	}
	return granted
}
