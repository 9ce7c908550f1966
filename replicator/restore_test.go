package replicator

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// written is the state that a key's writer gave it. Its number rises with each
// write of the key, deletions included.
type written struct {
	number  int
	present bool
}

// storeCopy is a copy of a restorableStore at one revision.
type storeCopy struct {
	revision identifier.Revision
	items    map[string]Item
	states   map[string]written
	events   []Change
}

func (c *storeCopy) clone() storeCopy {
	return storeCopy{revision: c.revision, items: maps.Clone(c.items), states: maps.Clone(c.states), events: slices.Clone(c.events)}
}

// restorableStore is a reference store that can be restored from copies. Its
// writers remember what they wrote.
type restorableStore struct {
	storeCopy
	era     identifier.Era
	writers map[string]written
	copies  []storeCopy
	// contents and statesAt are the store's content at each position that it had.
	contents map[identifier.Position]map[string]Item
	statesAt map[identifier.Position]map[string]written
}

func newRestorableStore() *restorableStore {
	s := &restorableStore{
		storeCopy: storeCopy{revision: 1, items: map[string]Item{}, states: map[string]written{}},
		era:       1,
		writers:   map[string]written{},
		contents:  map[identifier.Position]map[string]Item{},
		statesAt:  map[identifier.Position]map[string]written{},
	}
	s.recordPosition()
	s.copies = []storeCopy{s.clone()}
	return s
}

func (s *restorableStore) position() identifier.Position {
	return identifier.Position{Era: s.era, Revision: s.revision}
}

func (s *restorableStore) recordPosition() {
	s.contents[s.position()] = maps.Clone(s.items)
	s.statesAt[s.position()] = maps.Clone(s.states)
}

// write changes what a writer has to say, and stores it unless the store loses
// the write at once.
func (s *restorableStore) write(key string, present, lost bool) {
	w := s.writers[key]
	s.writers[key] = written{number: w.number + 1, present: present}
	if !lost {
		s.rewrite(key)
	}
}

// rewrite stores what a key's writer wrote last, if that isn't what the store has.
func (s *restorableStore) rewrite(key string) {
	w := s.writers[key]
	if s.states[key] == w {
		return
	}
	_, stored := s.items[key]
	s.states[key] = w
	if !w.present && !stored {
		return
	}
	s.revision++
	c := Change{Item: Item{Key: key, Revision: s.revision}, Deleted: !w.present}
	if w.present {
		c.Value = []byte(strconv.Itoa(w.number))
		s.items[key] = c.Item
	} else {
		delete(s.items, key)
	}
	s.events = append(s.events, c)
	s.recordPosition()
}

// restore restores a copy. Later copies aren't part of the store's past any more.
func (s *restorableStore) restore(index int) {
	s.storeCopy = s.copies[index].clone()
	s.copies = s.copies[:index+1]
	s.era++
	s.recordPosition()
}

// page returns the items whose keys begin with one of the given letters.
func (s *restorableStore) page(letters string) []Change {
	var page []Change
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if slices.Contains([]byte(letters), key[0]) {
			page = append(page, Change{Item: s.items[key]})
		}
	}
	return page
}

func (s *restorableStore) list() ChangeSet {
	return ChangeSet{Position: s.position(), Complete: true, Changes: s.page("abcdef")}
}

// watch returns the changes after a revision, whatever era that was seen in; false
// if the store doesn't have them.
func (s *restorableStore) watch(after identifier.Revision) (ChangeSet, bool) {
	c := ChangeSet{Position: s.position()}
	for _, e := range s.events {
		if e.Revision > after {
			c.Changes = append(c.Changes, e)
		}
	}
	return c, after <= s.revision
}

// mirror is a host's replica with its retention, as the replicator combines them.
type mirror struct {
	store     *restorableStore
	replica   *Replica
	retention retention
	used      map[string]Item
	// known is the latest state of each key that the host has learned of. It can't
	// learn of deletions from the listing of a later era.
	known    map[string]written
	restored time.Time // when the host last moved to a later era
	inForce  int       // number of the configuration in force
	paged    bool      // its items may come from pages of different revisions
}

func newMirror(s *restorableStore, maxLogBytes int64) *mirror {
	return &mirror{store: s, replica: NewReplica(maxLogBytes), retention: newRetention(DefaultOptions(), nil), known: map[string]written{}}
}

