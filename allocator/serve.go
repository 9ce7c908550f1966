package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/scheduler"
)

// passDepth bounds the entries that are looked at behind a head that doesn't
// fit.
const passDepth = 4

// entry is an ask in the queue.
type entry = scheduler.Entry[identifier.Attempt, *wish]

// serve refuses what is late, grants what fits and gives the actions of the
// event.
func (p *Pool) serve(now time.Time) []Action {
	p.refuseExpired(now)
	p.takeBack(now)
	p.bind(now)
	for p.serveNext(now) {
	}
	p.drain.waiting(p.queue.Len() > 0, now)
	actions := p.actions
	p.actions = nil
	return actions
}

// serveNext serves the entry whose turn it is, or one behind it that fits
// where it does not; false: nothing fits.
func (p *Pool) serveNext(now time.Time) bool {
	head := p.queue.Peek(now, p.lends(now))
	if head == nil {
		return false
	}
	entry, chosen, ok := p.firstFit(head, now)
	if !ok {
		return false
	}
	p.queue.Dequeue(entry, now)
	p.drain.served(now)
	if p.late(entry.Value, &chosen, now) {
		p.refuse(entry.Key, entry.Value.Urgency, classifier.ReasonDeadline)
		return true
	}
	p.grant(entry.Value, chosen, now)
	return true
}

// firstFit gives the head if it fits, and otherwise the next one of its lane
// that does, for as long as the head has not been passed over for too long.
func (p *Pool) firstFit(head *entry, now time.Time) (*entry, plan, bool) {
	chosen, ok := p.place(head.Value, now)
	if ok {
		return head, chosen, true
	}
	w := head.Value
	if w.passedOver.IsZero() {
		w.passedOver = now
	}
	if now.Sub(w.passedOver) > p.options.PassLimit {
		return nil, plan{}, false
	}
	next := head
	for range passDepth {
		next = p.queue.Next(next)
		if next == nil {
			break
		}
		if chosen, ok := p.place(next.Value, now); ok {
			return next, chosen, true
		}
	}
	return nil, plan{}, false
}
