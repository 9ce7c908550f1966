package ticketer_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/ticketer"
)

const (
	self      = identifier.Incarnation(0xabc)
	lock      = identifier.Service("price-lock")
	dealer    = identifier.Customer("taoyuan-dealer")
	validity  = time.Minute
	retention = 10 * time.Second
)

// firstHolder and secondHolder are two calls with the same ticket.
var (
	firstHolder  = ticketer.Holder{Host: 1, Call: 1}
	secondHolder = ticketer.Holder{Host: 1, Call: 2}
)

var startTime = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)

func newTicketer(t testing.TB) *ticketer.Ticketer {
	t.Helper()
	tickets, err := ticketer.New(self, ticketer.Options{
		Validity:         validity,
		OutcomeRetention: retention,
		MaxOutstanding:   1000,
	})
	is.New(t).NoErr(err)
	return tickets
}

func issue(t testing.TB, tickets *ticketer.Ticketer, now time.Time) identifier.Ticket {
	t.Helper()
	ticket, _, err := tickets.Issue(lock, dealer, now)
	is.New(t).NoErr(err)
	return ticket
}

func assertFailure(t *testing.T, r ticketer.Redemption, v classifier.Verdict, reason classifier.Reason) {
	t.Helper()
	is := is.New(t)
	failure := r.Failure()
	is.True(failure != nil)
	is.Equal(failure.Verdict, v)
	is.Equal(failure.Reason, reason)
}

func TestRedeem(t *testing.T) {
	answer := ticketer.Outcome{Payload: []byte("locked")}
	redeem := func(tickets *ticketer.Ticketer, ticket identifier.Ticket, after time.Duration) ticketer.Redemption {
		return tickets.Redeem(ticket, lock, dealer, firstHolder, startTime.Add(after))
	}
	t.Run("once", func(t *testing.T) {
		is := is.New(t)
		tickets := newTicketer(t)
		ticket := issue(t, tickets, startTime)
		is.Equal(redeem(tickets, ticket, 0).State, ticketer.StateDispatch)
		assertFailure(t, redeem(tickets, ticket, 0), classifier.VerdictMayHaveRun, classifier.ReasonTicketUsed)
	})
	t.Run("payload is reserved, given again if undelivered, never after delivery", func(t *testing.T) {
		is := is.New(t)
		tickets := newTicketer(t)
		ticket := issue(t, tickets, startTime)
		redeem(tickets, ticket, 0)
		tickets.Complete(ticket, answer, startTime)
		assertFailure(t, tickets.Redeem(ticket, lock, dealer, secondHolder, startTime), classifier.VerdictRan, classifier.ReasonTicketUsed)
		tickets.MarkUndelivered(ticket, secondHolder, startTime) // this call holds nothing
		assertFailure(t, tickets.Redeem(ticket, lock, dealer, secondHolder, startTime), classifier.VerdictRan, classifier.ReasonTicketUsed)
		tickets.MarkUndelivered(ticket, firstHolder, startTime)
		is.Equal(tickets.Redeem(ticket, lock, dealer, secondHolder, startTime).Payload(), answer.Payload)
		tickets.MarkUndelivered(ticket, firstHolder, startTime) // this call no longer holds the payload
		tickets.MarkDelivered(ticket, firstHolder, startTime)
		assertFailure(t, redeem(tickets, ticket, 0), classifier.VerdictRan, classifier.ReasonTicketUsed)
		tickets.MarkDelivered(ticket, secondHolder, startTime)
		tickets.MarkUndelivered(ticket, secondHolder, startTime)
		assertFailure(t, redeem(tickets, ticket, 0), classifier.VerdictRan, classifier.ReasonTicketUsed)
	})
	t.Run("holder leaves before the call completes", func(t *testing.T) {
		tickets := newTicketer(t)
		ticket := issue(t, tickets, startTime)
		redeem(tickets, ticket, 0)
		tickets.MarkUndelivered(ticket, firstHolder, startTime)
		tickets.Complete(ticket, answer, startTime)
		is.New(t).Equal(tickets.Redeem(ticket, lock, dealer, secondHolder, startTime).Payload(), answer.Payload)
	})
	t.Run("void takes no payload", func(t *testing.T) {
		tickets := newTicketer(t)
		ticket := issue(t, tickets, startTime)
		redeem(tickets, ticket, 0)
		tickets.Complete(ticket, answer, startTime)
		tickets.MarkUndelivered(ticket, firstHolder, startTime)
		full := classifier.NotRun(classifier.ReasonLimit, time.Second, "limit")
		assertFailure(t, tickets.Void(ticket, lock, dealer, full, startTime), classifier.VerdictRan, classifier.ReasonTicketUsed)
		is.New(t).Equal(redeem(tickets, ticket, 0).Payload(), answer.Payload)
	})
	t.Run("refusal voids the ticket", func(t *testing.T) {
		tickets := newTicketer(t)
		ticket := issue(t, tickets, startTime)
		redeem(tickets, ticket, 0)
		refused := classifier.NotRun(classifier.ReasonEndpointRefused, 0, "slots are full")
		tickets.Complete(ticket, ticketer.Outcome{Failure: refused}, startTime)
		assertFailure(t, redeem(tickets, ticket, 0), classifier.VerdictNotRun, classifier.ReasonEndpointRefused)
	})
	t.Run("void before use", func(t *testing.T) {
		tickets := newTicketer(t)
		ticket := issue(t, tickets, startTime)
		full := classifier.NotRun(classifier.ReasonLimit, time.Second, "limit")
		assertFailure(t, tickets.Void(ticket, lock, dealer, full, startTime), classifier.VerdictNotRun, classifier.ReasonLimit)
		assertFailure(t, redeem(tickets, ticket, 0), classifier.VerdictNotRun, classifier.ReasonLimit)
	})
	t.Run("void after use", func(t *testing.T) {
		tickets := newTicketer(t)
		ticket := issue(t, tickets, startTime)
		redeem(tickets, ticket, 0)
		full := classifier.NotRun(classifier.ReasonLimit, time.Second, "limit")
		assertFailure(t, tickets.Void(ticket, lock, dealer, full, startTime), classifier.VerdictMayHaveRun, classifier.ReasonTicketUsed)
	})
	t.Run("expired, then removed", func(t *testing.T) {
		tickets := newTicketer(t)
		ticket := issue(t, tickets, startTime)
		assertFailure(t, redeem(tickets, ticket, validity), classifier.VerdictNotRun, classifier.ReasonTicketUnknown)
		assertFailure(t, redeem(tickets, ticket, 0), classifier.VerdictNotRun, classifier.ReasonTicketUnknown)
		tickets.Expire(startTime.Add(validity + retention))
		assertFailure(t, redeem(tickets, ticket, validity+retention), classifier.VerdictMayHaveRun, classifier.ReasonTicketUnknown)
		is.New(t).Equal(tickets.Outstanding(), 0)
	})
	t.Run("ticket of a running call is not removed", func(t *testing.T) {
		tickets := newTicketer(t)
		ticket := issue(t, tickets, startTime)
		redeem(tickets, ticket, 0)
		tickets.Expire(startTime.Add(24 * time.Hour))
		assertFailure(t, redeem(tickets, ticket, 24*time.Hour), classifier.VerdictMayHaveRun, classifier.ReasonTicketUsed)
	})
	t.Run("bound to service, customer and incarnation", func(t *testing.T) {
		is := is.New(t)
		tickets := newTicketer(t)
		ticket := issue(t, tickets, startTime)
		assertFailure(t, tickets.Redeem(ticket, "seat", dealer, firstHolder, startTime), classifier.VerdictNotRun, classifier.ReasonBadRequest)
		assertFailure(t, tickets.Redeem(ticket, lock, "other", firstHolder, startTime), classifier.VerdictNotRun, classifier.ReasonBadRequest)
		assertFailure(t, redeem(tickets, "nonsense", 0), classifier.VerdictNotRun, classifier.ReasonBadRequest)
		foreign := identifier.Ticket("1" + string(ticket[1:]))
		assertFailure(t, redeem(tickets, foreign, 0), classifier.VerdictMayHaveRun, classifier.ReasonTicketUnknown)
		is.Equal(redeem(tickets, ticket, 0).State, ticketer.StateDispatch)
	})
}

