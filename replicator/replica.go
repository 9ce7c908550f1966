package replicator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// maxLog is how many changes a replica keeps for peers that lag behind.
const maxLog = 512

// Item is one entry of the configuration store.
type Item struct {
	Key   string
	Value []byte
	// Revision of the store at the item's last change.
	Revision identifier.Revision
}

// Change is an item as it was written, or its deletion.
type Change struct {
	Item
	Deleted bool
}

// Changes are what happened behind a revision.
type Changes struct {
	// Revision of the store that the changes lead to.
	Revision identifier.Revision
	// Whole is set when the changes are all items: whatever isn't among them
	// doesn't exist.
	Whole   bool
	Changes []Change
	// Age is how long ago the store has confirmed the revision; 0 for the
	// store's own answer.
	Age time.Duration
}

// Replica is a copy of the store's items at one of its revisions. The store's
// revisions order all changes, so replicas may be brought up to date by any
// source that is ahead of them. It is safe for use by several goroutines.
type Replica struct {
	mu       sync.Mutex
	items    map[string]Item
	log      []Change // ordered by revision
	floor    identifier.Revision
	revision identifier.Revision
	changed  chan struct{} // closed when the revision grows
}

// NewReplica gives a replica at revision 0, which knows nothing.
func NewReplica() *Replica {
	return &Replica{items: map[string]Item{}, changed: make(chan struct{})}
}

// Revision gives the store's revision that the replica stands at; 0: none.
func (r *Replica) Revision() identifier.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Changed gives a channel that is closed when the replica moves on from the
// revision that it stands at.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Items gives all items, sorted by key.
func (r *Replica) Items() []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sorted()
}

func (r *Replica) sorted() []Item {
	all := make([]Item, 0, len(r.items))
	for _, i := range r.items {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return all
}

// Apply takes changes in and gives those that were news; deletions carry the
// item as it was. Changes that lead to a revision before the replica's are
// ignored as a whole.
func (r *Replica) Apply(c Changes) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Revision < r.revision {
		return nil
	}
	if c.Revision > r.revision {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	if c.Whole {
		return r.reset(c)
	}
	var news []Change
	for _, change := range c.Changes {
		news = r.apply(news, change)
	}
	r.revision = c.Revision
	return news
}

// apply takes one change in unless it is known, and adds it to news; r.mu is
// held.
func (r *Replica) apply(news []Change, c Change) []Change {
	old, known := r.items[c.Key]
	if known && old.Revision >= c.Revision || !known && c.Deleted {
		return news
	}
	r.remember(c)
	if !c.Deleted {
		r.items[c.Key] = c.Item
		return append(news, c)
	}
	delete(r.items, c.Key)
	return append(news, Change{Item: old, Deleted: true})
}

// reset replaces all items; r.mu is held.
func (r *Replica) reset(c Changes) []Change {
	listed := make(map[string]bool, len(c.Changes))
	var news []Change
	for _, change := range c.Changes {
		listed[change.Key] = true
		news = r.apply(news, change)
	}
	for key, old := range r.items {
		if listed[key] {
			continue
		}
		delete(r.items, key)
		news = append(news, Change{Item: old, Deleted: true})
	}
	r.revision = c.Revision
	// The listing tells what is, not what happened in between.
	r.log = nil
	r.floor = c.Revision
	return news
}

// remember keeps a change for peers; r.mu is held. Changes come in order but
// for those that a listing brought early.
func (r *Replica) remember(c Change) {
	r.log = append(r.log, c)
	if len(r.log) > maxLog {
		r.floor = r.log[0].Revision
		r.log = slices.Delete(r.log, 0, 1)
	}
}

// Since gives what happened behind a revision: as changes where they are
// still known, otherwise as all items.
func (r *Replica) Since(after identifier.Revision) Changes {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Changes{Revision: r.revision}
	if after >= r.revision {
		return c
	}
	if after < r.floor || after == 0 {
		c.Whole = true
		for _, i := range r.sorted() {
			c.Changes = append(c.Changes, Change{Item: i})
		}
		return c
	}
	for _, change := range r.log {
		if change.Revision > after {
			c.Changes = append(c.Changes, change)
		}
	}
	return c
}
