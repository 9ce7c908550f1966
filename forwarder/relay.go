package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// silenceLimit is how long an engine may send nothing before a resumable stream
// goes on elsewhere: some steps of a full batch.
const silenceLimit = 1200 * time.Millisecond

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
