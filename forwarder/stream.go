package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
)

const (
	// Callers leave a stream when no event has come for the longest of these:
	// a fixed time, some times the objective, some times the longest pause that
	// is aimed for.
	leastPatience     = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
	// silenceLimit is how long an engine may send nothing before a resumable
	// stream goes on elsewhere: some steps of a full batch.
	silenceLimit = 1200 * time.Millisecond
	// prefillSilence bounds the wait for a prefill.
	prefillSilence = 1500 * time.Millisecond
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

// wish says what room the request needs, and by when.
func (s *stream) wish() reserver.Wish {
	started := s.observation.Started
	w := reserver.Wish{
		Wish: admitter.Wish{
			Arrived:  started,
			Priority: s.route.Priority,
			OnTimeBy: started.Add(s.route.Objective - reserver.FirstEventTime),
			StartBy:  s.startBy(),
		},
		Service:        s.service.Name,
		Request:        s.call.ID,
		Prompt:         s.call.Prompt,
		Tokens:         s.room(),
		Exclude:        s.exclude,
		ExcludePrefill: s.unfitPrefills,
	}
	if s.begun { // its caller waits for the next event
		w.OnTimeBy = s.call.Deadline
		w.Priority = -1
		w.StartBy = s.call.Deadline
	}
	return w
}

// startBy is when the request has to start: in time for the whole answer before
// its deadline, and for the first event before its caller leaves.
func (s *stream) startBy() time.Time {
	leaves := s.observation.Started.Add(s.patience() - reserver.FirstEventTime)
	whole := s.call.Deadline.Add(-s.answerTime())
	if leaves.Before(whole) {
		return leaves
	}
	return whole
}

// patience is how long the caller waits for an event before it leaves.
func (s *stream) patience() time.Duration {
	return max(leastPatience, objectivePatience*s.route.Objective, gapPatience*s.route.GapObjective)
}

// answerTime is what the whole answer takes, as a rule.
func (s *stream) answerTime() time.Duration {
	return reserver.FirstEventTime + time.Duration(s.output())*reserver.TokenTime
}

// output gives the tokens of output that are to be expected.
func (s *stream) output() identifier.Tokens {
	d := &s.call.Demand
	if d.Expected > 0 {
		return min(d.Longest, d.Expected)
	}
	return d.Longest / 2
}

// room gives the tokens that the request takes at a decode engine: those that
// are sure and the output that is to be expected.
func (s *stream) room() identifier.Tokens {
	return s.call.Prompt + s.output()
}

// readPrompt has the prompt read by the plan's prefill engine, or by another
// one where that fails; nil: the decode engine has to read it, since no
// prefill engine is left or the budget allows no other one.
func (s *stream) readPrompt(ctx context.Context, p reserver.Plan) (*PrefillResult, error) {
	rooms, choice := s.forwarder.deps.Rooms, s.forwarder.deps.Placer
	if p.Prefill != nil {
		result, o, err := s.prefill(ctx, p.Prefill)
		rooms.PrefillEnded(p, o)
		if result != nil || err != nil || !s.prefillsLeft {
			return result, err
		}
	}
	for {
		e := choice.Prefill(s.current(), p.Decode.DataCenter, s.unfitPrefills, time.Now())
		if e == nil || e.Stage != registrar.StagePrefill {
			return nil, nil
		}
		choice.Begin(e, s.call.Prompt)
		result, o, err := s.prefill(ctx, e)
		choice.End(e, s.call.Prompt)
		s.forwarder.judge(e, o)
		if result != nil || err != nil || !s.prefillsLeft {
			return result, err
		}
	}
}

// prefill has the prompt read by one engine; nil: that failed.
func (s *stream) prefill(ctx context.Context, e *registrar.Endpoint) (*PrefillResult, placer.Outcome, error) {
	if s.prefillsLeft = s.mayPrefill(); !s.prefillsLeft {
		return nil, placer.Outcome{Verdict: placer.VerdictNone}, nil
	}
	began := time.Now()
	s.observation.at(e)
	result, err := s.prefillAt(ctx, e)
	took := time.Since(began)
	o := prefillOutcome(ctx, err, took)
	if err == nil {
		s.observation.Prefill = took
		s.prefills++
		s.prefilledAt = e
		return &result, o, nil
	}
	if ctx.Err() != nil {
		return nil, o, ended(ctx, classifier.VerdictNotRun)
	}
	if classifier.Of(err).Reason != classifier.ReasonHostUnreachable {
		// What arrived and was of no use is a repeat, whatever follows.
		s.prefillsLeft = s.forwarder.deps.Budget.Take(s.service.Name)
	}
	s.note("prefill-failed", e, err, zap.Duration("took", took))
	s.unfitPrefills = append(s.unfitPrefills, e.Name)
	return nil, o, nil
}

// mayPrefill tells whether one more prefill may be sent: the first one that an
// engine carries out is free.
func (s *stream) mayPrefill() bool {
	return s.prefills == 0 || s.forwarder.deps.Budget.Take(s.service.Name)
}

// notFetched notes that a decode engine could not fetch a prefill's result, so
// that the request keeps away from where it was.
func (s *stream) notFetched() {
	if s.prefilledAt == nil {
		return
	}
	s.unfitPrefills = append(s.unfitPrefills, s.prefilledAt.Name)
	s.forwarder.judge(s.prefilledAt, placer.Outcome{Verdict: placer.VerdictFailure})
	s.note("prefill-not-fetched", s.prefilledAt, nil)
}

func (s *stream) prefillAt(ctx context.Context, e *registrar.Endpoint) (PrefillResult, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, prefillSilence, errSilent)
	defer cancel()
	return s.forwarder.deps.Engines.Prefill(ctx, e, &s.call)
}

