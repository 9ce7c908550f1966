package allocator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// saturated is a pool with 20 decode slots, prefills and decodes of a second
// each, and twice as many asks as that can serve.
type saturated struct {
	is       *is.I
	pool     *allocator.Pool
	tick     int
	later    map[int][]func()
	unbound  map[identifier.Attempt]bool
	ready    map[identifier.Attempt]bool
	decoding int
	most     int
	bound    int
}

const ticksPerSecond = 20

func newSaturated(is *is.I) *saturated {
	s := newService(8, 1, 20)
	o := allocator.Options{LateBinding: true, PrefillRate: 400, PrefillDepth: time.Minute}
	p := allocator.New(s, dataCenter, nil, o, 1)
	for _, e := range s.Endpoints {
		p.Report(e.Name, allocator.Report{}, epoch)
	}
	return &saturated{
		is: is, pool: p, later: map[int][]func(){},
		unbound: map[identifier.Attempt]bool{}, ready: map[identifier.Attempt]bool{},
	}
}

func (s *saturated) now() time.Time {
	return at(time.Duration(s.tick) * time.Second / ticksPerSecond)
}

func (s *saturated) after(ticks int, f func()) {
	s.later[s.tick+ticks] = append(s.later[s.tick+ticks], f)
}

func (s *saturated) do(actions []allocator.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case allocator.Granted:
			if a.Decode == "" {
				s.unbound[a.Attempt] = true
			} else {
				s.take()
			}
			s.after(ticksPerSecond, func() { s.prefilled(a.Attempt) })
		case allocator.Bound:
			s.is.True(s.unbound[a.Attempt]) // bound once, and only what waits for it
			delete(s.unbound, a.Attempt)
			s.bound++
			s.take()
			if s.ready[a.Attempt] {
				s.transfer(a.Attempt)
			}
		}
	}
}

func (s *saturated) take() {
	s.decoding++
	s.most = max(s.most, s.decoding)
}

func (s *saturated) prefilled(a identifier.Attempt) {
	s.do(s.pool.Started(a, allocator.PhasePrefilled, s.now()))
	s.ready[a] = true
	if !s.unbound[a] {
		s.transfer(a)
	}
}

func (s *saturated) transfer(a identifier.Attempt) {
	s.do(s.pool.Started(a, allocator.PhaseTransferred, s.now()))
	s.after(ticksPerSecond, func() {
		s.decoding--
		s.do(s.pool.Release(a, allocator.Outcome{Ending: allocator.EndingDone}, s.now()))
	})
}

// run goes on for n ticks, asking twice in each for as long as asks holds.
func (s *saturated) run(n int, asks bool) {
	for range n {
		for _, f := range s.later[s.tick] {
			f()
		}
		for i := range 2 {
			if asks {
				a := ask(2*s.tick+i+1, compiler.UrgencyPatient)
				a.Left = time.Hour
				s.do(s.pool.Ask(a, s.now()))
			}
		}
		s.do(s.pool.Tick(s.now()))
		s.do(s.pool.Renew(1, 0, s.now()))
		s.tick++
	}
}

func TestLateBinding(t *testing.T) {
	is := is.New(t)
	s := newSaturated(is)
	s.run(20*ticksPerSecond, true)
	is.True(s.bound > 0)  // some were granted before their decode engine was known
	is.True(s.most <= 20) // and none beyond the declared slots
	s.run(60*ticksPerSecond, false)
	is.Equal(len(s.unbound), 0) // all got one
}
