package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time {
	return start.Add(d)
}

func newPlacer() *placer.Placer {
	return placer.New(placer.Options{DataCenter: "a"}, 1)
}

// threeEndpoints returns endpoints in three data centers.
func threeEndpoints(stage registrar.Stage) []*registrar.Endpoint {
	var all []*registrar.Endpoint
	for _, name := range []identifier.Endpoint{"a", "b", "c"} {
		all = append(all, &registrar.Endpoint{
			Name: name, Service: "desk", DataCenter: identifier.DataCenter(name), Slots: 4, Stage: stage, StartID: 1,
		})
	}
	return all
}

// call records a call to e with the given verdict and latency.
func call(p *placer.Placer, e *registrar.Endpoint, v placer.Verdict, took, now time.Duration) {
	p.Begin(e, placer.Size{})
	p.End(e, placer.Size{})
	p.RecordOutcome(e, placer.Outcome{Verdict: v, Latency: took}, at(now))
}

// callShares places count calls with the latencies given by latency, and returns
// the share of calls that each endpoint got.
func callShares(p *placer.Placer, all []*registrar.Endpoint, count int, latency func(identifier.Endpoint) time.Duration) map[identifier.Endpoint]float64 {
	got := map[identifier.Endpoint]float64{}
	for n := range count {
		e := p.ChoosePlain(all, nil, at(time.Duration(n)*time.Millisecond))
		got[e.Name] += 1 / float64(count)
		call(p, e, placer.VerdictSuccess, latency(e.Name), time.Duration(n)*time.Millisecond)
	}
	return got
}

func TestPlain(t *testing.T) {
	t.Run("prefers its own data center among equal endpoints", func(t *testing.T) {
		got := callShares(newPlacer(), threeEndpoints(registrar.StageAny), 50, func(identifier.Endpoint) time.Duration { return 10 * time.Millisecond })
		is.New(t).True(got["a"] > 0.9)
	})
	t.Run("avoids a slow endpoint after a few calls", func(t *testing.T) {
		got := callShares(newPlacer(), threeEndpoints(registrar.StageAny), 50, func(e identifier.Endpoint) time.Duration {
			if e == "a" {
				return 200 * time.Millisecond
			}
			return 10 * time.Millisecond
		})
		is.New(t).True(got["a"] < 0.1)
	})
	// An endpoint without measurements got no call while the calls of others, one at a
	// time, took less than was assumed of it.
	t.Run("measures an endpoint beside faster ones than is assumed of it", func(t *testing.T) {
		p, all := newPlacer(), threeEndpoints(registrar.StageAny)
		for _, e := range all {
			e.DataCenter = "a"
		}
		fast := func(identifier.Endpoint) time.Duration { return 5 * time.Millisecond }
		callShares(p, all[:2], 50, fast)
		is.New(t).True(callShares(p, all, 50, fast)["c"] > 0)
	})
	t.Run("spreads concurrent calls", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StageAny)
		for range 12 {
			p.Begin(p.ChoosePlain(all, nil, at(0)), placer.Size{})
		}
		for range 3 {
			e := p.ChoosePlain(all, nil, at(0))
			p.Begin(e, placer.Size{})
			i.True(e != nil)
		}
	})
	t.Run("skips leaving and excluded endpoints", func(t *testing.T) {
		i := is.New(t)
		all := threeEndpoints(registrar.StageAny)
		all[0].Leaving = true
		i.Equal(newPlacer().ChoosePlain(all, []identifier.Endpoint{"b"}, at(0)).Name, identifier.Endpoint("c"))
		i.Equal(newPlacer().ChoosePlain(all, []identifier.Endpoint{"b", "c"}, at(0)), nil)
	})
	t.Run("uses an endpoint's load report until it expires", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StageAny)
		p.RecordLoad(all[0], placer.Load{Running: 4, Waiting: 8, Slots: 4}, at(0))
		i.True(p.ChoosePlain(all, nil, at(0)).Name != "a")
		i.Equal(p.ChoosePlain(all, nil, at(time.Second)).Name, identifier.Endpoint("a"))
	})
}

func TestSharedMachines(t *testing.T) {
	i := is.New(t)
	p, all := newPlacer(), threeEndpoints(registrar.StageAny)
	p.RecordLoad(all[0], placer.Load{Running: 1, Slots: 4}, at(0))
	i.True(!p.SharesMachines(all)) // no slowdown reported
	p.RecordLoad(all[1], placer.Load{Running: 1, Slots: 4, Slowdown: 1}, at(0))
	p.RecordLoad(all[1], placer.Load{Running: 1, Slots: 4}, at(0))
	i.True(p.SharesMachines(all))
	i.True(!p.SharesMachines(all[:1]))
	restarted := *all[1]
	restarted.StartID++
	i.True(p.SharesMachines([]*registrar.Endpoint{&restarted}))
	p.Forget(func(identifier.Endpoint) bool { return false })
	i.True(!p.SharesMachines(all))
}

