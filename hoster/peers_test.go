package hoster

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/replicator"
)

// TestChangesBetweenPeers checks what hosts send each other about the store, also
// with builds that know no eras.
func TestChangesBetweenPeers(t *testing.T) {
	changes := replicator.ChangeSet{
		Position: identifier.Position{Era: 3, Revision: 7},
		Complete: true,
		Age:      5 * time.Millisecond,
		Changes: []replicator.Change{
			{Item: replicator.Item{Key: "a", Value: []byte("1"), Revision: 6, Era: 3}},
			{Item: replicator.Item{Key: "b", Revision: 7}, Deleted: true},
		},
		Kept: []replicator.Kept{{
			Known:            replicator.Change{Item: replicator.Item{Key: "a", Value: []byte("2"), Revision: 9}},
			RestoredRevision: 6,
			Left:             time.Second,
		}},
	}
	t.Run("replies arrive as they were sent", func(t *testing.T) {
		i := is.New(t)
		frame, err := encodeChanges(changes).MarshalMsg(nil)
		i.NoErr(err)
		var reply peerwire.ChangesReply
		_, err = reply.UnmarshalMsg(frame)
		i.NoErr(err)
		i.Equal(decodeChanges(&reply), changes)
	})
	t.Run("queries carry the position", func(t *testing.T) {
		i := is.New(t)
		var asked identifier.Position
		p := &peers{answer: func(_ context.Context, after identifier.Position, _ time.Duration) replicator.ChangeSet {
			asked = after
			return changes
		}}
		frame, err := changesRequest(changes.Position, time.Second).MarshalMsg(nil)
		i.NoErr(err)
		_, err = p.handleChanges(context.Background(), messenger.Peer{}, frame)
		i.NoErr(err)
		i.Equal(asked, changes.Position)
	})
	t.Run("queries of builds without eras read as era 0", func(t *testing.T) {
		i := is.New(t)
		frame := msgp.AppendMapHeader(nil, 2)
		frame = msgp.AppendUint64(msgp.AppendString(frame, "after"), 7)
		frame = msgp.AppendUint32(msgp.AppendString(frame, "wait-ms"), 700)
		var request peerwire.ChangesRequest
		_, err := request.UnmarshalMsg(frame)
		i.NoErr(err)
		i.Equal(request, peerwire.ChangesRequest{After: 7, WaitMs: 700})
	})
	t.Run("unknown fields are skipped, as builds without eras do", func(t *testing.T) {
		i := is.New(t)
		frame := msgp.AppendMapHeader(nil, 2)
		frame = msgp.AppendUint64(msgp.AppendString(frame, "later-field"), 3)
		frame = msgp.AppendUint64(msgp.AppendString(frame, "revision"), 7)
		var reply peerwire.ChangesReply
		_, err := reply.UnmarshalMsg(frame)
		i.NoErr(err)
		i.Equal(decodeChanges(&reply).Position, identifier.Position{Revision: 7})
	})
}
