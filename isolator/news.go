package isolator

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/announcer"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/quarantiner"
)

// maxSharedEnds bounds the ends in a message to a random host.
const maxSharedEnds = 16

// relayKey selects the host that passes news on to all others.
var relayKey = xxhash.Sum64String("crash-news")

// news is what hosts tell each other.
type news struct {
	ends     []quarantiner.End
	begun    []quarantiner.BegunCount
	verdicts []quarantiner.Verdict
	// origin is the process that counted begun, and sequence the number of these counts; 0 if it
	// numbers none.
	origin   identifier.Incarnation
	sequence uint64
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
	to.Handle(peerwire.KindTrial, i.handleTrial)
}

// tell tells all other hosts.
func (i *Isolator) tell(n news) {
	m := encodeNews(n, time.Now())
	forward := *m
	forward.Forward = true
	i.announcer.Tell(m, &forward)
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
		i.announcer.PassOn(encodeNews(fresh, now), from.Incarnation)
	}
	if m.Want {
		reply := encodeNews(i.known(now), now)
		reply.Joined = i.hasJoined()
		return reply, nil
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
	if n.sequence == 0 || i.counted.Accept(n.origin, n.sequence) {
		fresh.begun = i.addBegun(n.begun)
		fresh.origin, fresh.sequence = n.origin, n.sequence
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

// addBegun records begun answers, and returns those that may matter to others. The mutex must be
// held.
func (i *Isolator) addBegun(all []quarantiner.BegunCount) []quarantiner.BegunCount {
	var fresh []quarantiner.BegunCount
	for _, b := range all {
		if i.quarantiner.AddBegun(b) {
			fresh = append(fresh, b)
		}
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
	if n := i.known(now); !n.empty() {
		i.announcer.Share(encodeNews(n, now))
	}
}

// learnFrom asks a host for what it knows.
func (i *Isolator) learnFrom(ctx context.Context, peer gossiper.Member) error {
	var reply peerwire.CrashNews
	if err := i.deps.Links.Call(ctx, peer.Address, peerwire.KindCrashNews, &peerwire.CrashNews{Want: true}, &reply); err != nil {
		return err
	}
	now := time.Now()
	n, err := decodeNews(&reply, now)
	if err != nil {
		return err
	}
	i.record(n, string(peer.Host), now)
	if !reply.Joined && i.notJoined.Add(1) < maxNotJoined {
		return errNotJoined
	}
	i.joinOnce.Do(func() { close(i.joined) })
	return nil
}

// errNotJoined is returned after the answer of a host that has started just now too.
var errNotJoined = classifier.NotRun(classifier.ReasonNotReady, 0, "host has not learned yet what others know")

// hasJoined reports whether this process has learned what others know, or has run for some time.
func (i *Isolator) hasJoined() bool {
	select {
	case <-i.joined:
		return true
	default:
		return time.Since(i.started) >= joinTime
	}
}

const (
	// joinTime is how long a process that starts waits for what other hosts know before its
	// first call, and aloneTime how long if it knows no other host.
	joinTime  = time.Second
	aloneTime = 100 * time.Millisecond
	// maxNotJoined is the number of answers by hosts that have started just now too after which
	// no host is expected to know anything.
	maxNotJoined = 3
)

// awaitJoined waits, for a bounded time from the process's start, until another host has told what
// it knows.
func (i *Isolator) awaitJoined(ctx context.Context) {
	for age := time.Since(i.started); age < joinTime; age = time.Since(i.started) {
		wait := aloneTime - age
		if _, ok := i.deps.Members.View().RandomPeer(i.deps.Self); ok {
			wait = joinTime - age
		}
		if wait <= 0 {
			return
		}
		select {
		case <-i.joined:
			return
		case <-time.After(min(wait, announcer.JoinPeriod)):
		case <-ctx.Done():
			return
		}
	}
}
