package client_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
)

func answer(text string) callStep {
	return func(*callerwire.CallRequest) ([]byte, error) { return []byte(text), nil }
}

func refuse(err error) callStep {
	return func(*callerwire.CallRequest) ([]byte, error) { return nil, err }
}

func resetCall(*callerwire.CallRequest) ([]byte, error) {
	panic(http.ErrAbortHandler)
}

func TestCall(t *testing.T) {
	required := &classifier.Error{Verdict: classifier.VerdictNotRun, Reason: classifier.ReasonTicketRequired, Ticket: "fresh", Message: "ticket needed"}
	refused := &classifier.Error{Verdict: classifier.VerdictNotRun, Reason: classifier.ReasonEndpointRefused, Ticket: "second", Message: "slots are full"}
	running := classifier.MayHaveRun(classifier.ReasonTicketUsed, 100*time.Millisecond, "in progress")
	unknown := classifier.MayHaveRun(classifier.ReasonTicketUnknown, 0, "unknown")
	full := classifier.NotRun(classifier.ReasonLimit, time.Second, "limit")
	used := classifier.Ran(classifier.ReasonTicketUsed, "answered")
	cases := []struct {
		name    string
		steps   []callStep
		tickets []string // expected in the calls that reach the host
		payload string
		verdict classifier.Verdict
	}{
		{"answered", []callStep{answer("locked")}, []string{"issued-1"}, "locked", classifier.VerdictRan},
		{"refused, then with a fresh ticket", []callStep{refuse(refused), answer("locked")}, []string{"issued-1", "second"}, "locked", classifier.VerdictRan},
		{"reset, then the stored outcome", []callStep{resetCall, refuse(running), answer("locked")}, []string{"issued-1", "issued-1", "issued-1"}, "locked", classifier.VerdictRan},
		{"reset, then answered already", []callStep{resetCall, refuse(used)}, []string{"issued-1", "issued-1"}, "", classifier.VerdictRan},
		{"reset, then unknown", []callStep{resetCall, refuse(unknown)}, []string{"issued-1", "issued-1"}, "", classifier.VerdictMayHaveRun},
		{"reset, then each retry is refused", []callStep{resetCall, refuse(full)}, []string{"issued-1", "issued-1", "issued-1", "issued-1"}, "", classifier.VerdictMayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &fakeHost{calls: c.steps}
				payload, err := newClient(t, h, policy).Call(t.Context(), client.CallRequest{Service: "price-lock", NonRepeatable: true})
				assertCall(t, h, c.tickets, string(payload), c.payload)
				is.New(t).Equal(classifier.VerdictOf(err), c.verdict)
			})
		})
	}
	t.Run("without NonRepeatable, the ticket of the refusal is used", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := &fakeHost{calls: []callStep{refuse(required), answer("locked")}}
			payload, err := newClient(t, h, client.RetryPolicy{}).Call(t.Context(), client.CallRequest{Service: "price-lock"})
			is.New(t).NoErr(err)
			assertCall(t, h, []string{"", "fresh"}, string(payload), "locked")
			is.New(t).Equal(h.issued, 0)
		})
	})
	t.Run("repeatable call is retried", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			h := &fakeHost{calls: []callStep{resetCall, answer("quote")}}
			payload, err := newClient(t, h, policy).Call(t.Context(), client.CallRequest{Service: "quotes"})
			is.New(t).NoErr(err)
			assertCall(t, h, []string{"", ""}, string(payload), "quote")
		})
	})
}

func assertCall(t *testing.T, h *fakeHost, tickets []string, got, want string) {
	t.Helper()
	is := is.New(t)
	is.Equal(got, want)
	is.Equal(len(h.called), len(tickets))
	for i, ticket := range tickets {
		is.Equal(h.called[i].GetTicket(), ticket)
		is.Equal(h.called[i].GetCustomer(), "dealer")
	}
}
