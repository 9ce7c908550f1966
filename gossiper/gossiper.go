// Package gossiper keeps track of the entry hosts: who is there, who is
// suspected, leaving or dead, and what each publishes of itself. It also
// spreads the leaving marks of endpoints.
//
// # Usage
//
// A host makes one gossiper before its messenger serves, gives it addresses to
// start from, and then reads views:
//
//	g := gossiper.New(self, gossiper.Options{}, messenger, timers, group)
//	messenger.Serve(listener)
//	g.Seed(addresses)
//	g.Publish(gossiper.Payload{Revision: fleet.Revision, Readiness: gossiper.ReadinessReady})
//	allocator, ok := g.View().Owner("tw-north-1", key)
//
// A view never changes, and reading one takes no lock. Subscribe calls back
// with each new one. A planned stop begins with Leave.
//
// # How it works
//
// The decisions are made by a [Machine], which does no I/O and reads no clock.
// The Gossiper feeds it and performs its actions.
//
// Each host is probed by a few others of its data center: those before it on
// several rings of hosts, in orders drawn by hashing. A probe that fails is
// repeated through relays; when these fail too the host is suspected, and it
// counts as dead when it doesn't refute in time. A refutation carries a number
// that is higher than that of the suspicion, so it wins wherever the two meet.
// A few bridges in each data center exchange news with those of the others.
// Other data centers are judged by the lease that their news renews, never
// host by host, so that a cut between data centers declares no host dead
// there; the view shows their members as suspect and later as dead while the
// silence lasts.
//
// News travels with probes and their replies, and at once along the rings when
// it is urgent. Now and then each host compares all that it knows with a
// random peer, which repairs what was lost.
//
// A process is named by its incarnation. Of two processes with one host name
// the one that started later counts, unless it has died; the earlier one finds
// itself superseded and takes no part.
package gossiper

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/timer"
)

// Gossiper runs a Machine over a messenger. Create it with New.
type Gossiper struct {
	options   Options
	messenger *messenger.Messenger
	group     *grouper.Group
	view      atomic.Pointer[View]
	changed   chan struct{}
	stats     counters

	mu          sync.Mutex
	machine     *Machine
	subscribers []func(*View)
}

// New starts a gossiper that runs until the group ends. It sets handlers on m,
// so it comes before m.Serve. A zero self.Started means now.
func New(self Member, options Options, m *messenger.Messenger, t *timer.Service, group *grouper.Group) *Gossiper {
	options = options.withDefaults()
	now := time.Now()
	if self.Started == 0 {
		self.Started = uint64(now.UnixMilli())
	}
	g := &Gossiper{
		options:   options,
		messenger: m,
		group:     group,
		changed:   make(chan struct{}, 1),
		machine:   NewMachine(self, options, now),
	}
	g.view.Store(g.machine.View())
	m.Handle(peerwire.KindProbe, g.handleProbe)
	m.Handle(peerwire.KindProbeFor, g.handleProbeFor)
	m.Handle(peerwire.KindNews, g.handleNews)
	m.Handle(peerwire.KindSync, g.handleSync)
	ticks := t.Every(options.Tick, func(time.Time) { g.perform(g.step(Ticked{}, true)) })
	group.Run(func(ctx context.Context) {
		g.notify(ctx)
		ticks.Cancel()
	})
	return g
}

// View gives the newest view.
func (g *Gossiper) View() *View {
	return g.view.Load()
}

// Subscribe has f called with each new view, one call at a time; views that
// come in quick succession may be left out, but the last never is.
func (g *Gossiper) Subscribe(f func(*View)) {
	g.mu.Lock()
	g.subscribers = append(g.subscribers, f)
	g.mu.Unlock()
	g.signal()
}

// Seed gives addresses at which peers may be found; they replace those given
// before. Addresses that lead nowhere do no harm.
func (g *Gossiper) Seed(addresses []identifier.Address) {
	g.local(Seeded{Addresses: addresses})
}

// Publish sets what all hosts learn of this one.
func (g *Gossiper) Publish(p Payload) {
	g.local(Published{Payload: p})
}

// MarkLeaving marks an endpoint as leaving since revision r, at all hosts. Only
// MarkServing with a later revision undoes it.
func (g *Gossiper) MarkLeaving(e identifier.Endpoint, r identifier.Revision) {
	g.local(Marked{Endpoint: e, Mark: Mark{Revision: r, Leaving: true}})
}

// MarkServing undoes leaving marks of revisions before r.
func (g *Gossiper) MarkServing(e identifier.Endpoint, r identifier.Revision) {
	g.local(Marked{Endpoint: e, Mark: Mark{Revision: r}})
}

// Leave tells peers that this host stops as planned. It returns when the news
// was queued to some of them, or when ctx ends.
func (g *Gossiper) Leave(ctx context.Context) {
	for _, a := range g.step(LeaveStarted{}, true) {
		if s, ok := a.(SendNews); ok {
			_ = g.messenger.Send(ctx, s.To, peerwire.KindNews, s.News) // others are told as well
		}
	}
}

// local takes an event of this host in and shows its effect at once.
func (g *Gossiper) local(e Event) {
	g.perform(g.step(e, true))
}

// step feeds the machine, and shows the new view if there is one.
func (g *Gossiper) step(e Event, show bool) []Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	actions := g.machine.Step(time.Now(), e)
	if !show {
		return actions
	}
	if v := g.machine.View(); v != g.view.Load() {
		g.view.Store(v)
		g.signal()
	}
	return actions
}

func (g *Gossiper) signal() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

// notify calls the subscribers when the view has changed.
func (g *Gossiper) notify(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.changed:
		}
		g.mu.Lock()
		subscribers := g.subscribers
		g.mu.Unlock()
		for _, f := range subscribers {
			f(g.View())
		}
	}
}