var errSilent = errors.New("the engine has gone silent")

func prefillOutcome(ctx context.Context, err error, took time.Duration) placer.Outcome {
	c := classifier.Of(err)
	switch {
	case err == nil:
		return placer.Outcome{Verdict: placer.VerdictSound, Latency: took}
	case ctx.Err() != nil:
		return placer.Outcome{Verdict: placer.VerdictNone}
	case c.Reason == classifier.ReasonEndpointRefused:
		return placer.Outcome{Verdict: placer.VerdictFull}
	case c.Verdict == classifier.VerdictRan:
		return placer.Outcome{Verdict: placer.VerdictFailure}
	default:
		return placer.Outcome{Verdict: brokenVerdict(c)}
	}
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
		return s.outcomeOf(ctx, err), s.cause(ctx, err)
	}
	defer response.Close()
	if l, ok := f.deps.Endpoints.Load(response); ok {
		f.deps.Placer.Loaded(p.Decode, l, time.Now())
	}
	if err := s.head(response, p.Decode); err != nil {
		if from != nil && f.deps.Endpoints.Refused(response) {
			s.notFetched()
			f.deps.Rooms.Cancel(p)
			s.exclude = append(s.exclude, p.Decode.Name)
			return placer.Outcome{Verdict: placer.VerdictUnfit}, err
		}
		s.exclude = append(s.exclude, p.Decode.Name)
		return s.outcomeOf(ctx, err), err
	}
	err = s.relay(ctx, response, p.Decode, watchdog)
	if err != nil {
		s.exclude = append(s.exclude, p.Decode.Name)
		return s.outcomeOf(ctx, err), s.cause(ctx, err)
	}
	s.observation.Answered = p.Decode.Name
	return placer.Outcome{Verdict: placer.VerdictSound, Latency: time.Since(started)}, nil
}

// cause puts a silent engine in place of the canceled context behind it.
func (s *stream) cause(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errSilent) {
		return classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "%w: %v", errSilent, err)
	}
	return err
}

func (s *stream) outcomeOf(ctx context.Context, err error) placer.Outcome {
	c := classifier.Of(err)
	switch {
	case errors.Is(context.Cause(ctx), errSilent):
		return placer.Outcome{Verdict: placer.VerdictBroken}
	case ctx.Err() != nil:
		return placer.Outcome{Verdict: placer.VerdictNone}
	case c.Reason == classifier.ReasonEndpointRefused:
		return placer.Outcome{Verdict: placer.VerdictFull}
	case c.Verdict == classifier.VerdictRan:
		return placer.Outcome{Verdict: placer.VerdictFailure}
	default:
		return placer.Outcome{Verdict: brokenVerdict(c)}
	}
}

