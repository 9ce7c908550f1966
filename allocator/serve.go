package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/scheduler"
)

// bypassDepth is the maximum number of entries that are tried after a head
// that doesn't fit.
const bypassDepth = 4

// entry is a queued slot request.
type entry = scheduler.Entry[identifier.Attempt, *pendingRequest]

// serve refuses expired slot requests, grants those that fit and returns the
// actions of the event.
func (p *Pool) serve(now time.Time) []Action {
	p.refuseExpired(now)
	p.refuseExpiredBorrowers(now)
	p.bind(now)
	for p.serveNext(now) {
	}
	p.drain.setBusy(p.queue.Len() > 0, now)
	actions := p.actions
	p.actions = nil
	return actions
}

// serveNext grants or refuses the first entry that fits; false: none fits.
func (p *Pool) serveNext(now time.Time) bool {
	head := p.queue.Peek(now, p.belowSlotLimit(now))
	if head == nil {
		return false
	}
	entry, chosen, ok := p.firstFit(head, now)
	if !ok {
		return false
	}
	p.queue.Dequeue(entry, now)
	p.drain.recordGrant(now)
	if p.missesDeadline(entry.Value, &chosen, now) {
		p.refuse(entry.Key, entry.Value.Urgency, classifier.ReasonDeadline)
		return true
	}
	p.grant(entry.Value, chosen, now)
	return true
}

// firstFit returns the head if it fits. Otherwise it returns the next entry of
// the same firm and urgency that fits, but only until the head has been
// blocked for BypassLimit.
func (p *Pool) firstFit(head *entry, now time.Time) (*entry, plan, bool) {
	chosen, ok := p.place(head.Value, now)
	if ok {
		return head, chosen, true
	}
	ask := head.Value
	if ask.blockedSince.IsZero() {
		ask.blockedSince = now
	}
	if now.Sub(ask.blockedSince) > p.options.BypassLimit {
		return nil, plan{}, false
	}
	next := head
	for range bypassDepth {
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
