// Package redeemer serves calls that must run at most once. It is the shell
// around the ticketer: it forwards a call to the entry host that issued the
// call's ticket, and there dispatches it if the ticket allows that.
//
// # Usage
//
//	r := redeemer.New(redeemer.Deps{...})
//	r.Register(messenger)
//	ticket, validity, err := r.Issue(service, customer)
//	payload, receipt, err := r.Call(ctx, ticket, call)
//	defer receipt(delivered)
//
// A ticket whose issuer can't be reached gives the verdict may-have-run: an
// earlier call with it may have been dispatched there.
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
	// findTimeout bounds the wait for news of an issuer that isn't known.
	findTimeout = 3 * time.Second
	findPeriod  = 20 * time.Millisecond
	// receiptAttempts bounds how often a receipt is sent that isn't confirmed.
	receiptAttempts = 5
	// unreachableRetryAfter is about the time in which a cut is noticed.
	unreachableRetryAfter = 3 * time.Second
)

// Links carries messages between entry hosts.
type Links interface {
	Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error
	Send(ctx context.Context, to identifier.Address, kind peerwire.Kind, message msgp.Marshaler) error
}

// Registry takes the handlers of messages from other entry hosts.
type Registry interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Dispatch runs a call at an endpoint.
type Dispatch interface {
	Call(ctx context.Context, r dispatcher.CallRequest) ([]byte, error)
}

// Deps is what a Redeemer works with.
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

// Redeemer serves calls with tickets. It is safe for use by several goroutines.
type Redeemer struct {
	deps  Deps
	calls identifier.Sequence
}

// Receipt says whether the answer reached the caller.
type Receipt func(delivered bool)

// New gives a Redeemer and starts the expiry of its tickets.
func New(d Deps) *Redeemer {
	d.Timer.Every(expirePeriod, d.Tickets.Expire)
	return &Redeemer{deps: d}
}

// Register sets the handlers of messages from other entry hosts.
func (r *Redeemer) Register(g Registry) {
	g.Handle(peerwire.KindTicketCall, r.handleCall)
	g.Handle(peerwire.KindTicketReceipt, r.handleReceipt)
}

// Issue gives a ticket for one call and the time until it is void.
func (r *Redeemer) Issue(s *compiler.Service, c *compiler.Customer) (identifier.Ticket, time.Duration, error) {
	return r.deps.Tickets.Issue(s.Name, c.Name, time.Now())
}

// Call serves a call with a ticket, here or at the host that issued it. The
// receipt is to be called once, also after an error.
func (r *Redeemer) Call(ctx context.Context, t identifier.Ticket, c dispatcher.CallRequest) ([]byte, Receipt, error) {
	issuer, err := ticketer.Issuer(t)
	if err != nil {
		return nil, noReceipt, classifier.NotRun(classifier.ReasonBadRequest, 0, "ticket can't be read: %w", err)
	}
	holder := ticketer.Holder{Host: r.deps.Self, Call: r.calls.Next()}
	if issuer == r.deps.Self {
		payload, err := r.redeem(ctx, t, c, holder)
		return payload, r.localReceipt(t, holder), err
	}
	m, ok := r.find(ctx, issuer)
	if !ok {
		return nil, noReceipt, issuerGone(issuer)
	}
	payload, err := r.forward(ctx, m, t, c, holder)
	receipt := r.remoteReceipt(m, t, holder)
	if err != nil {
		receipt(false) // an answer that comes yet is dropped here
		receipt = noReceipt
	}
	return payload, receipt, err
}

// find looks for a ticket's issuer. A host that has just started doesn't know
// all others yet, so it waits a little.
func (r *Redeemer) find(ctx context.Context, issuer identifier.Incarnation) (gossiper.Member, bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	for {
		if m, ok := r.deps.View().ByIncarnation(issuer); ok {
			return m, true
		}
		select {
		case <-ctx.Done():
			return gossiper.Member{}, false
		case <-time.After(findPeriod):
		}
	}
}

func noReceipt(bool) {}

func issuerGone(i identifier.Incarnation) error {
	return classifier.MayHaveRun(classifier.ReasonHostUnreachable, classifier.Spread(unreachableRetryAfter), "the host that issued the ticket, incarnation %s, is not known here", i)
}

// redeem dispatches the call if its ticket, which this host issued, allows it.
func (r *Redeemer) redeem(ctx context.Context, t identifier.Ticket, c dispatcher.CallRequest, holder ticketer.Holder) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, classifier.MayHaveRun(classifier.ReasonCanceled, 0, "the caller left before its ticket was redeemed: %w", context.Cause(ctx))
	}
	redemption := r.deps.Tickets.Redeem(t, c.Service.Name, c.Customer.Name, holder, time.Now())
	if redemption.State != ticketer.StateDispatch {
		if f := redemption.Failure(); f != nil {
			return nil, f
		}
		return redemption.Payload(), nil
	}
	c.Key = string(t)
	ctx, cancel := detached(ctx, c.Service.Timeout)
	defer cancel()
	payload, err := r.deps.Dispatch.Call(ctx, c)
	r.deps.Tickets.Complete(t, outcome(payload, err), time.Now())
	return payload, err
}

// detached frees a call that was dispatched from its caller's cancellation and
// deadline, so that its outcome can be kept for a resend. It gets the service's
// timeout where that is longer than the time left.
func detached(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	free := context.WithoutCancel(ctx)
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(free)
	}
	return context.WithTimeout(free, max(timeout, time.Until(deadline)))
}

func outcome(payload []byte, err error) ticketer.Outcome {
	if err != nil {
		return ticketer.Outcome{Failure: classifier.Of(err)}
	}
	return ticketer.Outcome{Payload: payload}
}

// localReceipt notes what became of an answer of this host's ticket.
func (r *Redeemer) localReceipt(t identifier.Ticket, holder ticketer.Holder) Receipt {
	return func(delivered bool) {
		if delivered {
			r.deps.Tickets.Delivered(t, holder, time.Now())
		} else {
			r.deps.Tickets.Undelivered(t, holder, time.Now())
		}
	}
}
