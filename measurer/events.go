package measurer

import (
	"container/heap"
	"time"
)

// event is a function call scheduled at a virtual time.
type event struct {
	at       time.Time
	sequence uint64
	run      func()
}

// eventQueue is a heap of events ordered by time. Events at the same time run in
// the order in which they were scheduled.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func (f *Fleet) after(d time.Duration, run func()) {
	f.sequence++
	heap.Push(&f.events, &event{at: f.now.Add(d), sequence: f.sequence, run: run})
}

// deliver runs a function at a host, after a freeze if the host is frozen. It
// does nothing if the host's process has stopped.
func (f *Fleet) deliver(h *host, run func()) {
	if h.stopped {
		return
	}
	if f.now.Before(h.frozenUntil) {
		f.after(h.frozenUntil.Sub(f.now), func() { f.deliver(h, run) })
		return
	}
	run()
}
