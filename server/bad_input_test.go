package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/dispatcher"
	"github.com/jackdawthread/jackdawthread/redeemer"
)

const (
	generatePath    = "/jackdawthread.caller.v1.CallerService/Generate"
	callPath        = "/jackdawthread.caller.v1.CallerService/Call"
	issueTicketPath = "/jackdawthread.caller.v1.CallerService/IssueTicket"
	maxRequestBytes = 2048
)

// countingDispatch counts the requests that reach it. It refuses calls whose
// deadline has passed.
type countingDispatch struct {
	reached int
}

func (d *countingDispatch) Generate(context.Context, dispatcher.GenerateRequest, dispatcher.Sink) (dispatcher.Completion, error) {
	d.reached++
	return dispatcher.Completion{}, nil
}

func (d *countingDispatch) Call(ctx context.Context, _ dispatcher.CallRequest) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, classifier.NotRun(classifier.ReasonDeadline, time.Second, "the deadline passed")
	}
	d.reached++
	return nil, nil
}

// noTickets always issues the same ticket and dispatches nothing.
type noTickets struct{}

func (noTickets) Issue(*compiler.Service, *compiler.Customer) (identifier.Ticket, time.Duration, error) {
	return "ticket-1", time.Second, nil
}

func (noTickets) Call(context.Context, identifier.Ticket, dispatcher.CallRequest) ([]byte, redeemer.Receipt, error) {
	return nil, func(bool) {}, classifier.MayHaveRun(classifier.ReasonTicketUnknown, 0, "ticket is not known")
}

func testFleet() *compiler.Fleet {
	return &compiler.Fleet{
		Services: map[identifier.Service]*compiler.Service{
			"desk":   {Name: "desk", Kind: compiler.KindModel, Repeatable: true, MaxPromptTokens: 100, MaxOutputTokens: 10},
			"lookup": {Name: "lookup", Kind: compiler.KindPlain, Repeatable: true},
			"lock":   {Name: "lock", Kind: compiler.KindPlain},
		},
		Customers: map[identifier.Customer]*compiler.Customer{"dealers": {Name: "dealers"}},
	}
}

// badInput is an invalid request with the expected response.
type badInput struct {
	name        string
	path        string
	contentType string // empty: JSON
	timeout     string // Connect-Timeout-Ms; empty: none
	body        string
	status      int
	reason      classifier.Reason // empty: refused before the handler runs
	verdict     string            // in the failure detail; empty: not-run
}

var badInputs = []badInput{
	{name: "malformed JSON", path: callPath, body: `{"service":`, status: http.StatusBadRequest},
	{name: "a field of the wrong type", path: callPath, body: `{"service":7}`, status: http.StatusBadRequest},
	{name: "malformed protobuf", path: callPath, contentType: "application/proto", body: "\xff\xff\xff", status: http.StatusBadRequest},
	{name: "an unsupported media type", path: callPath, contentType: "text/plain", body: "x", status: http.StatusUnsupportedMediaType},
	{name: "an oversize message", path: callPath, body: `{"service":"lookup","payload":"` + strings.Repeat("A", 2*maxRequestBytes) + `"}`, status: http.StatusTooManyRequests},
	{name: "an unknown method", path: "/jackdawthread.caller.v1.CallerService/Shout", body: `{}`, status: http.StatusNotFound},
	{name: "an unknown service", path: callPath, body: `{"service":"no-such","customer":"dealers"}`, status: http.StatusNotFound, reason: classifier.ReasonUnknownService},
	{name: "an unknown customer", path: callPath, body: `{"service":"lookup","customer":"nobody"}`, status: http.StatusForbidden, reason: classifier.ReasonUnknownCustomer},
	{name: "a model service called as plain", path: callPath, body: `{"service":"desk","customer":"dealers"}`, status: http.StatusBadRequest, reason: classifier.ReasonBadRequest},
	{name: "an expired deadline", path: callPath, timeout: "0", body: `{"service":"lookup","customer":"dealers"}`, status: http.StatusGatewayTimeout},
	{name: "an oversize request id", path: callPath, body: `{"service":"lookup","customer":"dealers","requestId":"` + strings.Repeat("i", 129) + `"}`, status: http.StatusBadRequest, reason: classifier.ReasonBadRequest},
	{name: "a call without its ticket", path: callPath, body: `{"service":"lock","customer":"dealers"}`, status: http.StatusBadRequest, reason: classifier.ReasonTicketRequired},
	{name: "a ticket with an unknown service", path: callPath, body: `{"service":"no-such","customer":"dealers","ticket":"t"}`, status: http.StatusNotFound, reason: classifier.ReasonUnknownService, verdict: "VERDICT_MAY_HAVE_RUN"},
	{name: "a ticket for a repeatable service", path: issueTicketPath, body: `{"service":"lookup","customer":"dealers"}`, status: http.StatusBadRequest, reason: classifier.ReasonBadRequest},
}

func TestBadInput(t *testing.T) {
	d := &countingDispatch{}
	callers := NewCallers(CallersDeps{Fleet: testFleet, Dispatch: d, Tickets: noTickets{}, MaxRequestBytes: maxRequestBytes})
	s := httptest.NewServer(limitTime(callers.Handler(), DefaultListenerOptions()))
	defer s.Close()
	for _, b := range badInputs {
		t.Run(b.name, func(t *testing.T) { requireAnswer(t, s.URL, b) })
	}
	is.New(t).Equal(d.reached, 0) // no invalid request is dispatched
}

func requireAnswer(t *testing.T, url string, b badInput) {
	i := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+b.path, strings.NewReader(b.body))
	i.NoErr(err)
	request.Header.Set("Content-Type", "application/json")
	if b.contentType != "" {
		request.Header.Set("Content-Type", b.contentType)
	}
	if b.timeout != "" {
		request.Header.Set("Connect-Timeout-Ms", b.timeout)
	}
	response, err := http.DefaultClient.Do(request)
	i.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	i.NoErr(err)
	t.Logf("%d %s", response.StatusCode, text)
	i.Equal(response.StatusCode, b.status)
	if b.reason == "" {
		i.Equal(response.Header.Get(HeaderVerdict), "not-run")
		return
	}
	requireFailureDetail(t, text, b)
}

// requireFailureDetail checks the failure detail in the body of an error response.
func requireFailureDetail(t *testing.T, body []byte, b badInput) {
	i := is.New(t)
	var failure struct {
		Message string `json:"message"`
		Details []struct {
			Debug struct {
				Reason  string `json:"reason"`
				Verdict string `json:"verdict"`
			} `json:"debug"`
		} `json:"details"`
	}
	i.NoErr(json.Unmarshal(body, &failure))
	i.True(failure.Message != "")
	i.Equal(len(failure.Details), 1)
	i.Equal(failure.Details[0].Debug.Reason, string(b.reason))
	if b.verdict == "" {
		b.verdict = "VERDICT_NOT_RUN"
	}
	i.Equal(failure.Details[0].Debug.Verdict, b.verdict)
}
