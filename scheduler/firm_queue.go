package scheduler

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// firmQueue is a linked list of one firm's entries of one urgency, in order of
// arrival.
type firmQueue[K comparable, V any] struct {
	firm  identifier.Firm
	first *Entry[K, V]
	last  *Entry[K, V]
	// servedCost is the total cost of the firm's entries that were served.
	servedCost float64
}

func (q *firmQueue[K, V]) push(e *Entry[K, V]) {
	e.queue = q
	e.previous = q.last
	if q.last == nil {
		q.first = e
	} else {
		q.last.next = e
	}
	q.last = e
}

func (q *firmQueue[K, V]) drop(e *Entry[K, V]) {
	if e.previous == nil {
		q.first = e.next
	} else {
		e.previous.next = e.next
	}
	if e.next == nil {
		q.last = e.previous
	} else {
		e.next.previous = e.previous
	}
	e.previous, e.next = nil, nil
}

// class holds all entries of one urgency.
type class[K comparable, V any] struct {
	queues []*firmQueue[K, V]
	length int
}

func (c *class[K, V]) push(e *Entry[K, V]) {
	c.queueFor(e.Firm).push(e)
	c.length++
}

func (c *class[K, V]) drop(e *Entry[K, V]) {
	e.queue.drop(e)
	c.length--
}

// queueFor returns the firm's queue and creates it if needed. The served cost
// of an empty queue is raised to the minimum of the others, so that an idle
// firm accumulates no claim to later service.
func (c *class[K, V]) queueFor(firm identifier.Firm) *firmQueue[K, V] {
	for _, q := range c.queues {
		if q.firm != firm {
			continue
		}
		if q.first == nil {
			q.servedCost = max(q.servedCost, c.minServedCost())
		}
		return q
	}
	added := &firmQueue[K, V]{firm: firm, servedCost: c.minServedCost()}
	c.queues = append(c.queues, added)
	return added
}

// minServedCost returns the lowest served cost among the non-empty queues.
func (c *class[K, V]) minServedCost() float64 {
	least, found := 0.0, false
	for _, q := range c.queues {
		if q.first != nil && (!found || q.servedCost < least) {
			least, found = q.servedCost, true
		}
	}
	return least
}

// head returns the first entry of the eligible firm with the lowest served
// cost; nil: none. A nil eligible accepts all firms.
func (c *class[K, V]) head(urgent bool, eligible func(identifier.Firm, bool) bool) *Entry[K, V] {
	var best *firmQueue[K, V]
	for _, q := range c.queues {
		if q.first == nil || eligible != nil && !eligible(q.firm, urgent) {
			continue
		}
		if best == nil || q.servedCost < best.servedCost {
			best = q
		}
	}
	if best == nil {
		return nil
	}
	return best.first
}

// oldest returns the earliest arrival time; false: the class is empty.
func (c *class[K, V]) oldest() (time.Time, bool) {
	var oldest time.Time
	found := false
	for _, q := range c.queues {
		if q.first != nil && (!found || q.first.arrival.Before(oldest)) {
			oldest, found = q.first.arrival, true
		}
	}
	return oldest, found
}
