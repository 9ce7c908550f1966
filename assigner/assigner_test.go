package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/assigner"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	slots = 6
	work  = 60 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// endpoints returns candidates e0, e1, ... in data centers a and b by turns.
func endpoints(count int) []assigner.Candidate {
	var all []assigner.Candidate
	for n := range count {
		all = append(all, assigner.Candidate{Endpoint: &registrar.Endpoint{
			Name: identifier.Endpoint(fmt.Sprintf("e%d", n)), DataCenter: []identifier.DataCenter{"a", "b"}[n%2], Slots: slots, StartID: 1,
		}})
	}
	return all
}

// run assigns a call to an endpoint and ends it.
func run(a *assigner.Assigner, e *registrar.Endpoint, took time.Duration, l placer.Load, now time.Time) {
	a.Begin(e)
	a.End(e, assigner.Result{Took: took, Load: l}, now)
}

// fill assigns calls until no candidate has a slot, and counts them by endpoint.
func fill(a *assigner.Assigner, all []assigner.Candidate, d assigner.Demand, now time.Time) map[identifier.Endpoint]int {
	counts := map[identifier.Endpoint]int{}
	for e := a.Choose(all, d, now); e != nil; e = a.Choose(all, d, now) {
		a.Begin(e)
		counts[e.Name]++
	}
	return counts
}

// assertChosen checks which endpoint gets the next call.
func assertChosen(t *testing.T, a *assigner.Assigner, all []assigner.Candidate, d assigner.Demand, now time.Time, want identifier.Endpoint) {
	t.Helper()
	e := a.Choose(all, d, now)
	if e == nil || e.Name != want {
		t.Errorf("chosen %v, want %q", e, want)
	}
}

// TestBurst answers a burst of calls from many hosts at a few endpoints, whose queues
// overflow if each host chooses by its own view.
func TestBurst(t *testing.T) {
	t.Run("endpoints get no more calls than slots and one that waits", func(t *testing.T) {
		i := is.New(t)
		counts := fill(assigner.New(), endpoints(4), assigner.Demand{}, start)
		for n := range 4 {
			i.Equal(counts[identifier.Endpoint(fmt.Sprintf("e%d", n))], slots+1)
		}
	})
	t.Run("free slots are taken before calls wait", func(t *testing.T) {
		i := is.New(t)
		a, all := assigner.New(), endpoints(4)
		counts := map[identifier.Endpoint]int{}
		for range 4 * slots {
			e := a.Choose(all, assigner.Demand{}, start)
			a.Begin(e)
			counts[e.Name]++
		}
		for _, n := range counts {
			i.Equal(n, slots)
		}
	})
	t.Run("a call that ends frees its slot", func(t *testing.T) {
		i := is.New(t)
		a, all := assigner.New(), endpoints(2)
		fill(a, all, assigner.Demand{}, start)
		i.True(!a.HasSlot(all, start))
		a.End(all[1].Endpoint, assigner.Result{}, start)
		assertChosen(t, a, all, assigner.Demand{}, start, "e1")
	})
	t.Run("calls of hosts that choose for themselves are seen for a short time", func(t *testing.T) {
		i := is.New(t)
		a, all := assigner.New(), endpoints(1)
		run(a, all[0].Endpoint, work, placer.Load{Running: slots, Waiting: 4, Slots: slots}, start)
		i.True(!a.HasSlot(all, start))
		i.True(a.HasSlot(all, at(time.Second)))
	})
	t.Run("an endpoint that refuses gets none for a short time", func(t *testing.T) {
		i := is.New(t)
		a, all := assigner.New(), endpoints(1)
		a.Begin(all[0].Endpoint)
		a.End(all[0].Endpoint, assigner.Result{Refused: true}, start)
		i.True(!a.HasSlot(all, at(10*time.Millisecond)))
		i.True(a.HasSlot(all, at(100*time.Millisecond)))
	})
}

