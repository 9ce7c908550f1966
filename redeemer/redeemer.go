// Package redeemer serves calls that must run at most once. It connects the
// ticketer to the clock, the dispatcher and the other entry hosts: it forwards a
// call to the entry host that issued the call's ticket, and that host dispatches
// the call if the ticket allows it.
//
// # Usage
//
//	r := redeemer.New(redeemer.Deps{...})
//	r.Register(messenger)
//	ticket, validity, err := r.Issue(service, customer)
//	payload, receipt, err := r.Call(ctx, ticket, call)
//	defer receipt(delivered)
//
// If a ticket's issuer can't be reached, the verdict is may-have-run, because the
// issuer may have dispatched an earlier call with the ticket.
package redeemer

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/dispatcher"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/ticketer"
	"github.com/jackdawthread/jackdawthread/timer"
)

const (
	expirePeriod   = time.Second
	receiptTimeout = 2 * time.Second
	// findIssuerTimeout is the maximum wait for an unknown issuer to appear in
	// the membership view.
	findIssuerTimeout  = 3 * time.Second
	findIssuerInterval = 20 * time.Millisecond
	// receiptAttempts is how often a receipt is sent at most until the issuer
	// confirms it.
	receiptAttempts = 5
	// unreachableRetryAfter is about the time in which the membership protocol
	// detects a network partition.
	unreachableRetryAfter = 3 * time.Second
)

// Links sends messages to other entry hosts.
type Links interface {
	Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error
	Send(ctx context.Context, to identifier.Address, kind peerwire.Kind, message msgp.Marshaler) error
}

// Registry registers handlers for messages from other entry hosts.
type Registry interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Dispatch runs calls at endpoints.
type Dispatch interface {
	Call(ctx context.Context, r dispatcher.CallRequest) ([]byte, error)
}

// Deps are the dependencies of a Redeemer.
type Deps struct {
	Self     identifier.Incarnation
	Tickets  *ticketer.Ticketer
	Fleet    func() *compiler.Fleet
	View     func() *gossiper.View
	Links    Links
	Dispatch Dispatch
	Timer    *timer.Service
	Group    *grouper.Group
	Log      *zap.Logger
}

// Redeemer serves calls with tickets. It is safe for concurrent use.
type Redeemer struct {
	deps  Deps
	calls identifier.Sequence
}

// Receipt records whether the response reached the caller.
type Receipt func(delivered bool)

// New returns a Redeemer and starts the periodic expiry of its tickets.
func New(d Deps) *Redeemer {
	d.Timer.Every(expirePeriod, d.Tickets.Expire)
	return &Redeemer{deps: d}
}

// Register registers the handlers for messages from other entry hosts.
func (r *Redeemer) Register(g Registry) {
	g.Handle(peerwire.KindTicketCall, r.handleCall)
	g.Handle(peerwire.KindTicketReceipt, r.handleReceipt)
}

// Issue returns a ticket for one call and the time until it expires.
func (r *Redeemer) Issue(s *compiler.Service, c *compiler.Customer) (identifier.Ticket, time.Duration, error) {
	return r.deps.Tickets.Issue(s.Name, c.Name, time.Now())
}

// Call serves a call with a ticket, on this host or at the host that issued the
// ticket. The caller must call the receipt once, even after an error.
func (r *Redeemer) Call(ctx context.Context, t identifier.Ticket, c dispatcher.CallRequest) ([]byte, Receipt, error) {
	issuer, err := ticketer.Issuer(t)
	if err != nil {
		return nil, noReceipt, classifier.NotRun(classifier.ReasonBadRequest, 0, "ticket is malformed: %w", err)
	}
	holder := ticketer.Holder{Host: r.deps.Self, Call: r.calls.Next()}
	if issuer == r.deps.Self {
		payload, err := r.redeem(ctx, t, c, holder)
		return payload, r.localReceipt(t, holder), err
	}
	m, ok := r.findIssuer(ctx, issuer)
	if !ok {
		return nil, noReceipt, unknownIssuerError(issuer)
	}
	payload, err := r.forward(ctx, m, t, c, holder)
	receipt := r.remoteReceipt(m, t, holder)
	if err != nil {
		receipt(false) // a response that still arrives is discarded
		receipt = noReceipt
	}
	return payload, receipt, err
}

// findIssuer returns the member that issued a ticket. A host that has just
// started doesn't know all members yet, so findIssuer waits for up to
// findIssuerTimeout.
func (r *Redeemer) findIssuer(ctx context.Context, issuer identifier.Incarnation) (gossiper.Member, bool) {
	ctx, cancel := context.WithTimeout(ctx, findIssuerTimeout)
	defer cancel()
	for {
		if m, ok := r.deps.View().ByIncarnation(issuer); ok {
			return m, true
		}
		select {
		case <-ctx.Done():
			return gossiper.Member{}, false
		case <-time.After(findIssuerInterval):
		}
	}
}

func noReceipt(bool) {}

func unknownIssuerError(i identifier.Incarnation) error {
	return classifier.MayHaveRun(classifier.ReasonHostUnreachable, classifier.Jitter(unreachableRetryAfter), "the host that issued the ticket, incarnation %s, is unknown to this host", i)
}

// redeem redeems a ticket that this host issued and dispatches the call if the
// ticket allows it.
func (r *Redeemer) redeem(ctx context.Context, t identifier.Ticket, c dispatcher.CallRequest, holder ticketer.Holder) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, classifier.MayHaveRun(classifier.ReasonCanceled, 0, "the call was canceled before its ticket was redeemed: %w", context.Cause(ctx))
	}
	redemption := r.deps.Tickets.Redeem(t, c.Service.Name, c.Customer.Name, holder, time.Now())
	if redemption.State != ticketer.StateDispatch {
		if f := redemption.Failure(); f != nil {
			return nil, f
		}
		return redemption.Payload(), nil
	}
	c.Key = string(t)
	ctx, cancel := detachContext(ctx, c.Service.Timeout)
	defer cancel()
	payload, err := r.deps.Dispatch.Call(ctx, c)
	r.deps.Tickets.Complete(t, newOutcome(payload, err), time.Now())
	return payload, err
}

// detachContext returns a context for a dispatched call that is independent of
// its caller's cancellation and deadline, so that the outcome can be kept for a
// resend. If the caller set a deadline, the context has the service's timeout or
// the time left, whichever is longer.
func detachContext(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	detached := context.WithoutCancel(ctx)
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(detached)
	}
	return context.WithTimeout(detached, max(timeout, time.Until(deadline)))
}

func newOutcome(payload []byte, err error) ticketer.Outcome {
	if err != nil {
		return ticketer.Outcome{Failure: classifier.Of(err)}
	}
	return ticketer.Outcome{Payload: payload}
}

// localReceipt returns the receipt of a ticket that this host issued.
func (r *Redeemer) localReceipt(t identifier.Ticket, holder ticketer.Holder) Receipt {
	return func(delivered bool) {
		if delivered {
			r.deps.Tickets.MarkDelivered(t, holder, time.Now())
		} else {
			r.deps.Tickets.MarkUndelivered(t, holder, time.Now())
		}
	}
}
