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

// convergenceBound is the time within which views must agree after the last
// fault. It allows for a few probes of dead members.
const convergenceBound = 2 * time.Minute

// settleTime is the time after which all injected freezes, and the suspicions
// that arose before the last fault ended, are over.
const settleTime = 30 * time.Second

// injectFault starts a random fault and lets a random time pass.
func injectFault(t *rapid.T, f *measurer.Fleet, hosts int) {
	i := rapid.IntRange(0, hosts-1).Draw(t, "host")
	switch rapid.SampledFrom([]string{"cut", "cut-one-way", "freeze", "restart", "mark", "serve", "heal"}).Draw(t, "fault") {
	case "cut":
		side := rapid.SliceOfN(rapid.Bool(), hosts, hosts).Draw(t, "side")
		f.Partition(func(from, to int) bool { return side[from] != side[to] })
	case "cut-one-way":
		f.Partition(func(from, _ int) bool { return from == i })
	case "freeze":
		f.Freeze(i, time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second)
	case "restart":
		f.Restart(i)
	case "mark":
		f.Apply(i, drawMark(t, true))
	case "serve":
		f.Apply(i, drawMark(t, false))
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

// checkMarks fails if an older mark replaced a newer one at any host.
func checkMarks(t *rapid.T, f *measurer.Fleet, hosts int, seen map[identifier.Incarnation]map[identifier.Endpoint]gossiper.Mark) {
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

// TestConvergenceAfterFaults checks, for random sequences of faults, that no mark
// reverts to an older one, that all views agree after the faults have ended, and
// that no host is declared dead from then on.
func TestConvergenceAfterFaults(t *testing.T) {
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
			injectFault(t, f, hosts)
			checkMarks(t, f, hosts, seen)
		}
		f.Heal()
		f.Run(settleTime)
		if _, ok := f.RunUntil(convergenceBound, f.Converged); !ok {
			t.Fatalf("views differ after %s", convergenceBound)
		}
		checkMarks(t, f, hosts, seen)
		f.OnChange(func(at int, c gossiper.MemberChanged) {
			if c.To == gossiper.StateDead {
				t.Fatalf("host %d declared %q dead without a fault", at, c.Host)
			}
		})
		f.Run(convergenceBound / 4)
	})
}

// TestMergeOrder checks that machines which receive the same news in different
// orders, and some of it twice, end with the same members and marks.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(drawUpdate), 1, 12).Draw(t, "updates")
		marks := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) peerwire.Mark {
			k := drawMark(t, rapid.Bool().Draw(t, "leaving"))
			return peerwire.Mark{Endpoint: k.Endpoint, Revision: k.Mark.Revision, Leaving: k.Mark.Leaving}
		}), 0, 6).Draw(t, "marks")
		shuffled := append(rapid.Permutation(updates).Draw(t, "order"), updates[0])
		reversedMarks := slices.Clone(marks)
		slices.Reverse(reversedMarks)
		a := viewAfter(peerwire.Gossip{Updates: append(slices.Clone(initialUpdates), updates...), Marks: marks})
		b := viewAfter(peerwire.Gossip{Updates: append(slices.Clone(initialUpdates), shuffled...), Marks: reversedMarks})
		if !slices.EqualFunc(a.Members(), b.Members(), sameMember) {
			t.Fatalf("%+v\nis not\n%+v", a.Members(), b.Members())
		}
		if !maps.Equal(a.Marks(), b.Marks()) {
			t.Fatalf("%+v is not %+v", a.Marks(), b.Marks())
		}
	})
}

// initialUpdates introduce the hosts of drawUpdate.
var initialUpdates = []peerwire.Update{aliveUpdate("entry-1", 11), aliveUpdate("entry-2", 21)}

