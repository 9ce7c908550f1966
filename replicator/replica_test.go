package replicator_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/replicator"
)

func put(key, value string, r identifier.Revision) replicator.Change {
	return replicator.Change{Item: replicator.Item{Key: key, Value: []byte(value), Revision: r}}
}

func deletion(key string, r identifier.Revision) replicator.Change {
	return replicator.Change{Item: replicator.Item{Key: key, Revision: r}, Deleted: true}
}

// at returns a position in the first era.
func at(r identifier.Revision) identifier.Position {
	return identifier.Position{Revision: r}
}

func changes(r identifier.Revision, all ...replicator.Change) replicator.ChangeSet {
	return replicator.ChangeSet{Position: at(r), Changes: all}
}

func keys(r *replicator.Replica) string {
	text := ""
	for _, i := range r.Items() {
		text += i.Key + "=" + string(i.Value) + " "
	}
	return text
}

func TestReplica(t *testing.T) {
	t.Run("applies changes once, and returns those with an effect", func(t *testing.T) {
		i := is.New(t)
		r := replicator.NewReplica(replicator.DefaultMaxLogBytes)
		i.Equal(len(r.Apply(changes(2, put("a", "1", 1), put("b", "1", 2))).Changes), 2)
		i.Equal(len(r.Apply(changes(2, put("a", "1", 1), put("b", "1", 2))).Changes), 0)
		i.Equal(len(r.Apply(changes(3, put("b", "1", 2), put("a", "2", 3))).Changes), 1)
		i.Equal(keys(r), "a=2 b=1 ")
	})
	t.Run("ignores change sets with an older revision", func(t *testing.T) {
		i := is.New(t)
		r := replicator.NewReplica(replicator.DefaultMaxLogBytes)
		r.Apply(changes(9, put("a", "new", 9)))
		i.Equal(len(r.Apply(replicator.ChangeSet{Position: at(5), Complete: true, Changes: []replicator.Change{put("a", "old", 5)}}).Changes), 0)
		i.Equal(keys(r), "a=new ")
	})
	t.Run("returns deleted items with their last value", func(t *testing.T) {
		i := is.New(t)
		r := replicator.NewReplica(replicator.DefaultMaxLogBytes)
		r.Apply(changes(1, put("a", "1", 1)))
		applied := r.Apply(changes(2, deletion("a", 2))).Changes
		i.Equal(len(applied), 1)
		i.True(applied[0].Deleted)
		i.Equal(string(applied[0].Value), "1")
	})
	t.Run("deletes all items that a listing leaves out", func(t *testing.T) {
		i := is.New(t)
		r := replicator.NewReplica(replicator.DefaultMaxLogBytes)
		r.Apply(changes(2, put("a", "1", 1), put("b", "1", 2)))
		applied := r.Apply(replicator.ChangeSet{Position: at(7), Complete: true, Changes: []replicator.Change{put("b", "1", 2)}}).Changes
		i.Equal(len(applied), 1)
		i.True(applied[0].Deleted)
		i.Equal(keys(r), "b=1 ")
	})
	t.Run("returns a complete listing for revisions older than its log", func(t *testing.T) {
		i := is.New(t)
		r := replicator.NewReplica(replicator.DefaultMaxLogBytes)
		r.Apply(replicator.ChangeSet{Position: at(5), Complete: true, Changes: []replicator.Change{put("a", "1", 3)}})
		i.True(r.Since(at(4)).Complete)
		i.True(!r.Since(at(5)).Complete)
		i.Equal(len(r.Since(at(5)).Changes), 0)
	})
	t.Run("passes on changes that a listing contained early", func(t *testing.T) {
		i := is.New(t)
		r, follower := replicator.NewReplica(replicator.DefaultMaxLogBytes), replicator.NewReplica(replicator.DefaultMaxLogBytes)
		first := put("a", "1", 5)
		r.Apply(replicator.ChangeSet{Position: at(5), Complete: true, Changes: []replicator.Change{first, put("b", "1", 6)}})
		follower.Apply(replicator.ChangeSet{Position: at(5), Complete: true, Changes: []replicator.Change{first}})
		r.Apply(changes(6, put("b", "1", 6)))
		follower.Apply(r.Since(at(5)))
		i.Equal(keys(follower), "a=1 b=1 ")
	})
}

