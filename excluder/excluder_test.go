package excluder_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/excluder"
	"github.com/jackdawthread/jackdawthread/registrar"
)

var start = time.Unix(1_000, 0)

// at returns the time d after the start.
func at(d time.Duration) time.Time {
	return start.Add(d)
}

// endpoint returns an incarnation of an endpoint.
func endpoint(name identifier.Endpoint, startID int64) *registrar.Endpoint {
	return &registrar.Endpoint{Name: name, Service: "desk", Address: "10.0.0.1:80", StartID: startID}
}

func snapshot(list ...*registrar.Endpoint) *registrar.Snapshot {
	r := registrar.New()
	r.SetEndpoints(list)
	return r.Snapshot()
}

// leaving returns an Excluder that has observed at the start that e is leaving.
func leaving(e *registrar.Endpoint) *excluder.Excluder {
	x := excluder.New()
	x.Observe(e, excluder.Notice{Leaving: true}, start)
	return x
}

func requireNames(t *testing.T, list []*registrar.Endpoint, want ...identifier.Endpoint) {
	t.Helper()
	i := is.New(t)
	i.Helper()
	names := []identifier.Endpoint{}
	for _, e := range list {
		names = append(names, e.Name)
	}
	i.Equal(names, append([]identifier.Endpoint{}, want...))
}

func TestLeaving(t *testing.T) {
	a, b := endpoint("a", 5), endpoint("b", 6)
	t.Run("gets no new calls at once while there are others", func(t *testing.T) {
		requireNames(t, leaving(a).Usable([]*registrar.Endpoint{a, b}, start), "b")
	})
	t.Run("gets planned calls for the drain time only", func(t *testing.T) {
		i := is.New(t)
		x := leaving(a)
		i.Equal(x.Check(a, at(1400*time.Millisecond)), excluder.RefusalNone)
		i.Equal(x.Check(a, at(1500*time.Millisecond)), excluder.RefusalLeaving)
		i.Equal(x.Check(a, at(time.Hour)), excluder.RefusalLeaving)
	})
	t.Run("is the last resort for the drain time", func(t *testing.T) {
		x := leaving(a)
		requireNames(t, x.Usable([]*registrar.Endpoint{a}, at(time.Second)), "a")
		requireNames(t, x.Usable([]*registrar.Endpoint{a}, at(2*time.Second)))
	})
	t.Run("doesn't keep engines of the other stage from being used", func(t *testing.T) {
		prefill := endpoint("f", 7)
		prefill.Stage = registrar.StagePrefill
		requireNames(t, leaving(a).Usable([]*registrar.Endpoint{a, prefill}, at(time.Second)), "a", "f")
	})
	t.Run("is the last resort if the store lists the others as leaving", func(t *testing.T) {
		c := endpoint("c", 8)
		c.Leaving = true
		requireNames(t, leaving(a).Usable([]*registrar.Endpoint{a, c}, at(time.Second)), "a")
	})
	t.Run("is not staying, and neither is one that another host reports", func(t *testing.T) {
		c := endpoint("c", 8)
		x := leaving(a)
		x.Report(b, 6)
		x.Observe(c, excluder.Notice{Pause: time.Minute}, start)
		requireNames(t, x.Staying([]*registrar.Endpoint{a, b, c}), "c")
	})
	t.Run("isn't taken back by a later response, and doesn't begin anew", func(t *testing.T) {
		i := is.New(t)
		x := leaving(a)
		x.Observe(a, excluder.Notice{}, at(time.Second))
		i.True(!x.Observe(a, excluder.Notice{Leaving: true}, at(time.Second)).Left)
		i.Equal(x.Check(a, at(1500*time.Millisecond)), excluder.RefusalLeaving)
	})
}

