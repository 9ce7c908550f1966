// Package gossiper implements gossip membership of the entry hosts: it detects
// failures and distributes each host's state, its published payload and the
// leaving marks of endpoints.
//
// # Usage
//
// A host creates one gossiper before its messenger serves, gives it seed
// addresses, and then reads views:
//
//	g := gossiper.New(self, gossiper.Options{}, messenger, timers, group)
//	messenger.Serve(listener)
//	g.Seed(addresses)
//	g.Publish(gossiper.Payload{Revision: fleet.Revision, Readiness: gossiper.ReadinessReady})
//	allocator, ok := g.View().Owner("tw-north-1", key)
//
// Views are immutable, and reading one takes no lock. Subscribe registers a
// callback for new views. A planned stop begins with Leave.
//
// # How it works
//
// The protocol is a variant of SWIM. A [Machine], a state machine that does no
// I/O and reads no clock, makes all decisions. The Gossiper feeds it events and
// performs the actions that it returns.
//
// Each host is probed by its predecessors on several independent hash rings of
// the hosts in its data center. If a direct probe fails, the prober asks relays
// to probe the host. If these fail too, the host becomes suspect, and dead
// unless it refutes the suspicion in time. A refutation carries a higher number
// than the suspicion, so it overrides the suspicion at every host.
//
// A few bridges in each data center exchange news with those of the others.
// Remote data centers are monitored as a whole: news from one renews its lease.
// A partition between data centers therefore marks no single host there as
// dead. While the lease is expired, views show the members of that data center
// as suspect, and later as dead.
//
// News is piggybacked on probes and their replies; urgent news is also sent
// along the rings at once. At intervals, each host runs an anti-entropy exchange
// with a random peer, to recover lost news.
//
// An incarnation identifies a process. If two processes have the same host
// name, the one that started later keeps it unless it has died. The earlier one
// is superseded and takes no part in membership.
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
	options     Options
	messenger   *messenger.Messenger
	group       *grouper.Group
	view        atomic.Pointer[View]
	viewChanged chan struct{}
	stats       counters

	mu          sync.Mutex
	machine     *Machine
	subscribers []func(*View)
}

// New starts a gossiper that runs until the group ends. It registers handlers
// on m, so call it before m.Serve. If self.Started is 0, the current time is
// used.
func New(self Member, options Options, m *messenger.Messenger, t *timer.Service, group *grouper.Group) *Gossiper {
	options = options.withDefaults()
	now := time.Now()
	if self.Started == 0 {
		self.Started = uint64(now.UnixMilli())
	}
	g := &Gossiper{
		options:     options,
		messenger:   m,
		group:       group,
		viewChanged: make(chan struct{}, 1),
		machine:     NewMachine(self, options, now),
	}
	g.view.Store(g.machine.View())
	m.Handle(peerwire.KindProbe, g.handleProbe)
	m.Handle(peerwire.KindIndirectProbe, g.handleProbeFor)
	m.Handle(peerwire.KindGossip, g.handleGossip)
	m.Handle(peerwire.KindSync, g.handleSync)
	ticks := t.Every(options.Tick, func(time.Time) { g.perform(g.step(Ticked{}, true)) })
	group.Run(func(ctx context.Context) {
		g.notifySubscribers(ctx)
		ticks.Cancel()
	})
	return g
}

// View returns the latest view.
func (g *Gossiper) View() *View {
	return g.view.Load()
}

// Subscribe registers f to be called with new views, one call at a time. Views
// in quick succession may be skipped, but the latest is always delivered.
func (g *Gossiper) Subscribe(f func(*View)) {
	g.mu.Lock()
	g.subscribers = append(g.subscribers, f)
	g.mu.Unlock()
	g.signalView()
}

// Seed sets the addresses at which to look for peers, replacing earlier ones.
// Unreachable addresses do no harm.
func (g *Gossiper) Seed(addresses []identifier.Address) {
	g.apply(Seeded{Addresses: addresses})
}

// Publish sets the payload that this host distributes to all others.
func (g *Gossiper) Publish(p Payload) {
	g.apply(Published{Payload: p})
}

// MarkLeaving marks an endpoint as leaving as of revision r, at all hosts. Only
// MarkServing with a later revision clears the mark.
func (g *Gossiper) MarkLeaving(e identifier.Endpoint, r identifier.Revision) {
	g.apply(Marked{Endpoint: e, Mark: Mark{Revision: r, Leaving: true}})
}

// ReportLeaving marks an endpoint as leaving, at all hosts, because it announced
// that to this host. The mark is about the process that the start ID identifies.
func (g *Gossiper) ReportLeaving(e identifier.Endpoint, start identifier.Revision) {
	g.mu.Lock()
	source := g.machine.self.Host
	g.mu.Unlock()
	g.apply(Marked{Endpoint: e, Mark: Mark{Revision: start, Leaving: true, Source: source, At: time.Now()}})
}

// MarkServing clears leaving marks of revisions before r.
func (g *Gossiper) MarkServing(e identifier.Endpoint, r identifier.Revision) {
	g.apply(Marked{Endpoint: e, Mark: Mark{Revision: r}})
}

// Leave announces a planned stop of this host. It returns once the news is
// queued to some peers, or when ctx ends.
func (g *Gossiper) Leave(ctx context.Context) {
	for _, a := range g.step(LeaveStarted{}, true) {
		if s, ok := a.(SendGossip); ok {
			_ = g.messenger.Send(ctx, s.To, peerwire.KindGossip, s.Gossip) // other peers pass the news on
		}
	}
}

// apply processes a local event and updates the view at once.
func (g *Gossiper) apply(e Event) {
	g.perform(g.step(e, true))
}

// step passes an event to the machine and returns the resulting actions. If
// updateView is set, it also stores a changed view and signals subscribers.
func (g *Gossiper) step(e Event, updateView bool) []Action {
	g.mu.Lock()
	defer g.mu.Unlock()
	actions := g.machine.Step(time.Now(), e)
	if !updateView {
		return actions
	}
	if v := g.machine.View(); v != g.view.Load() {
		g.view.Store(v)
		g.signalView()
	}
	return actions
}

func (g *Gossiper) signalView() {
	select {
	case g.viewChanged <- struct{}{}:
	default:
	}
}

// notifySubscribers calls the subscribers after each signaled change of the
// view, until ctx ends.
func (g *Gossiper) notifySubscribers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.viewChanged:
		}
		g.mu.Lock()
		subscribers := g.subscribers
		g.mu.Unlock()
		for _, f := range subscribers {
			f(g.View())
		}
	}
}
