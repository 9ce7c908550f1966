package gossiper_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/measurer"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// healTime is the time within which views have to agree after the last fault:
// a few tries of dead members.
const healTime = 2 * time.Minute

// lateTime is the time within which drawn freezes end, and suspicions from
// before the last fault's end.
const lateTime = 30 * time.Second

// drawFault lets one fault begin and some time pass.
func drawFault(t *rapid.T, f *measurer.Fleet, hosts int) {
	i := rapid.IntRange(0, hosts-1).Draw(t, "host")
	switch rapid.SampledFrom([]string{"cut", "cut-one-way", "freeze", "restart", "mark", "serve", "heal"}).Draw(t, "fault") {
	case "cut":
		side := rapid.SliceOfN(rapid.Bool(), hosts, hosts).Draw(t, "side")
		f.Cut(func(from, to int) bool { return side[from] != side[to] })
	case "cut-one-way":
		f.Cut(func(from, _ int) bool { return from == i })
	case "freeze":
		f.Freeze(i, time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second)
	case "restart":
		f.Restart(i)
	case "mark":
		f.Do(i, drawMark(t, true))
	case "serve":
		f.Do(i, drawMark(t, false))
	case "heal":
		f.Heal()
	}
	f.Run(time.Duration(rapid.IntRange(0, 15000).Draw(t, "pass")) * time.Millisecond)
}

func drawMark(t *rapid.T, leaving bool) gossiper.Marked {
	return gossiper.Marked{
		Endpoint: rapid.SampledFrom([]identifier.Endpoint{"engine-1", "engine-2"}).Draw(t, "endpoint"),
		Mark:     gossiper.Mark{Revision: identifier.Revision(rapid.IntRange(1, 5).Draw(t, "revision")), Leaving: leaving},
	}
}

// observeMarks fails when a mark at a host is undone by an older one.
func observeMarks(t *rapid.T, f *measurer.Fleet, hosts int, seen map[identifier.Incarnation]map[identifier.Endpoint]gossiper.Mark) {
	for i := range hosts {
		marks := f.View(i).Marks()
		for e, old := range seen[f.Incarnation(i)] {
			k := marks[e]
			undone := k.Revision < old.Revision || old.Leaving && !k.Leaving && k.Revision == old.Revision
			if undone {
				t.Fatalf("mark of %q at host %d went from %+v to %+v", e, i, old, k)
			}
		}
		seen[f.Incarnation(i)] = maps.Clone(marks)
	}
}

func TestFaultsHeal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 9).Draw(t, "hosts")
		f := measurer.NewFleet(measurer.FleetConfig{
			Hosts:       hosts,
			DataCenters: rapid.IntRange(1, 3).Draw(t, "data centers"),
			Seed:        rapid.Uint64().Draw(t, "seed"),
			Cold:        rapid.Bool().Draw(t, "cold"),
		})
		seen := map[identifier.Incarnation]map[identifier.Endpoint]gossiper.Mark{}
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			drawFault(t, f, hosts)
			observeMarks(t, f, hosts, seen)
		}
		f.Heal()
		f.Run(lateTime)
		if _, ok := f.RunUntil(healTime, f.Converged); !ok {
			t.Fatalf("views differ after %s", healTime)
		}
		observeMarks(t, f, hosts, seen)
		f.OnChange(func(at int, c gossiper.Changed) {
			if c.To == gossiper.StateDead {
				t.Fatalf("host %d declared %q dead without a fault", at, c.Host)
			}
		})
		f.Run(healTime / 4)
	})
}