// TestPartiallyFailingEndpoint checks that an endpoint that fails 40% of its calls
// while reporting itself healthy gets fewer calls.
func TestPartiallyFailingEndpoint(t *testing.T) {
	i := is.New(t)
	p, all := newPlacer(), threeEndpoints(registrar.StageAny)
	failingCalls := 0
	for n := range 100 {
		e := p.ChoosePlain(all, nil, at(0))
		v := placer.VerdictSuccess
		if e.Name == "a" {
			failingCalls++
			if n%5 < 2 {
				v = placer.VerdictServerError
			}
		}
		call(p, e, v, 10*time.Millisecond, 0)
	}
	i.True(failingCalls < 25)
}

// TestUnreachableEndpoint covers the avoidance and probing of endpoints that can't
// be reached for several seconds.
func TestUnreachableEndpoint(t *testing.T) {
	t.Run("gets no calls until a probe reaches it", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StageAny)
		call(p, all[0], placer.VerdictResponseFailed, 0, 0)
		for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
			i.True(p.ChoosePlain(all, nil, at(now)).Name != "a")
		}
		p.RecordProbe(all[0], true, at(20*time.Second))
		seen := false
		for range 20 {
			e := p.ChoosePlain(all, nil, at(20*time.Second))
			p.Begin(e, placer.Size{})
			seen = seen || e.Name == "a"
		}
		i.True(seen)
	})
	t.Run("is probed at doubling intervals", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StageAny)
		call(p, all[0], placer.VerdictResponseFailed, 0, 0)
		probes := 0
		for now := time.Duration(0); now < 30*time.Second; now += 10 * time.Millisecond {
			for _, name := range p.DueProbes(allRegistered, at(now)) {
				i.Equal(name, identifier.Endpoint("a"))
				probes++
				i.Equal(len(p.DueProbes(allRegistered, at(now))), 0) // one probe at a time
				p.RecordProbe(all[0], false, at(now))
			}
		}
		i.True(probes >= 28 && probes <= 34) // the interval grows to one second
	})
	t.Run("is probed once it is registered again", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StageAny)
		call(p, all[0], placer.VerdictResponseFailed, 0, 0)
		noneRegistered := func(identifier.Endpoint) bool { return false }
		i.Equal(len(p.DueProbes(noneRegistered, at(time.Second))), 0)
		i.Equal(len(p.DueProbes(allRegistered, at(time.Second))), 1)
	})
	t.Run("is called if all other endpoints failed as well", func(t *testing.T) {
		p, all := newPlacer(), threeEndpoints(registrar.StageAny)
		for _, e := range all {
			call(p, e, placer.VerdictResponseFailed, 0, 0)
		}
		is.New(t).True(p.ChoosePlain(all, nil, at(0)) != nil)
	})
	t.Run("is not called while unreachable, even if there is no other", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StageAny)
		for _, e := range all {
			call(p, e, placer.VerdictUnreachable, 0, 0)
		}
		i.Equal(p.ChoosePlain(all, nil, at(10*time.Second)), nil)
		p.RecordProbe(all[1], true, at(10*time.Second))
		i.Equal(p.ChoosePlain(all, nil, at(10*time.Second)).Name, identifier.Endpoint("b"))
	})
	t.Run("is no longer avoided after a restart", func(t *testing.T) {
		p, all := newPlacer(), threeEndpoints(registrar.StageAny)
		call(p, all[0], placer.VerdictResponseFailed, 0, 0)
		restarted := *all[0]
		restarted.StartID = 2
		is.New(t).Equal(p.ChoosePlain([]*registrar.Endpoint{&restarted, all[1]}, nil, at(0)).Name, identifier.Endpoint("a"))
	})
	t.Run("counts failures of concurrent calls once", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StageAny)
		for range 10 {
			call(p, all[0], placer.VerdictResponseFailed, 0, 0)
		}
		i.Equal(len(p.DueProbes(allRegistered, at(400*time.Millisecond))), 1)
	})
}

// demand is the capacity that a request needs in the tests.
var demand = placer.CapacityDemand{Size: placer.Size{Tokens: 5000}, Memory: 50_000, MaxEngines: 5}

