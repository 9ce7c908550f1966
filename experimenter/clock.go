package experimenter

import (
	"container/heap"
	"time"
)

// event is a call that is due at a virtual time.
type event struct {
	due      time.Duration
	sequence uint64
	call     func()
}

// eventQueue orders events by time, and by order of scheduling at one time.
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

// clock is virtual time: it jumps from event to event.
type clock struct {
	elapsed  time.Duration
	sequence uint64
	events   eventQueue
}

// after schedules a call.
func (c *clock) after(wait time.Duration, call func()) {
	c.sequence++
	heap.Push(&c.events, event{due: c.elapsed + max(0, wait), sequence: c.sequence, call: call})
}

// every schedules a call again and again.
func (c *clock) every(interval time.Duration, call func()) {
	c.after(interval, func() {
		call()
		c.every(interval, call)
	})
}

// run does the events up to a virtual time.
func (c *clock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].due <= until {
		e := heap.Pop(&c.events).(event)
		c.elapsed = e.due
		e.call()
	}
	c.elapsed = until
}

// now gives the virtual time of day.
func (c *clock) now() time.Time {
	return start.Add(c.elapsed)
}

// start is the virtual time at which each run begins.
var start = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)
