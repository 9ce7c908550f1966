package forwarder

import (
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/fingerprinter"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// Observation is the record of a request, for logs and metrics.
type Observation struct {
	ID      identifier.Request
	Route   *registrar.Route // nil if no route matched
	Service identifier.Service
	// Customer is whose key the request carried; empty if it needed none.
	Customer identifier.Customer
	// Fingerprints relate repeats of a request to each other; empty if it was rejected
	// before its body was read.
	Fingerprints fingerprinter.Fingerprints
	// Version of the declarations that were in force for the request.
	Version identifier.Revision
	Started time.Time
	// Attempted lists the endpoints that the request was sent to, in order.
	Attempted []identifier.Endpoint
	// RespondedBy is the endpoint whose response was returned to the caller.
	RespondedBy identifier.Endpoint
	Status      int
	Hedged      bool
	Moves       Moves
	// PlacementTime, Prefill and FirstEvent are the time from the start until
	// capacity was reserved, the duration of the prefill, and the time from the
	// start until the first event was forwarded.
	PlacementTime, Prefill, FirstEvent time.Duration
	LongestGap                         time.Duration
	Duration                           time.Duration
	// Stream is what the last engine of a stream has sent.
	Stream StreamObservation
	// BrokenOff has the framing of each engine's response that was broken off.
	BrokenOff []string
	// Err is nil if an endpoint's complete response was returned.
	Err error
}

// StreamObservation describes an engine's response to a streaming request.
type StreamObservation struct {
	// Framing is how the end of the response is known; empty if no response arrived.
	Framing string
	// Events and Bytes count what arrived of complete events, and PartialBytes what
	// followed the last one.
	Events              int
	Bytes, PartialBytes int64
}

// LogFields returns the observation's fields of a log line; none if no response arrived.
func (o StreamObservation) LogFields() []zap.Field {
	if o.Framing == "" {
		return nil
	}
	return []zap.Field{
		zap.String("framing", o.Framing),
		zap.Int("events", o.Events),
		zap.Int64("bytes", o.Bytes),
		zap.Int64("partial-bytes", o.PartialBytes),
	}
}

// Moves counts the decisions about a stream whose engine was silent.
type Moves struct {
	// Stalled counts the replacements that were prepared, Moved those that were used,
	// and Continued those that were not, since the engine went on.
	Stalled, Moved, Continued int
	// Refused counts the times that no replacement was available.
	Refused int
}

func (o *Observation) addAttempt(e *registrar.Endpoint) {
	o.Attempted = append(o.Attempted, e.Name)
}

// logDecision logs an event in the handling of the request.
func (e *exchange) logDecision(event string, at *registrar.Endpoint, err error, more ...zap.Field) {
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
		fields = append(fields, zap.Error(err), zap.String("fingerprint", string(e.observation.Fingerprints.Request)))
	}
	e.forwarder.deps.Log.Info(event, append(fields, more...)...)
}
