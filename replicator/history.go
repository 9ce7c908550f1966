package replicator

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// maxHistory is how many states of items a replica remembers. It is at least
// maxLogEntries, so that all changes in the log are remembered.
const maxHistory = 2 * maxLogEntries

// state identifies one state of an item.
type state struct {
	revision identifier.Revision
	digest   uint64 // of the value; 0 for deletions
	deleted  bool
}

func stateOf(c Change) state {
	if c.Deleted {
		return state{revision: c.Revision, deleted: true}
	}
	return state{revision: c.Revision, digest: xxhash.Sum64(c.Value)}
}

// history remembers the recent states of each key, across eras. It tells whether
// an item that a restored store has is one that was replaced before.
type history struct {
	states map[string][]state // oldest first
	latest map[string]Change
	order  []string // the key of each state, oldest first
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
