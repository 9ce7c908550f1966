package orderer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/orderer"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

const template = `firm = "tamsui"
[[data-center]]
name = "tw-north-1"
region = "tw-north"
[[service]]
name = "dealer-desk"
model = "quotes-8b"
version = "%d"
adapters = ["b", "a"]
[[endpoint]]
name = "checking"
service = "dealer-desk"
data-center = "tw-north-1"
address = "127.0.0.1:7161"
[[endpoint]]
name = "ignoring"
service = "dealer-desk"
data-center = "tw-north-1"
address = "127.0.0.1:7162"
role = "%s"
checks-fence = false
[[endpoint]]
name = "lent"
service = "dealer-desk"
data-center = "tw-north-1"
address = "127.0.0.1:7163"
owner = "snyrtinams"
`

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet compiles a revision whose version and role depend on its number.
func fleet(t testing.TB, r identifier.Revision) *compiler.Fleet {
	t.Helper()
	role := []string{"both", "decode"}[r%2]
	f, err := compiler.FromBytes("test", fmt.Appendf(nil, template, r, role), r)
	is.New(t).NoErr(err)
	return f
}

// fakeEngine simulates an engine that follows orders, with or without checking
// fencing numbers.
type fakeEngine struct {
	report *enginewire.LoadResponse
	checks bool
}

func newEngine(name string, checks bool) *fakeEngine {
	return &fakeEngine{report: &enginewire.LoadResponse{Endpoint: name, Role: "both"}, checks: checks}
}

func (e *fakeEngine) apply(o orderer.Order) {
	r := o.Request()
	if e.checks && r.GetFence() < e.report.GetFence() {
		return
	}
	e.report.Fence = max(e.report.GetFence(), r.GetFence())
	e.report.Role, e.report.Version = r.GetRole(), r.GetVersion()
	e.report.Models, e.report.Adapters = r.GetModels(), r.GetAdapters()
}

// sendReport passes the engine's report to m.
func (e *fakeEngine) sendReport(m *orderer.Machine, now time.Time) []orderer.Action {
	return m.Step(orderer.Observed{Observation: orderer.Observe(e.report, now)}, now)
}

func adopt(m *orderer.Machine, f *compiler.Fleet) []orderer.Action {
	return adoptAt(m, f, start)
}

func adoptAt(m *orderer.Machine, f *compiler.Fleet, now time.Time) []orderer.Action {
	return m.Step(orderer.Adopted{Fleet: f}, now)
}

// onlyOrder checks that there is one action and returns its order.
func onlyOrder(t *testing.T, actions []orderer.Action) orderer.Order {
	t.Helper()
	is := is.New(t)
	is.Equal(len(actions), 1)
	send, ok := actions[0].(orderer.Send)
	is.True(ok)
	return send.Order
}

func TestOrders(t *testing.T) {
	for _, name := range []string{"checking", "ignoring"} {
		t.Run("level-triggered at "+name, func(t *testing.T) {
			is := is.New(t)
			m := orderer.New("tamsui", orderer.DefaultOptions())
			e := newEngine(name, name == "checking")
			adopt(m, fleet(t, 3))
			order := onlyOrder(t, e.sendReport(m, start))
			is.Equal(order.Fence, identifier.Revision(3))
			is.Equal(order.State.Adapters, []string{"a", "b"})
			is.Equal(len(e.sendReport(m, start.Add(time.Second))), 0)
			onlyOrder(t, e.sendReport(m, start.Add(time.Minute)))
			e.apply(order)
			is.Equal(len(e.sendReport(m, start.Add(2*time.Minute))), 0)
			later := start.Add(2*time.Minute + time.Second)
			onlyOrder(t, adoptAt(m, fleet(t, 5), later))
		})
	}
	t.Run("none for an affiliated firm's engine", func(t *testing.T) {
		m := orderer.New("tamsui", orderer.DefaultOptions())
		adopt(m, fleet(t, 3))
		is.New(t).Equal(len(newEngine("lent", true).sendReport(m, start)), 0)
	})
	t.Run("none if the engine reports a newer fencing number", func(t *testing.T) {
		m := orderer.New("tamsui", orderer.DefaultOptions())
		adopt(m, fleet(t, 3))
		e := newEngine("ignoring", false)
		e.report.Fence = 9
		is.New(t).Equal(e.sendReport(m, start), []orderer.Action{orderer.Superseded{Endpoint: "ignoring", Fence: 9}})
	})
	t.Run("none based on an outdated report", func(t *testing.T) {
		is := is.New(t)
		m := orderer.New("tamsui", orderer.DefaultOptions())
		e := newEngine("ignoring", false)
		adopt(m, fleet(t, 3))
		e.apply(onlyOrder(t, e.sendReport(m, start)))
		is.Equal(len(adoptAt(m, fleet(t, 5), start.Add(time.Minute))), 0)
		onlyOrder(t, e.sendReport(m, start.Add(time.Minute)))
	})
	t.Run("none that is outdated when sent", func(t *testing.T) {
		is := is.New(t)
		m := orderer.New("tamsui", orderer.DefaultOptions())
		adopt(m, fleet(t, 3))
		order := onlyOrder(t, newEngine("ignoring", false).sendReport(m, start))
		is.True(order.Fresh(fleet(t, 3), start.Add(time.Millisecond)))
		is.True(!order.Fresh(fleet(t, 3), start.Add(time.Second)))
		is.True(!order.Fresh(fleet(t, 4), start.Add(time.Millisecond)))
	})
}

// TestLateOrders checks that orders which a paused host sends late are corrected
// at engines with and without fencing checks.
func TestLateOrders(t *testing.T) {
	for _, name := range []string{"checking", "ignoring"} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(r *rapid.T) { checkLateOrders(t, r, name) })
		})
	}
}

func checkLateOrders(t *testing.T, r *rapid.T, name string) {
	newer, older := fleet(t, 8), fleet(t, 7)
	m := orderer.New("tamsui", orderer.DefaultOptions())
	paused := orderer.New("tamsui", orderer.DefaultOptions())
	e := newEngine(name, name == "checking")
	now := start
	var lateOrders []orderer.Order
	deliverOrders := func(actions []orderer.Action, deliver func(orderer.Order)) {
		for _, a := range actions {
			if send, ok := a.(orderer.Send); ok {
				deliver(send.Order)
			}
		}
	}
	adopt(paused, older)
	deliverOrders(e.sendReport(paused, now), func(o orderer.Order) { lateOrders = append(lateOrders, o) })
	adopt(m, newer)
	for range rapid.IntRange(0, 12).Draw(r, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(r, "ms")) * time.Millisecond)
		if rapid.Bool().Draw(r, "late") {
			e.apply(lateOrders[0])
			continue
		}
		deliverOrders(e.sendReport(m, now), e.apply)
	}
	for range 2 {
		now = now.Add(orderer.DefaultOptions().ResendAfter)
		deliverOrders(e.sendReport(m, now), e.apply)
	}
	if e.report.GetVersion() != "8" || e.report.GetRole() != "both" || e.report.GetFence() != 8 {
		r.Fatalf("engine is %v after late orders", e.report)
	}
}
