package hoster

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
	"github.com/jackdawthread/jackdawthread/replicator"
)

// links carries messages to other hosts.
type links interface {
	Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error
}

// members provides the current view of the fleet's hosts.
type members interface {
	View() *gossiper.View
}

// peers carries queries between the replicators of hosts.
type peers struct {
	links      links
	members    members
	self       identifier.Incarnation
	dataCenter identifier.DataCenter
	// values are what references to large values refer to; nil if none are sent.
	values replicator.Values
	answer func(ctx context.Context, after identifier.Position, wait time.Duration) replicator.ChangeSet
}

// readersKey is the rendezvous key that selects the hosts that read the store.
var readersKey = xxhash.Sum64String("store-readers")

// ReadsStore reports whether this host is its data center's reader of the store,
// or knows no live host in its data center.
func (p *peers) ReadsStore() bool {
	reader, ok := p.members.View().Owner(p.dataCenter, readersKey)
	return !ok || reader.Incarnation == p.self
}

// Query implements replicator.Peers: it queries a random live host.
func (p *peers) Query(ctx context.Context, after identifier.Position) (replicator.ChangeSet, error) {
	at, ok := p.members.View().RandomPeer(p.self)
	if !ok {
		return replicator.ChangeSet{}, errNoPeer
	}
	return p.call(ctx, at, changesRequest(after, 0))
}

// Follow implements replicator.Peers: it waits at the reader of this host's data
// center.
func (p *peers) Follow(ctx context.Context, after identifier.Position, wait time.Duration) (replicator.ChangeSet, error) {
	at, ok := p.members.View().Owner(p.dataCenter, readersKey)
	if !ok {
		return replicator.ChangeSet{}, errNoPeer
	}
	return p.call(ctx, at, changesRequest(after, wait))
}

func changesRequest(after identifier.Position, wait time.Duration) *peerwire.ChangesRequest {
	return &peerwire.ChangesRequest{
		After: after.Revision, Era: after.Era, WaitMs: uint32(wait.Milliseconds()), Parts: true, References: true,
	}
}

var errNoPeer = classifier.NotRun(classifier.ReasonHostUnreachable, 0, "no other host is known")

func (p *peers) call(ctx context.Context, at gossiper.Member, request *peerwire.ChangesRequest) (replicator.ChangeSet, error) {
	changes, err := collectChanges(request, func(r *peerwire.ChangesRequest) (*peerwire.ChangesReply, error) {
		ctx, cancel := context.WithTimeout(ctx, time.Duration(r.WaitMs)*time.Millisecond+messageTimeout)
		defer cancel()
		reply := &peerwire.ChangesReply{}
		return reply, p.links.Call(ctx, at.Address, peerwire.KindChanges, r, reply)
	})
	attributeReferences(&changes, at.Address)
	return changes, err
}

// messageTimeout bounds the time of one message of an answer, without the time that the peer waits
// for changes.
const messageTimeout = 300 * time.Millisecond

// handleChanges answers a peer's query.
func (p *peers) handleChanges(ctx context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var request peerwire.ChangesRequest
	if _, err := request.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed query for changes: %w", err)
	}
	wait := min(maxPeerWait, time.Duration(request.WaitMs)*time.Millisecond)
	after := identifier.Position{Era: request.Era, Revision: request.After}
	changes := p.answer(ctx, after, wait)
	if !request.References || p.values == nil {
		if lacksValue(&changes) {
			return nil, classifier.NotRun(classifier.ReasonNotReady, 0, "host doesn't have all values yet")
		}
		return answerInParts(&request, changes), nil
	}
	return answerInParts(&request, p.withReferences(changes)), nil
}

// maxPeerWait bounds how long this host holds a peer's query open.
const maxPeerWait = 10 * time.Second

func encodeChanges(c replicator.ChangeSet) *peerwire.ChangesReply {
	reply := &peerwire.ChangesReply{
		Revision:  c.Position.Revision,
		Era:       c.Position.Era,
		Snapshot:  c.Complete,
		AgeMs:     uint32(c.Age.Milliseconds()),
		Receiving: c.Receiving,
	}
	for _, change := range c.Changes {
		reply.Changes = append(reply.Changes, encodeChange(change))
	}
	for _, k := range c.Kept {
		reply.Kept = append(reply.Kept, peerwire.KeptItem{
			Known:            encodeChange(k.Known),
			RestoredRevision: k.RestoredRevision,
			LeftMs:           uint32(k.Left.Milliseconds()),
		})
	}
	return reply
}

func encodeChange(c replicator.Change) peerwire.StoreItem {
	i := peerwire.StoreItem{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted, Era: c.Era}
	if c.Missing != nil {
		i.Digest, i.Bytes = c.Missing.Digest, uint32(c.Missing.Bytes)
	}
	return i
}

func decodeChanges(reply *peerwire.ChangesReply) replicator.ChangeSet {
	c := replicator.ChangeSet{
		Position:  identifier.Position{Era: reply.Era, Revision: reply.Revision},
		Complete:  reply.Snapshot,
		Age:       time.Duration(reply.AgeMs) * time.Millisecond,
		Receiving: reply.Receiving,
	}
	for _, i := range reply.Changes {
		c.Changes = append(c.Changes, decodeChange(i))
	}
	for _, k := range reply.Kept {
		c.Kept = append(c.Kept, replicator.Kept{
			Known:            decodeChange(k.Known),
			RestoredRevision: k.RestoredRevision,
			Left:             time.Duration(k.LeftMs) * time.Millisecond,
		})
	}
	return c
}

func decodeChange(i peerwire.StoreItem) replicator.Change {
	c := replicator.Change{
		Item:    replicator.Item{Key: i.Key, Value: i.Value, Revision: i.Revision, Era: i.Era},
		Deleted: i.Deleted,
	}
	if i.Digest != 0 && !i.Deleted {
		c.Missing = &replicator.Reference{Digest: i.Digest, Bytes: int(i.Bytes)}
	}
	return c
}
