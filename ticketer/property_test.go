package ticketer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/ticketer"
)

// maxTickets is small, so that operations meet on the same ticket.
const maxTickets = 3

// ledger is what the callers of one ticket were told.
type ledger struct {
	dispatched int
	notRun     bool
	runner     ticketer.Holder // the call that was dispatched
	completed  bool
	left       bool              // the runner left before the call completed
	holders    []ticketer.Holder // calls that hold the payload now
	delivered  bool
}

// TestTicketerProperties runs any order of operations, with a clock that also
// steps back, and checks what the callers of each ticket are told.
func TestTicketerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tickets, err := ticketer.New(self, ticketer.Options{
			Validity:         validity,
			OutcomeRetention: kept,
			MaxOutstanding:   maxTickets,
			Random:           rand.NewChaCha8([32]byte{rapid.Byte().Draw(t, "seed")}),
		})
		if err != nil {
			t.Fatal(err)
		}
		m := &machine{tickets: tickets, now: start, ledgers: map[identifier.Ticket]*ledger{}}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

type machine struct {
	tickets *ticketer.Ticketer
	now     time.Time
	issued  []identifier.Ticket
	ledgers map[identifier.Ticket]*ledger
	calls   uint64
}

func (m *machine) draw(t *rapid.T) (identifier.Ticket, *ledger) {
	if len(m.issued) == 0 {
		t.Skip("no ticket yet")
	}
	ticket := rapid.SampledFrom(m.issued).Draw(t, "ticket")
	return ticket, m.ledgers[ticket]
}

func (m *machine) Issue(t *rapid.T) {
	ticket, _, err := m.tickets.Issue(lock, dealer, m.now)
	if err != nil {
		t.Skip("no room")
	}
	m.issued = append(m.issued, ticket)
	m.ledgers[ticket] = &ledger{}
}

func (m *machine) Redeem(t *rapid.T) {
	ticket, l := m.draw(t)
	m.calls++
	holder := ticketer.Holder{Host: self, Call: m.calls}
	m.note(t, l, holder, m.tickets.Redeem(ticket, lock, dealer, holder, m.now))
}

func (m *machine) Void(t *rapid.T) {
	ticket, l := m.draw(t)
	refused := classifier.NotRun(classifier.ReasonLimit, 0, "limit")
	m.note(t, l, ticketer.Holder{}, m.tickets.Void(ticket, lock, dealer, refused, m.now))
}

func (m *machine) note(t *rapid.T, l *ledger, holder ticketer.Holder, r ticketer.Redemption) {
	if r.State == ticketer.StateDispatch {
		l.dispatched++
		l.runner = holder
	}
	if r.Payload() != nil {
		l.holders = append(l.holders, holder)
	}
	if f := r.Failure(); f != nil && f.Verdict == classifier.VerdictNotRun {
		l.notRun = true
	}
	l.check(t)
}

func (l *ledger) check(t *rapid.T) {
	if l.dispatched > 1 {
		t.Fatal("ticket was dispatched twice")
	}
	if l.dispatched > 0 && l.notRun {
		t.Fatal("a call was told not-run and another was dispatched")
	}
	if len(l.holders) > 1 || len(l.holders) > 0 && l.delivered {
		t.Fatal("payload was given to two calls")
	}
}

func (m *machine) Complete(t *rapid.T) {
	ticket, l := m.draw(t)
	if l.dispatched == 0 || l.completed {
		t.Skip("not running")
	}
	m.tickets.Complete(ticket, ticketer.Outcome{Payload: []byte("locked")}, m.now)
	l.completed = true
	if !l.left {
		l.holders = append(l.holders, l.runner)
	}
	l.check(t)
}

func (m *machine) Delivered(t *rapid.T) {
	ticket, l := m.draw(t)
	if len(l.holders) == 0 {
		t.Skip("nobody holds the payload")
	}
	m.tickets.Delivered(ticket, l.holders[0], m.now)
	l.holders, l.delivered = nil, true
}

// Undelivered comes from any call, at any time, also from one that holds
// nothing.
func (m *machine) Undelivered(t *rapid.T) {
	ticket, l := m.draw(t)
	holder := ticketer.Holder{Host: self, Call: rapid.Uint64Range(1, m.calls+1).Draw(t, "call")}
	m.tickets.Undelivered(ticket, holder, m.now)
	if len(l.holders) > 0 && l.holders[0] == holder {
		l.holders = nil
	}
	l.left = l.left || !l.completed && l.runner == holder
}

func (m *machine) Pass(t *rapid.T) {
	step := rapid.SampledFrom([]int{-60, -1, 1, 5, 30, 70}).Draw(t, "seconds")
	m.now = m.now.Add(time.Duration(step) * time.Second)
}

func (m *machine) Expire(*rapid.T) {
	m.tickets.Expire(m.now)
}

// Check implements rapid.StateMachine.
func (m *machine) Check(t *rapid.T) {
	if n := m.tickets.Outstanding(); n < 0 || n > maxTickets {
		t.Fatalf("%d tickets in memory, want 0 to %d", n, maxTickets)
	}
}
