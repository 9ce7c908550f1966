package allocator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// saturatedPool drives a pool with 20 decode slots at twice its capacity. Each
// prefill and each decode takes one second.
type saturatedPool struct {
	is          *is.I
	pool        *allocator.Pool
	tick        int
	scheduled   map[int][]func()
	unbound     map[identifier.Attempt]bool
	prefillDone map[identifier.Attempt]bool
	decoding    int
	maxDecoding int
	boundCount  int
}

const ticksPerSecond = 20

func newSaturatedPool(is *is.I) *saturatedPool {
	s := newService(8, 1, 20)
	o := allocator.Options{LateBinding: true, PrefillRate: 400, MaxPrefillWait: time.Minute}
	p := allocator.New(s, dataCenter, nil, o, 1)
	for _, e := range s.Endpoints {
		p.Report(e.Name, allocator.Report{}, epoch)
	}
	return &saturatedPool{
		is: is, pool: p, scheduled: map[int][]func(){},
		unbound: map[identifier.Attempt]bool{}, prefillDone: map[identifier.Attempt]bool{},
	}
}

func (s *saturatedPool) now() time.Time {
	return at(time.Duration(s.tick) * time.Second / ticksPerSecond)
}

func (s *saturatedPool) after(ticks int, f func()) {
	s.scheduled[s.tick+ticks] = append(s.scheduled[s.tick+ticks], f)
}

func (s *saturatedPool) execute(actions []allocator.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case allocator.Granted:
			if a.Decode == "" {
				s.unbound[a.Attempt] = true
			} else {
				s.startDecode()
			}
			s.after(ticksPerSecond, func() { s.prefilled(a.Attempt) })
		case allocator.Bound:
			s.is.True(s.unbound[a.Attempt]) // bound only once, and only if granted unbound
			delete(s.unbound, a.Attempt)
			s.boundCount++
			s.startDecode()
			if s.prefillDone[a.Attempt] {
				s.transfer(a.Attempt)
			}
		}
	}
}

func (s *saturatedPool) startDecode() {
	s.decoding++
	s.maxDecoding = max(s.maxDecoding, s.decoding)
}

func (s *saturatedPool) prefilled(a identifier.Attempt) {
	s.execute(s.pool.AdvancePhase(a, allocator.PhasePrefilled, s.now()))
	s.prefillDone[a] = true
	if !s.unbound[a] {
		s.transfer(a)
	}
}

func (s *saturatedPool) transfer(a identifier.Attempt) {
	s.execute(s.pool.AdvancePhase(a, allocator.PhaseTransferred, s.now()))
	s.after(ticksPerSecond, func() {
		s.decoding--
		s.execute(s.pool.Release(a, allocator.Outcome{Ending: allocator.EndingDone}, s.now()))
	})
}

// run advances n ticks and sends two slot requests in each if asks is set.
func (s *saturatedPool) run(n int, asks bool) {
	for range n {
		for _, f := range s.scheduled[s.tick] {
			f()
		}
		for i := range 2 {
			if asks {
				a := ask(2*s.tick+i+1, compiler.UrgencyPatient)
				a.TimeLeft = time.Hour
				s.execute(s.pool.Ask(a, s.now()))
			}
		}
		s.execute(s.pool.Tick(s.now()))
		s.execute(s.pool.Renew(1, 0, s.now()))
		s.tick++
	}
}

func TestLateBinding(t *testing.T) {
	is := is.New(t)
	s := newSaturatedPool(is)
	s.run(20*ticksPerSecond, true)
	is.True(s.boundCount > 0)    // some were granted without a decode engine
	is.True(s.maxDecoding <= 20) // never more than the declared slots
	s.run(60*ticksPerSecond, false)
	is.Equal(len(s.unbound), 0) // all were bound in the end
}