func (m *mirror) apply(c ChangeSet, now time.Time) {
	applied := m.replica.Apply(c)
	if applied.Restored {
		m.restored = now
	}
	m.learn(applied, c.Position)
	m.retention.record(applied, time.Time{}, now)
	m.publish(now)
}

func (m *mirror) learnKept(era identifier.Era, all []Kept, now time.Time) {
	if m.replica.Position().Era == era {
		m.retention.learn(all, m.replica.Item, now)
		m.publish(now)
	}
}

func (m *mirror) learn(a Applied, p identifier.Position) {
	for _, c := range a.Changes {
		state := m.store.statesAt[p][c.Key]
		if state.number > m.known[c.Key].number && (state.present || !a.Restored) {
			m.known[c.Key] = state
		}
	}
}

func (m *mirror) publish(now time.Time) {
	m.used = map[string]Item{}
	items := m.retention.overlay(m.replica.Items(), now)
	accepted := m.retention.takeAccepted()
	m.replica.Accept(accepted)
	for _, i := range accepted {
		m.known[i.Key] = written{number: number(i), present: true}
	}
	for _, i := range items {
		m.used[i.Key] = i
		if i.Key == keyOfConfig {
			m.inForce = max(m.inForce, number(i))
		}
	}
}

// keyOfConfig is the key of the operator's configuration, which has a version.
const keyOfConfig = "a"

func number(i Item) int {
	n, err := strconv.Atoi(string(i.Value))
	if err != nil {
		panic(err)
	}
	return n
}

// history is a random history of a store and its readers.
type restoreHistory struct {
	store   *restorableStore
	mirrors []*mirror
	late    []ChangeSet
	now     time.Time
}

// check checks what has to hold at any time.
func (h *restoreHistory) check(t *rapid.T) {
	for n, m := range h.mirrors {
		p := m.replica.Position()
		if !m.paged && !p.IsZero() {
			assertItems(t, fmt.Sprintf("replica %d at %v", n, p), itemsOf(m.replica), h.store.contents[p])
		}
		if m.paged || h.now.Sub(m.restored) >= m.retention.options.OutdatedHold {
			continue
		}
		for key, i := range m.used {
			if number(i) < m.known[key].number {
				t.Fatalf("host %d at %v uses state %d of %q, but knows %+v", n, p, number(i), key, m.known[key])
			}
		}
	}
}

func itemsOf(r *Replica) map[string]Item {
	all := map[string]Item{}
	for _, i := range r.Items() {
		all[i.Key] = i
	}
	return all
}

// assertItems checks that two sets of items have the same keys and values.
func assertItems(t *rapid.T, what string, got, want map[string]Item) {
	t.Helper()
	equal := maps.EqualFunc(got, want, func(a, b Item) bool { return string(a.Value) == string(b.Value) })
	if !equal {
		t.Fatalf("%s has %v, the store %v", what, got, want)
	}
}

// read lets a host watch the store, and list it where the replicator would.
func (h *restoreHistory) read(m *mirror) {
	p := m.replica.Position()
	c, ok := h.store.watch(p.Revision)
	if p.IsZero() || !ok || c.Position.Era > p.Era {
		m.apply(c, h.now) // must have no effect in a later era
		c = h.store.list()
		m.paged = false
	}
	m.apply(c, h.now)
}

// settle lets all hosts read the store until nothing is left to happen.
func (h *restoreHistory) settle() {
	for _, m := range h.mirrors {
		h.read(m)
		h.read(m)
		h.now = h.now.Add(m.retention.options.OutdatedHold)
		m.publish(h.now)
	}
}

