package replicator

import "time"

// retention decides which items a host uses where they differ from the store's:
// deletions that are deferred, and items that a restored store has set back. It is
// pure; the replicator's lock must be held to call its methods.
type retention struct {
	options Options
	// permanent is Deps.Permanent.
	permanent func(known, restored Item) bool
	entries   map[string]retained
}

// retained is what is used for a key in place of the store's state.
type retained struct {
	// item is used. If removed is set, none is.
	item    Item
	removed bool
	// restored is the store's item; nil if it has none. Any other item of the store
	// ends the retention.
	restored *Item
	// until is the end; zero if there is none.
	until time.Time
}

func newRetention(o Options, permanent func(known, restored Item) bool) retention {
	if permanent == nil {
		permanent = func(Item, Item) bool { return false }
	}
	return retention{options: o, permanent: permanent, entries: map[string]retained{}}
}

// record takes note of changes to the replica. Deletions are deferred until
// graceEnd; a time in the past means that they take effect at once.
func (t *retention) record(a Applied, graceEnd, now time.Time) {
	if a.Restored {
		graceEnd = now.Add(t.options.DeletionGrace)
	}
	for _, c := range a.Changes {
		if c.Deleted && graceEnd.After(now) {
			t.deferDeletion(c.Item, graceEnd)
			continue
		}
		delete(t.entries, c.Key) // the store says otherwise
	}
	for _, o := range a.Outdated {
		t.keepKnown(o, now)
	}
}

// deferDeletion keeps the item in use that was used until now.
func (t *retention) deferDeletion(i Item, until time.Time) {
	if old, ok := t.entries[i.Key]; ok {
		if old.removed {
			return // it isn't used
		}
		i = old.item
	}
	t.entries[i.Key] = retained{item: i, until: until}
}

// keepKnown uses the later state of an item that the store has set back.
func (t *retention) keepKnown(o Outdated, now time.Time) {
	kept := retained{item: o.Known.Item, removed: o.Known.Deleted, restored: &o.Item, until: now.Add(t.options.OutdatedHold)}
	if !kept.removed && t.permanent(kept.item, o.Item) {
		kept.until = time.Time{}
	}
	t.entries[o.Item.Key] = kept
}

// overlay returns the items to use, given the store's. It forgets what has ended.
func (t *retention) overlay(stored []Item, now time.Time) []Item {
	items := make([]Item, 0, len(stored)+len(t.entries))
	present := make(map[string]bool, len(stored))
	for _, i := range stored {
		present[i.Key] = true
		kept, ok := t.entries[i.Key]
		switch {
		case !ok:
			items = append(items, i)
		case !kept.replaces(i) || kept.ended(now):
			delete(t.entries, i.Key)
			items = append(items, i)
		case !kept.removed:
			items = append(items, kept.item)
		}
	}
	return append(items, t.missing(present, now)...)
}

// missing returns the items in use that the store doesn't have.
func (t *retention) missing(present map[string]bool, now time.Time) []Item {
	var items []Item
	for key, kept := range t.entries {
		if present[key] {
			continue
		}
		if kept.restored != nil || kept.ended(now) {
			delete(t.entries, key)
			continue
		}
		items = append(items, kept.item)
	}
	return items
}

// replaces reports whether i is the item in whose place another one is used.
func (k *retained) replaces(i Item) bool {
	return k.restored != nil && k.restored.Revision == i.Revision && string(k.restored.Value) == string(i.Value)
}

func (k *retained) ended(now time.Time) bool {
	return !k.until.IsZero() && !now.Before(k.until)
}

// endedCount returns how many entries have ended, of deferred deletions and of
// outdated items.
func (t *retention) endedCount(now time.Time) (deletions, outdated int) {
	for _, kept := range t.entries {
		switch {
		case !kept.ended(now):
		case kept.restored == nil:
			deletions++
		default:
			outdated++
		}
	}
	return deletions, outdated
}
