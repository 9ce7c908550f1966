package loader

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
)

// fakeHost is an entry host that answers "one two" and accepts plain calls only
// with the ticket that it issues.
type fakeHost struct {
	callerwireconnect.UnimplementedCallerServiceHandler
	failure  *callerwire.FailureDetail
	truncate bool
	tickets  atomic.Int64
}

func (h *fakeHost) fail() error {
	if h.failure == nil {
		return nil
	}
	err := connect.NewError(connect.CodeUnavailable, nil)
	if detail, cause := connect.NewErrorDetail(h.failure); cause == nil {
		err.AddDetail(detail)
	}
	return err
}

func (h *fakeHost) Generate(_ context.Context, r *connect.Request[callerwire.GenerateRequest], s *connect.ServerStream[callerwire.GenerateResponse]) error {
	if err := h.fail(); err != nil {
		return err
	}
	_ = s.Send(&callerwire.GenerateResponse{Tokens: 1, Text: "one ", RequestId: r.Msg.GetRequestId()})
	if h.truncate {
		return nil
	}
	return s.Send(&callerwire.GenerateResponse{TokenOffset: 1, Tokens: 1, Text: "two", Completion: &callerwire.Completion{TotalTokens: 2, Attempts: 1}})
}

func (h *fakeHost) IssueTicket(context.Context, *connect.Request[callerwire.IssueTicketRequest]) (*connect.Response[callerwire.IssueTicketResponse], error) {
	h.tickets.Add(1)
	return connect.NewResponse(&callerwire.IssueTicketResponse{Ticket: "t", ValidForMs: 1000}), nil
}

func (h *fakeHost) Call(_ context.Context, r *connect.Request[callerwire.CallRequest]) (*connect.Response[callerwire.CallResponse], error) {
	if err := h.fail(); err != nil {
		return nil, err
	}
	if r.Msg.GetTicket() != "t" {
		return nil, connect.NewError(connect.CodeFailedPrecondition, nil)
	}
	return connect.NewResponse(&callerwire.CallResponse{RequestId: r.Msg.GetRequestId(), Payload: r.Msg.GetPayload()}), nil
}

func TestCallers(t *testing.T) {
	mix := TamsuiMix()
	quote := Call{Kind: &mix[0], Prompt: "copper", MaxTokens: 2}
	lock := Call{Kind: &mix[2], Payload: []byte("30 t")}
	newCallers := map[string]func(url string) (Caller, error){
		"connect": func(url string) (Caller, error) { return NewConnectCaller(http.DefaultClient, url), nil },
		"client": func(url string) (Caller, error) {
			return NewClientCaller(mix, client.Options{Addresses: []string{url}, Seed: 1})
		},
	}
	for name, create := range newCallers {
		doCall := func(t *testing.T, h *fakeHost, call Call) (Answer, *Failure, uint32) {
			t.Helper()
			mux := http.NewServeMux()
			mux.Handle(callerwireconnect.NewCallerServiceHandler(h))
			server := httptest.NewServer(mux)
			defer server.Close()
			caller, err := create(server.URL)
			is.New(t).NoErr(err)
			observed := uint32(0)
			a, f := caller.Do(t.Context(), call, func(n uint32) { observed += n })
			return a, f, observed
		}
		t.Run(name+" reads a complete answer", func(t *testing.T) {
			is := is.New(t)
			a, f, observed := doCall(t, &fakeHost{}, quote)
			is.True(f == nil)
			is.Equal(a.Text, "one two")
			is.Equal(observed, uint32(2))
		})
		t.Run(name+" detects a truncated answer", func(t *testing.T) {
			is := is.New(t)
			_, f, _ := doCall(t, &fakeHost{truncate: true}, quote)
			is.Equal(f.Verdict, verdictMayHaveRun)
		})
		t.Run(name+" reads verdict, reason and retry-after", func(t *testing.T) {
			is := is.New(t)
			detail := &callerwire.FailureDetail{Verdict: callerwire.Verdict_VERDICT_NOT_RUN, Reason: "queue-full", RetryAfterMs: 1500}
			_, f, _ := doCall(t, &fakeHost{failure: detail}, quote)
			is.True(f.Message != "")
			f.Message = ""
			is.Equal(*f, Failure{Verdict: verdictNotRun, Reason: "queue-full", RetryAfter: 1500 * time.Millisecond})
		})
		t.Run(name+" requests a ticket for a non-repeatable call", func(t *testing.T) {
			is := is.New(t)
			h := &fakeHost{}
			a, f, _ := doCall(t, h, lock)
			is.True(f == nil)
			is.Equal(string(a.Payload), "30 t")
			is.Equal(h.tickets.Load(), int64(1))
		})
		t.Run(name+" counts an error without detail as may-have-run", func(t *testing.T) {
			is := is.New(t)
			_, f, _ := doCall(t, &fakeHost{failure: &callerwire.FailureDetail{}}, lock)
			is.Equal(f.Verdict, verdictMayHaveRun)
		})
	}
}