// TestRestoreProperty checks replicas and what hosts use over random histories of
// writes, lost writes, restores and readers that are late, read pages or follow
// peers: a host never uses an older state than it knows while that is expected to be
// written again, and ends with exactly the store's items. Its configuration never
// goes back, and reaches the newest version.
func TestRestoreProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newRestorableStore()
		logBytes := func(t *rapid.T) int64 {
			return rapid.SampledFrom([]int64{0, 3 * entryBytes, DefaultMaxLogBytes}).Draw(t, "log-bytes")
		}
		h := &restoreHistory{
			store:   store,
			mirrors: []*mirror{newMirror(store, logBytes(t)), newMirror(store, logBytes(t)), newMirror(store, logBytes(t))},
			now:     time.Unix(1_000_000, 0),
		}
		anyKey := func(t *rapid.T) string { return string(rune('a' + rapid.IntRange(0, 5).Draw(t, "key"))) }
		anyMirror := func(t *rapid.T) *mirror { return h.mirrors[rapid.IntRange(0, 2).Draw(t, "host")] }
		// deliver applies an answer now, or keeps it to arrive late.
		deliver := func(t *rapid.T, m *mirror, c ChangeSet) {
			if c.Complete && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
				h.late = append(h.late, c)
				return
			}
			before := m.replica.Position()
			m.apply(c, h.now)
			if m.replica.Position().Before(before) {
				t.Fatalf("replica went back from %v to %v", before, m.replica.Position())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"put":  func(t *rapid.T) { h.store.write(anyKey(t), true, false) },
			"put2": func(t *rapid.T) { h.store.write(anyKey(t), true, false) },
			"lose": func(t *rapid.T) { h.store.write(anyKey(t), true, true) },
			"delete": func(t *rapid.T) {
				if key := anyKey(t); key != keyOfConfig {
					h.store.write(key, false, false)
				}
			},
			"rewrite": func(t *rapid.T) { h.store.rewrite(anyKey(t)) },
			"copy": func(*rapid.T) {
				h.store.copies = append(h.store.copies, h.store.clone())
			},
			"restore": func(t *rapid.T) {
				newest := len(h.store.copies) - 1
				h.store.restore(rapid.IntRange(max(0, newest-1), newest).Draw(t, "copy"))
			},
			"read":  func(t *rapid.T) { h.read(anyMirror(t)) },
			"read2": func(t *rapid.T) { h.read(anyMirror(t)) },
			"list":  func(t *rapid.T) { deliver(t, anyMirror(t), h.store.list()) },
			"pages": func(t *rapid.T) {
				m, first := anyMirror(t), h.store.position()
				c := ChangeSet{Position: first, Complete: true, Changes: h.store.page("abc")}
				h.store.write(anyKey(t), true, false)
				if c.Changes = append(c.Changes, h.store.page("def")...); h.store.era == first.Era {
					m.paged = true
					m.apply(c, h.now)
				}
			},
			"peer": func(t *rapid.T) {
				m, peer := anyMirror(t), anyMirror(t)
				c := peer.replica.Since(m.replica.Position())
				m.paged = m.paged || peer.paged
				deliver(t, m, c)
				m.learnKept(c.Position.Era, peer.retention.kept(h.now), h.now)
			},
			"arrive": func(t *rapid.T) {
				if len(h.late) > 0 {
					m := anyMirror(t)
					m.paged = true // of another host's pages, perhaps
					m.apply(h.late[0], h.now)
					h.late = h.late[1:]
				}
			},
			"start": func(t *rapid.T) { h.mirrors[rapid.IntRange(0, 2).Draw(t, "host")] = newMirror(h.store, logBytes(t)) },
			"wait": func(t *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"wait long": func(*rapid.T) {
				h.now = h.now.Add(DefaultOptions().OutdatedHold)
				for _, m := range h.mirrors {
					m.publish(h.now)
				}
			},
			"": h.check,
		})
		h.finish(t, rapid.Bool().Draw(t, "written again"))
	})
}

// finish settles the history, with or without the writers repeating what was lost,
// and checks the end.
func (h *restoreHistory) finish(t *rapid.T, rewrites bool) {
	if rewrites {
		for _, key := range slices.Sorted(maps.Keys(h.store.writers)) {
			h.store.rewrite(key)
		}
	}
	before := make([]int, len(h.mirrors))
	for n, m := range h.mirrors {
		before[n] = m.inForce
	}
	h.settle()
	for n, m := range h.mirrors {
		assertItems(t, fmt.Sprintf("host %d", n), m.used, h.store.items)
		if rewrites && m.inForce != h.store.writers[keyOfConfig].number || m.inForce < before[n] {
			t.Fatalf("host %d has configuration %d in force, after %d; the operator wrote %d", n, m.inForce, before[n], h.store.writers[keyOfConfig].number)
		}
	}
}
