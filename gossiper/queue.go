package gossiper

// itemKind says what an item of the queue tells.
type itemKind uint8

const (
	itemMember itemKind = iota // identity, liveness and what is published
	itemLiveness
	itemPublished
	itemDigest
	itemMark
)

func (k itemKind) parts() parts {
	switch k {
	case itemMember:
		return partIdentity | partLiveness | partPublished
	case itemLiveness:
		return partLiveness
	case itemPublished:
		return partPublished
	case itemDigest:
		return partDigest | partPublished
	default:
		return 0
	}
}

// itemKey names an item: a kind of news of a host or an endpoint.
type itemKey struct {
	kind itemKind
	name string
}

type item struct {
	key     itemKey
	limit   int
	dropped bool
}

// minItemBytes is less than any item's size.
const minItemBytes = headBytes

// queue holds news to be handed on, each a limited number of times, the least
// handed on first.
type queue struct {
	items  map[itemKey]*item
	levels [][]*item // by how often the items were handed on
}

func newQueue() *queue {
	return &queue{items: map[itemKey]*item{}}
}

// add queues fresh news, to be handed on limit times.
func (q *queue) add(key itemKey, limit int) {
	if old := q.items[key]; old != nil {
		old.dropped = true
	}
	t := &item{key: key, limit: limit}
	q.items[key] = t
	q.push(0, t)
}

func (q *queue) push(level int, t *item) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], t)
}

// pick chooses items that fit into budget bytes, or else one larger item, and
// counts them as handed on.
// Size gives an item's bytes; 0: not for this peer, negative: it is void.
func (q *queue) pick(budget int, size func(itemKey) int) []itemKey {
	var picked []itemKey
	var moved []*item
	var movedTo []int
	for level := range q.levels {
		kept := q.levels[level][:0]
		for _, t := range q.levels[level] {
			if t.dropped {
				continue
			}
			n := 0
			if budget >= minItemBytes {
				n = size(t.key)
			}
			if n < 0 {
				delete(q.items, t.key)
				continue
			}
			if n == 0 || n > budget && len(picked) > 0 {
				kept = append(kept, t)
				continue
			}
			budget -= n
			picked = append(picked, t.key)
			moved = append(moved, t)
			movedTo = append(movedTo, level+1)
		}
		clear(q.levels[level][len(kept):])
		q.levels[level] = kept
	}
	for i, t := range moved {
		q.moveOn(t, movedTo[i])
	}
	return picked
}

func (q *queue) moveOn(t *item, level int) {
	if level >= t.limit {
		delete(q.items, t.key)
		return
	}
	q.push(level, t)
}

// hasFresh tells whether other news than digests was never handed on.
func (q *queue) hasFresh() bool {
	if len(q.levels) == 0 {
		return false
	}
	for _, t := range q.levels[0] {
		if !t.dropped && t.key.kind != itemDigest {
			return true
		}
	}
	return false
}
