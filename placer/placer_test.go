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

// pool gives three endpoints, in three data centres.
func pool(stage registrar.Stage) []*registrar.Endpoint {
	var all []*registrar.Endpoint
	for _, name := range []identifier.Endpoint{"a", "b", "c"} {
		all = append(all, &registrar.Endpoint{
			Name: name, Service: "desk", DataCenter: identifier.DataCenter(name), Slots: 4, Stage: stage, Started: 1,
		})
	}
	return all
}

// call plays one call with an outcome.
func call(p *placer.Placer, e *registrar.Endpoint, v placer.Verdict, took, now time.Duration) {
	p.Begin(e, 0)
	p.End(e, 0)
	p.Judge(e, placer.Outcome{Verdict: v, Latency: took}, at(now))
}

// share gives the part of count calls that goes to each endpoint, when all of
// them take as long as latency says.
func share(p *placer.Placer, all []*registrar.Endpoint, count int, latency func(identifier.Endpoint) time.Duration) map[identifier.Endpoint]float64 {
	got := map[identifier.Endpoint]float64{}
	for n := range count {
		e := p.Plain(all, nil, at(time.Duration(n)*time.Millisecond))
		got[e.Name] += 1 / float64(count)
		call(p, e, placer.VerdictSound, latency(e.Name), time.Duration(n)*time.Millisecond)
	}
	return got
}

func TestPlain(t *testing.T) {
	t.Run("prefers the own data centre among equals", func(t *testing.T) {
		got := share(newPlacer(), pool(registrar.StageAny), 50, func(identifier.Endpoint) time.Duration { return 10 * time.Millisecond })
		is.New(t).True(got["a"] > 0.9)
	})
	t.Run("leaves a slow endpoint within a few calls", func(t *testing.T) {
		got := share(newPlacer(), pool(registrar.StageAny), 50, func(e identifier.Endpoint) time.Duration {
			if e == "a" {
				return 200 * time.Millisecond
			}
			return 10 * time.Millisecond
		})
		is.New(t).True(got["a"] < 0.1)
	})
	t.Run("spreads calls that run at the same time", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StageAny)
		for range 12 {
			p.Begin(p.Plain(all, nil, at(0)), 0)
		}
		for range 3 {
			e := p.Plain(all, nil, at(0))
			p.Begin(e, 0)
			i.True(e != nil)
		}
	})
	t.Run("keeps away from endpoints that leave and those to exclude", func(t *testing.T) {
		i := is.New(t)
		all := pool(registrar.StageAny)
		all[0].Leaving = true
		i.Equal(newPlacer().Plain(all, []identifier.Endpoint{"b"}, at(0)).Name, identifier.Endpoint("c"))
		i.Equal(newPlacer().Plain(all, []identifier.Endpoint{"b", "c"}, at(0)), nil)
	})
	t.Run("believes what an endpoint says of its load, for a while", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StageAny)
		p.Loaded(all[0], placer.Load{Running: 4, Waiting: 8, Slots: 4}, at(0))
		i.True(p.Plain(all, nil, at(0)).Name != "a")
		i.Equal(p.Plain(all, nil, at(time.Second)).Name, identifier.Endpoint("a"))
	})
}

// TestGreyEndpoint plays an endpoint that fails four calls in ten while it
// says that it is healthy.
func TestGreyEndpoint(t *testing.T) {
	i := is.New(t)
	p, all := newPlacer(), pool(registrar.StageAny)
	grey := 0
	for n := range 100 {
		e := p.Plain(all, nil, at(0))
		v := placer.VerdictSound
		if e.Name == "a" {
			grey++
			if n%5 < 2 {
				v = placer.VerdictFailure
			}
		}
		call(p, e, v, 10*time.Millisecond, 0)
	}
	i.True(grey < 25)
}

// TestDarkEndpoint plays an endpoint that can't be reached for some seconds.
func TestDarkEndpoint(t *testing.T) {
	t.Run("gets no calls until it is reached again", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StageAny)
		call(p, all[0], placer.VerdictBroken, 0, 0)
		for now := time.Duration(0); now < 20*time.Second; now += 100 * time.Millisecond {
			i.True(p.Plain(all, nil, at(now)).Name != "a")
		}
		p.Probed(all[0], true, at(20*time.Second))
		seen := false
		for range 20 {
			e := p.Plain(all, nil, at(20*time.Second))
			p.Begin(e, 0)
			seen = seen || e.Name == "a"
		}
		i.True(seen)
	})
	t.Run("is probed at times that double", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StageAny)
		call(p, all[0], placer.VerdictBroken, 0, 0)
		probes := 0
		for now := time.Duration(0); now < 30*time.Second; now += 10 * time.Millisecond {
			for _, name := range p.Due(anyName, at(now)) {
				i.Equal(name, identifier.Endpoint("a"))
				probes++
				i.Equal(len(p.Due(anyName, at(now))), 0) // one at a time
				p.Probed(all[0], false, at(now))
			}
		}
		i.True(probes >= 28 && probes <= 34) // each second, in the end
	})
	t.Run("is probed once it is registered again", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StageAny)
		call(p, all[0], placer.VerdictBroken, 0, 0)
		gone := func(identifier.Endpoint) bool { return false }
		i.Equal(len(p.Due(gone, at(time.Second))), 0)
		i.Equal(len(p.Due(anyName, at(time.Second))), 1)
	})
	t.Run("is called if all others broke off as well", func(t *testing.T) {
		p, all := newPlacer(), pool(registrar.StageAny)
		for _, e := range all {
			call(p, e, placer.VerdictBroken, 0, 0)
		}
		is.New(t).True(p.Plain(all, nil, at(0)) != nil)
	})
	t.Run("is not called while it can't be reached, even if there is no other", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StageAny)
		for _, e := range all {
			call(p, e, placer.VerdictUnreachable, 0, 0)
		}
		i.Equal(p.Plain(all, nil, at(10*time.Second)), nil)
		p.Probed(all[1], true, at(10*time.Second))
		i.Equal(p.Plain(all, nil, at(10*time.Second)).Name, identifier.Endpoint("b"))
	})
	t.Run("counts anew when it starts again", func(t *testing.T) {
		p, all := newPlacer(), pool(registrar.StageAny)
		call(p, all[0], placer.VerdictBroken, 0, 0)
		restarted := *all[0]
		restarted.Started = 2
		is.New(t).Equal(p.Plain([]*registrar.Endpoint{&restarted, all[1]}, nil, at(0)).Name, identifier.Endpoint("a"))
	})
	t.Run("fails once for all calls that were under way", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StageAny)
		for range 10 {
			call(p, all[0], placer.VerdictBroken, 0, 0)
		}
		i.Equal(len(p.Due(anyName, at(400*time.Millisecond))), 1)
	})
}

