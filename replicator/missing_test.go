package replicator

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// largeValue returns a value that peers send a reference to.
func largeValue(text string) []byte {
	return []byte(strings.Repeat(text, MinReferenceBytes))
}

// announced returns a change of which the value is missing.
func announced(key string, r identifier.Revision, value []byte) Change {
	return Change{Item: Item{Key: key, Revision: r, Missing: &Reference{Digest: identifier.DigestOf(value), Bytes: len(value)}}}
}

func changeOf(key string, r identifier.Revision, value []byte) Change {
	return Change{Item: Item{Key: key, Revision: r, Value: value}}
}

// replicaAt returns a replica of era 1 with the items at a revision.
func replicaAt(r identifier.Revision, items ...Change) *Replica {
	replica := NewReplica(DefaultMaxLogBytes)
	replica.Apply(ChangeSet{Position: identifier.Position{Era: 1, Revision: r}, Complete: true, Changes: items})
	return replica
}

func applyAt(replica *Replica, r identifier.Revision, changes ...Change) {
	replica.Apply(ChangeSet{Position: identifier.Position{Era: 1, Revision: r}, Changes: changes})
}

// assertValues checks the values that are used, by their keys in order.
func assertValues(t *testing.T, replica *Replica, want ...[]byte) {
	t.Helper()
	i := is.New(t)
	i.Helper()
	items := replica.Items()
	i.Equal(len(items), len(want))
	for n := range items {
		i.Equal(items[n].Value, want[n])
	}
}

// A small change waited for a large one that came before it.
func TestMissingValues(t *testing.T) {
	first, second, third := largeValue("1"), largeValue("2"), largeValue("3")
	t.Run("don't delay other changes", func(t *testing.T) {
		i := is.New(t)
		r := replicaAt(5, changeOf("a", 4, first), changeOf("b", 5, []byte("serving")))
		applyAt(r, 7, announced("a", 6, second), changeOf("b", 7, []byte("leaving")))
		assertValues(t, r, first, []byte("leaving"))
		i.Equal(r.Position().Revision, identifier.Revision(7))
		m, ok := r.Missing()
		i.True(ok)
		i.Equal(m.Base, first)
		i.True(r.Resolve(m, second))
		assertValues(t, r, second, []byte("leaving"))
		_, ok = r.Missing()
		i.True(!ok)
	})
	t.Run("are used until a later one is there", func(t *testing.T) {
		i := is.New(t)
		r := replicaAt(5, changeOf("a", 4, first))
		applyAt(r, 6, announced("a", 6, second))
		m, _ := r.Missing()
		applyAt(r, 7, announced("a", 7, third))
		i.True(r.Resolve(m, second))
		assertValues(t, r, second)
		m, _ = r.Missing()
		i.Equal(m.Base, second)
		i.True(r.Resolve(m, third))
		assertValues(t, r, third)
	})
	t.Run("don't replace a later one that came first", func(t *testing.T) {
		i := is.New(t)
		r := replicaAt(5, changeOf("a", 4, first))
		applyAt(r, 6, announced("a", 6, second))
		m, _ := r.Missing()
		applyAt(r, 7, changeOf("a", 7, third))
		i.True(!r.Resolve(m, second))
		assertValues(t, r, third)
	})
	t.Run("of a deleted item are dropped", func(t *testing.T) {
		i := is.New(t)
		r := replicaAt(5, changeOf("a", 4, first))
		applyAt(r, 6, announced("a", 6, second))
		m, _ := r.Missing()
		applyAt(r, 7, Change{Item: Item{Key: "a", Revision: 7}, Deleted: true})
		i.True(!r.Resolve(m, second))
		assertValues(t, r)
	})
	t.Run("come with a listing", func(t *testing.T) {
		i := is.New(t)
		r := replicaAt(5, changeOf("a", 4, first))
		applyAt(r, 6, announced("a", 6, second))
		r.Apply(ChangeSet{Position: identifier.Position{Era: 1, Revision: 6}, Complete: true, Changes: []Change{changeOf("a", 6, second)}})
		assertValues(t, r, second)
		_, ok := r.Missing()
		i.True(!ok)
	})
	t.Run("are known if the item had the value before", func(t *testing.T) {
		i := is.New(t)
		r := replicaAt(5, changeOf("a", 4, first))
		applyAt(r, 6, announced("a", 6, first))
		assertValues(t, r, first)
		_, ok := r.Missing()
		i.True(!ok)
	})
	t.Run("are announced to peers, and not the value before", func(t *testing.T) {
		i := is.New(t)
		r := replicaAt(5, changeOf("a", 4, first))
		applyAt(r, 6, announced("a", 6, second))
		for _, after := range []identifier.Position{{}, {Era: 1, Revision: 5}} {
			c := r.Since(after)
			i.Equal(len(c.Changes), 1)
			i.Equal(c.Changes[0].Revision, identifier.Revision(6))
			i.Equal(c.Changes[0].Missing.Digest, identifier.DigestOf(second))
		}
		m, _ := r.Missing()
		r.Resolve(m, second)
		i.Equal(r.Since(identifier.Position{Era: 1, Revision: 5}).Changes[0].Value, second)
	})
	t.Run("are gone with their era", func(t *testing.T) {
		i := is.New(t)
		r := replicaAt(5, changeOf("a", 4, first))
		applyAt(r, 6, announced("a", 6, second))
		m, _ := r.Missing()
		r.Apply(ChangeSet{Position: identifier.Position{Era: 2, Revision: 5}, Complete: true, Changes: []Change{changeOf("a", 4, first)}})
		i.True(!r.Resolve(m, second))
		assertValues(t, r, first)
	})
}

