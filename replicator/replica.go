package replicator

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Item is one entry of the configuration store.
type Item struct {
	Key   string
	Value []byte
	// Missing is set in place of a large value that this host doesn't have yet.
	Missing *Reference
	// Revision is the store's revision at the item's last change.
	Revision identifier.Revision
	// Era is the era in which the item is known to have been written; 0 if that
	// isn't known, since it may come from the copy from which the store was restored.
	Era identifier.Era
}

// Change is a written item or a deletion.
type Change struct {
	Item
	Deleted bool
}

// ChangeSet holds the changes after a position.
type ChangeSet struct {
	// Position is the store's position after the changes.
	Position identifier.Position
	// Complete is set if the changes list all items, so that items that aren't
	// listed don't exist.
	Complete bool
	Changes  []Change
	// Age is the time since the store confirmed the position; 0 for the store's
	// own answer.
	Age time.Duration
	// Receiving is set if a peer is just receiving an answer of the store.
	Receiving bool
	// Kept lists what a peer uses in place of items that a restored store has
	// certainly set back, whatever the position is.
	Kept []Kept
}

// Kept is the latest known state of a key, used in place of an older item that a
// restored store has.
type Kept struct {
	Known Change
	// RestoredRevision is the revision of the store's item.
	RestoredRevision identifier.Revision
	// Left is how much longer the state is kept.
	Left time.Duration
}

// Outdated is an item that a restored store has, although a later state of its
// key is known from an earlier era.
type Outdated struct {
	Item  Item
	Known Change
	// Certain is set if the item was once replaced by the known state, or by one
	// before that. Otherwise it may also have been written since.
	Certain bool
}

// Applied is the effect of a change set on a replica.
type Applied struct {
	// Changes had an effect; deletions carry the deleted item.
	Changes []Change
	// Restored is set if the replica has moved to a later era. The deletions in
	// Changes are then items that the restored store lacks.
	Restored bool
	// Outdated is set in a later era only. These items are part of the replica,
	// but not of Changes.
	Outdated []Outdated
}

// Replica is a copy of the store's items at one position. Positions order all
// changes, so any source at a later one can update a replica. Revisions of
// different eras can't be compared, so only a complete change set leads from one
// era to another. Replica is safe for concurrent use.
type Replica struct {
	mu    sync.Mutex
	items map[string]Item
	// whole has the last value of each item whose latest one is missing.
	whole    map[string]Item
	log      changeLog // all in the era of position
	position identifier.Position
	history  history
	changed  chan struct{} // closed and replaced when the position moves on
}

// NewReplica returns an empty replica at no position. It keeps changes of at most
// maxLogBytes for peers.
func NewReplica(maxLogBytes int64) *Replica {
	return &Replica{
		items:   map[string]Item{},
		whole:   map[string]Item{},
		log:     changeLog{maxBytes: maxLogBytes},
		history: newHistory(),
		changed: make(chan struct{}),
	}
}

// LogBytes returns the memory of the changes that are kept for peers, in bytes.
func (r *Replica) LogBytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.bytes
}

// Position returns the store's position that the replica holds; zero if it has
// none yet.
func (r *Replica) Position() identifier.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position
}

// Changed returns a channel that is closed when the replica leaves its current
// position.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Items returns all items, sorted by key. In place of an item whose latest value is missing it returns
// the one before, if there is one.
func (r *Replica) Items() []Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.sorted()
	usable := all[:0]
	for _, i := range all {
		if i.Missing != nil {
			before, ok := r.whole[i.Key]
			if !ok {
				continue
			}
			i = before
		}
		usable = append(usable, i)
	}
	return usable
}

// Item returns the item with a key.
func (r *Replica) Item(key string) (Item, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.items[key]
	return i, ok
}

func (r *Replica) sorted() []Item {
	all := make([]Item, 0, len(r.items))
	for _, i := range r.items {
		all = append(all, i)
	}
	slices.SortFunc(all, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	return all
}

// Accepts reports whether a change set has the replica's era, or leads to a later
// one.
func (r *Replica) Accepts(c ChangeSet) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepts(c)
}

func (r *Replica) accepts(c ChangeSet) bool {
	return c.Position.Era == r.position.Era || c.Complete && c.Position.Era > r.position.Era
}

