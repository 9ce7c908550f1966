package loader

import (
	"context"
	"errors"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
)

// Answer is what a call gave.
type Answer struct {
	Text    string
	Payload []byte
}

// Failure is why a call gave no whole answer.
type Failure struct {
	// Verdict in kebab case: "not-run", "may-have-run" or "ran".
	Verdict string
	// Reason in kebab case; "no-detail" where the system gave none.
	Reason string
	// RetryAfter is when to come back; 0: it won't help.
	RetryAfter time.Duration
	// Message is the text for people.
	Message string
}

// Names of verdicts in reports.
const (
	verdictAnswered   = "answered"
	verdictNotRun     = "not-run"
	verdictMayHaveRun = "may-have-run"
	verdictRan        = "ran"
	verdictHungUp     = "hung-up"
)

// Caller makes one call and tells of each message of tokens as it arrives. It
// returns once the answer is whole, with a nil failure, or once it failed.
type Caller interface {
	Do(ctx context.Context, c Call, observe func(tokens uint32)) (Answer, *Failure)
}

// ConnectCaller calls entry hosts over their Connect interface, each call
// another host.
type ConnectCaller struct {
	hosts []callerwireconnect.CallerServiceClient
}

// NewConnectCaller gives a caller of the entry hosts at base URLs such as
// "http://127.0.0.1:7000".
func NewConnectCaller(client connect.HTTPClient, urls ...string) *ConnectCaller {
	c := &ConnectCaller{}
	for _, u := range urls {
		c.hosts = append(c.hosts, callerwireconnect.NewCallerServiceClient(client, u))
	}
	return c
}

// Do makes a call.
func (c *ConnectCaller) Do(ctx context.Context, call Call, observe func(uint32)) (Answer, *Failure) {
	host := c.hosts[call.Index%uint64(len(c.hosts))]
	var a Answer
	var err error
	if call.Kind.Plain {
		a.Payload, err = callPlain(ctx, host, call)
	} else {
		a.Text, err = generate(ctx, host, call, observe)
	}
	if err != nil {
		return a, failureOf(err)
	}
	return a, nil
}

func urgencyOf(k *Kind) callerwire.Urgency {
	if k.Urgent {
		return callerwire.Urgency_URGENCY_URGENT
	}
	return callerwire.Urgency_URGENCY_UNSPECIFIED
}

var errCutShort = errors.New("answer ended without its completion")

func generate(ctx context.Context, host callerwireconnect.CallerServiceClient, call Call, observe func(uint32)) (string, error) {
	s, err := host.Generate(ctx, connect.NewRequest(&callerwire.GenerateRequest{
		RequestId: string(identifier.NewRequest()),
		Service:   call.Kind.Service,
		Customer:  call.Kind.Customer,
		Prompt:    call.Prompt,
		MaxTokens: call.MaxTokens,
		Urgency:   urgencyOf(call.Kind),
	}))
	if err != nil {
		return "", err
	}
	defer func() { _ = s.Close() }() // the stream has its error already
	var text strings.Builder
	whole := false
	for s.Receive() {
		if n := s.Msg().GetTokens(); n > 0 {
			observe(n)
		}
		text.WriteString(s.Msg().GetText())
		whole = s.Msg().GetCompletion() != nil
	}
	if err := s.Err(); err != nil {
		return text.String(), err
	}
	if !whole {
		return text.String(), errCutShort
	}
	return text.String(), nil
}

// callPlain makes a plain call; without a ticket of its own if the service
// is repeatable.
func callPlain(ctx context.Context, host callerwireconnect.CallerServiceClient, call Call) ([]byte, error) {
	request := &callerwire.CallRequest{
		RequestId: string(identifier.NewRequest()),
		Service:   call.Kind.Service,
		Customer:  call.Kind.Customer,
		Payload:   call.Payload,
		Urgency:   urgencyOf(call.Kind),
	}
	if !call.Kind.Repeatable {
		t, err := host.IssueTicket(ctx, connect.NewRequest(&callerwire.IssueTicketRequest{
			Service:  call.Kind.Service,
			Customer: call.Kind.Customer,
		}))
		if err != nil {
			return nil, &ticketError{err}
		}
		request.Ticket = t.Msg.GetTicket()
	}
	r, err := host.Call(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return r.Msg.GetPayload(), nil
}

// ticketError is a failure to get a ticket: the call was never made.
type ticketError struct {
	cause error
}

func (e *ticketError) Error() string { return "issue ticket: " + e.cause.Error() }

func (e *ticketError) Unwrap() error { return e.cause }

var verdictNames = map[callerwire.Verdict]string{
	callerwire.Verdict_VERDICT_NOT_RUN:      verdictNotRun,
	callerwire.Verdict_VERDICT_MAY_HAVE_RUN: verdictMayHaveRun,
	callerwire.Verdict_VERDICT_RAN:          verdictRan,
}

// failureOf reads the verdict that an error carries.
func failureOf(err error) *Failure {
	f := &Failure{Verdict: verdictMayHaveRun, Reason: "no-detail", Message: err.Error()}
	if e, ok := errors.AsType[*connect.Error](err); ok {
		f.Reason = "no-detail-" + strings.ReplaceAll(e.Code().String(), "_", "-")
		f.readDetails(e)
	}
	if _, ok := errors.AsType[*ticketError](err); ok {
		f.Verdict = verdictNotRun
	}
	return f
}

func (f *Failure) readDetails(e *connect.Error) {
	for _, d := range e.Details() {
		value, err := d.Value()
		if err != nil {
			continue
		}
		detail, ok := value.(*callerwire.FailureDetail)
		if !ok {
			continue
		}
		if name, ok := verdictNames[detail.GetVerdict()]; ok {
			f.Verdict = name
		}
		f.Reason = detail.GetReason()
		f.RetryAfter = time.Duration(detail.GetRetryAfterMs()) * time.Millisecond
	}
}
