package replicator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

func item(key, value string, r identifier.Revision) Item {
	return Item{Key: key, Value: []byte(value), Revision: r}
}

func listing(era identifier.Era, r identifier.Revision, items ...Item) ChangeSet {
	c := ChangeSet{Position: identifier.Position{Era: era, Revision: r}, Complete: true}
	for _, i := range items {
		c.Changes = append(c.Changes, Change{Item: i})
	}
	return c
}

func update(era identifier.Era, r identifier.Revision, changes ...Change) ChangeSet {
	return ChangeSet{Position: identifier.Position{Era: era, Revision: r}, Changes: changes}
}

// restoredHost is a replica with its retention.
type restoredHost struct {
	replica   *Replica
	retention retention
}

func newRestoredHost(permanent func(known, restored Item) bool) *restoredHost {
	return &restoredHost{replica: NewReplica(DefaultMaxLogBytes), retention: newRetention(DefaultOptions(), permanent)}
}

// apply applies change sets at a time without an outage.
func (h *restoredHost) apply(now time.Time, all ...ChangeSet) {
	for _, c := range all {
		h.retention.record(h.replica.Apply(c), time.Time{}, now)
	}
}

// uses returns the items in use, as KEY=VALUE.
func (h *restoredHost) uses(now time.Time) string {
	text := ""
	for _, i := range h.retention.overlay(h.replica.Items(), now) {
		text += i.Key + "=" + string(i.Value) + " "
	}
	h.replica.Accept(h.retention.takeAccepted())
	return text
}

func TestRestoredStore(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	grace, hold := DefaultOptions().DeletionGrace, DefaultOptions().OutdatedHold
	t.Run("is followed by a complete listing only", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(nil)
		h.apply(start, listing(1, 9, item("a", "old", 9)))
		h.apply(start, update(2, 12, Change{Item: item("a", "new", 12)}))
		i.Equal(h.replica.Position(), identifier.Position{Era: 1, Revision: 9})
		h.apply(start, listing(2, 5, item("a", "new", 5)))
		i.Equal(h.replica.Position(), identifier.Position{Era: 2, Revision: 5})
	})
	t.Run("makes answers of earlier eras ineffective", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(nil)
		h.apply(start, listing(2, 5, item("a", "new", 5)), listing(1, 9, item("b", "old", 9)), update(1, 10, Change{Item: item("c", "old", 10)}))
		i.Equal(h.uses(start), "a=new ")
		i.True(!h.replica.Accepts(update(1, 10)))
		i.Equal(h.replica.Position(), identifier.Position{Era: 2, Revision: 5})
	})
	t.Run("is passed on to peers of other eras as a whole", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(nil)
		h.apply(start, listing(2, 5, item("a", "new", 5)), update(2, 6, Change{Item: item("b", "new", 6)}))
		i.True(h.replica.Since(identifier.Position{Era: 1, Revision: 5}).Complete)
		i.True(!h.replica.Since(identifier.Position{Era: 2, Revision: 5}).Complete)
		i.Equal(len(h.replica.Since(identifier.Position{Era: 3, Revision: 1}).Changes), 0)
	})
	t.Run("leaves missing items in use for the grace", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(nil)
		h.apply(start, listing(1, 9, item("a", "1", 8), item("b", "1", 9)), listing(2, 5))
		i.Equal(len(h.uses(start.Add(grace-1))), len("a=1 b=1 "))
		h.apply(start, update(2, 6, Change{Item: item("a", "2", 6)}))
		i.Equal(h.uses(start.Add(grace)), "a=2 ")
	})
	t.Run("doesn't set items back until they are written again", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(nil)
		h.apply(start, listing(1, 5, item("a", "1", 5)), update(1, 8, Change{Item: item("a", "2", 8)}), listing(2, 6, item("a", "1", 5)))
		i.Equal(h.uses(start.Add(hold-1)), "a=2 ")
		h.apply(start, update(2, 7, Change{Item: item("a", "3", 7)}))
		i.Equal(h.uses(start), "a=3 ")
	})
	t.Run("sets items back that nobody writes again", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(nil)
		h.apply(start, listing(1, 5, item("a", "1", 5)), update(1, 8, Change{Item: item("a", "2", 8)}), listing(2, 6, item("a", "1", 5)))
		i.Equal(h.uses(start.Add(hold)), "a=1 ")
	})
	t.Run("never sets permanent states back, but takes their deletion", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(func(known, restored Item) bool {
			return string(known.Value) == "leaving" && string(restored.Value) == "ready"
		})
		h.apply(start, listing(1, 5, item("a", "ready", 5)), update(1, 8, Change{Item: item("a", "leaving", 8)}), listing(2, 6, item("a", "ready", 5)))
		i.Equal(h.uses(start.Add(time.Hour)), "a=leaving ")
		h.apply(start, update(2, 7, Change{Item: Item{Key: "a", Revision: 7}, Deleted: true}))
		i.Equal(h.uses(start), "")
	})
	t.Run("doesn't bring deleted items back, unless they stay or are written again", func(t *testing.T) {
		i := is.New(t)
		deleted := Change{Item: Item{Key: "a", Revision: 8}, Deleted: true}
		h := newRestoredHost(nil)
		h.apply(start, listing(1, 5, item("a", "1", 5)), update(1, 8, deleted), listing(2, 6, item("a", "1", 5)))
		i.Equal(h.uses(start.Add(hold-1)), "")
		i.Equal(h.uses(start.Add(hold)), "a=1 ")
		h = newRestoredHost(nil)
		h.apply(start, listing(1, 5, item("a", "1", 5)), update(1, 8, deleted), listing(2, 6, item("a", "1", 5)), update(2, 7, Change{Item: item("a", "2", 7)}))
		i.Equal(h.uses(start), "a=2 ")
	})
	t.Run("tells a write of its era by a revision that was given out twice", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(nil)
		h.apply(start, listing(1, 5, item("a", "1", 5)), update(1, 8, Change{Item: item("a", "2", 8)}), listing(2, 7, item("a", "3", 7)))
		i.Equal(h.uses(start), "a=3 ")
	})
	t.Run("may be restored again with items that were accepted", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(nil)
		h.apply(start, listing(1, 5, item("a", "1", 5)), update(1, 8, Change{Item: item("a", "2", 8)}), listing(2, 6, item("a", "1", 5)))
		i.Equal(h.uses(start.Add(hold)), "a=1 ")
		h.apply(start.Add(hold), listing(3, 6, item("a", "1", 5)))
		i.Equal(h.uses(start.Add(hold)), "a=1 ")
	})
	t.Run("may be restored again", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(nil)
		h.apply(start, listing(1, 5, item("a", "1", 5)), update(1, 8, Change{Item: item("a", "2", 8)}))
		h.apply(start, listing(2, 6, item("a", "1", 5)), listing(3, 4), listing(4, 6, item("a", "1", 5)))
		i.Equal(h.uses(start), "a=2 ")
	})
}

