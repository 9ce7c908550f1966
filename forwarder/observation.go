package forwarder

import (
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// Observation is what one request was like.
type Observation struct {
	ID      identifier.Request
	Route   *registrar.Route // nil: none was found
	Service identifier.Service
	// Version of the declarations that the request was served by.
	Version identifier.Revision
	Started time.Time
	// Attempted are the endpoints that the request was sent to, in order.
	Attempted []identifier.Endpoint
	// Answered is the endpoint whose answer the caller got.
	Answered identifier.Endpoint
	Status   int
	Hedged   bool
	Resumed  int
	// Placing, Prefill and FirstEvent are the times from the start until room
	// was found, the prompt was read, and the first event was passed on.
	Placing, Prefill, FirstEvent time.Duration
	LongestGap                   time.Duration
	Duration                     time.Duration
	// Err is nil for an endpoint's whole answer.
	Err error
}

func (o *Observation) at(e *registrar.Endpoint) {
	o.Attempted = append(o.Attempted, e.Name)
}

// note logs a decision on the request.
func (e *exchange) note(event string, at *registrar.Endpoint, err error, more ...zap.Field) {
	fields := []zap.Field{
		zap.String("request", string(e.observation.ID)),
		zap.Duration("age", time.Since(e.observation.Started)),
		zap.Duration("left", time.Until(e.call.Deadline)),
		zap.Int("sent", e.sent),
	}
	if at != nil {
		fields = append(fields, zap.String("endpoint", string(at.Name)))
	}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	e.forwarder.deps.Log.Info(event, append(fields, more...)...)
}
