// Package announcer tells all other hosts news that must not wait for gossip, and lets a host
// that starts learn what the others know.
//
// # Usage
//
//	a := announcer.New(announcer.Deps{...})
//	a.Tell(&news, &newsToForward) // all other hosts
//	a.PassOn(&news, origin)       // at the relay, what was news to it
//	a.Share(&known)               // at intervals
//	a.Join(learn)                 // at intervals, until a host has answered
//
// # How news travels
//
// News goes to one host of the fleet, the relay, which is selected by hashing and passes it on
// to all others. A host that can't reach the relay tells all others itself. Hosts that know
// something also send it to a random host at intervals, which reaches those that were cut off.
package announcer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

const (
	// relayTimeout is how long the relay may take to accept news.
	relayTimeout = 200 * time.Millisecond
	// sendTimeout limits the queueing time of one-way messages.
	sendTimeout = time.Second
	// joinTimeout is the timeout of a question for what another host knows.
	joinTimeout = time.Second
	// rejoinDelay is the time until the next question after an answer, ErrNotJoined included.
	rejoinDelay = 500 * time.Millisecond
	// JoinPeriod is the time between two calls of Join.
	JoinPeriod = 50 * time.Millisecond
	// SharePeriod is the time between two calls of Share.
	SharePeriod = 2 * time.Second
)

// Members provides the current view of the fleet's hosts.
type Members interface {
	View() *gossiper.View
}

// Links carries messages to other hosts.
type Links interface {
	Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error
	Send(ctx context.Context, to identifier.Address, kind peerwire.Kind, message msgp.Marshaler) error
}

// Deps are the dependencies of an Announcer.
type Deps struct {
	Self    identifier.Incarnation
	Members Members
	Links   Links
	Group   *grouper.Group
	// Kind is the kind of the news.
	Kind peerwire.Kind
	// RelayKey selects the relay.
	RelayKey uint64
	// RejoinFor is how long Join goes on asking hosts after the first answer: until all other
	// hosts know of this one, their news doesn't reach it.
	RejoinFor time.Duration
}

// Announcer sends one kind of news. It is safe for concurrent use.
type Announcer struct {
	deps Deps
	// joining is set while another host is asked for what it knows, and once none is to be asked
	// any more.
	joining atomic.Bool
	// joinedAt is when the first one answered, in Unix nanoseconds; 0 before.
	joinedAt atomic.Int64
}

// New returns an Announcer.
func New(d Deps) *Announcer {
	return &Announcer{deps: d}
}

// Tell tells all other hosts. The message forward is the same news for the relay, with the
// request to pass it on.
func (a *Announcer) Tell(news, forward msgp.Marshaler) {
	a.deps.Group.Run(func(ctx context.Context) {
		relay, ok := a.deps.Members.View().FleetOwner(a.deps.RelayKey)
		if ok && relay.Incarnation != a.deps.Self && a.callRelay(ctx, relay, forward) == nil {
			return
		}
		a.broadcast(ctx, news, a.deps.Self)
	})
}

func (a *Announcer) callRelay(ctx context.Context, relay gossiper.Member, forward msgp.Marshaler) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return a.deps.Links.Call(ctx, relay.Address, a.deps.Kind, forward, &msgp.Raw{})
}

// PassOn sends news to all other hosts but the one that it came from.
func (a *Announcer) PassOn(news msgp.Marshaler, origin identifier.Incarnation) {
	a.deps.Group.Run(func(ctx context.Context) { a.broadcast(ctx, news, origin) })
}

// broadcast sends a message to all other hosts but its origin. A host that is missed learns of
// the news later.
func (a *Announcer) broadcast(ctx context.Context, news msgp.Marshaler, origin identifier.Incarnation) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	for _, p := range a.deps.Members.View().Members() {
		if p.Incarnation == a.deps.Self || p.Incarnation == origin || p.State == gossiper.StateDead {
			continue
		}
		_ = a.deps.Links.Send(ctx, p.Address, a.deps.Kind, news)
	}
}

// Share sends what this host knows to a random host.
func (a *Announcer) Share(known msgp.Marshaler) {
	peer, ok := a.deps.Members.View().RandomPeer(a.deps.Self)
	if !ok {
		return
	}
	a.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		_ = a.deps.Links.Send(ctx, peer.Address, a.deps.Kind, known) // sent again to another host
	})
}

// Join lets learn ask a random host for what it knows, one at a time, until that has succeeded
// once, and for Deps.RejoinFor from then on.
func (a *Announcer) Join(learn func(ctx context.Context, peer gossiper.Member) error) {
	if a.joining.Load() {
		return
	}
	peer, ok := a.deps.Members.View().RandomPeer(a.deps.Self)
	if !ok || !a.joining.CompareAndSwap(false, true) {
		return
	}
	a.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, joinTimeout)
		defer cancel()
		err := learn(ctx, peer)
		if err == nil && a.joined(time.Now()) {
			return
		}
		if err == nil || errors.Is(err, ErrNotJoined) {
			_ = sleeper.Sleep(ctx, rejoinDelay) // the group may end meanwhile
		}
		a.joining.Store(false) // the next attempt asks another host
	})
}

// joined records an answer, and reports whether no other host is to be asked any more.
func (a *Announcer) joined(now time.Time) bool {
	a.joinedAt.CompareAndSwap(0, now.UnixNano())
	return now.Sub(time.Unix(0, a.joinedAt.Load())) >= a.deps.RejoinFor
}

// ErrNotJoined is returned by functions that are passed to Join if the host that was asked
// hasn't learned itself what others know. Hosts that start together ask each other less often
// then.
var ErrNotJoined = classifier.NotRun(classifier.ReasonNotReady, 0, "host has started just now")