// head checks an answer's head. An engine's own failure is kept, to be passed
// on if nothing better comes.
func (s *stream) head(r *exchanger.Response, at *registrar.Endpoint) error {
	if err := s.forwarder.check(r, at); err != nil {
		return err
	}
	if r.Status < http.StatusMultipleChoices {
		return nil
	}
	body, err := r.ReadAll(maxAnswerBytes)
	if err != nil {
		return err
	}
	s.failed = &answered{endpoint: at, status: r.Status, header: r.Header, body: body}
	return classifier.Ran(classifier.ReasonEndpointFailed, "engine %q answered %d", at.Name, r.Status)
}

// relay passes whole events on as they arrive.
func (s *stream) relay(ctx context.Context, r *exchanger.Response, at *registrar.Endpoint, watchdog *time.Timer) error {
	events := newEventReader(r)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return s.finish(r, events.rest(), at)
		}
		if err != nil {
			return classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "stream of engine %q broke off: %w", at.Name, err)
		}
		if s.route.Resumable {
			watchdog.Reset(silenceLimit)
		}
		if notAfter(events.id, s.lastEvent) {
			continue
		}
		if err := s.send(r, event, !events.buffered()); err != nil {
			return callerGone(ctx, err)
		}
		if events.id != "" {
			s.lastEvent = events.id
		}
	}
}

func callerGone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ended(ctx, classifier.VerdictMayHaveRun)
	}
	return &classifier.Error{Verdict: classifier.VerdictRan, Reason: classifier.ReasonCanceled, Cause: err, Message: "the caller went away"}
}

// send passes bytes of the stream on, behind the head if none were before.
func (s *stream) send(r *exchanger.Response, b []byte, flush bool) error {
	now := time.Now()
	if !s.begun {
		s.begin(r.Status, r.Header)
		s.observation.FirstEvent = now.Sub(s.observation.Started)
	} else if gap := now.Sub(s.lastAt); gap > s.observation.LongestGap {
		s.observation.LongestGap = gap
	}
	s.lastAt = now
	if _, err := s.writer.Write(b); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(s.writer).Flush()
}

func (s *stream) begin(status int, header http.Header) {
	s.begun = true
	s.observation.Status = status
	h := s.writer.Header()
	copyHead(h, header)
	if s.forwarder.closesAfter(s.request) {
		h.Set("Connection", "close")
	}
	s.writer.WriteHeader(status)
}

// finish ends a stream that is whole.
func (s *stream) finish(r *exchanger.Response, rest []byte, at *registrar.Endpoint) error {
	s.observation.Answered = at.Name
	if !s.begun {
		s.begin(r.Status, r.Header)
	}
	if len(rest) == 0 {
		return nil
	}
	if _, err := s.writer.Write(rest); err != nil {
		return classifier.Ran(classifier.ReasonCanceled, "the caller went away: %w", err)
	}
	return nil
}

// relayPlainStream serves an event stream of a plain service.
func (e *exchange) relayPlainStream(ctx context.Context) {
	s := &stream{exchange: e}
	err := s.streamOnce(ctx)
	if err != nil {
		s.giveUp(ctx, err)
	}
}

func (s *stream) streamOnce(ctx context.Context) error {
	f := s.forwarder
	now := time.Now()
	at := f.deps.Placer.Plain(s.current(), s.exclude, now)
	if at == nil {
		return classifier.NotRun(classifier.ReasonNoEndpoint, classifier.Spread(absentRetryAfter), "service %q has no endpoint", s.service.Name)
	}
	s.sent++
	s.observation.at(at)
	f.deps.Placer.Begin(at, 0)
	watchdog := time.NewTimer(never)
	defer watchdog.Stop()
	err := func() error {
		response, err := f.deps.Endpoints.Forward(ctx, at, &s.call)
		if err != nil {
			return err
		}
		defer response.Close()
		if err := s.head(response, at); err != nil {
			return err
		}
		return s.relay(ctx, response, at, watchdog)
	}()
	o := placer.Outcome{Verdict: placer.VerdictSound}
	if err != nil {
		o = s.outcomeOf(ctx, err)
	}
	f.deps.Placer.End(at, 0)
	f.judge(at, o)
	return err
}
