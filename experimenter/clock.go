package experimenter

import (
	"container/heap"
	"time"
)

// event is a function call scheduled at a virtual time.
type event struct {
	due      time.Duration
	sequence uint64
	call     func()
}

// eventQueue is a heap of events ordered by due time. Events due at the same
// time run in the order in which they were scheduled.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	*q = old[:last]
	return e
}

// clock is a discrete-event scheduler: virtual time advances from event to
// event.
type clock struct {
	elapsed  time.Duration
	sequence uint64
	events   eventQueue
}

// after schedules a call after a delay.
func (c *clock) after(wait time.Duration, call func()) {
	c.sequence++
	heap.Push(&c.events, event{due: c.elapsed + max(0, wait), sequence: c.sequence, call: call})
}

// every schedules a call at a fixed interval.
func (c *clock) every(interval time.Duration, call func()) {
	c.after(interval, func() {
		call()
		c.every(interval, call)
	})
}

// run processes the events due up to a virtual time, inclusive.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].due <= until {
		e := heap.Pop(&c.events).(event)
		c.elapsed = e.due
		e.call()
	}
	c.elapsed = until
}

// now returns the virtual time as a time.Time.
func (c *clock) now() time.Time {
	return epoch.Add(c.elapsed)
}

// epoch is the virtual start time of each run.
var epoch = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)
