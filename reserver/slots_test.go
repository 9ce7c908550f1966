package reserver_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
)

const (
	deskSlots = 2
	// deskCapacity is the number of calls that both endpoints of the plain service get at
	// once: those in slots and one that waits at each.
	deskCapacity = 2 * (deskSlots + 1)
	// longWait is more than a test takes, and askWait what a request may take that isn't
	// granted a slot because no host is reached.
	longWait = 20 * time.Second
	askWait  = 2 * time.Second
)

var unused = reserver.SlotOutcome{Outcome: placer.Outcome{Verdict: placer.VerdictNone}}

// newDesk returns a fleet that shares the slots of a plain service with two endpoints.
func newDesk(t *testing.T, hosts int) *fleet {
	t.Helper()
	f := newFleet(t, hosts)
	f.registry.SetDeclarations(registrar.NewDeclarations(2, nil, []*registrar.Service{
		{Name: "desk"}, {Name: "notes", Engine: &registrar.EngineConfig{}},
	}, registrar.Limits{}))
	f.registry.SetEndpoints([]*registrar.Endpoint{
		{Name: "p1", Service: "desk", DataCenter: "a", Slots: deskSlots},
		{Name: "p2", Service: "desk", DataCenter: "a", Slots: deskSlots},
		{Name: "d1", Service: "notes", DataCenter: "a", Slots: 1},
	})
	for h := range f.hosts {
		f.reportSlowdown(h, 1)
	}
	return f
}

// reportSlowdown makes p1 report the slowdown of its machine to a host; 0 for none.
func (f *fleet) reportSlowdown(h int, slowdown float64) {
	f.hosts[h].placer.RecordLoad(f.registry.Snapshot().Endpoint("p1"), placer.Load{Slots: deskSlots, Slowdown: slowdown}, time.Now())
}

func slotRequest(wait time.Duration) reserver.SlotRequest {
	now := time.Now()
	return reserver.SlotRequest{
		Entry: admitter.Entry{Arrived: now}, Service: "desk", Request: "q",
		OnTimeBy: now.Add(wait), Deadline: now.Add(wait),
	}
}

// acquire obtains a slot that must be free at once.
func (f *fleet) acquire(h int) reserver.Slot {
	f.t.Helper()
	s, err := f.hosts[h].reserver.AcquireSlot(f.t.Context(), slotRequest(longWait))
	f.is.NoErr(err)
	return s
}

// fillDesk takes all slots, from the hosts in turn.
func (f *fleet) fillDesk(hosts ...int) []reserver.Slot {
	f.t.Helper()
	var all []reserver.Slot
	for n := range deskCapacity {
		all = append(all, f.acquire(hosts[n%len(hosts)]))
	}
	return all
}

// slotHost returns the index of the host that grants the slots, as the hosts see it, and of
// another one.
func (f *fleet) slotHost() (granting, other int) {
	f.t.Helper()
	f.hosts[0].reserver.EndSlot(f.acquire(0), unused)
	for n, h := range f.hosts {
		if h.reserver.SlotStats()["desk"].Granted > 0 {
			return n, (n + 1) % len(f.hosts)
		}
	}
	f.t.Fatal("no host granted a slot")
	return 0, 0
}

// assertRefused checks that a request is refused within a time, without having run.
func (f *fleet) assertRefused(h int, r reserver.SlotRequest, within time.Duration) error {
	f.t.Helper()
	began := time.Now()
	_, err := f.hosts[h].reserver.AcquireSlot(f.t.Context(), r)
	f.is.True(err != nil)
	f.is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
	f.is.True(time.Since(began) < within)
	return err
}

