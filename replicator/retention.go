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
	// newlyAccepted is returned by takeAccepted.
	newlyAccepted []Item
}

// retained is what is used for a key in place of the store's state.
type retained struct {
	// item is used. If removed is set, none is.
	item    Item
	removed bool
	// restored is the store's item; nil if it has none. Any other item of the store
	// ends the retention.
	restored *Item
	// certain is Outdated.Certain.
	certain bool
	// until is the end; zero if there is none.
	until time.Time
	// accepted is set if the restored item is used after all. The entry stays, so
	// that it isn't learned from a peer again.
	accepted bool
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
		t.keepKnown(o, now.Add(t.options.OutdatedHold))
	}
}

// unknown returns what a peer keeps in place of items that the store has, where
// this host knows of nothing.
func (t *retention) unknown(all []Kept, stored func(key string) (Item, bool)) []Kept {
	var unknown []Kept
	for _, k := range all {
		i, ok := stored(k.Known.Key)
		if _, known := t.entries[k.Known.Key]; known || !ok || i.Revision != k.RestoredRevision {
			continue
		}
		unknown = append(unknown, k)
	}
	return unknown
}

// learn takes over what a peer keeps and this host doesn't know. It returns these items.
func (t *retention) learn(all []Kept, stored func(key string) (Item, bool), now time.Time) []Outdated {
	var learned []Outdated
	for _, k := range t.unknown(all, stored) {
		i, _ := stored(k.Known.Key)
		o := Outdated{Item: i, Known: k.Known, Certain: true}
		t.keepKnown(o, now.Add(min(k.Left, t.options.OutdatedHold)))
		learned = append(learned, o)
	}
	return learned
}

// kept returns what is used in place of items that the store has certainly set
// back: a doubt of this host may be none for others.
func (t *retention) kept(now time.Time) []Kept {
	var all []Kept
	for _, k := range t.entries {
		if k.restored == nil || !k.certain || k.accepted {
			continue
		}
		all = append(all, Kept{
			Known:            Change{Item: k.item, Deleted: k.removed},
			RestoredRevision: k.restored.Revision,
			Left:             max(0, k.until.Sub(now)),
		})
	}
	return all
}

// deferDeletion keeps the item in use that was used until now.
func (t *retention) deferDeletion(i Item, until time.Time) {
	if old, ok := t.entries[i.Key]; ok && !old.accepted {
		if old.removed {
			return // it isn't used
		}
		i = old.item
	}
	t.entries[i.Key] = retained{item: i, until: until}
}

// keepKnown uses the later state of an item that the store has set back.
func (t *retention) keepKnown(o Outdated, until time.Time) {
	kept := retained{item: o.Known.Item, removed: o.Known.Deleted, restored: &o.Item, certain: o.Certain, until: until}
	if !kept.removed && t.permanent(kept.item, o.Item) {
		kept.until = time.Time{}
	}
	t.entries[o.Item.Key] = kept
}

// overlay returns the items to use, given the store's. It ends what is due.
func (t *retention) overlay(stored []Item, now time.Time) []Item {
	items := make([]Item, 0, len(stored)+len(t.entries))
	present := make(map[string]bool, len(stored))
	for _, i := range stored {
		present[i.Key] = true
		kept, ok := t.entries[i.Key]
		switch {
		case !ok:
			items = append(items, i)
		case !kept.replaces(i):
			delete(t.entries, i.Key)
			items = append(items, i)
		case kept.accepted:
			items = append(items, i)
		case kept.ended(now):
			kept.accepted = true
			t.entries[i.Key] = kept
			t.newlyAccepted = append(t.newlyAccepted, i)
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

// takeAccepted returns the items of a restored store that have been accepted in
// place of a later known state since the last call.
func (t *retention) takeAccepted() []Item {
	accepted := t.newlyAccepted
	t.newlyAccepted = nil
	return accepted
}

// active returns how many items are used that differ from the store's.
func (t *retention) active() int {
	count := 0
	for _, k := range t.entries {
		if !k.accepted {
			count++
		}
	}
	return count
}

// endedCount returns how many entries have ended, of deferred deletions and of
// outdated items.
func (t *retention) endedCount(now time.Time) (deletions, outdated int) {
	for _, kept := range t.entries {
		switch {
		case !kept.ended(now) || kept.accepted:
		case kept.restored == nil:
			deletions++
		default:
			outdated++
		}
	}
	return deletions, outdated
}
