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
	// firstEventShare is the share of a caller's patience that the first event
	// of a decode may take before another engine is tried.
	firstEventShare = 0.35
	// maxRounds bounds how often one request looks for room anew.
	maxRounds = 6
)

// stream is a request to a model engine whose answer is an event stream.
type stream struct {
	*exchange
	// begun is set once the head of the answer went to the caller.
	begun bool
	// lastEvent is the id of the last event that the caller got.
	lastEvent string
	lastAt    time.Time
	rounds    int
	// prefills counts those that were carried out, prefilledAt is where
	// the last good one was, and unfitPrefills are engines to keep away from.
	prefills      int
	prefilledAt   *registrar.Endpoint
	prefillsLeft  bool // the budget allowed the last one
	unfitPrefills []identifier.Endpoint
	// failed is an engine's own failure, passed on if nothing better comes.
	failed *answered
}

// generate serves a request to a model service.
func (e *exchange) generate(ctx context.Context) {
	s := &stream{exchange: e}
	for {
		s.rounds++
		err := s.attempt(ctx)
		if err == nil {
			return
		}
		if s.rounds >= maxRounds || !s.mayGoOn(ctx, err) {
			s.giveUp(ctx, err)
			return
		}
		e.note("stream-goes-on", nil, err, zap.String("last-event", s.lastEvent), zap.Int("round", s.rounds))
	}
}

// mayGoOn tells whether another round may follow a failure. A refusal of this
// host's own queue is final.
func (s *stream) mayGoOn(ctx context.Context, err error) bool {
	if _, own := errors.AsType[*queueError](err); own {
		return false
	}
	return s.again(ctx, err)
}

// queueError is a refusal of this host's own queue.
type queueError struct{ cause error }

func (q *queueError) Error() string { return q.cause.Error() }
func (q *queueError) Unwrap() error { return q.cause }

// giveUp gives the final answer, or breaks off one that has begun.
func (s *stream) giveUp(ctx context.Context, err error) {
	if ctx.Err() != nil && !errors.Is(err, errDeadline) {
		err = ended(ctx, classifier.VerdictOf(err))
	}
	if s.begun {
		s.observation.Err = err
		s.note("stream-broken-off", nil, err, zap.String("last-event", s.lastEvent))
		panic(http.ErrAbortHandler)
	}
	if s.failed != nil && ctx.Err() == nil {
		s.pass(s.failed)
		return
	}
	s.fail(err)
}

// attempt leads the request once through placing, prefill and decode.
func (s *stream) attempt(ctx context.Context) error {
	rooms := s.forwarder.deps.Rooms
	p, err := rooms.Place(ctx, s.wish())
	if err != nil {
		return &queueError{cause: err}
	}
	if s.observation.Placing == 0 {
		s.observation.Placing = time.Since(s.observation.Started)
	}
	result, err := s.readPrompt(ctx, p)
	if err != nil {
		rooms.GiveBack(p)
		return err
	}
	o, err := s.decode(ctx, p, result)
	rooms.Ended(p, o)
	return err
}

// decode has the answer generated and passes it on.
func (s *stream) decode(ctx context.Context, p reserver.Plan, from *PrefillResult) (placer.Outcome, error) {
	f := s.forwarder
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.sent++
	s.observation.at(p.Decode)
	started := time.Now()
	silence := time.Duration(firstEventShare * float64(s.patience()))
	watchdog := time.AfterFunc(silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	if !s.route.Resumable {
		watchdog.Stop() // nothing could be done about its silence
	}
	response, err := f.deps.Engines.Decode(ctx, p.Decode, &s.call, DecodeOptions{
		From:        from,
		Reservation: p.Reservation,
		LastEvent:   s.lastEvent,
	})
	if err != nil {
		s.exclude = append(s.exclude, p.Decode.Name)
		return outcomeOf(ctx, err, 0), s.cause(ctx, err)
	}
	defer response.Close()
	if l, ok := f.deps.Endpoints.Load(response); ok {
		f.deps.Placer.RecordLoad(p.Decode, l, time.Now())
	}
	if err := s.head(response, p.Decode); err != nil {
		if from != nil && f.deps.Endpoints.Refused(response) {
			s.notFetched()
			f.deps.Rooms.Cancel(p)
			s.exclude = append(s.exclude, p.Decode.Name)
			return placer.Outcome{Verdict: placer.VerdictReservationRefused}, err
		}
		s.exclude = append(s.exclude, p.Decode.Name)
		return outcomeOf(ctx, err, 0), err
	}
	err = s.relay(ctx, response, p.Decode, watchdog)
	if err != nil {
		s.exclude = append(s.exclude, p.Decode.Name)
		return outcomeOf(ctx, err, 0), s.cause(ctx, err)
	}
	s.observation.Answered = p.Decode.Name
	return outcomeOf(ctx, nil, time.Since(started)), nil
}

// cause puts a silent engine in place of the canceled context behind it.
func (s *stream) cause(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		return classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "%w: %v", errSilent, err)
	}
	return err
}

// outcomeOf tells what the end of a prefill or a decode says of its engine. ctx
// ended if somebody here ended it.
func outcomeOf(ctx context.Context, err error, took time.Duration) placer.Outcome {
	c := classifier.Of(err)
	switch {
	case err == nil:
		return placer.Outcome{Verdict: placer.VerdictSound, Latency: took}
	case errors.Is(context.Cause(ctx), errSilent):
		return placer.Outcome{Verdict: placer.VerdictBroken}
	case ctx.Err() != nil:
		return placer.Outcome{Verdict: placer.VerdictNone}
	case c.Reason == classifier.ReasonEndpointRefused:
		return placer.Outcome{Verdict: placer.VerdictFull}
	case c.Verdict == classifier.VerdictRan:
		return placer.Outcome{Verdict: placer.VerdictServerError}
	default:
		return placer.Outcome{Verdict: brokenVerdict(c)}
	}
}