// fakeValues implements Values: each fetch returns the next result.
type fakeValues struct {
	mu      sync.Mutex
	results [][]byte // nil for an error
	kept    int
}

func (f *fakeValues) Keep([]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kept++
}

var errNotThere = errors.New("no host has it")

func (f *fakeValues) Fetch(context.Context, Reference, []byte) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.results) == 0 || f.results[0] == nil {
		f.results = f.results[min(1, len(f.results)):]
		return nil, errNotThere
	}
	value := f.results[0]
	f.results = f.results[1:]
	return value, nil
}

// assertValue waits until a replicator uses a value.
func assertValue(t *testing.T, r *Replicator, want []byte) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		items := r.Replica().Items()
		if len(items) == 1 && string(items[0].Value) == string(want) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the value isn't used; there are %d items", len(items))
		}
	}
}

func TestFetchOfMissingValues(t *testing.T) {
	first, second := largeValue("1"), largeValue("2")
	at := func(r identifier.Revision) identifier.Position { return identifier.Position{Era: 1, Revision: r} }
	start := func(t *testing.T, v *fakeValues) *Replicator {
		s := &scriptedStore{listings: []answer{
			{changes: ChangeSet{Position: at(5), Complete: true, Changes: []Change{changeOf("a", 4, first)}}},
			{changes: ChangeSet{Position: at(6), Complete: true, Changes: []Change{changeOf("a", 6, second)}}},
		}}
		peer := oncePeer{changes: make(chan ChangeSet, 1)}
		r := startReadingWithValues(t, s, peer, v)
		assertPosition(t, r, at(5))
		peer.changes <- ChangeSet{Position: at(6), Changes: []Change{announced("a", 6, second)}}
		return r
	}
	t.Run("ends with the value from a peer", func(t *testing.T) {
		r := start(t, &fakeValues{results: [][]byte{second}})
		assertValue(t, r, second)
		is.New(t).True(!r.Pending())
	})
	t.Run("ends with the store's listing if no peer has it", func(t *testing.T) {
		v := &fakeValues{}
		assertValue(t, start(t, v), second)
		v.mu.Lock()
		defer v.mu.Unlock()
		is.New(t).True(v.kept >= 2) // the store's values are kept for peers
	})
}

// A host that lacked a value listed a store that was behind again and again, without a pause.
func TestListingsOfAStoreThatIsBehind(t *testing.T) {
	i := is.New(t)
	at := func(r identifier.Revision) identifier.Position { return identifier.Position{Era: 1, Revision: r} }
	s := &scriptedStore{listings: []answer{
		{changes: ChangeSet{Position: at(5), Complete: true, Changes: []Change{changeOf("a", 4, largeValue("1"))}}},
	}}
	peer := oncePeer{changes: make(chan ChangeSet, 1)}
	r := startReadingWithValues(t, s, peer, &fakeValues{})
	assertPosition(t, r, at(5))
	peer.changes <- ChangeSet{Position: at(6), Changes: []Change{announced("a", 6, largeValue("2"))}}
	assertPosition(t, r, at(6))
	time.Sleep(time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	i.True(s.listed <= 6)
	i.True(s.listed >= 2)
}

// A copy of the whole store from a peer was taken with values of another time.
func TestCopiesWithReferences(t *testing.T) {
	second := largeValue("2")
	copied := ChangeSet{Position: identifier.Position{Era: 1, Revision: 6}, Complete: true, Changes: []Change{announced("a", 6, second)}}
	failing := []answer{{err: errNoPeers}}
	t.Run("are taken with their values", func(t *testing.T) {
		peer := oncePeer{changes: make(chan ChangeSet, 1)}
		peer.changes <- copied
		r := startReadingWithValues(t, &scriptedStore{listings: failing}, peer, &fakeValues{results: [][]byte{second}})
		assertValue(t, r, second)
	})
	t.Run("are not taken without them", func(t *testing.T) {
		peer := oncePeer{changes: make(chan ChangeSet, 1)}
		peer.changes <- copied
		r := startReadingWithValues(t, &scriptedStore{listings: failing}, peer, &fakeValues{})
		time.Sleep(500 * time.Millisecond)
		is.New(t).True(!r.Synced())
	})
}
