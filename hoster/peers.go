package hoster

import (
	"context"
	"math/rand/v2"

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
	replica   func() *replicator.Replica
}

// Changes implements replicator.Peers: it asks a random live host.
func (p *peers) Changes(ctx context.Context, after identifier.Revision) (replicator.Changes, error) {
	at, ok := p.choose()
	if !ok {
		return replicator.Changes{}, classifier.NotRun(classifier.ReasonHostUnreachable, 0, "no other host is known")
	}
	var answer peerwire.ChangesAnswer
	if err := p.messenger.Call(ctx, at.Address, peerwire.KindChanges, &peerwire.ChangesAsk{After: after}, &answer); err != nil {
		return replicator.Changes{}, err
	}
	return decodeChanges(&answer), nil
}

func (p *peers) choose() (gossiper.Member, bool) {
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
func (p *peers) handleChanges(_ context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var ask peerwire.ChangesAsk
	if _, err := ask.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "question for changes is malformed: %w", err)
	}
	return encodeChanges(p.replica().Since(ask.After)), nil
}

func encodeChanges(c replicator.Changes) *peerwire.ChangesAnswer {
	answer := &peerwire.ChangesAnswer{Revision: c.Revision, Whole: c.Whole}
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
	c := replicator.Changes{Revision: answer.Revision, Whole: answer.Whole}
	for _, i := range answer.Changes {
		c.Changes = append(c.Changes, replicator.Change{
			Item:    replicator.Item{Key: i.Key, Value: i.Value, Revision: i.Revision},
			Deleted: i.Deleted,
		})
	}
	return c
}
