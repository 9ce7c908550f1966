package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/socket"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/quarantiner"
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
//
// Its fields belong to the request's goroutine, except that prefills, excludedPrefills,
// enginesLost and the observation's fields of placement, prefill and attempts belong to a
// preparation while one is under way.
type stream struct {
	*exchange
	// group runs the request's goroutines, which end before the request does.
	group *grouper.Group
	// headWritten is set once the status and headers were sent to the caller.
	headWritten bool
	// lastEventID is the ID of the last event that was forwarded.
	lastEventID string
	// withoutID is set once data without an ID was forwarded. Another engine can't go
	// on after it.
	withoutID  bool
	lastWrite  time.Time
	placements int
	// prefills are the calls for the request's prompt.
	prefills prefillAccount
	// excludedPrefills are endpoints not to use again for a prefill.
	excludedPrefills []identifier.Endpoint
	// engineFailure is an engine's error response, returned to the caller if
	// all further attempts fail.
	engineFailure *endpointResponse
}

// generate handles a streaming request to a model service.
func (e *exchange) generate(ctx context.Context) {
	s := newStream(ctx, e)
	err := s.run(ctx)
	s.stop()
	if err != nil {
		s.giveUp(ctx, err)
	}
}

func newStream(ctx context.Context, e *exchange) *stream {
	return &stream{exchange: e, group: grouper.New(ctx)}
}

// stop waits for the request's goroutines.
func (s *stream) stop() {
	s.group.Stop()
	_ = s.group.Wait() // they return no error
}

// run executes the request at one engine after another until its stream is
// complete.
func (s *stream) run(ctx context.Context) error {
	var d *decoding
	for {
		err := error(nil)
		if d == nil {
			d, err = s.place(ctx)
		}
		if err == nil {
			d, err = s.decode(ctx, d)
		}
		if err == nil && d == nil {
			return nil
		}
		if err == nil { // a replacement has taken over
			continue
		}
		if s.placements >= maxPlacements || !s.mayRetry(ctx, err) {
			return err
		}
		s.logRetry(nil, err)
	}
}

// logRetry logs that the request is sent to another engine after a failure.
func (s *stream) logRetry(to *registrar.Endpoint, failure error) {
	s.logDecision("stream-retried", to, failure,
		append(s.observation.Stream.LogFields(), zap.String("last-event", s.lastEventID), zap.Int("round", s.placements))...)
}

// place prepares an engine and starts the decode there.
func (s *stream) place(ctx context.Context) (*decoding, error) {
	s.placements++
	reserve := s.reserveFirst
	if s.mayHaveRun {
		reserve = s.forwarder.deps.Reservations.Place
	}
	p, err := s.prepareEngine(ctx, s.placementRequest(), reserve)
	if err != nil {
		return nil, err
	}
	return s.start(ctx, p), nil
}

// reserveFirst places a request that no engine has begun to run, unless a planned stop
// may interrupt it.
func (s *stream) reserveFirst(ctx context.Context, w reserver.PlacementRequest) (reserver.Plan, error) {
	waiting, done := s.untilRefused(ctx)
	defer done()
	plan, err := s.forwarder.deps.Reservations.Place(waiting, w)
	refusal := s.checkStop(time.Now())
	if refusal == nil {
		return plan, err
	}
	if err == nil {
		s.forwarder.deps.Reservations.Release(plan)
	}
	return reserver.Plan{}, refusal
}

// mayRetry reports whether the request may be placed again after a failure. A
// refusal by this host is final, and so is a stream with data that has no ID.
func (s *stream) mayRetry(ctx context.Context, err error) bool {
	if _, own := errors.AsType[*hostRefusal](err); own || s.withoutID {
		return false
	}
	if quarantined(err) || s.enginesLost >= maxEnginesLost {
		return false
	}
	return s.mayResend(ctx, err)
}

// hostRefusal wraps a refusal by this host's own queue or retry budget.
type hostRefusal struct{ cause error }

func (r *hostRefusal) Error() string { return r.cause.Error() }
func (r *hostRefusal) Unwrap() error { return r.cause }

// giveUp writes the final response, or aborts the connection if a stream has
// already started.
func (s *stream) giveUp(ctx context.Context, err error) {
	if ctx.Err() != nil && !errors.Is(err, errDeadline) {
		err = contextError(ctx, classifier.VerdictOf(err))
	}
	if s.headWritten {
		s.observation.Err = err
		s.logDecision("stream-interrupted", nil, err, append(s.observation.Stream.LogFields(), zap.String("last-event", s.lastEventID))...)
		s.abortResponse()
	}
	if s.engineFailure != nil && ctx.Err() == nil {
		s.writeResponse(s.engineFailure)
		return
	}
	s.fail(err)
}

// abortResponse ends the caller's connection so that the response doesn't look
// complete. It doesn't return.
func (s *stream) abortResponse() {
	if s.request.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler) // the last chunk is missing
	}
	// The end of the connection would end a response without chunks.
	if raw, _, err := http.NewResponseController(s.writer).Hijack(); err == nil {
		socket.Reset(raw)
	}
	panic(http.ErrAbortHandler)
}