func TestSharedSlots(t *testing.T) {
	t.Run("all hosts together get no more than there are", func(t *testing.T) {
		f := newDesk(t, 3)
		counts := map[identifier.Endpoint]int{}
		for _, s := range f.fillDesk(0, 1, 2) {
			counts[s.Endpoint.Name]++
		}
		f.is.Equal(counts, map[identifier.Endpoint]int{"p1": deskSlots + 1, "p2": deskSlots + 1})
		for h := range 3 {
			r := slotRequest(longWait)
			r.NoWait = true
			f.is.True(reserver.RefusedSlot(f.assertRefused(h, r, askWait)))
		}
	})
	t.Run("a slot that ends goes to a request that waits at another host", func(t *testing.T) {
		f := newDesk(t, 3)
		held := f.fillDesk(0)
		granted := make(chan reserver.Slot, 1)
		f.group.Run(func(context.Context) {
			if s, err := f.hosts[1].reserver.AcquireSlot(t.Context(), slotRequest(longWait)); err == nil {
				granted <- s
			}
		})
		f.eventually("the request waits", func() bool { return f.waitingForSlots() == 1 })
		f.hosts[0].reserver.EndSlot(held[0], unused)
		f.is.Equal((<-granted).Endpoint.Name, held[0].Endpoint.Name)
	})
	t.Run("a request that can't get one in time is refused before its deadline", func(t *testing.T) {
		f := newDesk(t, 2)
		f.fillDesk(0, 1)
		const wait = 300 * time.Millisecond
		err := f.assertRefused(0, slotRequest(wait), wait+askWait)
		f.is.True(reserver.RefusedSlot(err))
		f.is.True(classifier.Of(err).RetryAfter > 0)
	})
	t.Run("an urgent request goes before a patient one that came earlier", func(t *testing.T) {
		f := newDesk(t, 2)
		held := f.fillDesk(0)
		order := make(chan string, 2)
		for n, name := range []string{"patient", "urgent"} {
			r := slotRequest(longWait)
			r.Priority = 1 - n
			f.group.Run(func(context.Context) {
				if s, err := f.hosts[n].reserver.AcquireSlot(t.Context(), r); err == nil {
					order <- name
					f.hosts[n].reserver.EndSlot(s, unused)
				}
			})
			f.eventually("the request waits", func() bool { return f.waitingForSlots() == n+1 })
		}
		f.hosts[0].reserver.EndSlot(held[0], unused)
		f.is.Equal(<-order, "urgent")
		f.is.Equal(<-order, "patient")
	})
	t.Run("excluded endpoints are not used", func(t *testing.T) {
		f := newDesk(t, 2)
		r := slotRequest(longWait)
		r.Exclude = []identifier.Endpoint{"p1"}
		for range deskSlots {
			s, err := f.hosts[0].reserver.AcquireSlot(t.Context(), r)
			f.is.NoErr(err)
			f.is.Equal(s.Endpoint.Name, identifier.Endpoint("p2"))
		}
		r.Exclude = []identifier.Endpoint{"p1", "p2"}
		f.is.True(!reserver.RefusedSlot(f.assertRefused(0, r, askWait)))
	})
	t.Run("an endpoint that fails at one host is avoided for all", func(t *testing.T) {
		f := newDesk(t, 3)
		s := f.acquire(0)
		f.hosts[0].reserver.EndSlot(s, reserver.SlotOutcome{Outcome: placer.Outcome{Verdict: placer.VerdictResponseFailed}})
		f.eventually("the slot has ended", func() bool { return f.slotsInUse() == 0 })
		for range deskSlots {
			f.is.True(f.acquire(1).Endpoint.Name != s.Endpoint.Name)
		}
	})
	t.Run("only services with few slots for the hosts are shared", func(t *testing.T) {
		f := newDesk(t, 3) // 4 slots, below 2 x 3
		for service, want := range map[identifier.Service]bool{"desk": true, "notes": false, "none": false} {
			f.is.Equal(f.hosts[0].reserver.SharesSlots(service), want)
		}
		f.is.True(!newDesk(t, 2).hosts[0].reserver.SharesSlots("desk"))
	})
	t.Run("only services whose endpoints report slowdowns of shared machines are shared", func(t *testing.T) {
		f := newDesk(t, 3)
		granting, other := f.slotHost()
		s := f.acquire(other)
		for _, h := range f.hosts {
			h.placer.Forget(func(identifier.Endpoint) bool { return false })
		}
		f.reportSlowdown(granting, 0)
		f.is.True(!f.hosts[granting].reserver.SharesSlots("desk"))
		f.hosts[other].reserver.EndSlot(s, reserver.SlotOutcome{Load: placer.Load{Slots: deskSlots, Slowdown: 1.5}})
		f.eventually("the granting host learns it from the slot's return", func() bool {
			return f.hosts[granting].reserver.SharesSlots("desk")
		})
	})
}

// waitingForSlots and slotsInUse sum up all hosts.
func (f *fleet) waitingForSlots() (n int) {
	for _, h := range f.hosts {
		n += h.reserver.SlotStats()["desk"].Waiting
	}
	return n
}

