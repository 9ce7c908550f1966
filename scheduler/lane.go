package scheduler

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// lane is a firm's entries of one urgency, in order of arrival.
type lane[K comparable, V any] struct {
	firm  identifier.Firm
	first *Entry[K, V]
	last  *Entry[K, V]
	// taken is the cost of the firm's entries that were served.
	taken float64
}

func (l *lane[K, V]) push(e *Entry[K, V]) {
	e.lane = l
	e.previous = l.last
	if l.last == nil {
		l.first = e
	} else {
		l.last.next = e
	}
	l.last = e
}

func (l *lane[K, V]) drop(e *Entry[K, V]) {
	if e.previous == nil {
		l.first = e.next
	} else {
		e.previous.next = e.next
	}
	if e.next == nil {
		l.last = e.previous
	} else {
		e.next.previous = e.previous
	}
	e.previous, e.next = nil, nil
}

// class is all entries of one urgency.
type class[K comparable, V any] struct {
	lanes  []*lane[K, V]
	length int
}

func (c *class[K, V]) push(e *Entry[K, V]) {
	c.lane(e.Firm).push(e)
	c.length++
}

func (c *class[K, V]) drop(e *Entry[K, V]) {
	e.lane.drop(e)
	c.length--
}

// lane gives the firm's lane. A lane that fills again starts level with the
// others, so that a firm that was away has saved nothing up.
func (c *class[K, V]) lane(firm identifier.Firm) *lane[K, V] {
	for _, l := range c.lanes {
		if l.firm != firm {
			continue
		}
		if l.first == nil {
			l.taken = max(l.taken, c.leastTaken())
		}
		return l
	}
	added := &lane[K, V]{firm: firm, taken: c.leastTaken()}
	c.lanes = append(c.lanes, added)
	return added
}

func (c *class[K, V]) leastTaken() float64 {
	least, found := 0.0, false
	for _, l := range c.lanes {
		if l.first != nil && (!found || l.taken < least) {
			least, found = l.taken, true
		}
	}
	return least
}

// head gives the first entry of the firm that took least.
func (c *class[K, V]) head(urgent bool, may func(identifier.Firm, bool) bool) *Entry[K, V] {
	var best *lane[K, V]
	for _, l := range c.lanes {
		if l.first == nil || may != nil && !may(l.firm, urgent) {
			continue
		}
		if best == nil || l.taken < best.taken {
			best = l
		}
	}
	if best == nil {
		return nil
	}
	return best.first
}

func (c *class[K, V]) oldest() (time.Time, bool) {
	var oldest time.Time
	found := false
	for _, l := range c.lanes {
		if l.first != nil && (!found || l.first.arrival.Before(oldest)) {
			oldest, found = l.first.arrival, true
		}
	}
	return oldest, found
}
