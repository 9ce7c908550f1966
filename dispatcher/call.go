package dispatcher

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// CallRequest is a checked call to a plain service.
type CallRequest struct {
	ID identifier.Request
	// Resendable calls have an id of the caller's, under which it may send
	// them again.
	Resendable bool
	Service    *compiler.Service
	Customer   *compiler.Customer
	Payload    []byte
	// Key goes to the service with the call: the ticket of a non-repeatable
	// call, the request's id of any other.
	Key string
}

// callCost is what a plain call takes from its customer's token limit.
const callCost identifier.Tokens = 1

// Call makes a call to a plain service. A repeatable call may be tried at
// several instances; any other is tried again only where it is proved that
// the try before did not run.
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
	c := &call{dispatcher: d, request: r, tally: d.budgets.tally(r.Service)}
	var payload []byte
	err := d.hold(ctx, r.ID, r.Resendable && r.Service.Repeatable, func(ctx context.Context, ready waiter) error {
		var err error
		if payload, err = c.run(ctx); err != nil {
			return err
		}
		if ready(ctx) != nil {
			return contextError(ctx, classifier.VerdictRan)
		}
		return nil
	})
	return payload, err
}

// call is one call to a plain service on its way.
type call struct {
	dispatcher *Dispatcher
	request    CallRequest
	tally      tally
	exclude    []identifier.Endpoint
}

func (c *call) run(ctx context.Context) ([]byte, error) {
	for {
		c.tally.attempts++
		payload, err := c.attempt(ctx)
		if err == nil {
			c.tally.succeeded()
			return payload, nil
		}
		if err := c.tally.failed(ctx, err, c.request.Service.Repeatable); err != nil {
			return nil, err
		}
	}
}

func (c *call) attempt(ctx context.Context) ([]byte, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx, classifier.VerdictNotRun)
	}
	d := c.dispatcher
	e, ended := d.plains.pick(c.request.Service, d.deps.Leaving, c.exclude)
	if e == nil {
		return nil, classifier.NotRun(classifier.ReasonNoEndpoint, classifier.Spread(noEndpointRetryAfter), "service %q has no endpoint that takes calls", c.request.Service.Name)
	}
	defer ended()
	response, err := d.deps.Endpoints.Plain(e.Address).Invoke(ctx, connect.NewRequest(&enginewire.InvokeRequest{
		Attempt: wireAttempt(d.newAttempt()),
		Service: string(c.request.Service.Name),
		Payload: c.request.Payload,
		Key:     c.request.Key,
	}))
	if err != nil {
		c.exclude = append(c.exclude, e.Name)
		failure := converter.FromEndpoint(err)
		failure.Message = "endpoint " + string(e.Name) + ": " + failure.Message
		return nil, failure
	}
	return response.Msg.GetPayload(), nil
}
