package forwarder

import (
	"context"
	"time"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
)

// Quotas are the customers' limits, which hold for all hosts together.
type Quotas interface {
	// Charge charges a request to its customer's quota. If the quota allows none, ok is false,
	// and a request like this conforms after retryAfter. It waits for a short time at most.
	Charge(ctx context.Context, c *authenticator.Customer, cost float64) (retryAfter time.Duration, ok bool)
	// Refund gives back what was charged for a request that did not run.
	Refund(c *authenticator.Customer, cost float64)
}

// chargeQuota charges the request to its customer's quota, or refuses it.
func (e *exchange) chargeQuota(ctx context.Context) error {
	q, c := e.forwarder.deps.Quotas, e.call.Customer
	if q == nil || c == nil || !c.Quota.Limited() {
		return nil
	}
	cost := c.Quota.Cost(e.call.Prompt, e.call.MaxOutput)
	retryAfter, ok := q.Charge(ctx, c, cost)
	switch {
	case !ok && ctx.Err() != nil:
		return classifier.NotRun(classifier.ReasonCanceled, 0, "canceled while charging the quota: %w", context.Cause(ctx))
	case !ok:
		return classifier.NotRun(classifier.ReasonLimit, retryAfter, "customer %q is over its limit of %g %s a second, the request takes %g",
			c.Name, c.Quota.Rate, c.Quota.Unit, cost)
	}
	e.charged = cost
	return nil
}

// refundQuota gives back what was charged for the request, which did not run.
func (e *exchange) refundQuota() {
	if e.charged == 0 {
		return
	}
	e.forwarder.deps.Quotas.Refund(e.call.Customer, e.charged)
	e.charged = 0
}
