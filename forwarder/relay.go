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

// A resumable stream is moved to another engine if no data arrives for
// stallGapFactor times the objective for gaps, at least minStallTimeout.
const (
	minStallTimeout = 1200 * time.Millisecond
	stallGapFactor  = 4
)

func (s *stream) stallTimeout() time.Duration {
	return max(minStallTimeout, stallGapFactor*s.route.GapObjective)
}

// checkHead checks the status and headers of a response. An engine's error
// response is kept, to be returned to the caller if all further attempts fail.
func (s *stream) checkHead(r *exchanger.Response, at *registrar.Endpoint) error {
	if err := s.forwarder.checkResponse(r, at); err != nil {
		return err
	}
	if r.Status < http.StatusMultipleChoices {
		return nil
	}
	body, err := r.ReadAll(maxBufferedBytes)
	if err != nil {
		return err
	}
	s.engineFailure = &endpointResponse{endpoint: at, status: r.Status, header: r.Header, body: body}
	return classifier.Ran(classifier.ReasonEndpointFailed, "engine %q responded with status %d", at.Name, r.Status)
}

// relay forwards complete events as they arrive.
func (s *stream) relay(ctx context.Context, r *exchanger.Response, at *registrar.Endpoint, watchdog *time.Timer) error {
	events := newEventReader(r)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return s.finish(r, events.trailing(), at)
		}
		if err != nil {
			return classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "stream from engine %q was interrupted: %w", at.Name, err)
		}
		if s.firstEventAt.IsZero() {
			s.firstEventAt = time.Now()
		}
		if s.route.Resumable {
			watchdog.Reset(s.stallTimeout())
		}
		if alreadyDelivered(events.id, s.lastEventID) {
			continue
		}
		if err := s.write(r, event, !events.buffered()); err != nil {
			return writeError(ctx, err)
		}
		if events.id != "" {
			s.lastEventID = events.id
		}
	}
}

func writeError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextError(ctx, classifier.VerdictMayHaveRun)
	}
	return &classifier.Error{Verdict: classifier.VerdictRan, Reason: classifier.ReasonCanceled, Cause: err, Message: "caller disconnected"}
}

// write forwards bytes of the stream, after the status and headers if they were not
// sent yet.
func (s *stream) write(r *exchanger.Response, b []byte, flush bool) error {
	now := time.Now()
	if !s.headWritten {
		s.writeHead(r.Status, r.Header)
		s.observation.FirstEvent = now.Sub(s.observation.Started)
	} else if gap := now.Sub(s.lastWrite); gap > s.observation.LongestGap {
		s.observation.LongestGap = gap
	}
	s.lastWrite = now
	if _, err := s.writer.Write(b); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(s.writer).Flush()
}

func (s *stream) writeHead(status int, header http.Header) {
	s.headWritten = true
	s.observation.Status = status
	h := s.writer.Header()
	copyHeader(h, header)
	if s.forwarder.closesConnection(s.request) {
		h.Set("Connection", "close")
	}
	s.writer.WriteHeader(status)
}

// finish completes a stream with the bytes after its last event.
func (s *stream) finish(r *exchanger.Response, rest []byte, at *registrar.Endpoint) error {
	s.observation.RespondedBy = at.Name
	if !s.headWritten {
		s.writeHead(r.Status, r.Header)
	}
	if len(rest) == 0 {
		return nil
	}
	if _, err := s.writer.Write(rest); err != nil {
		return classifier.Ran(classifier.ReasonCanceled, "caller disconnected: %w", err)
	}
	return nil
}