// decoding is a decode that was sent to its engine.
type decoding struct {
	*preparation
	call *engineCall
	// isolation is the call at the isolator. It may be read once a part or the end of the
	// call has arrived.
	isolation *isolator.Call
	// response is nil until its head has arrived.
	response *exchanger.Response
	// resumed is set if the stream had begun at another engine, and numbered if the IDs of its
	// events were numbers there. lastNumber is that of the last event since then.
	resumed, numbered         bool
	lastNumber                uint64
	events                    int
	firstEventAt, lastEventAt time.Time
}

// minEventsForInterval is the number of events from which the mean time between them
// says how fast the engine is.
const minEventsForInterval = 5

// eventInterval returns the mean time between two events, or 0 if there are too few.
func (d *decoding) eventInterval() time.Duration {
	if d.events < minEventsForInterval {
		return 0
	}
	return d.lastEventAt.Sub(d.firstEventAt) / time.Duration(d.events-1)
}

// start sends the decode to the engine that was prepared.
func (s *stream) start(ctx context.Context, p *preparation) *decoding {
	f := s.forwarder
	at := p.plan.Decode
	s.sent++
	s.observation.addAttempt(at)
	options := DecodeOptions{Prefill: p.result, Reservation: p.plan.Reservation, LastEvent: s.lastEventID}
	d := &decoding{preparation: p, resumed: s.lastEventID != "", numbered: isNumber(s.lastEventID)}
	d.call = s.callEndpoint(ctx, at, func(ctx context.Context) (*exchanger.Response, error) {
		c, err := s.enter(ctx, at, quarantiner.PhaseDecode)
		if err != nil {
			return nil, err
		}
		d.isolation = c
		return f.deps.Engines.Decode(ctx, at, &s.call, options)
	})
	return d
}

// decode forwards the stream of a decode. If its engine is silent or its stream breaks
// and a replacement is ready, it returns that.
func (s *stream) decode(ctx context.Context, d *decoding) (*decoding, error) {
	next, err := s.follow(ctx, d, newMover(s.route.Resumable, d.call.started, s.firstEventTimeout(d.plan.Expected)))
	if err != nil || next != nil {
		s.recordFailedDecode(ctx, d, err)
		return next, err
	}
	o := engineOutcome(ctx, nil, time.Since(d.call.started))
	if !d.resumed && !d.firstEventAt.IsZero() {
		o.FirstEvent = d.firstEventAt.Sub(d.call.started)
	}
	o.EventInterval = d.eventInterval()
	s.forwarder.deps.Reservations.RecordOutcome(d.plan, o)
	return nil, nil
}

// recordFailedDecode records a decode that did not complete the stream.
func (s *stream) recordFailedDecode(ctx context.Context, d *decoding, err error) {
	if err != nil && ctx.Err() == nil {
		s.logDecision("decode-failed", d.call.at, err, zap.Int64("started", d.call.at.StartID),
			zap.Int("events", d.events), zap.Strings("traits", identifier.TraitStrings(s.call.Traits)))
	}
	if quarantined(err) { // nothing was sent
		d.isolation.Close()
		s.sent--
		s.release(d.preparation)
		return
	}
	s.countLost(ctx.Err() == nil && d.events < begunEvents && isolator.BrokenOff(err))
	if err == nil { // the stream was moved
		d.isolation.Close()
	} else {
		d.isolation.Settle(ctx, err)
	}
	s.exclude = append(s.exclude, d.call.at.Name)
	o := s.failedDecode(ctx, d.preparation, err)
	o.EventInterval = d.eventInterval()
	s.forwarder.deps.Reservations.RecordOutcome(d.plan, o)
}

// begunEvents is the number of events from which on an engine has begun to answer. One
// that the request ends may still have sent the first.
const begunEvents = 2

// failedDecode returns the outcome of a decode that did not complete the stream; a nil
// error means that the stream was moved. If the engine refused the decode although
// capacity was reserved, it could not fetch the prefill's result.
func (s *stream) failedDecode(ctx context.Context, p *preparation, err error) placer.Outcome {
	if err == nil {
		return placer.Outcome{Verdict: placer.VerdictResponseFailed}
	}
	if p.result == nil || classifier.Of(err).Reason != classifier.ReasonEndpointRefused {
		return engineOutcome(ctx, err, 0)
	}
	s.recordFailedFetch(p.prefilledBy)
	s.forwarder.deps.Reservations.Cancel(p.plan)
	return placer.Outcome{Verdict: placer.VerdictReservationRefused}
}

// firstEventTimeout returns the time from a decode call after which its first event
// is overdue.
func (s *stream) firstEventTimeout(expected reserver.Expectation) time.Duration {
	return max(time.Duration(firstEventFraction*float64(s.callerEventTimeout())), firstEventFactor*expected.FirstEvent)
}

// engineOutcome classifies the result of a prefill or decode for the placer. If
// ctx has ended, this host canceled the call.
func engineOutcome(ctx context.Context, err error, took time.Duration) placer.Outcome {
	c := classifier.Of(err)
	switch {
	case err == nil:
		return placer.Outcome{Verdict: placer.VerdictSuccess, Latency: took}
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

// usable reports whether the registry still lists the engine as it was when it was
// chosen.
func (s *stream) usable(e *registrar.Endpoint) bool {
	now := s.forwarder.deps.Registry.Snapshot().Endpoint(e.Name)
	return now != nil && !now.Leaving && now.StartID == e.StartID && now.Stage == e.Stage && now.Address == e.Address
}
