package hoster

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/replicator"
)

// maxFrame is the messenger's default bound of a frame in bytes.
const maxFrame = 4 << 20

// askReplica asks for the changes of a replica as a peer does, by frames within the
// messenger's bound.
func askReplica(r *replicator.Replica, request *peerwire.ChangesRequest) (replicator.ChangeSet, int, error) {
	parts := 0
	p := &peers{answer: func(_ context.Context, after identifier.Position, _ time.Duration) replicator.ChangeSet {
		return r.Since(after)
	}}
	c, err := collectChanges(request, func(q *peerwire.ChangesRequest) (*peerwire.ChangesReply, error) {
		parts++
		payload, err := q.MarshalMsg(nil)
		if err != nil {
			return nil, err
		}
		answer, err := p.handleChanges(context.Background(), messenger.Peer{}, payload)
		if err != nil {
			return nil, err
		}
		frame, err := messenger.AppendFrame(nil, &peerwire.Envelope{}, answer, maxFrame)
		if err != nil {
			return nil, err
		}
		var envelope peerwire.Envelope
		frame, err = envelope.UnmarshalMsg(frame[4:]) // the length
		if err != nil {
			return nil, err
		}
		reply := &peerwire.ChangesReply{}
		_, err = reply.UnmarshalMsg(frame)
		return reply, err
	})
	return c, parts, err
}

// storeWith returns a replica with items of the given sizes in bytes, and a revision
// for each.
func storeWith(sizes ...int) *replicator.Replica {
	r := replicator.NewReplica(replicator.DefaultMaxLogBytes)
	r.Apply(replicator.ChangeSet{Position: identifier.Position{Era: 1, Revision: 1}, Complete: true})
	for n, size := range sizes {
		at := identifier.Revision(n + 2)
		r.Apply(replicator.ChangeSet{
			Position: identifier.Position{Era: 1, Revision: at},
			Changes: []replicator.Change{{Item: replicator.Item{
				Key: fmt.Sprintf("k%03d", n), Value: make([]byte, size), Revision: at, Era: 1,
			}}},
		})
	}
	return r
}

// A backlog of large changes exceeded a frame, so that no peer could pass it on.
func TestLargeCopies(t *testing.T) {
	t.Run("many large changes of a key arrive as one copy", func(t *testing.T) {
		i := is.New(t)
		r := storeWith()
		for n := identifier.Revision(2); n < 30; n++ {
			r.Apply(replicator.ChangeSet{
				Position: identifier.Position{Era: 1, Revision: n},
				Changes:  []replicator.Change{{Item: replicator.Item{Key: "config", Value: make([]byte, 743_000), Revision: n}}},
			})
		}
		c, parts, err := askReplica(r, changesRequest(identifier.Position{Era: 1, Revision: 1}, 0))
		i.NoErr(err)
		i.Equal(c.Position, identifier.Position{Era: 1, Revision: 29})
		i.Equal(parts, 1)
		i.Equal(len(c.Changes), 1)
	})
	t.Run("an item of the largest size arrives with a kept one", func(t *testing.T) {
		i := is.New(t)
		c := storeWith(1<<20, 1<<20, 1<<20).Since(identifier.Position{})
		kept := replicator.Kept{Known: replicator.Change{Item: replicator.Item{Key: "k000", Value: make([]byte, 1<<20)}}}
		c.Kept = []replicator.Kept{kept, kept}
		reply := answerInParts(&peerwire.ChangesRequest{Parts: true}, c)
		_, err := messenger.AppendFrame(nil, &peerwire.Envelope{}, reply, maxFrame)
		i.NoErr(err)
		i.Equal(len(reply.Kept), 1)
		i.True(reply.NextKey != "")
	})
	t.Run("builds that know no parts get all at once", func(t *testing.T) {
		i := is.New(t)
		c := storeWith(1<<20, 1<<20, 1<<20).Since(identifier.Position{})
		reply := answerInParts(&peerwire.ChangesRequest{}, c)
		i.Equal(len(reply.Changes), 3)
		i.Equal(reply.NextKey, "")
	})
	t.Run("a copy that moves to another era between its parts is dropped", func(t *testing.T) {
		era := identifier.Era(0)
		_, err := collectChanges(changesRequest(identifier.Position{}, 0), func(*peerwire.ChangesRequest) (*peerwire.ChangesReply, error) {
			era++
			return &peerwire.ChangesReply{Era: era, Revision: 5, Snapshot: true, NextKey: "a"}, nil
		})
		is.New(t).True(errors.Is(err, errCopyChanged))
	})
	t.Run("an error between the parts is returned", func(t *testing.T) {
		asked := 0
		_, err := collectChanges(changesRequest(identifier.Position{}, 0), func(*peerwire.ChangesRequest) (*peerwire.ChangesReply, error) {
			if asked++; asked > 1 {
				return nil, errNoPeer
			}
			return &peerwire.ChangesReply{Revision: 5, Snapshot: true, NextKey: "a"}, nil
		})
		is.New(t).True(errors.Is(err, errNoPeer))
	})
}

// Whatever the number and size of the items, a peer at any revision gets all of them, in
// frames within the bound.
func TestCopiesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := is.New(t)
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{0, 300, 90_000, 743_000, 1 << 20}), 0, 12).Draw(t, "sizes")
		r := storeWith(sizes...)
		behind := rapid.IntRange(0, len(sizes)).Draw(t, "behind")
		follower := storeWith(sizes[:len(sizes)-behind]...)
		c, _, err := askReplica(r, changesRequest(follower.Position(), 0))
		i.NoErr(err)
		follower.Apply(c)
		i.Equal(follower.Position(), r.Position())
		i.Equal(len(follower.Items()), len(r.Items()))
		for n, item := range follower.Items() {
			i.Equal(item.Key, r.Items()[n].Key)
			i.Equal(len(item.Value), sizes[n])
		}
	})
}
