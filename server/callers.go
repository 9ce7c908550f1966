// Package server serves the callers' and the operators' APIs of an entry host. It
// decodes and validates requests, passes them to the dispatcher or the redeemer,
// and converts failures to error responses that state whether the request may
// have run.
//
// # Usage
//
//	callers := server.NewCallers(server.CallersDeps{...})
//	l := server.Listen(group, ln, callers.Handler(), server.DefaultListenerOptions(), log)
//	defer l.Stop(ctx)
//
// The wire formats are those of Connect, so JSON over HTTP/1.1 works too:
//
//	curl -H 'Content-Type: application/json' \
//	  -d '{"service":"price-lock","customer":"dealer-7","payload":"e30="}' \
//	  http://127.0.0.1:7000/jackdawthread.caller.v1.CallerService/Call
package server

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/dispatcher"
	"github.com/jackdawthread/jackdawthread/redeemer"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
)

// Dispatch serves validated requests.
type Dispatch interface {
	Generate(ctx context.Context, r dispatcher.GenerateRequest, sink dispatcher.Sink) (dispatcher.Completion, error)
	Call(ctx context.Context, r dispatcher.CallRequest) ([]byte, error)
}

// Tickets serves calls that must run at most once.
type Tickets interface {
	// Issue returns a ticket and the time until it expires.
	Issue(s *compiler.Service, c *compiler.Customer) (identifier.Ticket, time.Duration, error)
	// Call dispatches the call if the ticket allows it. The receipt must be
	// called with whether the response reached the caller.
	Call(ctx context.Context, t identifier.Ticket, r dispatcher.CallRequest) ([]byte, redeemer.Receipt, error)
}

// CallersDeps are the dependencies and options of the callers' API.
type CallersDeps struct {
	Fleet    func() *compiler.Fleet
	Dispatch Dispatch
	Tickets  Tickets
	// MaxRequestBytes is the maximum size of a request message.
	MaxRequestBytes int
}

// compressMinBytes is the minimum size of a compressed response message. Messages
// of a few tokens cost more to compress than to send.
const compressMinBytes = 4 << 10

// Callers serves the callers' API.
type Callers struct {
	deps CallersDeps
}

// NewCallers returns the callers' API.
func NewCallers(d CallersDeps) *Callers {
	return &Callers{deps: d}
}

// Handler returns the HTTP handler of the API.
func (s *Callers) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(callerwireconnect.NewCallerServiceHandler(s,
		connect.WithReadMaxBytes(s.deps.MaxRequestBytes),
		connect.WithCompressMinBytes(compressMinBytes)))
	return mux
}

// Generate implements callerwireconnect.CallerServiceHandler.
func (s *Callers) Generate(ctx context.Context, r *connect.Request[callerwire.GenerateRequest], stream *connect.ServerStream[callerwire.GenerateResponse]) error {
	markRequestRead(ctx)
	checked, err := s.checkGenerate(r.Msg)
	if err != nil {
		return converter.ToConnect(err)
	}
	ctx, cancel := withTimeout(ctx, checked.Service)
	defer cancel()
	out := &generateWriter{stream: stream, request: checked.ID}
	completion, err := s.deps.Dispatch.Generate(ctx, checked, out.write)
	if err != nil {
		return converter.ToConnect(err)
	}
	return out.complete(completion)
}

// generateWriter streams a completion to a caller.
type generateWriter struct {
	stream  *connect.ServerStream[callerwire.GenerateResponse]
	request identifier.Request
	idSent  bool
}

func (w *generateWriter) write(c dispatcher.Chunk) error {
	return w.stream.Send(w.withRequestID(&callerwire.GenerateResponse{
		TokenOffset: uint32(c.Offset),
		Tokens:      uint32(c.Tokens),
		Text:        c.Text,
	}))
}

func (w *generateWriter) complete(c dispatcher.Completion) error {
	return w.stream.Send(w.withRequestID(&callerwire.GenerateResponse{
		TokenOffset: uint32(c.Tokens),
		Completion: &callerwire.Completion{
			TotalTokens: uint32(c.Tokens),
			Attempts:    uint32(c.Attempts),
		},
	}))
}

