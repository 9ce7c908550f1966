package hoster

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/classifier"
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

// keptValues implements replicator.Values for a host that fetches none.
type keptValues struct {
	replicator.Values
	kept [][]byte
}

func (k *keptValues) Keep(value []byte) {
	k.kept = append(k.kept, value)
}

func TestReferences(t *testing.T) {
	large := make([]byte, replicator.MinReferenceBytes)
	position := identifier.Position{Era: 1, Revision: 7}
	changes := replicator.ChangeSet{Position: position, Changes: []replicator.Change{
		{Item: replicator.Item{Key: "a", Value: large, Revision: 6}},
		{Item: replicator.Item{Key: "b", Value: []byte("small"), Revision: 7}},
	}}
	ask := func(t *testing.T, c replicator.ChangeSet, references bool) (replicator.ChangeSet, *keptValues, error) {
		t.Helper()
		i := is.New(t)
		values := &keptValues{}
		c.Changes = slices.Clone(c.Changes)
		p := &peers{values: values, answer: func(context.Context, identifier.Position, time.Duration) replicator.ChangeSet { return c }}
		frame, err := (&peerwire.ChangesRequest{After: 5, Era: 1, References: references}).MarshalMsg(nil)
		i.NoErr(err)
		answer, err := p.handleChanges(context.Background(), messenger.Peer{}, frame)
		if err != nil {
			return replicator.ChangeSet{}, values, err
		}
		frame, err = answer.MarshalMsg(nil)
		i.NoErr(err)
		var reply peerwire.ChangesReply
		_, err = reply.UnmarshalMsg(frame)
		i.NoErr(err)
		return decodeChanges(&reply), values, nil
	}
	t.Run("stand for large values, which can be fetched", func(t *testing.T) {
		i := is.New(t)
		got, values, err := ask(t, changes, true)
		i.NoErr(err)
		i.Equal(got.Changes[0].Value, nil)
		i.Equal(got.Changes[0].Missing, &replicator.Reference{Digest: identifier.DigestOf(large), Bytes: len(large)})
		i.Equal(got.Changes[1], changes.Changes[1])
		i.Equal(values.kept, [][]byte{large})
	})
	t.Run("aren't sent to builds that know none", func(t *testing.T) {
		i := is.New(t)
		got, _, err := ask(t, changes, false)
		i.NoErr(err)
		i.Equal(got.Changes, changes.Changes)
	})
	t.Run("to values that are missing here too are passed on", func(t *testing.T) {
		i := is.New(t)
		got, _, err := ask(t, changes, true)
		i.NoErr(err)
		again, _, err := ask(t, got, true)
		i.NoErr(err)
		i.Equal(again.Changes, got.Changes)
		_, _, err = ask(t, got, false)
		i.Equal(classifier.Of(err).Verdict, classifier.VerdictNotRun)
	})
}
