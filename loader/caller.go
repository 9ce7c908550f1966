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

// Answer is the response to a call: Text from a model service, Payload from a
// plain service.
type Answer struct {
	Text    string
	Payload []byte
}

// Failure describes why a call got no complete answer.
type Failure struct {
	// Verdict in kebab case: "not-run", "may-have-run" or "ran".
	Verdict string
	// Reason in kebab case. It is "no-detail" or starts with "no-detail-" if
	// the error carried no FailureDetail.
	Reason string
	// RetryAfter is the delay before a retry; 0 if a retry won't help.
	RetryAfter time.Duration
	// Message is the human-readable error message.
	Message string
}

// Verdicts in reports.
const (
	verdictAnswered   = "answered"
	verdictNotRun     = "not-run"
	verdictMayHaveRun = "may-have-run"
	verdictRan        = "ran"
	verdictHungUp     = "hung-up"
)

// Caller makes calls. Do calls observe with the token count of each message as
// it arrives. It returns a nil failure once the answer is complete.
type Caller interface {
	Do(ctx context.Context, c Call, observe func(tokens uint32)) (Answer, *Failure)
}

// ConnectCaller calls entry hosts directly over Connect, round-robin by the
// call's index. It doesn't retry.
type ConnectCaller struct {
	hosts []callerwireconnect.CallerServiceClient
}

// NewConnectCaller returns a caller for the entry hosts at the given base URLs,
// such as "http://127.0.0.1:7000".
func NewConnectCaller(client connect.HTTPClient, urls ...string) *ConnectCaller {
	c := &ConnectCaller{}
	for _, u := range urls {
		c.hosts = append(c.hosts, callerwireconnect.NewCallerServiceClient(client, u))
	}
	return c
}

// Do implements Caller.
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

var errIncompleteAnswer = errors.New("stream ended without a completion message")

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
	defer func() { _ = s.Close() }() // s.Err reports stream errors
	var text strings.Builder
	completed := false
	for s.Receive() {
		if n := s.Msg().GetTokens(); n > 0 {
			observe(n)
		}
		text.WriteString(s.Msg().GetText())
		completed = s.Msg().GetCompletion() != nil
	}
	if err := s.Err(); err != nil {
		return text.String(), err
	}
	if !completed {
		return text.String(), errIncompleteAnswer
	}
	return text.String(), nil
}

// callPlain calls a plain service. It requests a ticket first unless the service
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

// ticketError is a failure to get a ticket, which means that the call itself
// was never sent.
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

// failureOf converts an error to a Failure, using its FailureDetail if present.
// Without a detail, the call may have run.
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