func TestBounds(t *testing.T) {
	t.Run("tickets", func(t *testing.T) {
		is := is.New(t)
		tickets, err := ticketer.New(self, ticketer.Options{Validity: validity, OutcomeRetention: retention, MaxOutstanding: 1})
		is.NoErr(err)
		issue(t, tickets, startTime)
		_, _, err = tickets.Issue(lock, dealer, startTime)
		is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
		tickets.Expire(startTime.Add(validity))
		tickets.Expire(startTime.Add(validity + retention))
		issue(t, tickets, startTime)
	})
	t.Run("payload bytes", func(t *testing.T) {
		tickets, err := ticketer.New(self, ticketer.Options{Validity: validity, OutcomeRetention: retention, MaxOutstanding: 9, MaxOutcomeBytes: 4})
		is.New(t).NoErr(err)
		for _, want := range []ticketer.State{ticketer.StateOutcome, ticketer.StateAnswered} {
			ticket := issue(t, tickets, startTime)
			tickets.Redeem(ticket, lock, dealer, firstHolder, startTime)
			tickets.Complete(ticket, ticketer.Outcome{Payload: []byte("abc")}, startTime)
			tickets.MarkUndelivered(ticket, firstHolder, startTime)
			is.New(t).Equal(tickets.Redeem(ticket, lock, dealer, firstHolder, startTime).State, want)
		}
	})
	t.Run("options", func(t *testing.T) {
		_, err := ticketer.New(self, ticketer.Options{Validity: validity, OutcomeRetention: retention})
		is.New(t).True(err != nil)
	})
}

func TestConcurrentRedeem(t *testing.T) {
	is := is.New(t)
	tickets := newTicketer(t)
	ticket := issue(t, tickets, startTime)
	states := make(chan ticketer.State, 64)
	g := grouper.New(t.Context())
	for range cap(states) {
		g.Go(func(context.Context) error {
			states <- tickets.Redeem(ticket, lock, dealer, firstHolder, startTime).State
			return nil
		})
	}
	is.NoErr(g.Wait())
	close(states)
	dispatched := 0
	for s := range states {
		if s == ticketer.StateDispatch {
			dispatched++
		}
	}
	is.Equal(dispatched, 1)
}

func FuzzIssuer(f *testing.F) {
	f.Add("0000000000000abc-0123456789abcdef0123456789abcdef")
	f.Add("0000000000000000-0123456789abcdef0123456789abcdef")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		issuer, err := ticketer.Issuer(identifier.Ticket(text))
		if err != nil {
			return
		}
		is := is.New(t)
		is.True(issuer != 0)
		is.Equal(issuer.String(), text[:16])
	})
}

func BenchmarkIssueAndRedeem(b *testing.B) {
	tickets := newTicketer(b)
	b.ReportAllocs()
	for b.Loop() {
		ticket := issue(b, tickets, startTime)
		tickets.Redeem(ticket, lock, dealer, firstHolder, startTime)
		tickets.Complete(ticket, ticketer.Outcome{}, startTime)
		tickets.Expire(startTime.Add(retention))
	}
}
