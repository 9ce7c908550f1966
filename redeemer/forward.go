package redeemer

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/dispatcher"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/ticketer"
)

// forward sends the call to the host that issued its ticket. If that fails, the
// verdict is at least may-have-run, because an earlier call with the ticket may
// have run there.
func (r *Redeemer) forward(ctx context.Context, to gossiper.Member, t identifier.Ticket, c dispatcher.CallRequest, holder ticketer.Holder) ([]byte, error) {
	message := peerwire.TicketCall{
		Incarnation: uint64(to.Incarnation),
		Ticket:      string(t),
		Request:     string(c.ID),
		Service:     string(c.Service.Name),
		Customer:    string(c.Customer.Name),
		Payload:     c.Payload,
		TimeLeftMs:  timeLeft(ctx),
		Host:        uint64(holder.Host),
		Call:        holder.Call,
	}
	var reply peerwire.TicketReply
	if err := r.deps.Links.Call(ctx, to.Address, peerwire.KindTicketCall, &message, &reply); err != nil {
		f := *classifier.Of(err)
		f.Verdict = classifier.Worst(f.Verdict, classifier.VerdictMayHaveRun)
		return nil, &f
	}
	return decodeReply(&reply)
}

// timeLeft returns the milliseconds until the deadline, or 0 without a deadline.
func timeLeft(ctx context.Context) uint32 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint32(max(time.Until(deadline).Milliseconds(), 0))
}

// remoteReceipt returns the receipt of a ticket that another host issued. It
// sends the receipt to that host in the background.
func (r *Redeemer) remoteReceipt(to gossiper.Member, t identifier.Ticket, holder ticketer.Holder) Receipt {
	return func(delivered bool) {
		message := peerwire.TicketReceipt{
			Incarnation: uint64(to.Incarnation),
			Ticket:      string(t),
			Host:        uint64(holder.Host),
			Call:        holder.Call,
			Delivered:   delivered,
		}
		r.deps.Group.Run(func(ctx context.Context) { r.sendReceipt(ctx, to, &message) })
	}
}

// sendReceipt sends a receipt until it is confirmed, at most receiptAttempts
// times. If it is never confirmed, the payload stays reserved for this call at
// the issuer.
func (r *Redeemer) sendReceipt(ctx context.Context, to gossiper.Member, m *peerwire.TicketReceipt) {
	for range receiptAttempts {
		started := time.Now()
		err := r.callReceipt(ctx, to, m)
		if err == nil {
			return
		}
		r.deps.Log.Debug("receipt-send-failed", zap.String("host", string(to.Host)), zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(receiptTimeout - time.Since(started)):
		}
	}
}

func (r *Redeemer) callReceipt(ctx context.Context, to gossiper.Member, m *peerwire.TicketReceipt) error {
	ctx, cancel := context.WithTimeout(ctx, receiptTimeout)
	defer cancel()
	return r.deps.Links.Call(ctx, to.Address, peerwire.KindTicketReceipt, m, nil)
}

func (r *Redeemer) handleCall(ctx context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.TicketCall
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.MayHaveRun(classifier.ReasonBadRequest, 0, "forwarded call is malformed: %w", err)
	}
	if m.Incarnation != uint64(r.deps.Self) {
		return nil, unknownIssuerError(identifier.Incarnation(m.Incarnation))
	}
	if m.Host == 0 {
		return nil, classifier.MayHaveRun(classifier.ReasonBadRequest, 0, "forwarded call has no host to respond to")
	}
	t := identifier.Ticket(m.Ticket)
	c, err := r.callRequest(&m)
	if err != nil {
		return encodeFailure(r.voidTicket(t, &m, classifier.Of(err))), nil
	}
	holder := ticketer.Holder{Host: identifier.Incarnation(m.Host), Call: m.Call}
	body, err := r.redeem(ctx, t, c, holder)
	if err != nil {
		return encodeFailure(classifier.Of(err)), nil
	}
	if ctx.Err() != nil {
		r.deps.Tickets.MarkUndelivered(t, holder, time.Now())
		return encodeFailure(classifier.Ran(classifier.ReasonDeadline, "the call ran; its response is kept for a resend")), nil
	}
	return &peerwire.TicketReply{Payload: body}, nil
}

// voidTicket voids the ticket, so that the refusal f remains correct for all calls
// with the ticket, and returns the failure of this call.
func (r *Redeemer) voidTicket(t identifier.Ticket, m *peerwire.TicketCall, f *classifier.Error) *classifier.Error {
	redemption := r.deps.Tickets.Void(t, identifier.Service(m.Service), identifier.Customer(m.Customer), f, time.Now())
	return redemption.Failure()
}

// callRequest looks up the service and the customer of a forwarded call in this
// host's declarations.
func (r *Redeemer) callRequest(m *peerwire.TicketCall) (dispatcher.CallRequest, error) {
	f := r.deps.Fleet()
	if f == nil {
		return dispatcher.CallRequest{}, classifier.NotRun(classifier.ReasonNotReady, classifier.Jitter(unreachableRetryAfter), "no declarations are loaded yet")
	}
	s := f.Services[identifier.Service(m.Service)]
	if s == nil || s.Kind != compiler.KindPlain {
		return dispatcher.CallRequest{}, classifier.NotRun(classifier.ReasonUnknownService, 0, "plain service %q is not declared", m.Service)
	}
	c := f.Customer(identifier.Customer(m.Customer))
	if c == nil {
		return dispatcher.CallRequest{}, classifier.NotRun(classifier.ReasonUnknownCustomer, 0, "customer %q is not declared", m.Customer)
	}
	return dispatcher.CallRequest{ID: identifier.Request(m.Request), Service: s, Customer: c, Payload: m.Payload}, nil
}

func (r *Redeemer) handleReceipt(_ context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.TicketReceipt
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "receipt is malformed: %w", err)
	}
	if m.Incarnation == uint64(r.deps.Self) {
		holder := ticketer.Holder{Host: identifier.Incarnation(m.Host), Call: m.Call}
		r.localReceipt(identifier.Ticket(m.Ticket), holder)(m.Delivered)
	}
	return nil, nil
}

func encodeFailure(f *classifier.Error) *peerwire.TicketReply {
	return &peerwire.TicketReply{
		Verdict:      uint8(f.Verdict),
		Reason:       string(f.Reason),
		Message:      f.Message,
		RetryAfterMs: uint32(f.RetryAfter.Milliseconds()),
		Ticket:       string(f.Ticket),
	}
}

func decodeReply(m *peerwire.TicketReply) ([]byte, error) {
	if m.Verdict == uint8(classifier.VerdictUnknown) {
		return m.Payload, nil
	}
	return nil, &classifier.Error{
		Verdict:    classifier.Verdict(m.Verdict),
		Reason:     classifier.Reason(m.Reason),
		Message:    m.Message,
		RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
		Ticket:     identifier.Ticket(m.Ticket),
	}
}