// TestUnevenEndpoints answers endpoints of different speeds, some of which are slowed by
// their neighbors for a moment.
func TestUnevenEndpoints(t *testing.T) {
	measured := func(took ...time.Duration) (*assigner.Assigner, []assigner.Candidate) {
		a, all := assigner.New(), endpoints(len(took))
		for n, d := range took {
			run(a, all[n].Endpoint, d, placer.Load{}, start)
		}
		return a, all
	}
	t.Run("the faster endpoint is chosen", func(t *testing.T) {
		a, all := measured(100*time.Millisecond, work)
		assertChosen(t, a, all, assigner.Demand{PreferredDataCenter: "a"}, start, "e1")
	})
	t.Run("one of the own data center is chosen among equals", func(t *testing.T) {
		a, all := measured(work, work)
		assertChosen(t, a, all, assigner.Demand{PreferredDataCenter: "b"}, start, "e1")
	})
	t.Run("one that failed often is chosen last", func(t *testing.T) {
		a, all := measured(work, 2*work)
		all[0].HealthFactor = 4
		assertChosen(t, a, all, assigner.Demand{}, start, "e1")
	})
	t.Run("an excluded one is not chosen", func(t *testing.T) {
		a, all := measured(work, 2*work)
		assertChosen(t, a, all, assigner.Demand{Exclude: []identifier.Endpoint{"e0"}}, start, "e1")
	})
	t.Run("one without measurements is tried", func(t *testing.T) {
		a, all := measured(work)
		all = append(all, endpoints(2)[1])
		a.Begin(all[0].Endpoint)
		assertChosen(t, a, all, assigner.Demand{}, start, "e1")
	})
	t.Run("a slowdown counts until it is old", func(t *testing.T) {
		a, all := measured(work, work*11/10)
		run(a, all[0].Endpoint, work*5/2, placer.Load{Slots: slots, Slowdown: 2.5}, start)
		assertChosen(t, a, all, assigner.Demand{}, at(10*time.Millisecond), "e1")
		assertChosen(t, a, all, assigner.Demand{}, at(time.Second), "e0")
	})
	t.Run("a call waits for a fast endpoint as long as it gains by that", func(t *testing.T) {
		i := is.New(t)
		a, all := measured(work, 5*work)
		for range slots + 1 {
			a.Begin(all[0].Endpoint)
		}
		i.Equal(a.Choose(all, assigner.Demand{}, start), nil)
		assertChosen(t, a, all, assigner.Demand{Waited: 4 * work}, start, "e1")
		assertChosen(t, a, all, assigner.Demand{Ahead: 4 * slots}, start, "e1")
		assertChosen(t, a, all, assigner.Demand{Exclude: []identifier.Endpoint{"e0"}}, start, "e1")
	})
	t.Run("a slowdown isn't taken for the endpoint's speed", func(t *testing.T) {
		a, all := measured(work, 2*work)
		for range 50 {
			run(a, all[0].Endpoint, work*5/2, placer.Load{Slots: slots, Slowdown: 2.5}, start)
		}
		assertChosen(t, a, all, assigner.Demand{}, at(time.Second), "e0")
	})
	t.Run("how long slowdowns last is learned", func(t *testing.T) {
		i := is.New(t)
		a, all := measured(work)
		slowed := placer.Load{Slots: slots, Slowdown: 2.5}
		for n := range 300 { // reports 100 ms apart that don't change for 3 s
			l := slowed
			if n/30%2 == 0 {
				l.Slowdown = 1
			}
			run(a, all[0].Endpoint, 0, l, at(time.Duration(n)*100*time.Millisecond))
		}
		last := at(300 * 100 * time.Millisecond)
		run(a, all[0].Endpoint, 0, slowed, last)
		i.True(a.Expected(all[0].Endpoint, last.Add(200*time.Millisecond)) > 2*work)
	})
	t.Run("an endpoint that restarts is new", func(t *testing.T) {
		i := is.New(t)
		a, all := measured(work)
		fill(a, all, assigner.Demand{}, start)
		restarted := *all[0].Endpoint
		restarted.StartID = 2
		all[0].Endpoint = &restarted
		i.Equal(a.Calls(&restarted), 0)
		a.End(&registrar.Endpoint{Name: "e0", StartID: 1}, assigner.Result{}, start)
		i.Equal(fill(a, all, assigner.Demand{}, start)["e0"], slots+1)
	})
}

// TestSlotsHold checks for any order of calls that endpoints get no more calls than they
// have slots for, and that the counts return to zero.
func TestSlotsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, all := assigner.New(), endpoints(rapid.IntRange(1, 4).Draw(t, "endpoints"))
		var running []*registrar.Endpoint
		now := start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "end") && len(running) > 0 {
				e := running[0]
				running = running[1:]
				a.End(e, assigner.Result{
					Took: time.Duration(rapid.IntRange(0, 1000).Draw(t, "took")) * time.Millisecond,
					Load: placer.Load{Running: rapid.IntRange(0, 10).Draw(t, "running"), Slots: slots, Slowdown: rapid.Float64Range(0, 1000).Draw(t, "slowdown")},
				}, now)
				continue
			}
			if e := a.Choose(all, assigner.Demand{}, now); e != nil {
				a.Begin(e)
				running = append(running, e)
			}
			for _, c := range all {
				if n := a.Calls(c.Endpoint); n > slots+1 {
					t.Fatalf("%d calls at %q", n, c.Name)
				}
			}
		}
		for _, e := range running {
			a.End(e, assigner.Result{}, now)
		}
		for _, c := range all {
			if n := a.Calls(c.Endpoint); n != 0 {
				t.Fatalf("%d calls left at %q", n, c.Name)
			}
		}
	})
}