func TestIncarnations(t *testing.T) {
	later := at(time.Hour)
	moved := func(e *registrar.Endpoint) *registrar.Endpoint {
		m := *e
		m.Address = "10.0.0.2:80"
		return &m
	}
	cases := []struct {
		name            string
		noticed, listed *registrar.Endpoint
		want            excluder.Refusal
	}{
		{"a later start is free of the notice", endpoint("a", 5), endpoint("a", 6), excluder.RefusalNone},
		{"an earlier start isn't", endpoint("a", 5), endpoint("a", 4), excluder.RefusalLeaving},
		{"another address of one start isn't", endpoint("a", 5), moved(endpoint("a", 5)), excluder.RefusalLeaving},
		{"another address is, if starts are unknown", endpoint("a", 0), moved(endpoint("a", 0)), excluder.RefusalNone},
		{"the same address isn't, if starts are unknown", endpoint("a", 0), endpoint("a", 0), excluder.RefusalLeaving},
		{"the same address isn't, if one start is unknown", endpoint("a", 5), endpoint("a", 0), excluder.RefusalLeaving},
		{"another name at the address is", endpoint("a", 5), endpoint("b", 5), excluder.RefusalNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(leaving(c.noticed).Check(c.listed, later), c.want)
		})
	}
	t.Run("a late response of an earlier start changes nothing", func(t *testing.T) {
		i := is.New(t)
		x := leaving(endpoint("a", 5))
		x.Observe(endpoint("a", 4), excluder.Notice{Pause: time.Minute}, start)
		i.Equal(x.Check(endpoint("a", 5), start), excluder.RefusalNone)
	})
	t.Run("a notice outlives the removal and the restart of its endpoint for a while", func(t *testing.T) {
		i := is.New(t)
		a := endpoint("a", 5)
		x := leaving(a)
		x.Update(snapshot(), at(2*time.Second))
		x.Update(snapshot(endpoint("a", 6)), at(40*time.Second))
		i.Equal(x.Check(a, at(40*time.Second)), excluder.RefusalLeaving)
		x.Update(snapshot(), at(70*time.Second))
		i.Equal(x.Check(a, at(70*time.Second)), excluder.RefusalNone)
	})
	t.Run("a notice lasts as long as its endpoint is registered", func(t *testing.T) {
		a := endpoint("a", 5)
		x := leaving(a)
		x.Update(snapshot(a), at(time.Hour))
		is.New(t).Equal(x.Check(a, at(time.Hour)), excluder.RefusalLeaving)
	})
}

func TestReports(t *testing.T) {
	a, b := endpoint("a", 5), endpoint("b", 6)
	t.Run("lower the rank and forbid nothing", func(t *testing.T) {
		i := is.New(t)
		x := excluder.New()
		i.True(x.Report(a, 5))
		i.True(!x.Report(a, 5)) // no news
		requireNames(t, x.Usable([]*registrar.Endpoint{a, b}, start), "b")
		requireNames(t, x.Usable([]*registrar.Endpoint{a}, at(time.Hour)), "a")
		i.Equal(x.Check(a, at(time.Hour)), excluder.RefusalNone)
	})
	t.Run("of another or an unknown start are ignored", func(t *testing.T) {
		i := is.New(t)
		x := excluder.New()
		i.True(!x.Report(a, 4))
		i.True(!x.Report(a, 6))
		i.True(!x.Report(endpoint("a", 0), 0))
	})
	t.Run("are overridden by the endpoint's own notice", func(t *testing.T) {
		x := excluder.New()
		x.Report(a, 5)
		x.Observe(a, excluder.Notice{Leaving: true}, start)
		is.New(t).Equal(x.Check(a, at(2*time.Second)), excluder.RefusalLeaving)
	})
}

func TestPause(t *testing.T) {
	a, b := endpoint("a", 5), endpoint("b", 6)
	both := []*registrar.Endpoint{a, b}
	paused := func(x *excluder.Excluder, e *registrar.Endpoint, d time.Duration) excluder.Changes {
		return x.Observe(e, excluder.Notice{Pause: d}, start)
	}
	t.Run("excludes the endpoint until its end", func(t *testing.T) {
		i := is.New(t)
		x := excluder.New()
		i.Equal(paused(x, a, 300*time.Millisecond).Pause, 300*time.Millisecond)
		requireNames(t, x.Usable(both, start), "b")
		i.Equal(x.Check(a, at(299*time.Millisecond)), excluder.RefusalPaused)
		i.Equal(x.Check(a, at(300*time.Millisecond)), excluder.RefusalNone)
		i.Equal(x.Update(snapshot(a), at(300*time.Millisecond)), []identifier.Endpoint{"a"})
		i.Equal(len(x.Update(snapshot(a), at(time.Second))), 0)
	})
	t.Run("is not shortened by a later, shorter one", func(t *testing.T) {
		i := is.New(t)
		x := excluder.New()
		paused(x, a, time.Minute)
		i.Equal(paused(x, a, time.Second).Pause, time.Duration(0))
		i.Equal(x.Check(a, at(59*time.Second)), excluder.RefusalPaused)
	})
	t.Run("is bounded", func(t *testing.T) {
		is.New(t).Equal(paused(excluder.New(), a, 1000*time.Hour).Pause, excluder.MaxPause)
	})
	t.Run("of all endpoints ends with the first", func(t *testing.T) {
		i := is.New(t)
		x := excluder.New()
		paused(x, a, 3*time.Second)
		_, ok := x.EarliestReturn(both, start)
		i.True(!ok) // b isn't paused
		paused(x, b, 2*time.Second)
		wait, ok := x.EarliestReturn(both, at(time.Second))
		i.True(ok)
		i.Equal(wait, time.Second)
	})
	t.Run("of a leaving endpoint is none to wait for", func(t *testing.T) {
		i := is.New(t)
		x := leaving(a)
		paused(x, a, time.Second)
		paused(x, b, 2*time.Second)
		wait, ok := x.EarliestReturn(both, start)
		i.True(ok)
		i.Equal(wait, 2*time.Second)
	})
}
