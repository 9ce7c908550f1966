package gossiper

// itemKind is the kind of information that a queued item carries.
type itemKind uint8

const (
	itemMember itemKind = iota // identity, liveness and published part
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

// itemKey identifies an item by its kind and the name of the host or endpoint.
type itemKey struct {
	kind itemKind
	name string
}

type item struct {
	key           itemKey
	transmitLimit int
	replaced      bool
}

// minItemBytes is a lower bound of the size of any host item.
const minItemBytes = headBytes

// queue is the transmit queue of news. Each item is sent a limited number of
// times; those sent least often go first.
type queue struct {
	items  map[itemKey]*item
	levels [][]*item // indexed by the number of transmissions so far
}

func newQueue() *queue {
	return &queue{items: map[itemKey]*item{}}
}

// add queues an item to be sent limit times, replacing an earlier one with the
// same key.
func (q *queue) add(key itemKey, limit int) {
	if old := q.items[key]; old != nil {
		old.replaced = true
	}
	t := &item{key: key, transmitLimit: limit}
	q.items[key] = t
	q.push(0, t)
}

func (q *queue) push(level int, t *item) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], t)
}

// pick selects items that fit into budget bytes and counts them as sent. The
// first item may be larger than the budget, so that large items aren't stuck.
// The size function returns an item's size in bytes: 0 to skip the item,
// negative to delete it.
func (q *queue) pick(budget int, size func(itemKey) int) []itemKey {
	var picked []itemKey
	var transmitted []*item
	var newLevels []int
	for level := range q.levels {
		kept := q.levels[level][:0]
		for _, t := range q.levels[level] {
			if t.replaced {
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
			transmitted = append(transmitted, t)
			newLevels = append(newLevels, level+1)
		}
		clear(q.levels[level][len(kept):])
		q.levels[level] = kept
	}
	for i, t := range transmitted {
		q.requeue(t, newLevels[i])
	}
	return picked
}

func (q *queue) requeue(t *item, level int) {
	if level >= t.transmitLimit {
		delete(q.items, t.key)
		return
	}
	q.push(level, t)
}

// hasUnsentUrgent reports whether an item other than a digest has never been
// sent.
func (q *queue) hasUnsentUrgent() bool {
	if len(q.levels) == 0 {
		return false
	}
	for _, t := range q.levels[0] {
		if !t.replaced && t.key.kind != itemDigest {
			return true
		}
	}
	return false
}
