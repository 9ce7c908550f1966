package dispatcher

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/quarantiner"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// CallRequest is a validated call to a plain service.
type CallRequest struct {
	ID identifier.Request
	// Resendable is true if the caller chose the ID, under which it may resend the
	// call.
	Resendable bool
	Service    *compiler.Service
	Customer   *compiler.Customer
	Payload    []byte
	// Key is sent to the service with the call: the ticket of a non-repeatable
	// call, the request ID of a repeatable one.
	Key string
}

// callCost is the number of tokens that a plain call takes from its customer's
// token limit.
const callCost identifier.Tokens = 1

// Call makes a call to a plain service. A repeatable call may be attempted at
// several instances. A non-repeatable call is retried only if the previous attempt
// is proven not to have run.
func (d *Dispatcher) Call(ctx context.Context, r CallRequest) ([]byte, error) {
	d.running.Add(1)
	defer d.running.Add(-1)
	started := time.Now()
	payload, err := d.admitCall(ctx, r)
	d.deps.Observer.Observe(Observation{Service: r.Service, Duration: time.Since(started), Err: err})
	return payload, err
}

func (d *Dispatcher) admitCall(ctx context.Context, r CallRequest) ([]byte, error) {
	if err := d.admit(r.Customer, callCost); err != nil {
		return nil, err
	}
	c := &call{
		dispatcher: d,
		request:    r,
		retries:    d.budgets.newRetryState(r.Service),
		traits:     requestTraits("call", r.Service, r.Customer, r.Payload),
	}
	var payload []byte
	err := d.serveAsHome(ctx, r.ID, r.Resendable && r.Service.Repeatable, func(ctx context.Context, wait waitFunc) error {
		var err error
		if payload, err = c.run(ctx); err != nil {
			return err
		}
		if wait(ctx) != nil {
			return contextError(ctx, classifier.VerdictRan)
		}
		return nil
	})
	return payload, err
}

// call is a call to a plain service in progress.
type call struct {
	dispatcher *Dispatcher
	request    CallRequest
	retries    retryState
	// traits are those of the request as a whole.
	traits   []identifier.Trait
	excluded []identifier.Endpoint
}

func (c *call) run(ctx context.Context) ([]byte, error) {
	for {
		c.retries.attempts++
		payload, err := c.attempt(ctx)
		if err == nil {
			c.retries.recordSuccess()
			return payload, nil
		}
		if err := c.retries.handleFailure(ctx, err, c.request.Service.Repeatable); err != nil {
			return nil, err
		}
	}
}

func (c *call) attempt(ctx context.Context) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx, classifier.VerdictNotRun)
	}
	d := c.dispatcher
	if err := d.deps.Isolator.Check(c.traits); err != nil {
		return nil, err
	}
	e, release := d.plainPicker.pick(c.request.Service, d.deps.Leaving, c.excluded)
	if e == nil {
		return nil, classifier.NotRun(classifier.ReasonNoEndpoint, classifier.Jitter(noEndpointRetryAfter), "service %q has no endpoint that accepts calls", c.request.Service.Name)
	}
	defer release()
	isolation, err := d.enter(ctx, c.request.Service, e, quarantiner.PhaseDecode, c.request.ID, c.traits)
	if err != nil {
		return nil, err
	}
	response, err := d.deps.Endpoints.Plain(e.Address).Invoke(ctx, connect.NewRequest(&enginewire.InvokeRequest{
		Attempt: wireAttempt(d.newAttempt()),
		Service: string(c.request.Service.Name),
		Payload: c.request.Payload,
		Key:     c.request.Key,
	}))
	if err != nil {
		c.excluded = append(c.excluded, e.Name)
		failure := converter.FromEndpoint(err)
		failure.Message = "endpoint " + string(e.Name) + ": " + failure.Message
		isolation.Settle(ctx, failure)
		return nil, failure
	}
	isolation.Completed()
	return response.Msg.GetPayload(), nil
}
