package replicator

import (
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// adoptEra replaces all items by those of a store that was restored from an older
// copy; r.mu must be held.
func (r *Replica) adoptEra(c ChangeSet) Applied {
	applied := Applied{Restored: true}
	for key, old := range r.missing(c) {
		if latest, ok := r.latest(key); ok {
			r.history.add(latest) // the next restore may bring back an older item
		}
		r.remove(key)
		applied.Changes = append(applied.Changes, Change{Item: old, Deleted: true})
	}
	for _, change := range c.Changes {
		r.adopt(&applied, change.Item, c.Position.Era)
	}
	r.startLog(c)
	return applied
}

// adopt takes over one item of a restored store, and adds it to applied if it
// isn't known; r.mu must be held.
func (r *Replica) adopt(applied *Applied, i Item, era identifier.Era) {
	old, present := r.items[i.Key]
	known, ok := r.latest(i.Key)
	verdict := originNew
	if ok {
		verdict = r.origin(i, known, era)
	}
	if verdict == originNew && ok && i.Revision > r.history.start && i.Revision <= r.position.Revision {
		i.Era = era // no write of the earlier era
	}
	if verdict == originKnown {
		i.Era = known.Era
	}
	r.set(old, present, i)
	switch verdict {
	case originOutdated, originDoubtful:
		r.history.add(known) // it is no longer among the items
		applied.Outdated = append(applied.Outdated, Outdated{Item: i, Known: known, Certain: verdict == originOutdated})
	case originKnown:
		if !present {
			applied.Changes = append(applied.Changes, Change{Item: i})
		}
	case originNew:
		r.remember(old, present, Change{Item: i})
		applied.Changes = append(applied.Changes, Change{Item: i})
	}
}

// Accept makes items of a restored store the latest known states of their keys.
func (r *Replica) Accept(items []Item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range items {
		r.history.add(Change{Item: i})
	}
}

// latest returns the latest known state of a key; r.mu must be held.
func (r *Replica) latest(key string) (Change, bool) {
	if c, ok := r.history.latest[key]; ok {
		return c, true
	}
	i, ok := r.items[key]
	return Change{Item: i}, ok
}

// origin is where an item of a restored store comes from.
type origin uint8

const (
	// originNew items were written after the latest state that is known.
	originNew origin = iota
	// originKnown items are the latest state that is known.
	originKnown
	// originOutdated items come from the copy, and are older than the latest state
	// that is known.
	originOutdated
	// originDoubtful items may be outdated or new.
	originDoubtful
)

// origin returns where an item of the given, later, era comes from. Nothing in the
// item tells whether it was restored or written since, and revisions are given out
// again. But a replica knows all states between the start of its history and its
// position: another state with such a revision was written since. r.mu must be
// held.
func (r *Replica) origin(i Item, known Change, era identifier.Era) origin {
	switch {
	case stateOf(Change{Item: i}) == stateOf(known):
		return originKnown
	case i.Era == era: // a peer knows
		return originNew
	case r.history.contains(i):
		return originOutdated
	case i.Revision > r.history.start || i.Revision >= known.Revision:
		return originNew
	default:
		return originDoubtful
	}
}