func (f *fleet) slotsInUse() (n int) {
	for _, h := range f.hosts {
		n += h.reserver.SlotStats()["desk"].InUse
	}
	return n
}

// TestSlotHostLost brings about failures of the host that grants slots, and of hosts that
// hold some.
func TestSlotHostLost(t *testing.T) {
	t.Run("it dies: hosts are told soon to choose alone, then another one grants", func(t *testing.T) {
		f := newDesk(t, 3)
		granting, other := f.slotHost()
		f.hosts[granting].messenger.Close()
		f.is.True(!reserver.RefusedSlot(f.assertRefused(other, slotRequest(longWait), askWait)))
		f.eventually("another host grants slots", func() bool {
			s, err := f.hosts[other].reserver.AcquireSlot(t.Context(), slotRequest(longWait))
			if err == nil {
				f.hosts[other].reserver.EndSlot(s, unused)
			}
			return err == nil
		})
	})
	t.Run("it pauses: hosts don't wait for it, and nothing stays in use", func(t *testing.T) {
		f := newDesk(t, 3)
		granting, other := f.slotHost()
		resume := f.pause(granting)
		f.is.True(!reserver.RefusedSlot(f.assertRefused(other, slotRequest(longWait), askWait)))
		err := f.assertRefused(other, slotRequest(longWait), 10*time.Millisecond) // it isn't asked again at once
		f.is.True(!reserver.RefusedSlot(err))
		f.is.Equal(f.hosts[other].reserver.SlotStats()["desk"].Unreachable, uint64(1))
		resume()
		f.eventually("what it granted late is returned", func() bool {
			return f.hosts[granting].reserver.SlotStats()["desk"].Granted >= 1 && f.slotsInUse() == 0
		})
	})
	t.Run("it pauses: a request that doesn't wait gets no slot", func(t *testing.T) {
		f := newDesk(t, 3)
		granting, other := f.slotHost()
		defer f.pause(granting)()
		r := slotRequest(longWait)
		r.NoWait = true
		f.is.True(reserver.RefusedSlot(f.assertRefused(other, r, askWait)))
	})
	t.Run("its copy of the store is old: hosts that know more choose alone, others are granted slots", func(t *testing.T) {
		f := newDesk(t, 3)
		granting, other := f.slotHost()
		f.hosts[granting].known.Store(&reserver.Knowledge{Position: identifier.Position{Era: 1, Revision: 4}, Age: time.Minute})
		f.hosts[other].known.Store(&reserver.Knowledge{Position: identifier.Position{Era: 1, Revision: 4}, Age: time.Minute})
		f.acquire(other) // as when the store is down for all
		f.hosts[other].known.Store(&reserver.Knowledge{Position: identifier.Position{Era: 1, Revision: 5}})
		f.is.True(!reserver.RefusedSlot(f.assertRefused(other, slotRequest(longWait), askWait)))
		f.hosts[granting].known.Store(&reserver.Knowledge{Position: identifier.Position{Era: 1, Revision: 4}}) // about to learn it
		f.eventually("it grants slots", func() bool {
			_, err := f.hosts[other].reserver.AcquireSlot(t.Context(), slotRequest(longWait))
			return err == nil
		})
	})
	t.Run("it ends while a request waits: the request's host is told to choose alone", func(t *testing.T) {
		f := newDesk(t, 2)
		granting, other := f.slotHost()
		f.fillDesk(granting)
		ended := make(chan error, 1)
		f.group.Run(func(context.Context) {
			_, err := f.hosts[other].reserver.AcquireSlot(t.Context(), slotRequest(longWait))
			ended <- err
		})
		f.eventually("the request waits", func() bool { return f.waitingForSlots() == 1 })
		f.hosts[granting].messenger.Close()
		err := <-ended
		f.is.True(err != nil)
		f.is.True(!reserver.RefusedSlot(err))
	})
	t.Run("a host is cut off from it: it chooses alone, and is granted slots after that", func(t *testing.T) {
		f := newDesk(t, 3)
		granting, other := f.slotHost()
		held := f.acquire(other)
		f.hosts[other].cut.Store(true)
		f.hosts[other].reserver.EndSlot(held, unused)
		f.eventually("the message that ends the slot is lost", func() bool { return f.hosts[other].lostSends.Load() > 0 })
		f.is.True(!reserver.RefusedSlot(f.assertRefused(other, slotRequest(longWait), askWait)))
		f.hosts[other].cut.Store(false)
		f.eventually("it is granted slots", func() bool {
			_, err := f.hosts[other].reserver.AcquireSlot(t.Context(), slotRequest(longWait))
			return err == nil
		})
		f.is.Equal(f.hosts[granting].reserver.SlotStats()["desk"].InUse, 2) // the lost one has not expired
	})
	t.Run("a host dies: its slots are free again", func(t *testing.T) {
		f := newDesk(t, 3)
		granting, other := f.slotHost()
		f.fillDesk(other)
		f.hosts[other].messenger.Close()
		f.eventually("its slots are revoked", func() bool {
			return f.hosts[granting].reserver.SlotStats()["desk"].InUse == 0
		})
	})
	t.Run("its waiting requests share the pings, and all notice that it is cut off", func(t *testing.T) {
		const (
			requests = 20
			period   = 30 * time.Millisecond
			watched  = 20 * period
		)
		f := newDesk(t, 3)
		granting, other := f.slotHost()
		f.fillDesk(granting)
		ended := make(chan error, requests)
		began, before := time.Now(), f.hosts[other].pings.Load()
		for range requests {
			f.group.Run(func(context.Context) {
				_, err := f.hosts[other].reserver.AcquireSlot(t.Context(), slotRequest(longWait))
				ended <- err
			})
		}
		f.eventually("the requests wait", func() bool { return f.waitingForSlots() == requests })
		time.Sleep(watched)
		pings := f.hosts[other].pings.Load() - before
		f.is.True(pings > 0)
		f.is.True(time.Duration(pings) <= time.Since(began)/period+1)
		f.hosts[other].cut.Store(true)
		for range requests {
			f.is.Equal(classifier.Of(<-ended).Reason, classifier.ReasonHostUnreachable)
		}
	})
	t.Run("a lost return: the slot expires after the deadline", func(t *testing.T) {
		f := newDesk(t, 2)
		s, err := f.hosts[0].reserver.AcquireSlot(t.Context(), slotRequest(100*time.Millisecond))
		f.is.NoErr(err)
		f.is.True(s.Endpoint != nil)
		f.eventually("the slot has expired", func() bool { return f.slotsInUse() == 0 })
	})
	t.Run("a caller leaves while its request waits: it gets none", func(t *testing.T) {
		f := newDesk(t, 2)
		held := f.fillDesk(0)
		ctx, cancel := context.WithCancel(t.Context())
		f.group.Run(func(context.Context) {
			_, _ = f.hosts[1].reserver.AcquireSlot(ctx, slotRequest(longWait)) // canceled
		})
		f.eventually("the request waits", func() bool { return f.waitingForSlots() == 1 })
		cancel()
		f.eventually("it waits no more", func() bool { return f.waitingForSlots() == 0 })
		for _, s := range held {
			f.hosts[0].reserver.EndSlot(s, unused)
		}
		f.eventually("all slots are free", func() bool { return f.slotsInUse() == 0 })
	})
}

// pause delays the handlers of a host's reserver until resume is called.
func (f *fleet) pause(h int) (resume func()) {
	f.hosts[h].gate.Lock()
	return f.hosts[h].gate.Unlock
}

// TestSlotRequestsOfOtherBuilds checks that a granting host survives absurd messages.
func TestSlotRequestsOfOtherBuilds(t *testing.T) {
	f := newDesk(t, 2)
	granting, other := f.slotHost()
	to := f.hosts[granting].address
	var reply peerwire.SlotReply
	err := f.hosts[other].messenger.Call(t.Context(), to, peerwire.KindSlot, &peerwire.SlotRequest{Service: "none"}, &reply)
	is.New(t).Equal(classifier.Of(err).Reason, classifier.ReasonNoEndpoint)
	for _, m := range []*peerwire.SlotReturn{
		{Service: "none", Grant: 1}, {Service: "desk", Grant: 1 << 60}, {Service: "desk", ID: 1 << 60}, {},
	} {
		f.is.NoErr(f.hosts[other].messenger.Send(t.Context(), to, peerwire.KindSlotReturn, m))
	}
	f.fillDesk(granting, other)
}
