package replicator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// maxLogEntries is how many changes a replica keeps for peers at older revisions.
const maxLogEntries = 512

// Item is one entry of the configuration store.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the item's last change.
	Revision identifier.Revision
}

// Change is a written item or a deletion.
type Change struct {
	Item
	Deleted bool
}

// ChangeSet holds the changes after a revision.
type ChangeSet struct {
	// Revision is the store's revision after the changes.
	Revision identifier.Revision
	// Complete is set if the changes list all items, so that items that aren't
	// listed don't exist.
	Complete bool
	Changes  []Change
	// Age is the time since the store confirmed the revision; 0 for the store's
	// own answer.
	Age time.Duration
}

// Replica is a copy of the store's items at one revision. The store's revisions
// order all changes, so any source with a newer revision can update a replica.
// It is safe for concurrent use.
type Replica struct {
	mu       sync.Mutex
	items    map[string]Item
	log      []Change // ordered by revision
	logStart identifier.Revision
	revision identifier.Revision
	changed  chan struct{} // closed and replaced when the revision increases
}

// NewReplica returns an empty replica at revision 0.
func NewReplica() *Replica {
	return &Replica{items: map[string]Item{}, changed: make(chan struct{})}
}

// Revision returns the store's revision that the replica holds; 0 if it has
// none yet.
func (r *Replica) Revision() identifier.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// Changed returns a channel that is closed when the replica leaves its current
// revision.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Items returns all items, sorted by key.
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

// Apply applies changes and returns those that had an effect; deletions carry
// the deleted item. Change sets with a revision older than the replica's are
// ignored entirely.
func (r *Replica) Apply(c ChangeSet) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Revision < r.revision {
		return nil
	}
	if c.Revision > r.revision {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	if c.Complete {
		return r.reset(c)
	}
	var applied []Change
	for _, change := range c.Changes {
		applied = r.apply(applied, change)
	}
	r.revision = c.Revision
	return applied
}

// apply applies one change unless it is known already, and appends it to
// applied; r.mu must be held.
func (r *Replica) apply(applied []Change, c Change) []Change {
	old, known := r.items[c.Key]
	if known && old.Revision >= c.Revision || !known && c.Deleted {
		return applied
	}
	r.appendLog(c)
	if !c.Deleted {
		r.items[c.Key] = c.Item
		return append(applied, c)
	}
	delete(r.items, c.Key)
	return append(applied, Change{Item: old, Deleted: true})
}

// reset replaces all items; r.mu must be held.
func (r *Replica) reset(c ChangeSet) []Change {
	listed := make(map[string]bool, len(c.Changes))
	var applied []Change
	for _, change := range c.Changes {
		listed[change.Key] = true
		applied = r.apply(applied, change)
	}
	for key, old := range r.items {
		if listed[key] {
			continue
		}
		delete(r.items, key)
		applied = append(applied, Change{Item: old, Deleted: true})
	}
	r.revision = c.Revision
	r.startLog(c)
	return applied
}

// startLog starts the log anew: a listing has the current items, but not the changes
// that led to them. Items that it contained early stay in the log, as they have no
// effect when they arrive as changes. r.mu must be held.
func (r *Replica) startLog(listing ChangeSet) {
	r.log = nil
	r.logStart = listing.Revision
	for _, c := range listing.Changes {
		if c.Revision > r.logStart {
			r.appendLog(c)
		}
	}
}

// appendLog keeps a change for peers; r.mu must be held. Changes arrive in
// order, except for those that a listing contained early.
func (r *Replica) appendLog(c Change) {
	r.log = append(r.log, c)
	if len(r.log) > maxLogEntries {
		r.logStart = r.log[0].Revision
		r.log = slices.Delete(r.log, 0, 1)
	}
}

// Since returns the changes after a revision, or all items if the log doesn't
// reach back that far.
func (r *Replica) Since(after identifier.Revision) ChangeSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := ChangeSet{Revision: r.revision}
	if after >= r.revision {
		return c
	}
	if after < r.logStart || after == 0 {
		c.Complete = true
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