// TestAgreement feeds the same news in two orders, parts of it twice.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(drawUpdate), 1, 12).Draw(t, "updates")
		marks := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) peerwire.Mark {
			k := drawMark(t, rapid.Bool().Draw(t, "leaving"))
			return peerwire.Mark{Endpoint: k.Endpoint, Revision: k.Mark.Revision, Leaving: k.Mark.Leaving}
		}), 0, 6).Draw(t, "marks")
		again := append(rapid.Permutation(updates).Draw(t, "order"), updates[0])
		marksAgain := slices.Clone(marks)
		slices.Reverse(marksAgain)
		a := learn(peerwire.News{Updates: append(slices.Clone(births), updates...), Marks: marks})
		b := learn(peerwire.News{Updates: append(slices.Clone(births), again...), Marks: marksAgain})
		if !slices.EqualFunc(a.Members(), b.Members(), sameMember) {
			t.Fatalf("%+v\nis not\n%+v", a.Members(), b.Members())
		}
		if !maps.Equal(a.Marks(), b.Marks()) {
			t.Fatalf("%+v is not %+v", a.Marks(), b.Marks())
		}
	})
}

// births make the hosts of drawUpdate known.
var births = []peerwire.Update{birth("entry-1", 11), birth("entry-2", 21)}

func birth(host identifier.Host, i identifier.Incarnation) peerwire.Update {
	return peerwire.Update{
		Host: host, Incarnation: i, Started: uint64(i),
		Address: identifier.Address(fmt.Sprintf("10.0.0.%d:7400", i)), DataCenter: "tw-north-1",
		State: uint8(gossiper.StateAlive), Version: 1,
	}
}

// drawUpdate draws news of the first or second process of two hosts.
func drawUpdate(t *rapid.T) peerwire.Update {
	u := births[rapid.IntRange(0, 1).Draw(t, "host")]
	if rapid.Bool().Draw(t, "second") {
		u = birth(u.Host, u.Incarnation+1)
	}
	u.State = uint8(rapid.SampledFrom([]gossiper.State{gossiper.StateAlive, gossiper.StateSuspect, gossiper.StateLeaving}).Draw(t, "state"))
	u.Refutation = uint32(rapid.IntRange(0, 3).Draw(t, "refutation"))
	u.Version = uint64(rapid.IntRange(1, 4).Draw(t, "version"))
	u.Revision = identifier.Revision(u.Version)
	return u
}

func sameMember(a, b gossiper.Member) bool {
	return a.Host == b.Host && a.Incarnation == b.Incarnation && a.State == b.State && a.Revision == b.Revision
}

// newMachine gives the machine of host self.
func newMachine(now time.Time) *gossiper.Machine {
	return gossiper.NewMachine(gossiper.Member{
		Host: "self", Incarnation: 1, Started: 1000, DataCenter: "tw-north-1", Address: "10.0.0.99:7400",
	}, gossiper.Options{}, now)
}

// learn gives the view of a machine that has taken news in.
func learn(n peerwire.News) *gossiper.View {
	m := newMachine(time.Unix(0, 0))
	m.Step(time.Unix(0, 0), gossiper.NewsArrived{News: &n})
	return m.View()
}

// replyTo gives what the machine answers to news.
func replyTo(m *gossiper.Machine, from identifier.Incarnation, updates ...peerwire.Update) *peerwire.News {
	for _, a := range m.Step(time.Unix(0, 0), gossiper.NewsArrived{From: from, News: &peerwire.News{Updates: updates}, Reply: true}) {
		if r, ok := a.(gossiper.Reply); ok {
			return r.News
		}
	}
	return nil
}

// about finds what news says of an incarnation.
func about(n *peerwire.News, i identifier.Incarnation) peerwire.Update {
	for _, u := range n.Updates {
		if u.Incarnation == i {
			return u
		}
	}
	return peerwire.Update{}
}