func TestEngines(t *testing.T) {
	t.Run("prefills go to the engine with the fewest tokens in flight", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StagePrefill)
		got := map[identifier.Endpoint]int{}
		for range 9 {
			e := p.ChoosePrefill(all, placer.PrefillDemand{PreferredDataCenter: "a"}, nil, at(0))
			p.Begin(e, placer.Size{Tokens: 5000})
			got[e.Name]++
		}
		i.Equal(got, map[identifier.Endpoint]int{"a": 3, "b": 3, "c": 3})
	})
	t.Run("prefills stay in the decode engine's data center among equal engines", func(t *testing.T) {
		is.New(t).Equal(newPlacer().ChoosePrefill(threeEndpoints(registrar.StagePrefill), placer.PrefillDemand{PreferredDataCenter: "b"}, nil, at(0)).Name, identifier.Endpoint("b"))
	})
	t.Run("no prefill goes to an avoided engine", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StagePrefill)
		for _, e := range all {
			p.RecordOutcome(e, placer.Outcome{Verdict: placer.VerdictResponseFailed}, at(0))
		}
		i.Equal(p.ChoosePrefill(all, placer.PrefillDemand{PreferredDataCenter: "a"}, nil, at(0)), nil) // the decode engine performs the prefill
	})
	t.Run("engines get no requests of another stage", func(t *testing.T) {
		i := is.New(t)
		i.Equal(newPlacer().ChoosePrefill(threeEndpoints(registrar.StageDecode), placer.PrefillDemand{PreferredDataCenter: "a"}, nil, at(0)), nil)
		i.Equal(len(newPlacer().DecodeCandidates(threeEndpoints(registrar.StagePrefill), nil, demand, at(0))), 0)
	})
	t.Run("decode engines are ordered by ascending load", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StageDecode)
		p.Begin(all[0], placer.Size{Tokens: 20_000})
		p.Begin(all[1], placer.Size{Tokens: 10_000})
		var order []identifier.Endpoint
		for _, e := range p.DecodeCandidates(all, nil, demand, at(0)) {
			order = append(order, e.Name)
		}
		i.Equal(order, []identifier.Endpoint{"c", "b", "a"})
	})
	t.Run("engines without memory for the request are skipped", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StageDecode)
		p.Begin(all[0], placer.Size{Tokens: 52_000})
		i.Equal(len(p.DecodeCandidates(all, nil, demand, at(0))), 2)
		i.Equal(len(p.DecodeCandidates(all, nil, placer.CapacityDemand{MaxEngines: 5}, at(0))), 3) // the memory is unknown
		i.Equal(len(p.DecodeCandidates(all, nil, placer.CapacityDemand{MaxEngines: 1}, at(0))), 1)
	})
	t.Run("a full engine is skipped for a short time", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StageDecode)
		p.RecordOutcome(all[0], placer.Outcome{Verdict: placer.VerdictAtCapacity}, at(0))
		i.Equal(len(p.DecodeCandidates(all, nil, demand, at(0))), 2)
		i.Equal(len(p.DecodeCandidates(all, nil, demand, at(time.Second))), 3)
	})
	t.Run("avoided engines are not candidates while others are healthy", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StageDecode)
		p.RecordOutcome(all[0], placer.Outcome{Verdict: placer.VerdictResponseFailed}, at(0))
		p.RecordOutcome(all[1], placer.Outcome{Verdict: placer.VerdictResponseFailed}, at(0))
		i.Equal(len(p.DecodeCandidates(all, nil, demand, at(0))), 1)
	})
	t.Run("avoided engines are not candidates while healthy ones are full", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StageDecode)
		p.RecordOutcome(all[0], placer.Outcome{Verdict: placer.VerdictResponseFailed}, at(0))
		for _, e := range all[1:] {
			p.RecordOutcome(e, placer.Outcome{Verdict: placer.VerdictAtCapacity}, at(0))
		}
		i.Equal(len(p.DecodeCandidates(all, nil, demand, at(0))), 0)
	})
	t.Run("the backoff grows with each refusal of a reserved request", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StageDecode)
		unfit := placer.Outcome{Verdict: placer.VerdictReservationRefused}
		p.RecordOutcome(all[0], unfit, at(0))
		i.Equal(len(p.DecodeCandidates(all, nil, demand, at(100*time.Millisecond))), 2)
		i.Equal(len(p.DecodeCandidates(all, nil, demand, at(300*time.Millisecond))), 3)
		p.RecordOutcome(all[0], unfit, at(time.Second))
		i.Equal(len(p.DecodeCandidates(all, nil, demand, at(1300*time.Millisecond))), 2)
		p.RecordOutcome(all[0], placer.Outcome{Verdict: placer.VerdictSuccess}, at(2*time.Second))
		p.RecordOutcome(all[0], unfit, at(3*time.Second))
		i.Equal(len(p.DecodeCandidates(all, nil, demand, at(3300*time.Millisecond))), 3)
	})
	t.Run("tokens are released when a call ends", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), threeEndpoints(registrar.StagePrefill)
		for range 30 {
			e := p.ChoosePrefill(all, placer.PrefillDemand{PreferredDataCenter: "a"}, nil, at(0))
			p.Begin(e, placer.Size{Tokens: 5000})
			p.End(e, placer.Size{Tokens: 5000})
			i.Equal(e.Name, identifier.Endpoint("a"))
		}
	})
}

// allRegistered reports every endpoint as registered.
func allRegistered(identifier.Endpoint) bool { return true }

func TestLikelyRefuses(t *testing.T) {
	i := is.New(t)
	p := newPlacer()
	e := threeEndpoints(registrar.StagePrefill)[0]
	i.True(!p.LikelyRefuses(e, at(0)))
	call(p, e, placer.VerdictAtCapacity, 0, 0)
	i.True(p.LikelyRefuses(e, at(900*time.Millisecond)))
	i.True(!p.LikelyRefuses(e, at(1100*time.Millisecond))) // it is tried again
	call(p, e, placer.VerdictAtCapacity, 0, 2*time.Second)
	call(p, e, placer.VerdictSuccess, time.Millisecond, 2*time.Second)
	i.True(!p.LikelyRefuses(e, at(2*time.Second)))
}
