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

// maxTickets is small, so that several operations use the same ticket.
const maxTickets = 3

// ticketHistory records the results that the calls with one ticket got.
type ticketHistory struct {
	dispatched int
	notRun     bool
	runner     ticketer.Holder // the call that was dispatched
	completed  bool
	runnerLeft bool              // the runner left before the call completed
	holders    []ticketer.Holder // calls that hold the payload now
	delivered  bool
}

// TestTicketerProperties runs random sequences of operations, with a clock that
// can also move backwards. It checks that each ticket is dispatched at most once,
// that a ticket with the verdict not-run is never dispatched, that a payload is
// never given to two calls, and that no more than maxTickets tickets are kept.
func TestTicketerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tickets, err := ticketer.New(self, ticketer.Options{
			Validity:         validity,
			OutcomeRetention: retention,
			MaxOutstanding:   maxTickets,
			Random:           rand.NewChaCha8([32]byte{rapid.Byte().Draw(t, "seed")}),
		})
		if err != nil {
			t.Fatal(err)
		}
		m := &ticketerMachine{tickets: tickets, now: startTime, histories: map[identifier.Ticket]*ticketHistory{}}
		t.Repeat(rapid.StateMachineActions(m))
	})
}

type ticketerMachine struct {
	tickets   *ticketer.Ticketer
	now       time.Time
	issued    []identifier.Ticket
	histories map[identifier.Ticket]*ticketHistory
	calls     uint64
}

func (m *ticketerMachine) drawTicket(t *rapid.T) (identifier.Ticket, *ticketHistory) {
	if len(m.issued) == 0 {
		t.Skip("no ticket yet")
	}
	ticket := rapid.SampledFrom(m.issued).Draw(t, "ticket")
	return ticket, m.histories[ticket]
}

func (m *ticketerMachine) Issue(t *rapid.T) {
	ticket, _, err := m.tickets.Issue(lock, dealer, m.now)
	if err != nil {
		t.Skip("too many tickets are outstanding")
	}
	m.issued = append(m.issued, ticket)
	m.histories[ticket] = &ticketHistory{}
}

func (m *ticketerMachine) Redeem(t *rapid.T) {
	ticket, h := m.drawTicket(t)
	m.calls++
	holder := ticketer.Holder{Host: self, Call: m.calls}
	m.record(t, h, holder, m.tickets.Redeem(ticket, lock, dealer, holder, m.now))
}

func (m *ticketerMachine) Void(t *rapid.T) {
	ticket, h := m.drawTicket(t)
	refused := classifier.NotRun(classifier.ReasonLimit, 0, "limit")
	m.record(t, h, ticketer.Holder{}, m.tickets.Void(ticket, lock, dealer, refused, m.now))
}

func (m *ticketerMachine) record(t *rapid.T, h *ticketHistory, holder ticketer.Holder, r ticketer.Redemption) {
	if r.State == ticketer.StateDispatch {
		h.dispatched++
		h.runner = holder
	}
	if r.Payload() != nil {
		h.holders = append(h.holders, holder)
	}
	if f := r.Failure(); f != nil && f.Verdict == classifier.VerdictNotRun {
		h.notRun = true
	}
	h.check(t)
}

func (h *ticketHistory) check(t *rapid.T) {
	if h.dispatched > 1 {
		t.Fatal("ticket was dispatched twice")
	}
	if h.dispatched > 0 && h.notRun {
		t.Fatal("a call got the verdict not-run and another was dispatched")
	}
	if len(h.holders) > 1 || len(h.holders) > 0 && h.delivered {
		t.Fatal("payload was given to two calls")
	}
}

func (m *ticketerMachine) Complete(t *rapid.T) {
	ticket, h := m.drawTicket(t)
	if h.dispatched == 0 || h.completed {
		t.Skip("not running")
	}
	m.tickets.Complete(ticket, ticketer.Outcome{Payload: []byte("locked")}, m.now)
	h.completed = true
	if !h.runnerLeft {
		h.holders = append(h.holders, h.runner)
	}
	h.check(t)
}

func (m *ticketerMachine) Delivered(t *rapid.T) {
	ticket, h := m.drawTicket(t)
	if len(h.holders) == 0 {
		t.Skip("no call holds the payload")
	}
	m.tickets.MarkDelivered(ticket, h.holders[0], m.now)
	h.holders, h.delivered = nil, true
}

// Undelivered marks a random call's payload as undelivered, at any time and even
// if the call holds no payload.
func (m *ticketerMachine) Undelivered(t *rapid.T) {
	ticket, h := m.drawTicket(t)
	holder := ticketer.Holder{Host: self, Call: rapid.Uint64Range(1, m.calls+1).Draw(t, "call")}
	m.tickets.MarkUndelivered(ticket, holder, m.now)
	if len(h.holders) > 0 && h.holders[0] == holder {
		h.holders = nil
	}
	h.runnerLeft = h.runnerLeft || !h.completed && h.runner == holder
}

func (m *ticketerMachine) MoveClock(t *rapid.T) {
	step := rapid.SampledFrom([]int{-60, -1, 1, 5, 30, 70}).Draw(t, "seconds")
	m.now = m.now.Add(time.Duration(step) * time.Second)
}

func (m *ticketerMachine) Expire(*rapid.T) {
	m.tickets.Expire(m.now)
}

// Check implements rapid.StateMachine. It runs after every action.
func (m *ticketerMachine) Check(t *rapid.T) {
	if n := m.tickets.Outstanding(); n < 0 || n > maxTickets {
		t.Fatalf("%d tickets in memory, want 0 to %d", n, maxTickets)
	}
}