// modelStore is a reference store with its complete history.
type modelStore struct {
	revision identifier.Revision
	history  []replicator.Change
}

func (w *modelStore) change(c replicator.Change) {
	w.revision++
	c.Revision = w.revision
	w.history = append(w.history, c)
}

// at returns the store's content at a revision.
func (w *modelStore) at(r identifier.Revision) string {
	replica := replicator.NewReplica(replicator.DefaultMaxLogBytes)
	for _, c := range w.history {
		if c.Revision <= r {
			replica.Apply(changes(c.Revision, c))
		}
	}
	return keys(replica)
}

func (w *modelStore) since(r identifier.Revision) replicator.ChangeSet {
	c := replicator.ChangeSet{Position: at(w.revision)}
	for _, h := range w.history {
		if h.Revision > r {
			c.Changes = append(c.Changes, h)
		}
	}
	return c
}

func (w *modelStore) listing() replicator.ChangeSet {
	replica := replicator.NewReplica(replicator.DefaultMaxLogBytes)
	replica.Apply(w.since(0))
	c := replicator.ChangeSet{Position: at(w.revision), Complete: true}
	for _, i := range replica.Items() {
		c.Changes = append(c.Changes, replicator.Change{Item: i})
	}
	return c
}

// TestReplicasProperty checks that a replica always equals the store at the
// replica's revision, whether it was updated by watching, by listing or from a
// peer, also when listings arrive late.
func TestReplicasProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &modelStore{}
		replicas := make([]*replicator.Replica, 3)
		for n := range replicas {
			replicas[n] = replicator.NewReplica(rapid.SampledFrom([]int64{0, 400, 2000, replicator.DefaultMaxLogBytes}).Draw(t, "log-bytes"))
		}
		var delayed []replicator.ChangeSet
		pickReplica := func(t *rapid.T) *replicator.Replica { return replicas[rapid.IntRange(0, 2).Draw(t, "replica")] }
		apply := func(t *rapid.T, r *replicator.Replica, c replicator.ChangeSet) {
			if rapid.Bool().Draw(t, "late") && c.Complete {
				delayed = append(delayed, c)
				return
			}
			before := r.Position()
			r.Apply(c)
			if r.Position().Before(before) {
				t.Fatalf("replica went back from %v to %v", before, r.Position())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				w.change(put(fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key")), fmt.Sprint(w.revision), 0))
			},
			"put large": func(t *rapid.T) {
				value := strings.Repeat("x", rapid.IntRange(0, 1000).Draw(t, "size"))
				w.change(put(fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key")), value+fmt.Sprint(w.revision), 0))
			},
			"delete": func(t *rapid.T) {
				w.change(deletion(fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key")), 0))
			},
			"watch": func(t *rapid.T) {
				r := pickReplica(t)
				apply(t, r, w.since(r.Position().Revision))
			},
			"list": func(t *rapid.T) { apply(t, pickReplica(t), w.listing()) },
			"peer": func(t *rapid.T) {
				r, peer := pickReplica(t), pickReplica(t)
				apply(t, r, peer.Since(r.Position()))
			},
			"late": func(t *rapid.T) {
				if len(delayed) > 0 {
					pickReplica(t).Apply(delayed[0])
					delayed = delayed[1:]
				}
			},
			"": func(t *rapid.T) {
				for n, r := range replicas {
					if got, want := keys(r), w.at(r.Position().Revision); got != want {
						t.Fatalf("replica %d at %d holds %q, the store held %q", n, r.Position().Revision, got, want)
					}
				}
			},
		})
	})
}