func TestRefutation(t *testing.T) {
	for _, s := range []gossiper.State{gossiper.StateSuspect, gossiper.StateDead} {
		t.Run("answers "+s.String()+" in the same reply", func(t *testing.T) {
			is := is.New(t)
			m := newMachine(time.Unix(0, 0))
			bad := peerwire.Update{Host: "self", Incarnation: 1, Started: 1000, State: uint8(s), Refutation: 4}
			u := about(replyTo(m, 11, bad), 1)
			is.Equal(u.Refutation, uint32(5))
			is.Equal(gossiper.State(u.State), gossiper.StateAlive)
		})
	}
	t.Run("revives a dead member", func(t *testing.T) {
		is := is.New(t)
		dead, alive := births[0], births[0]
		dead.State = uint8(gossiper.StateDead)
		alive.Refutation = 1
		v := learn(peerwire.News{Updates: []peerwire.Update{births[0], dead, alive, dead}})
		n, _ := v.ByIncarnation(11)
		is.Equal(n.State, gossiper.StateAlive)
	})
	t.Run("is repeated when it was lost", func(t *testing.T) {
		is := is.New(t)
		f := measurer.NewFleet(measurer.FleetConfig{Hosts: 4, DataCenters: 1, Seed: 1})
		f.Run(lateTime)
		var suspectedAt time.Time
		f.OnChange(func(_ int, c gossiper.Changed) {
			is.True(c.To != gossiper.StateDead)
			if suspectedAt.IsZero() && c.To == gossiper.StateSuspect {
				suspectedAt = f.Now()
			}
		})
		f.Cut(func(from, _ int) bool { return from == 0 }) // host 0 hears but is not heard
		_, ok := f.RunUntil(lateTime, func() bool { return !suspectedAt.IsZero() })
		is.True(ok)
		f.Run(1500 * time.Millisecond) // half of the default suspicion time-out
		f.Heal()
		f.Run(lateTime)
		is.True(f.Converged())
	})
	t.Run("a peer that counts as dead is told so", func(t *testing.T) {
		dead := births[0]
		dead.State = uint8(gossiper.StateDead)
		m := newMachine(time.Unix(0, 0))
		replyTo(m, 21, births[1], births[0], dead)
		for len(replyTo(m, 21).Updates) > 0 { // what is told to everyone
		}
		u := about(replyTo(m, 11), 11)
		is.New(t).Equal(gossiper.State(u.State), gossiper.StateDead)
	})
	t.Run("a peer that isn't known is told so", func(t *testing.T) {
		is.New(t).True(replyTo(newMachine(time.Unix(0, 0)), 77).Unknown)
	})
}

func TestSuspicion(t *testing.T) {
	start := time.Unix(0, 0)
	suspect := births[0]
	suspect.State = uint8(gossiper.StateSuspect)
	state := func(m *gossiper.Machine) gossiper.State {
		n, _ := m.View().ByIncarnation(11)
		return n.State
	}
	t.Run("ends in death after its time-out, pauses of this process not counted", func(t *testing.T) {
		is := is.New(t)
		m := newMachine(start)
		m.Step(start, gossiper.NewsArrived{News: &peerwire.News{Updates: []peerwire.Update{births[0], suspect}}})
		const pause = 10 * time.Second
		for d := 100 * time.Millisecond; d < 3*time.Second; d += 100 * time.Millisecond {
			m.Step(start.Add(pause+d), gossiper.Ticked{})
			is.Equal(state(m), gossiper.StateSuspect)
		}
		m.Step(start.Add(pause+3200*time.Millisecond), gossiper.Ticked{})
		is.Equal(state(m), gossiper.StateDead)
	})
	t.Run("does not follow from one broken link", func(t *testing.T) {
		is := is.New(t)
		f := measurer.NewFleet(measurer.FleetConfig{Hosts: 4, DataCenters: 1, Seed: 1})
		f.Run(lateTime)
		f.OnChange(func(_ int, c gossiper.Changed) { is.True(c.To != gossiper.StateSuspect) })
		f.Cut(func(from, to int) bool { return from+to == 1 })
		f.Run(lateTime)
	})
	t.Run("does not follow from a cut between data centers", func(t *testing.T) {
		is := is.New(t)
		f := measurer.NewFleet(measurer.FleetConfig{Hosts: 9, DataCenters: 3, Seed: 1})
		f.Run(lateTime)
		f.OnChange(func(_ int, c gossiper.Changed) { is.True(c.To != gossiper.StateSuspect) })
		f.Cut(func(from, to int) bool { return (from%3 == 0) != (to%3 == 0) })
		f.Run(lateTime)
		is.True(!f.View(0).Reachable("tw-north-2"))
		is.True(!f.View(1).Reachable("tw-north-1"))
		is.True(f.View(1).Reachable("tw-north-3"))
		is.Equal(f.View(0).Live("tw-north-2")[0].State, gossiper.StateSuspect)
		f.Run(2 * lateTime)
		is.Equal(len(f.View(0).Live("tw-north-2")), 0)
		is.Equal(len(f.View(0).Live("tw-north-1")), 3)
		f.Heal()
		_, ok := f.RunUntil(lateTime, f.Converged)
		is.True(ok)
		is.True(f.View(0).Reachable("tw-north-2"))
	})
}