func aliveUpdate(host identifier.Host, i identifier.Incarnation) peerwire.Update {
	return peerwire.Update{
		Host: host, Incarnation: i, Started: uint64(i),
		Address: identifier.Address(fmt.Sprintf("10.0.0.%d:7400", i)), DataCenter: "tw-north-1",
		State: uint8(gossiper.StateAlive), Version: 1,
	}
}

// drawUpdate draws an update about the first or second process of one of two
// hosts.
func drawUpdate(t *rapid.T) peerwire.Update {
	u := initialUpdates[rapid.IntRange(0, 1).Draw(t, "host")]
	if rapid.Bool().Draw(t, "second") {
		u = aliveUpdate(u.Host, u.Incarnation+1)
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

// newMachine returns a machine with the host name "self".
func newMachine(now time.Time) *gossiper.Machine {
	return gossiper.NewMachine(gossiper.Member{
		Host: "self", Incarnation: 1, Started: 1000, DataCenter: "tw-north-1", Address: "10.0.0.99:7400",
	}, gossiper.Options{}, now)
}

// viewAfter returns the view of a new machine after it has merged n.
func viewAfter(n peerwire.Gossip) *gossiper.View {
	m := newMachine(time.Unix(0, 0))
	m.Step(time.Unix(0, 0), gossiper.GossipArrived{Gossip: &n})
	return m.View()
}

// replyTo returns the machine's reply to a probe with the updates.
func replyTo(m *gossiper.Machine, from identifier.Incarnation, updates ...peerwire.Update) *peerwire.Gossip {
	for _, a := range m.Step(time.Unix(0, 0), gossiper.GossipArrived{From: from, Gossip: &peerwire.Gossip{Updates: updates}, Reply: true}) {
		if r, ok := a.(gossiper.Reply); ok {
			return r.Gossip
		}
	}
	return nil
}

// updateOf returns the update about an incarnation, or a zero one if there is
// none.
func updateOf(n *peerwire.Gossip, i identifier.Incarnation) peerwire.Update {
	for _, u := range n.Updates {
		if u.Incarnation == i {
			return u
		}
	}
	return peerwire.Update{}
}

func TestRefutation(t *testing.T) {
	for _, s := range []gossiper.State{gossiper.StateSuspect, gossiper.StateDead} {
		t.Run("is sent in the reply to news of state "+s.String(), func(t *testing.T) {
			is := is.New(t)
			m := newMachine(time.Unix(0, 0))
			accusation := peerwire.Update{Host: "self", Incarnation: 1, Started: 1000, State: uint8(s), Refutation: 4}
			u := updateOf(replyTo(m, 11, accusation), 1)
			is.Equal(u.Refutation, uint32(5))
			is.Equal(gossiper.State(u.State), gossiper.StateAlive)
		})
	}
	t.Run("revives a dead member", func(t *testing.T) {
		is := is.New(t)
		dead, alive := initialUpdates[0], initialUpdates[0]
		dead.State = uint8(gossiper.StateDead)
		alive.Refutation = 1
		v := viewAfter(peerwire.Gossip{Updates: []peerwire.Update{initialUpdates[0], dead, alive, dead}})
		n, _ := v.ByIncarnation(11)
		is.Equal(n.State, gossiper.StateAlive)
	})
	t.Run("is repeated after it was lost", func(t *testing.T) {
		is := is.New(t)
		f := measurer.NewFleet(measurer.FleetConfig{Hosts: 4, DataCenters: 1, Seed: 1})
		f.Run(settleTime)
		var suspectedAt time.Time
		f.OnChange(func(_ int, c gossiper.MemberChanged) {
			is.True(c.To != gossiper.StateDead)
			if suspectedAt.IsZero() && c.To == gossiper.StateSuspect {
				suspectedAt = f.Now()
			}
		})
		f.Partition(func(from, _ int) bool { return from == 0 }) // host 0 receives messages, but its own are lost
		_, ok := f.RunUntil(settleTime, func() bool { return !suspectedAt.IsZero() })
		is.True(ok)
		f.Run(1500 * time.Millisecond) // half of the default suspicion timeout
		f.Heal()
		f.Run(settleTime)
		is.True(f.Converged())
	})
	t.Run("a peer that is considered dead is told so", func(t *testing.T) {
		dead := initialUpdates[0]
		dead.State = uint8(gossiper.StateDead)
		m := newMachine(time.Unix(0, 0))
		replyTo(m, 21, initialUpdates[1], initialUpdates[0], dead)
		for len(replyTo(m, 21).Updates) > 0 { // drain the news that is queued for all peers
		}
		u := updateOf(replyTo(m, 11), 11)
		is.New(t).Equal(gossiper.State(u.State), gossiper.StateDead)
	})
	t.Run("an unknown peer is told so", func(t *testing.T) {
		is.New(t).True(replyTo(newMachine(time.Unix(0, 0)), 77).Unknown)
	})
}

func TestSuspicion(t *testing.T) {
	start := time.Unix(0, 0)
	suspect := initialUpdates[0]
	suspect.State = uint8(gossiper.StateSuspect)
	state := func(m *gossiper.Machine) gossiper.State {
		n, _ := m.View().ByIncarnation(11)
		return n.State
	}
	t.Run("declares the host dead after its timeout, not counting pauses of this process", func(t *testing.T) {
		is := is.New(t)
		m := newMachine(start)
		m.Step(start, gossiper.GossipArrived{Gossip: &peerwire.Gossip{Updates: []peerwire.Update{initialUpdates[0], suspect}}})
		const pause = 10 * time.Second
		for d := 100 * time.Millisecond; d < 3*time.Second; d += 100 * time.Millisecond {
			m.Step(start.Add(pause+d), gossiper.Ticked{})
			is.Equal(state(m), gossiper.StateSuspect)
		}
		m.Step(start.Add(pause+3200*time.Millisecond), gossiper.Ticked{})
		is.Equal(state(m), gossiper.StateDead)
	})
	t.Run("isn't caused by one broken link", func(t *testing.T) {
		is := is.New(t)
		f := measurer.NewFleet(measurer.FleetConfig{Hosts: 4, DataCenters: 1, Seed: 1})
		f.Run(settleTime)
		f.OnChange(func(_ int, c gossiper.MemberChanged) { is.True(c.To != gossiper.StateSuspect) })
		f.Partition(func(from, to int) bool { return from+to == 1 })
		f.Run(settleTime)
	})
	t.Run("isn't caused by a partition between data centers", func(t *testing.T) {
		is := is.New(t)
		f := measurer.NewFleet(measurer.FleetConfig{Hosts: 9, DataCenters: 3, Seed: 1})
		f.Run(settleTime)
		f.OnChange(func(_ int, c gossiper.MemberChanged) { is.True(c.To != gossiper.StateSuspect) })
		f.Partition(func(from, to int) bool { return (from%3 == 0) != (to%3 == 0) })
		f.Run(settleTime)
		is.True(!f.View(0).Reachable("tw-north-2"))
		is.True(!f.View(1).Reachable("tw-north-1"))
		is.True(f.View(1).Reachable("tw-north-3"))
		is.Equal(f.View(0).Live("tw-north-2")[0].State, gossiper.StateSuspect)
		f.Run(2 * settleTime)
		is.Equal(len(f.View(0).Live("tw-north-2")), 0)
		is.Equal(len(f.View(0).Live("tw-north-1")), 3)
		f.Heal()
		_, ok := f.RunUntil(settleTime, f.Converged)
		is.True(ok)
		is.True(f.View(0).Reachable("tw-north-2"))
	})
}

// TestRevision checks that in a large fleet the first host to have a new revision
// announces it at once, and that the others announce it with their digests.
func TestRevision(t *testing.T) {
	const hosts = 90 // more than Options.SmallFleetSize
	publish := func(f *measurer.Fleet, i int, r identifier.Revision) {
		f.Apply(i, gossiper.Published{Payload: gossiper.Payload{Revision: r, Readiness: gossiper.ReadinessReady}})
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
		is.Equal(r, identifier.Revision(2)) // all hosts know that one has it
		publish(f, i, 2)
	}
	f.Run(5 * time.Minute)
	_, holders := newest(f.View(0))
	is.True(holders >= hosts/3) // all of the data center, through their digests
}

func TestNameConflict(t *testing.T) {
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
	t.Run("the earlier process takes the name back after the later one died", func(t *testing.T) {
		is := is.New(t)
		m := newMachine(time.Unix(0, 0))
		dead := rival
		dead.State = uint8(gossiper.StateDead)
		u := updateOf(replyTo(m, 2, rival, dead), 1)
		is.True(!m.View().Superseded())
		is.Equal(u.Started, uint64(2001))
	})
	t.Run("a process replaces one that had its address, even if that one started later by the clock", func(t *testing.T) {
		is := is.New(t)
		m := newMachine(time.Unix(0, 0))
		old := rival
		old.Address = "10.0.0.99:7400"
		u := updateOf(replyTo(m, 11, old), 1)
		is.True(!m.View().Superseded())
		is.Equal(u.Started, uint64(2001))
	})
	t.Run("any peer tells the earlier process about the later one", func(t *testing.T) {
		is := is.New(t)
		m := newMachine(time.Unix(0, 0))
		second := aliveUpdate("entry-1", 12)
		replyTo(m, 12, initialUpdates[0], second)
		is.Equal(updateOf(replyTo(m, 11), 12).Address, second.Address)
	})
}

// TestReportedMarks checks the marks that come from endpoints themselves.
func TestReportedMarks(t *testing.T) {
	start := time.Unix(0, 0)
	told := peerwire.Mark{Endpoint: "engine-1", Revision: 5, Leaving: true, Source: "entry-1", AgeMs: 2000}
	learn := func(m *gossiper.Machine, now time.Time, k peerwire.Mark) {
		m.Step(now, gossiper.GossipArrived{Gossip: &peerwire.Gossip{Marks: []peerwire.Mark{k}}})
	}
	t.Run("keep their source and age on their way", func(t *testing.T) {
		is := is.New(t)
		m := newMachine(start)
		learn(m, start, told)
		is.Equal(m.View().Marks()["engine-1"], gossiper.Mark{Revision: 5, Leaving: true, Source: "entry-1", At: start.Add(-2 * time.Second)})
		var passed []peerwire.Mark
		for _, a := range m.Step(start.Add(3*time.Second), gossiper.GossipArrived{From: 11, Gossip: &peerwire.Gossip{}, Reply: true}) {
			if r, ok := a.(gossiper.Reply); ok {
				passed = r.Gossip.Marks
			}
		}
		is.Equal(len(passed), 1)
		is.Equal(passed[0].Source, told.Source)
		is.Equal(passed[0].AgeMs, int64(5000))
	})
	t.Run("of a later start replace those of an earlier one", func(t *testing.T) {
		m := newMachine(start)
		later := told
		later.Revision = 6
		learn(m, start, later)
		learn(m, start, told)
		is.New(t).Equal(m.View().Marks()["engine-1"].Revision, identifier.Revision(6))
	})
	t.Run("end with the retention time, also at hosts that learn of them late", func(t *testing.T) {
		is := is.New(t)
		m := newMachine(start)
		old := told
		old.AgeMs = time.Hour.Milliseconds()
		learn(m, start, old)
		is.Equal(len(m.View().Marks()), 0)
		learn(m, start, told)
		for d := time.Minute; d <= 70*time.Minute; d += time.Minute {
			m.Step(start.Add(d), gossiper.Ticked{})
		}
		is.Equal(len(m.View().Marks()), 0)
	})
}
