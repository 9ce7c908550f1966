package ticketer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// shardCount is the number of locks over which tickets are spread.
const shardCount = 64

// shard holds a part of the tickets.
type shard struct {
	mu      sync.Mutex
	entries map[identifier.Ticket]*entry
	// issued holds tickets by the end of their validity, retained those that
	// are used or expired by the end of their retention.
	issued   dueList
	retained dueList
}

// entryState is what became of a ticket.
type entryState uint8

const (
	stateIssued entryState = iota + 1
	stateExpired
	stateDispatching
	stateFailed     // outcome.Failure is kept
	stateDelivering // the payload is reserved for one call
	stateKept       // the payload is for the next call
	stateDelivered
)

// entry is what the issuer knows of one ticket.
type entry struct {
	service  identifier.Service
	customer identifier.Customer
	state    entryState
	until    time.Time // end of validity
	// holder is the call that is to get the payload; zero: it is gone.
	holder  Holder
	outcome Outcome
}

// redeemAgain gives the redemption of a ticket that isn't fresh.
func (e *entry) redeemAgain(holder Holder) Redemption {
	if e.state != stateKept {
		return e.look()
	}
	e.state = stateDelivering
	e.holder = holder
	return Redemption{State: StateOutcome, Outcome: e.outcome}
}

// look gives the redemption of a ticket that isn't fresh to a call that takes
// no payload.
func (e *entry) look() Redemption {
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

// retain starts the ticket's retention; the shard's lock is held.
func (t *Ticketer) retain(ticket identifier.Ticket, now time.Time) {
	t.shardOf(ticket).retained.push(ticket, now.Add(t.options.OutcomeRetention))
}

// reserve takes room for a payload of n bytes, if there is any.
func (t *Ticketer) reserve(n int) bool {
	kept := t.kept.Add(int64(n))
	if t.options.MaxOutcomeBytes == 0 || kept <= t.options.MaxOutcomeBytes {
		return true
	}
	t.kept.Add(-int64(n))
	return false
}

func (t *Ticketer) dropPayload(e *entry) {
	t.kept.Add(-int64(len(e.outcome.Payload)))
	e.outcome.Payload = nil
}

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
			t.retain(ticket, now)
		}
	}
	for {
		ticket, ok := s.retained.popDue(now)
		if !ok {
			return
		}
		if e, found := s.entries[ticket]; found {
			t.dropPayload(e)
			delete(s.entries, ticket)
			t.count.Add(-1)
		}
	}
}

func (s *shard) unredeemed() int {
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

// dueList holds tickets in the order in which they were pushed, which is the
// order of their times but for the skew between goroutines.
type dueList struct {
	items []dueItem
	head  int
}

type dueItem struct {
	ticket identifier.Ticket
	due    time.Time
}

func (l *dueList) push(ticket identifier.Ticket, due time.Time) {
	l.items = append(l.items, dueItem{ticket: ticket, due: due})
}

// popDue takes the first ticket if it is due.
func (l *dueList) popDue(now time.Time) (ticket identifier.Ticket, ok bool) {
	if l.head == len(l.items) || now.Before(l.items[l.head].due) {
		return "", false
	}
	ticket = l.items[l.head].ticket
	l.items[l.head] = dueItem{}
	l.head++
	l.compact()
	return ticket, true
}

// compact frees the popped half, so that the list's memory follows its length.
func (l *dueList) compact() {
	if l.head < len(l.items)/2 {
		return
	}
	l.items = append([]dueItem(nil), l.items[l.head:]...)
	l.head = 0
}
