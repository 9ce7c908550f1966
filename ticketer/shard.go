package ticketer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// shardCount is the number of shards, which have a lock each.
const shardCount = 64

// shard holds the tickets whose hash maps to it. mu guards its other fields and
// the entries.
type shard struct {
	mu      sync.Mutex
	entries map[identifier.Ticket]*entry
	// issued queues the tickets by the end of their validity, and retained those
	// that are used or expired by the end of their retention.
	issued   expiryQueue
	retained expiryQueue
}

// entryState is the state of a ticket at its issuer.
type entryState uint8

const (
	stateIssued entryState = iota + 1
	stateExpired
	stateDispatching
	stateFailed      // outcome.Failure is kept
	stateDelivering  // the payload is reserved for one call
	stateUndelivered // the next call gets the payload
	stateDelivered
)

// entry is the issuer's record of one ticket.
type entry struct {
	service   identifier.Service
	customer  identifier.Customer
	state     entryState
	expiresAt time.Time // end of validity
	// holder is the call for which the payload is or will be reserved. The zero
	// value means that its caller no longer waits.
	holder  Holder
	outcome Outcome
}

// redeemUsed returns the redemption of a ticket that is used or expired. It
// reserves an undelivered payload for the holder.
func (e *entry) redeemUsed(holder Holder) Redemption {
	if e.state != stateUndelivered {
		return e.redeemWithoutPayload()
	}
	e.state = stateDelivering
	e.holder = holder
	return Redemption{State: StateOutcome, Outcome: e.outcome}
}

// redeemWithoutPayload returns the redemption of a ticket that is used or expired
// to a call that can't take a payload.
func (e *entry) redeemWithoutPayload() Redemption {
	switch e.state {
	case stateExpired:
		return Redemption{State: StateExpired}
	case stateDispatching:
		return Redemption{State: StateInProgress}
	case stateFailed:
		return Redemption{State: StateOutcome, Outcome: e.outcome}
	default:
		return Redemption{State: StateAnswered}
	}
}

func (t *Ticketer) shardOf(ticket identifier.Ticket) *shard {
	return &t.shards[xxhash.Sum64String(string(ticket))%shardCount]
}

// startRetention schedules the removal of the ticket. The caller must hold the
// shard's lock.
func (t *Ticketer) startRetention(ticket identifier.Ticket, now time.Time) {
	t.shardOf(ticket).retained.push(ticket, now.Add(t.options.OutcomeRetention))
}

// reservePayloadBytes reports whether a payload of n bytes can be kept within
// MaxOutcomeBytes and, if so, adds it to the total.
func (t *Ticketer) reservePayloadBytes(n int) bool {
	total := t.payloadBytes.Add(int64(n))
	if t.options.MaxOutcomeBytes == 0 || total <= t.options.MaxOutcomeBytes {
		return true
	}
	t.payloadBytes.Add(-int64(n))
	return false
}

func (t *Ticketer) removePayload(e *entry) {
	t.payloadBytes.Add(-int64(len(e.outcome.Payload)))
	e.outcome.Payload = nil
}

// expireShard expires unused tickets at the end of their validity and removes
// tickets at the end of their retention.
func (t *Ticketer) expireShard(s *shard, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		ticket, ok := s.issued.popDue(now)
		if !ok {
			break
		}
		if e, found := s.entries[ticket]; found && e.state == stateIssued {
			e.state = stateExpired
			t.startRetention(ticket, now)
		}
	}
	for {
		ticket, ok := s.retained.popDue(now)
		if !ok {
			return
		}
		if e, found := s.entries[ticket]; found {
			t.removePayload(e)
			delete(s.entries, ticket)
			t.count.Add(-1)
		}
	}
}

// countUnredeemed returns the number of tickets that are unused or whose call is
// being dispatched.
func (s *shard) countUnredeemed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, e := range s.entries {
		if e.state == stateIssued || e.state == stateDispatching {
			n++
		}
	}
	return n
}

// expiryQueue is a FIFO queue of tickets. Tickets are pushed in the order of
// their due times, except for skew between the clock readings of goroutines.
type expiryQueue struct {
	items []expiryItem
	head  int
}

type expiryItem struct {
	ticket identifier.Ticket
	due    time.Time
}

func (q *expiryQueue) push(ticket identifier.Ticket, due time.Time) {
	q.items = append(q.items, expiryItem{ticket: ticket, due: due})
}

// popDue removes and returns the first ticket if it is due.
func (q *expiryQueue) popDue(now time.Time) (ticket identifier.Ticket, ok bool) {
	if q.head == len(q.items) || now.Before(q.items[q.head].due) {
		return "", false
	}
	ticket = q.items[q.head].ticket
	q.items[q.head] = expiryItem{}
	q.head++
	q.compact()
	return ticket, true
}

// compact frees the popped items once they are half of the slice, so that the
// memory stays proportional to the queue's length.
func (q *expiryQueue) compact() {
	if q.head < len(q.items)/2 {
		return
	}
	q.items = append([]expiryItem(nil), q.items[q.head:]...)
	q.head = 0
}
