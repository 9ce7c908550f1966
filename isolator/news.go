package isolator

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/quarantiner"
)

const (
	// relayTimeout is how long the host that passes news on may take to accept them.
	relayTimeout = 200 * time.Millisecond
	// sendTimeout limits the queueing time of one-way messages.
	sendTimeout = time.Second
	// joinPeriod is the time between two attempts of a host that has started to learn
	// what others know, and joinTimeout the timeout of each.
	joinPeriod  = 50 * time.Millisecond
	joinTimeout = time.Second
	// shareInterval is the time between two messages to a random host, with at most
	// maxSharedEnds ends.
	shareInterval = 2 * time.Second
	maxSharedEnds = 16
)

// relayKey selects the host that passes news on to all others.
var relayKey = xxhash.Sum64String("crash-news")

// news is what hosts tell each other.
type news struct {
	ends     []quarantiner.End
	begun    []quarantiner.BegunCount
	verdicts []quarantiner.Verdict
}

func (n *news) empty() bool {
	return len(n.ends)+len(n.begun)+len(n.verdicts) == 0
}

// Registry registers handlers for messages from other hosts.
type Registry interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Register registers the message handler.
func (i *Isolator) Register(to Registry) {
	to.Handle(peerwire.KindCrashNews, i.handleNews)
}

// tell tells all other hosts, through the relay if it can be reached.
func (i *Isolator) tell(n news) {
	m := encodeNews(n, time.Now())
	i.deps.Group.Run(func(ctx context.Context) {
		relay, ok := i.deps.Members.View().FleetOwner(relayKey)
		if ok && relay.Incarnation != i.deps.Self && i.callRelay(ctx, relay, *m) == nil {
			return
		}
		i.broadcast(ctx, m, i.deps.Self)
	})
}

func (i *Isolator) callRelay(ctx context.Context, relay gossiper.Member, m peerwire.CrashNews) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	m.Forward = true
	return i.deps.Links.Call(ctx, relay.Address, peerwire.KindCrashNews, &m, &peerwire.CrashNews{})
}

// broadcast sends a message to all other hosts but its origin. A host that is missed
// learns of the news later.
func (i *Isolator) broadcast(ctx context.Context, m *peerwire.CrashNews, origin identifier.Incarnation) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	for _, p := range i.deps.Members.View().Members() {
		if p.Incarnation == i.deps.Self || p.Incarnation == origin || p.State == gossiper.StateDead {
			continue
		}
		_ = i.deps.Links.Send(ctx, p.Address, peerwire.KindCrashNews, m)
	}
}

// handleNews records what another host tells.
func (i *Isolator) handleNews(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.CrashNews
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed news of engine ends: %w", err)
	}
	now := time.Now()
	n, err := decodeNews(&m, now)
	if err != nil {
		return nil, err
	}
	fresh := i.record(n, string(from.Host), now)
	if m.Forward && !fresh.empty() {
		i.deps.Group.Run(func(ctx context.Context) { i.broadcast(ctx, encodeNews(fresh, now), from.Incarnation) })
	}
	if m.Want {
		return encodeNews(i.known(now), now), nil
	}
	return &peerwire.CrashNews{}, nil
}

// record records news and returns the part that is news here and may matter to others.
func (i *Isolator) record(n news, source string, now time.Time) news {
	var fresh news
	i.mu.Lock()
	for _, e := range n.ends {
		if i.quarantiner.AddEnd(e, now) {
			fresh.ends = append(fresh.ends, e)
			i.stats.EndsTold++
		}
	}
	for _, b := range n.begun {
		if i.quarantiner.AddBegun(b) {
			fresh.begun = append(fresh.begun, b)
		}
	}
	for _, v := range n.verdicts {
		if i.quarantiner.Merge(v, now) {
			fresh.verdicts = append(fresh.verdicts, v)
			i.stats.VerdictsTold++
		}
	}
	i.mu.Unlock()
	for _, v := range fresh.verdicts {
		i.logVerdict(v, source, now)
	}
	return fresh
}

// known returns the verdicts in force and the newest ends.
func (i *Isolator) known(now time.Time) news {
	i.mu.Lock()
	defer i.mu.Unlock()
	return news{ends: i.quarantiner.RecentEnds(maxSharedEnds, now), verdicts: i.quarantiner.Verdicts(now)}
}

// share sends what this host knows, if anything, to a random host.
func (i *Isolator) share(now time.Time) {
	n := i.known(now)
	peer, ok := i.deps.Members.View().RandomPeer(i.deps.Self)
	if n.empty() || !ok {
		return
	}
	i.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		_ = i.deps.Links.Send(ctx, peer.Address, peerwire.KindCrashNews, encodeNews(n, now)) // sent again to another host
	})
}

// join asks a random host for what it knows, one at a time, until one has answered.
func (i *Isolator) join(time.Time) {
	peer, ok := i.deps.Members.View().RandomPeer(i.deps.Self)
	if !ok || !i.joining.CompareAndSwap(false, true) {
		return
	}
	i.deps.Group.Run(func(ctx context.Context) {
		if !i.learnFrom(ctx, peer) {
			i.joining.Store(false) // the next attempt asks another host
		}
	})
}

// learnFrom asks a host for what it knows, and reports whether it has answered.
func (i *Isolator) learnFrom(ctx context.Context, peer gossiper.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var reply peerwire.CrashNews
	if i.deps.Links.Call(ctx, peer.Address, peerwire.KindCrashNews, &peerwire.CrashNews{Want: true}, &reply) != nil {
		return false
	}
	now := time.Now()
	n, err := decodeNews(&reply, now)
	if err != nil {
		return false
	}
	i.record(n, string(peer.Host), now)
	return true
}