// withRequestID sets the request ID on the first message of the stream.
func (w *generateWriter) withRequestID(m *callerwire.GenerateResponse) *callerwire.GenerateResponse {
	if !w.idSent {
		w.idSent = true
		m.RequestId = string(w.request)
	}
	return m
}

// Call implements callerwireconnect.CallerServiceHandler.
func (s *Callers) Call(ctx context.Context, r *connect.Request[callerwire.CallRequest]) (*connect.Response[callerwire.CallResponse], error) {
	markRequestRead(ctx)
	checked, err := s.checkCall(r.Msg)
	if err != nil {
		return nil, converter.ToConnect(allowForEarlierRun(r.Msg.GetTicket(), err))
	}
	ctx, cancel := withTimeout(ctx, checked.Service)
	defer cancel()
	payload, err := s.dispatchCall(ctx, identifier.Ticket(r.Msg.GetTicket()), checked)
	if err != nil {
		return nil, converter.ToConnect(err)
	}
	return connect.NewResponse(&callerwire.CallResponse{RequestId: string(checked.ID), Payload: payload}), nil
}

// allowForEarlierRun changes the verdict of a call with a ticket to at least
// may-have-run, since another copy of the call may run at the ticket's issuer
// even if this host refuses this one.
func allowForEarlierRun(ticket string, err error) error {
	if ticket == "" {
		return err
	}
	f := *classifier.Of(err)
	f.Verdict = classifier.Worst(f.Verdict, classifier.VerdictMayHaveRun)
	return &f
}

func (s *Callers) dispatchCall(ctx context.Context, t identifier.Ticket, r dispatcher.CallRequest) ([]byte, error) {
	if r.Service.Repeatable {
		return s.deps.Dispatch.Call(ctx, r)
	}
	if t == "" {
		return nil, s.ticketRequired(r)
	}
	payload, receipt, err := s.deps.Tickets.Call(ctx, t, r)
	if err == nil && ctx.Err() != nil {
		receipt(false)
		return nil, classifier.Ran(classifier.ReasonDeadline, "the call ran, but its deadline passed or its caller disconnected; its response is kept for a resend")
	}
	setDeliveryCallback(ctx, receipt)
	return payload, err
}

// ticketRequired returns the error for a call without the required ticket. The
// error carries a new ticket.
func (s *Callers) ticketRequired(r dispatcher.CallRequest) error {
	t, _, err := s.deps.Tickets.Issue(r.Service, r.Customer)
	if err != nil {
		return err
	}
	e := classifier.NotRun(classifier.ReasonTicketRequired, 0, "service %q requires a ticket; call again with the ticket in this error", r.Service.Name)
	e.Ticket = t
	return e
}

// IssueTicket implements callerwireconnect.CallerServiceHandler.
func (s *Callers) IssueTicket(ctx context.Context, r *connect.Request[callerwire.IssueTicketRequest]) (*connect.Response[callerwire.IssueTicketResponse], error) {
	markRequestRead(ctx)
	service, customer, err := s.lookUp(r.Msg.GetService(), r.Msg.GetCustomer(), compiler.KindPlain)
	if err != nil {
		return nil, converter.ToConnect(err)
	}
	if service.Repeatable {
		return nil, converter.ToConnect(classifier.NotRun(classifier.ReasonBadRequest, 0, "service %q is repeatable and accepts no tickets", service.Name))
	}
	t, valid, err := s.deps.Tickets.Issue(service, customer)
	if err != nil {
		return nil, converter.ToConnect(err)
	}
	return connect.NewResponse(&callerwire.IssueTicketResponse{Ticket: string(t), ValidForMs: uint32(valid.Milliseconds())}), nil
}

// withTimeout applies the service's timeout to a request without a deadline.
func withTimeout(ctx context.Context, s *compiler.Service) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok || s.Timeout == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, s.Timeout)
}
