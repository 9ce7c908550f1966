package forwarder

import (
	"context"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/quarantiner"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// maxEnginesLost is the number of endpoints that may end under a request before they begin to
// answer it. It isn't sent to another one then.
const maxEnginesLost = 2

// enter checks, right before a call to an endpoint, whether the request may end it.
func (e *exchange) enter(ctx context.Context, at *registrar.Endpoint, p quarantiner.Phase) (*isolator.Call, error) {
	return e.forwarder.deps.Isolator.Enter(ctx, EngineOf(at), p, e.call.ID, e.call.Traits)
}

// quarantined reports whether an error is a refusal of checkQuarantine, or of a call whose
// traits are on trial.
func quarantined(err error) bool {
	return err != nil && classifier.Of(err).Reason == classifier.ReasonQuarantined
}

func (e *exchange) countLost(lost bool) {
	if lost {
		e.enginesLost++
	}
}

// EngineOf returns the incarnation of an endpoint that is registered.
func EngineOf(e *registrar.Endpoint) isolator.Engine {
	return isolator.Engine{Service: e.Service, Name: e.Name, Address: e.Address, StartID: e.StartID}
}