// room is what a request needs in the tests.
var room = placer.Room{Tokens: 5000, Memory: 50_000, Most: 5}

func TestEngines(t *testing.T) {
	t.Run("prompts go where the fewest tokens wait", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StagePrefill)
		got := map[identifier.Endpoint]int{}
		for range 9 {
			e := p.Prefill(all, "a", nil, at(0))
			p.Begin(e, 5000)
			got[e.Name]++
		}
		i.Equal(got, map[identifier.Endpoint]int{"a": 3, "b": 3, "c": 3})
	})
	t.Run("prompts go near their decode engine among equals", func(t *testing.T) {
		is.New(t).Equal(newPlacer().Prefill(pool(registrar.StagePrefill), "b", nil, at(0)).Name, identifier.Endpoint("b"))
	})
	t.Run("no prompt goes to an avoided engine", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StagePrefill)
		for _, e := range all {
			p.Judge(e, placer.Outcome{Verdict: placer.VerdictBroken}, at(0))
		}
		i.Equal(p.Prefill(all, "a", nil, at(0)), nil) // its decode engine reads it
	})
	t.Run("no prompt goes to a decode engine, and no decode to a prefill engine", func(t *testing.T) {
		i := is.New(t)
		i.Equal(newPlacer().Prefill(pool(registrar.StageDecode), "a", nil, at(0)), nil)
		i.Equal(len(newPlacer().Decodes(pool(registrar.StagePrefill), nil, room, at(0))), 0)
	})
	t.Run("decode engines come the emptiest first", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StageDecode)
		p.Begin(all[0], 20_000)
		p.Begin(all[1], 10_000)
		var order []identifier.Endpoint
		for _, e := range p.Decodes(all, nil, room, at(0)) {
			order = append(order, e.Name)
		}
		i.Equal(order, []identifier.Endpoint{"c", "b", "a"})
	})
	t.Run("an engine without memory for the request is none", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StageDecode)
		p.Begin(all[0], 52_000)
		i.Equal(len(p.Decodes(all, nil, room, at(0))), 2)
		i.Equal(len(p.Decodes(all, nil, placer.Room{Most: 5}, at(0))), 3) // where nothing is known of memory
		i.Equal(len(p.Decodes(all, nil, placer.Room{Most: 1}, at(0))), 1)
	})
	t.Run("a full engine is left alone for a moment", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StageDecode)
		p.Judge(all[0], placer.Outcome{Verdict: placer.VerdictFull}, at(0))
		i.Equal(len(p.Decodes(all, nil, room, at(0))), 2)
		i.Equal(len(p.Decodes(all, nil, room, at(time.Second))), 3)
	})
	t.Run("dark engines are not searched for room while others are there", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StageDecode)
		p.Judge(all[0], placer.Outcome{Verdict: placer.VerdictBroken}, at(0))
		p.Judge(all[1], placer.Outcome{Verdict: placer.VerdictBroken}, at(0))
		i.Equal(len(p.Decodes(all, nil, room, at(0))), 1)
	})
	t.Run("dark engines are not searched for room while others are full", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StageDecode)
		p.Judge(all[0], placer.Outcome{Verdict: placer.VerdictBroken}, at(0))
		for _, e := range all[1:] {
			p.Judge(e, placer.Outcome{Verdict: placer.VerdictFull}, at(0))
		}
		i.Equal(len(p.Decodes(all, nil, room, at(0))), 0)
	})
	t.Run("an engine that refuses what it reserved is left alone for longer each time", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StageDecode)
		unfit := placer.Outcome{Verdict: placer.VerdictUnfit}
		p.Judge(all[0], unfit, at(0))
		i.Equal(len(p.Decodes(all, nil, room, at(100*time.Millisecond))), 2)
		i.Equal(len(p.Decodes(all, nil, room, at(300*time.Millisecond))), 3)
		p.Judge(all[0], unfit, at(time.Second))
		i.Equal(len(p.Decodes(all, nil, room, at(1300*time.Millisecond))), 2)
		p.Judge(all[0], placer.Outcome{Verdict: placer.VerdictSound}, at(2*time.Second))
		p.Judge(all[0], unfit, at(3*time.Second))
		i.Equal(len(p.Decodes(all, nil, room, at(3300*time.Millisecond))), 3)
	})
	t.Run("tokens are given back at the end", func(t *testing.T) {
		i := is.New(t)
		p, all := newPlacer(), pool(registrar.StagePrefill)
		for range 30 {
			e := p.Prefill(all, "a", nil, at(0))
			p.Begin(e, 5000)
			p.End(e, 5000)
			i.Equal(e.Name, identifier.Endpoint("a"))
		}
	})
}

// anyName has all endpoints registered.
func anyName(identifier.Endpoint) bool { return true }
