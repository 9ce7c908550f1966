package forwarder

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
)

const (
	// permitWaitShare is the share of the objective for which a request waits for a permit, and
	// defaultPermitWait its wait without an objective.
	permitWaitShare   = 0.3
	defaultPermitWait = 100 * time.Millisecond
	// Requests of lower priorities wait for patientWaitShare of that time only, so that those of
	// the highest come first; but a share of them, patientFullShare, wait as long, so that
	// they are served too.
	patientWaitShare = 0.25
	patientFullShare = 0.3
)

// target is where a plain call is sent.
type target struct {
	*registrar.Endpoint
	// slot is zero if the call needs none.
	slot reserver.Slot
}

// plainChoice chooses the endpoint of a plain call, with a permit if it has named a limit.
type plainChoice func(ctx context.Context) (target, *classifier.Error)

// choosePlain implements plainChoice for calls other than hedges. It refuses a first call that
// has waited until a planned stop may interrupt it.
func (e *exchange) choosePlain(ctx context.Context) (target, *classifier.Error) {
	if e.mayHaveRun {
		return e.awaitEndpoint(ctx)
	}
	waiting, done := e.untilRefused(ctx)
	defer done()
	to, err := e.awaitEndpoint(waiting)
	refusal := e.checkStop(time.Now())
	if refusal == nil {
		return to, err
	}
	if err == nil {
		e.giveBack(to)
	}
	return target{}, refusal
}

// giveBack returns what an endpoint was chosen with if it gets no call.
func (e *exchange) giveBack(to target) {
	e.forwarder.deps.Limits.Drop(to.Endpoint, e.call.ID)
	e.forwarder.endSlot(to.slot, reserver.SlotOutcome{Outcome: unusedOutcome})
}

// awaitEndpoint chooses an endpoint. Where slots are shared, it waits for one.
func (e *exchange) awaitEndpoint(ctx context.Context) (target, *classifier.Error) {
	if e.sharesSlots() {
		if t, err, ok := e.chooseShared(ctx, e.usableEndpoints(), false); ok {
			return t, err
		}
	}
	at, err := e.chooseAlone(ctx)
	return target{Endpoint: at}, err
}

// chooseAlone chooses an endpoint by what this host knows of their load. One that has named
// a limit is chosen like any other, but only with a permit. If no endpoint is left, the
// request waits for a permit.
func (e *exchange) chooseAlone(ctx context.Context) (*registrar.Endpoint, *classifier.Error) {
	limits := e.forwarder.deps.Limits
	all := e.usableEndpoints()
	if at := limits.Choose(ctx, all, e.exclude, e.call.ID, e.cheapest); at != nil {
		return at, nil
	}
	if at := e.cheapest(limits.Unlimited(all), e.exclude); at != nil {
		return at, nil
	}
	return e.awaitPermit(ctx, all)
}

// cheapest implements rationer.Choice by the placer's costs.
func (e *exchange) cheapest(among []*registrar.Endpoint, exclude []identifier.Endpoint) *registrar.Endpoint {
	return e.forwarder.deps.Placer.ChoosePlain(among, exclude, time.Now())
}

// awaitPermit chooses an endpoint for which a permit may soon be had.
func (e *exchange) awaitPermit(ctx context.Context, all []*registrar.Endpoint) (*registrar.Endpoint, *classifier.Error) {
	limits := e.forwarder.deps.Limits
	wait := e.permitWait()
	at := e.cheapest(limits.Within(all, wait), e.exclude)
	if at != nil && limits.Acquire(ctx, at, e.call.ID, wait) == nil {
		return at, nil
	}
	return nil, e.noEndpoint(all)
}

// chooseHedge implements plainChoice for hedges, for which the limits of endpoints leave no
// room. Where slots are shared, one must be free if that is known.
func (e *exchange) chooseHedge(ctx context.Context) (target, *classifier.Error) {
	all := e.usableEndpoints()
	unlimited := e.forwarder.deps.Limits.Unlimited(all)
	if e.sharesSlots() {
		if t, err, ok := e.chooseShared(ctx, unlimited, true); ok {
			return t, err
		}
	}
	at := e.cheapest(unlimited, e.exclude)
	if at == nil {
		return target{}, e.noEndpoint(all)
	}
	return target{Endpoint: at}, nil
}

// noEndpoint returns the refusal of a request for which no endpoint is left.
func (e *exchange) noEndpoint(all []*registrar.Endpoint) *classifier.Error {
	f := e.forwarder
	if len(all) > 0 && len(f.deps.Limits.Unlimited(all)) == 0 {
		return classifier.NotRun(classifier.ReasonNoEndpoint, f.deps.Limits.RetryAfter(e.service.Name, all, noEndpointRetryAfter),
			"all endpoints of service %q get as many requests as they take", e.service.Name)
	}
	return classifier.NotRun(classifier.ReasonNoEndpoint, f.retryAfter(e.service.Name, noEndpointRetryAfter), "service %q has no further endpoint for the request", e.service.Name)
}

// permitWait returns how long the request waits for a permit.
func (e *exchange) permitWait() time.Duration {
	wait := time.Duration(permitWaitShare * float64(e.route.Objective))
	if wait <= 0 {
		wait = defaultPermitWait
	}
	if e.route.Priority > 0 && rand.Float64() >= patientFullShare {
		wait = time.Duration(patientWaitShare * float64(wait))
	}
	return min(wait, e.call.TimeLeft(time.Now()))
}
