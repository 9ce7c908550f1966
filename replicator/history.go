package replicator

import (
	"slices"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// maxHistory is how many states of items a replica remembers.
const maxHistory = 2 * maxLogEntries

// state identifies one state of an item.
type state struct {
	revision identifier.Revision
	digest   identifier.Digest // of the value; 0 for deletions
	deleted  bool
}

func stateOf(c Change) state {
	if c.Deleted {
		return state{revision: c.Revision, deleted: true}
	}
	return state{revision: c.Revision, digest: c.digest()}
}

// history remembers the recent states of each key, across eras. It tells whether
// an item that a restored store has is one that was replaced before.
type history struct {
	states map[string][]state // oldest first
	latest map[string]Change
	order  []string // the key of each state, oldest first
	// start is the revision after which all states of the current era, up to the
	// replica's position, are known. changes are the revisions of the last changes.
	start   identifier.Revision
	changes []identifier.Revision
}

func newHistory() history {
	return history{states: map[string][]state{}, latest: map[string]Change{}}
}

// add records that c is the latest state of its key.
func (h *history) add(c Change) {
	s, known := stateOf(c), h.states[c.Key]
	if len(known) > 0 && known[len(known)-1] == s {
		return
	}
	h.states[c.Key] = append(known, s)
	h.latest[c.Key] = c
	h.order = append(h.order, c.Key)
	if len(h.order) > maxHistory {
		h.dropOldest()
	}
}

// fill adds the value that the latest known state of a key lacked.
func (h *history) fill(i Item) {
	if c, ok := h.latest[i.Key]; ok && !c.Deleted && c.Missing != nil && c.Revision == i.Revision {
		h.latest[i.Key] = Change{Item: i}
	}
}

// restart notes that of the current era only states after start are known from now on.
func (h *history) restart(start identifier.Revision) {
	h.start, h.changes = start, nil
}

// extend notes a change of the current era. A change has two states at most, its own
// and the one that it replaces, so the states of maxLogEntries changes are remembered.
func (h *history) extend(r identifier.Revision) {
	h.changes = append(h.changes, r)
	if len(h.changes) > maxLogEntries {
		h.start = max(h.start, h.changes[0])
		h.changes = slices.Delete(h.changes, 0, 1)
	}
}

func (h *history) dropOldest() {
	key := h.order[0]
	h.order = h.order[1:]
	h.states[key] = h.states[key][1:]
	if len(h.states[key]) == 0 {
		delete(h.states, key)
		delete(h.latest, key)
	}
}

// contains reports whether i was the state of its key at some time.
func (h *history) contains(i Item) bool {
	wanted := stateOf(Change{Item: i})
	for _, s := range h.states[i.Key] {
		if s == wanted {
			return true
		}
	}
	return false
}