// Apply applies changes and returns their effect. Change sets with a position
// before the replica's are ignored entirely, and so are those of a later era that
// aren't complete.
func (r *Replica) Apply(c ChangeSet) Applied {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accepts(c) || c.Position.Before(r.position) {
		return Applied{}
	}
	if r.position.Before(c.Position) {
		close(r.changed)
		r.changed = make(chan struct{})
	}
	var applied Applied
	switch {
	case c.Position.Era > r.position.Era && !r.position.IsZero():
		applied = r.adoptEra(c)
	case c.Complete:
		applied.Changes = r.reset(c)
	default:
		applied.Changes = r.applyAll(c)
	}
	r.position = c.Position
	return applied
}

// applyAll applies the changes of the replica's own era; r.mu must be held.
func (r *Replica) applyAll(c ChangeSet) []Change {
	var applied []Change
	for _, change := range c.Changes {
		if r.position.Revision > 0 && change.Revision > r.position.Revision {
			change.Era = c.Position.Era
		}
		applied = r.apply(applied, change)
	}
	return applied
}

// apply applies one change unless it is known already, and appends it to
// applied; r.mu must be held.
func (r *Replica) apply(applied []Change, c Change) []Change {
	old, known := r.items[c.Key]
	if known && old.Missing != nil && old.Revision == c.Revision && c.Missing == nil && !c.Deleted {
		r.fill(old, c.Value)
		return append(applied, c)
	}
	if known && old.Revision >= c.Revision || !known && c.Deleted {
		return applied
	}
	if c.Missing != nil {
		c.Item = r.reuse(c.Item)
	}
	r.appendLog(c)
	r.remember(old, known, c)
	if !c.Deleted {
		r.set(old, known, c.Item)
		return append(applied, c)
	}
	r.remove(c.Key)
	return append(applied, Change{Item: old, Deleted: true})
}

// remember adds a change and the item that it replaces to the history; r.mu must
// be held. The first listing isn't remembered: it replaces nothing.
func (r *Replica) remember(old Item, known bool, c Change) {
	if known {
		r.history.add(Change{Item: old})
	}
	if known || !r.position.IsZero() {
		r.history.add(c)
	}
}

// reset replaces all items by those of the same era; r.mu must be held.
func (r *Replica) reset(c ChangeSet) []Change {
	applied := r.applyAll(c)
	for key, old := range r.missing(c) {
		r.remove(key)
		r.remember(old, true, Change{Item: Item{Key: key, Revision: c.Position.Revision}, Deleted: true})
		applied = append(applied, Change{Item: old, Deleted: true})
	}
	r.startLog(c)
	return applied
}

// missing returns the items that a complete change set lacks; r.mu must be held.
func (r *Replica) missing(c ChangeSet) map[string]Item {
	missing := maps.Clone(r.items)
	for _, change := range c.Changes {
		delete(missing, change.Key)
	}
	return missing
}

// startLog starts the log anew: a listing has the current items, but not the changes
// that led to them. Items that it contained early stay in the log, as they have no
// effect when they arrive as changes. r.mu must be held.
func (r *Replica) startLog(listing ChangeSet) {
	r.log.restart(listing.Position.Revision)
	r.history.restart(listing.Position.Revision)
	for _, c := range listing.Changes {
		if c.Revision > listing.Position.Revision {
			r.appendLog(c)
		}
	}
}

// appendLog keeps a change for peers; r.mu must be held. Changes arrive in
// order, except for those that a listing contained early.
func (r *Replica) appendLog(c Change) {
	r.log.add(c)
	r.history.extend(c.Revision)
}

// Since returns the changes after a position, or all items if the log doesn't
// reach back that far or the position has another era.
func (r *Replica) Since(after identifier.Position) ChangeSet {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := ChangeSet{Position: r.position}
	if !after.Before(r.position) {
		return c
	}
	changes, ok := r.log.since(after.Revision)
	if ok && after.Era == r.position.Era && after.Revision > 0 {
		c.Changes = changes
		return c
	}
	c.Complete = true
	for _, i := range r.sorted() {
		c.Changes = append(c.Changes, Change{Item: i})
	}
	return c
}
