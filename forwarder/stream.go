package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
)

const (
	// firstEventFraction is the fraction of callerEventTimeout after which
	// another engine is tried if a decode has not sent its first event, and
	// firstEventFactor the multiple of its expected time that must have passed.
	firstEventFraction = 0.35
	firstEventFactor   = 3
	// maxPlacements is the maximum number of times that a request is placed.
	maxPlacements = 6
)

// stream is an exchange whose response is an event stream.
type stream struct {
	*exchange
	// headWritten is set once the status and headers were sent to the caller.
	headWritten bool
	// lastEventID is the ID of the last event that was forwarded.
	lastEventID string
	lastWrite   time.Time
	placements  int
	// firstEventAt is when the current attempt's first event arrived.
	firstEventAt time.Time
	// completedPrefills counts the prefills that succeeded, prefillEndpoint is
	// the endpoint of the last of them, and excludedPrefills are endpoints not to
	// use again.
	completedPrefills int
	prefillEndpoint   *registrar.Endpoint
	prefillAllowed    bool // whether the retry budget allowed the last prefill
	excludedPrefills  []identifier.Endpoint
	// engineFailure is an engine's error response, returned to the caller if
	// all further attempts fail.
	engineFailure *endpointResponse
}

// generate handles a streaming request to a model service.
func (e *exchange) generate(ctx context.Context) {
	s := &stream{exchange: e}
	for {
		s.placements++
		err := s.attempt(ctx)
		if err == nil {
			return
		}
		if s.placements >= maxPlacements || !s.mayRetry(ctx, err) {
			s.giveUp(ctx, err)
			return
		}
		e.logDecision("stream-retried", nil, err, zap.String("last-event", s.lastEventID), zap.Int("round", s.placements))
	}
}

// mayRetry reports whether the request may be placed again after a failure. A
// refusal by this host's own queue is final.
func (s *stream) mayRetry(ctx context.Context, err error) bool {
	if _, own := errors.AsType[*localQueueError](err); own {
		return false
	}
	return s.mayResend(ctx, err)
}

// localQueueError wraps a refusal by this host's own queue.
type localQueueError struct{ cause error }

func (q *localQueueError) Error() string { return q.cause.Error() }
func (q *localQueueError) Unwrap() error { return q.cause }

// giveUp writes the final response, or aborts the connection if a stream has
// already started.
func (s *stream) giveUp(ctx context.Context, err error) {
	if ctx.Err() != nil && !errors.Is(err, errDeadline) {
		err = contextError(ctx, classifier.VerdictOf(err))
	}
	if s.headWritten {
		s.observation.Err = err
		s.logDecision("stream-interrupted", nil, err, zap.String("last-event", s.lastEventID))
		panic(http.ErrAbortHandler)
	}
	if s.engineFailure != nil && ctx.Err() == nil {
		s.writeResponse(s.engineFailure)
		return
	}
	s.fail(err)
}

// attempt runs placement, prefill and decode once.
func (s *stream) attempt(ctx context.Context) error {
	reservations := s.forwarder.deps.Reservations
	p, err := reservations.Place(ctx, s.placementRequest())
	if err != nil {
		return &localQueueError{cause: err}
	}
	if s.observation.PlacementTime == 0 {
		s.observation.PlacementTime = time.Since(s.observation.Started)
	}
	result, err := s.obtainPrefill(ctx, p)
	if err != nil {
		reservations.Release(p)
		return err
	}
	o, err := s.decode(ctx, p, result)
	reservations.RecordOutcome(p, o)
	return err
}

// decode calls the decode engine and forwards its stream.
func (s *stream) decode(ctx context.Context, p reserver.Plan, from *PrefillResult) (placer.Outcome, error) {
	f := s.forwarder
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.sent++
	s.observation.addAttempt(p.Decode)
	started := time.Now()
	s.firstEventAt = time.Time{}
	resumed := s.lastEventID != ""
	watchdog := time.AfterFunc(s.firstEventTimeout(p.Expected), func() { cancel(errStalled) })
	defer watchdog.Stop()
	if !s.route.Resumable {
		watchdog.Stop() // the request can't be moved to another engine
	}
	response, err := f.deps.Engines.Decode(ctx, p.Decode, &s.call, DecodeOptions{
		Prefill:     from,
		Reservation: p.Reservation,
		LastEvent:   s.lastEventID,
	})
	if err != nil {
		s.exclude = append(s.exclude, p.Decode.Name)
		return engineOutcome(ctx, err, 0), s.stallError(ctx, err)
	}
	defer response.Close()
	if l, ok := f.deps.Endpoints.Load(response); ok {
		f.deps.Placer.RecordLoad(p.Decode, l, time.Now())
	}
	if err := s.checkHead(response, p.Decode); err != nil {
		if from != nil && f.deps.Endpoints.Refused(response) {
			s.recordFailedFetch()
			f.deps.Reservations.Cancel(p)
			s.exclude = append(s.exclude, p.Decode.Name)
			return placer.Outcome{Verdict: placer.VerdictReservationRefused}, err
		}
		s.exclude = append(s.exclude, p.Decode.Name)
		return engineOutcome(ctx, err, 0), err
	}
	err = s.relay(ctx, response, p.Decode, watchdog)
	if err != nil {
		s.exclude = append(s.exclude, p.Decode.Name)
		return engineOutcome(ctx, err, 0), s.stallError(ctx, err)
	}
	s.observation.RespondedBy = p.Decode.Name
	o := engineOutcome(ctx, nil, time.Since(started))
	if !resumed && !s.firstEventAt.IsZero() {
		o.FirstEvent = s.firstEventAt.Sub(started)
	}
	return o, nil
}

// firstEventTimeout returns the time from a decode call after which its first event
// is overdue.
func (s *stream) firstEventTimeout(expected reserver.Expectation) time.Duration {
	return max(time.Duration(firstEventFraction*float64(s.callerEventTimeout())), firstEventFactor*expected.FirstEvent)
}

// stallError replaces the error of a context that the watchdog canceled by
// errStalled.
func (s *stream) stallError(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) {
		return classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "%w: %v", errStalled, err)
	}
	return err
}

// engineOutcome classifies the result of a prefill or decode for the placer. If
// ctx has ended, this host canceled the call.
func engineOutcome(ctx context.Context, err error, took time.Duration) placer.Outcome {
	c := classifier.Of(err)
	switch {
	case err == nil:
		return placer.Outcome{Verdict: placer.VerdictSuccess, Latency: took}
	case errors.Is(context.Cause(ctx), errStalled):
		return placer.Outcome{Verdict: placer.VerdictResponseFailed}
	case ctx.Err() != nil:
		return placer.Outcome{Verdict: placer.VerdictNone}
	case c.Reason == classifier.ReasonEndpointRefused:
		return placer.Outcome{Verdict: placer.VerdictAtCapacity}
	case c.Verdict == classifier.VerdictRan:
		return placer.Outcome{Verdict: placer.VerdictServerError}
	default:
		return placer.Outcome{Verdict: failureVerdict(c)}
	}
}