func TestKeptByPeers(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	hold := DefaultOptions().OutdatedHold
	deleted := Change{Item: Item{Key: "b", Revision: 9}, Deleted: true}
	restored := listing(2, 6, item("a", "1", 5), item("b", "1", 4))
	knowing := newRestoredHost(nil)
	knowing.apply(start, listing(1, 5, item("a", "1", 5), item("b", "1", 4)), update(1, 9, Change{Item: item("a", "2", 8)}, deleted), restored)
	// learn lets a host learn from the one that knows more, after some time.
	learn := func(h *restoredHost, after time.Duration) {
		h.retention.learn(knowing.retention.kept(start.Add(after)), h.replica.Item, start.Add(after))
	}
	t.Run("is used by a host that starts after the restore", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(nil)
		h.apply(start, restored)
		i.Equal(h.uses(start), "a=1 b=1 ")
		learn(h, time.Second)
		i.Equal(h.uses(start.Add(hold-1)), "a=2 ")
		i.Equal(h.uses(start.Add(hold)), "a=1 b=1 ")
	})
	t.Run("isn't learned again once the store's items are accepted", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(nil)
		h.apply(start, restored)
		h.retention.learn([]Kept{{Known: deleted, RestoredRevision: 4, Left: time.Second}}, h.replica.Item, start)
		i.Equal(h.uses(start.Add(time.Second)), "a=1 b=1 ")
		h.retention.learn([]Kept{{Known: deleted, RestoredRevision: 4, Left: time.Second}}, h.replica.Item, start.Add(time.Second))
		i.Equal(h.uses(start.Add(time.Second)), "a=1 b=1 ")
	})
	t.Run("isn't passed on if the store's item may be newer", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(nil)
		h.apply(start, listing(1, 9, item("a", "2", 8)), restored)
		i.Equal(h.uses(start), "a=2 b=1 ")
		i.Equal(len(h.retention.kept(start)), 0)
	})
	t.Run("has no effect on items that were written since", func(t *testing.T) {
		i := is.New(t)
		h := newRestoredHost(nil)
		h.apply(start, restored, update(2, 8, Change{Item: item("a", "3", 7)}, Change{Item: Item{Key: "b", Revision: 8}, Deleted: true}))
		learn(h, time.Second)
		i.Equal(h.uses(start.Add(time.Second)), "a=3 ")
	})
}

func TestNothingNew(t *testing.T) {
	own := identifier.Position{Era: 2, Revision: 5}
	cases := []struct {
		name string
		peer identifier.Position
		want bool
	}{
		{"a peer at the same position", own, true},
		{"a peer at a later revision", identifier.Position{Era: 2, Revision: 6}, true},
		{"a peer of a later era", identifier.Position{Era: 3, Revision: 1}, true},
		{"a peer at an earlier revision", identifier.Position{Era: 2, Revision: 4}, false},
		{"a peer of an earlier era", identifier.Position{Era: 1, Revision: 9}, false},
		{"a peer that has nothing", identifier.Position{}, false},
		// It would ask again at once: its build may know no eras.
		{"a peer without an era at a later revision", identifier.Position{Revision: 9}, true},
		{"a peer without an era at an earlier revision", identifier.Position{Revision: 4}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(nothingNew(c.peer, own), c.want) })
	}
}
