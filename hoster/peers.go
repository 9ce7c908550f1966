package hoster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/replicator"
)

// peers carries the questions between replicators.
type peers struct {
	messenger *messenger.Messenger
	gossiper  *gossiper.Gossiper
	self      identifier.Incarnation
	dc        identifier.DataCenter
	answer    func(ctx context.Context, after identifier.Revision, wait time.Duration) replicator.Changes
}

// readersKey places the hosts that read the store.
var readersKey = xxhash.Sum64String("store-readers")

// Reads tells whether this host is its data centre's reader of the store, or
// knows no other host.
func (p *peers) Reads() bool {
	reader, ok := p.gossiper.View().Owner(p.dc, readersKey)
	return !ok || reader.Incarnation == p.self
}

// Ask implements replicator.Peers: it asks a random live host.
func (p *peers) Ask(ctx context.Context, after identifier.Revision) (replicator.Changes, error) {
	at, ok := p.random()
	if !ok {
		return replicator.Changes{}, errNoPeer
	}
	return p.ask(ctx, at, &peerwire.ChangesAsk{After: after})
}

// Follow implements replicator.Peers: it waits at the reader of this host's
// data centre.
func (p *peers) Follow(ctx context.Context, after identifier.Revision, wait time.Duration) (replicator.Changes, error) {
	at, ok := p.gossiper.View().Owner(p.dc, readersKey)
	if !ok {
		return replicator.Changes{}, errNoPeer
	}
	return p.ask(ctx, at, &peerwire.ChangesAsk{After: after, WaitMs: uint32(wait.Milliseconds())})
}

var errNoPeer = classifier.NotRun(classifier.ReasonHostUnreachable, 0, "no other host is known")

func (p *peers) ask(ctx context.Context, at gossiper.Member, ask *peerwire.ChangesAsk) (replicator.Changes, error) {
	var answer peerwire.ChangesAnswer
	if err := p.messenger.Call(ctx, at.Address, peerwire.KindChanges, ask, &answer); err != nil {
		return replicator.Changes{}, err
	}
	return decodeChanges(&answer), nil
}

// random gives a random live host other than this one.
func (p *peers) random() (gossiper.Member, bool) {
	var chosen gossiper.Member
	count := 0
	for _, m := range p.gossiper.View().Members() {
		if m.Incarnation == p.self || m.State == gossiper.StateDead {
			continue
		}
		count++
		if rand.N(count) == 0 {
			chosen = m
		}
	}
	return chosen, count > 0
}

// handleChanges answers a peer's question.
func (p *peers) handleChanges(ctx context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var ask peerwire.ChangesAsk
	if _, err := ask.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "question for changes is malformed: %w", err)
	}
	wait := min(longestWait, time.Duration(ask.WaitMs)*time.Millisecond)
	return encodeChanges(p.answer(ctx, ask.After, wait)), nil
}

// longestWait bounds how long a peer may wait here for news.
const longestWait = 10 * time.Second

func encodeChanges(c replicator.Changes) *peerwire.ChangesAnswer {
	answer := &peerwire.ChangesAnswer{Revision: c.Revision, Whole: c.Whole, AgeMs: uint32(c.Age.Milliseconds())}
	for _, change := range c.Changes {
		answer.Changes = append(answer.Changes, peerwire.StoreItem{
			Key:      change.Key,
			Value:    change.Value,
			Revision: change.Revision,
			Deleted:  change.Deleted,
		})
	}
	return answer
}

func decodeChanges(answer *peerwire.ChangesAnswer) replicator.Changes {
	c := replicator.Changes{
		Revision: answer.Revision,
		Whole:    answer.Whole,
		Age:      time.Duration(answer.AgeMs) * time.Millisecond,
	}
	for _, i := range answer.Changes {
		c.Changes = append(c.Changes, replicator.Change{
			Item:    replicator.Item{Key: i.Key, Value: i.Value, Revision: i.Revision},
			Deleted: i.Deleted,
		})
	}
	return c
}