func TestRevision(t *testing.T) {
	const hosts = 90 // beyond Options.SmallFleet
	publish := func(f *measurer.Fleet, i int, r identifier.Revision) {
		f.Do(i, gossiper.Published{Payload: gossiper.Payload{Revision: r, Readiness: gossiper.ReadinessReady}})
	}
	newest := func(v *gossiper.View) (newest identifier.Revision, holders int) {
		for _, n := range v.Members() {
			if n.Revision > newest {
				newest, holders = n.Revision, 0
			}
			if n.Revision == newest {
				holders++
			}
		}
		return newest, holders
	}
	is := is.New(t)
	f := measurer.NewFleet(measurer.FleetConfig{Hosts: hosts, DataCenters: 3, Seed: 1})
	for i := range hosts {
		publish(f, i, 1)
	}
	f.Run(2 * time.Minute)
	publish(f, 7, 2)
	f.Run(2 * time.Second)
	for i := range hosts {
		r, _ := newest(f.View(i))
		is.Equal(r, identifier.Revision(2)) // all know that one host has it
		publish(f, i, 2)
	}
	f.Run(5 * time.Minute)
	_, holders := newest(f.View(0))
	is.True(holders >= hosts/3) // all of the data center, by their digests
}

func TestSameName(t *testing.T) {
	rival := peerwire.Update{
		Host: "self", Incarnation: 2, Started: 2000, Address: "10.0.0.98:7400", DataCenter: "tw-north-1",
		State: uint8(gossiper.StateAlive), Version: 1,
	}
	t.Run("the later process keeps the name", func(t *testing.T) {
		is := is.New(t)
		m := newMachine(time.Unix(0, 0))
		replyTo(m, 2, rival)
		is.True(m.View().Superseded())
		is.Equal(m.View().Live("tw-north-1")[0].Incarnation, identifier.Incarnation(2))
		n, ok := m.View().ByIncarnation(1)
		is.True(ok)
		is.Equal(n.State, gossiper.StateDead)
	})
	t.Run("the earlier one takes it back when the later one died", func(t *testing.T) {
		is := is.New(t)
		m := newMachine(time.Unix(0, 0))
		dead := rival
		dead.State = uint8(gossiper.StateDead)
		u := about(replyTo(m, 2, rival, dead), 1)
		is.True(!m.View().Superseded())
		is.Equal(u.Started, uint64(2001))
	})
	t.Run("a process outbids one that had its address, whatever the clocks say", func(t *testing.T) {
		is := is.New(t)
		m := newMachine(time.Unix(0, 0))
		old := rival
		old.Address = "10.0.0.99:7400"
		u := about(replyTo(m, 11, old), 1)
		is.True(!m.View().Superseded())
		is.Equal(u.Started, uint64(2001))
	})
	t.Run("the earlier one hears of the later from any peer", func(t *testing.T) {
		is := is.New(t)
		m := newMachine(time.Unix(0, 0))
		second := birth("entry-1", 12)
		replyTo(m, 12, births[0], second)
		is.Equal(about(replyTo(m, 11), 12).Address, second.Address)
	})
}
