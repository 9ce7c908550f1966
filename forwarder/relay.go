package forwarder

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// A resumable stream asks for another engine if no data arrives for stallGapFactor
// times the objective for gaps, at least minStallTimeout.
const (
	minStallTimeout = 1200 * time.Millisecond
	stallGapFactor  = 4
)

func (s *stream) stallTimeout() time.Duration {
	return max(minStallTimeout, stallGapFactor*s.route.GapObjective)
}

// follow forwards the call's events as they arrive. While the endpoint is silent, it
// prepares a replacement, and returns it once it is ready and the call has been
// canceled, or if the call has failed meanwhile.
func (s *stream) follow(ctx context.Context, c *engineCall, m *mover) (next *preparation, err error) {
	watchdog := time.NewTimer(m.wait(time.Now()))
	defer watchdog.Stop()
	var r *replacement
	var response *exchanger.Response
	for {
		var prepared chan replacementEnd
		if r != nil {
			prepared = r.ended
		}
		select {
		case p := <-c.parts:
			if p.head != nil {
				response = p.head
			}
			if err := s.handle(c, response, p); err != nil {
				c.stop()
				s.abandon(r)
				return nil, err
			}
			if p.head == nil {
				s.recordActivity(c, m, r)
				watchdog.Reset(m.wait(time.Now()))
			}
			c.handled <- struct{}{}
		case end := <-c.ended:
			c.cancel()
			if end.err == nil {
				s.abandon(r)
				s.finish(response, c.at)
				return nil, nil
			}
			return s.takeOver(ctx, r, end.err)
		case <-watchdog.C:
			r = s.askForReplacement(ctx, c, m, r)
			watchdog.Reset(m.wait(time.Now()))
		case end := <-prepared:
			r.cancel()
			r = nil
			if s.moves(c, m, end) {
				c.stop()
				s.placements++
				s.mayHaveRun = true
				return end.prepared, nil
			}
			watchdog.Reset(m.wait(time.Now()))
		}
	}
}

// recordActivity records that the engine has sent an event, and cancels a
// replacement in preparation.
func (s *stream) recordActivity(c *engineCall, m *mover, r *replacement) {
	now := time.Now()
	silence := m.silence(now)
	if m.onEvent(now, s.stallTimeout()) {
		r.cancel()
		s.observation.Moves.Continued++
		s.logDecision("stream-continued", c.at, nil, zap.Duration("silence", silence), zap.String("last-event", s.lastEventID))
	}
}

// askForReplacement starts to prepare a replacement if one is due. It returns the
// one under way.
func (s *stream) askForReplacement(ctx context.Context, c *engineCall, m *mover, r *replacement) *replacement {
	now := time.Now()
	if !m.due(now) {
		return r
	}
	next, err := s.replace(ctx, c.at)
	if err != nil {
		s.refuseMove(c, m, err)
		return nil
	}
	m.onStart()
	s.observation.Moves.Stalled++
	s.logDecision("stream-stalled", c.at, nil, zap.Duration("silence", m.silence(now)), zap.String("last-event", s.lastEventID))
	return next
}

// refuseMove records that no replacement is available. The stream stays at its
// engine.
func (s *stream) refuseMove(c *engineCall, m *mover, err error) {
	now := time.Now()
	m.onRefusal(now)
	s.observation.Moves.Refused++
	s.logDecision("move-refused", c.at, err, zap.Duration("silence", m.silence(now)), zap.Int("refusals", m.refusals))
}

// moves reports whether the stream is moved to a replacement whose preparation has
// ended. If not, the replacement is released.
func (s *stream) moves(c *engineCall, m *mover, end replacementEnd) bool {
	if end.err != nil && !m.canceling() {
		s.settle(end)
		s.refuseMove(c, m, end.err)
		return false
	}
	if !m.onReady() {
		s.settle(end)
		return false
	}
	s.observation.Moves.Moved++
	s.logDecision("stream-moved", c.at, nil,
		zap.String("to", string(end.prepared.plan.Decode.Name)),
		zap.Duration("silence", m.silence(time.Now())),
		zap.String("last-event", s.lastEventID))
	return true
}

// takeOver returns the replacement of an engine whose call has failed, or the
// failure if there is none.
func (s *stream) takeOver(ctx context.Context, r *replacement, failure error) (*preparation, error) {
	if r == nil {
		return nil, failure
	}
	if ctx.Err() != nil {
		s.abandon(r)
		return nil, failure
	}
	end := <-r.ended
	r.cancel()
	if end.err != nil {
		s.settle(end)
		return nil, failure
	}
	s.placements++
	s.mayHaveRun = true
	s.logDecision("stream-retried", end.prepared.plan.Decode, failure, zap.String("last-event", s.lastEventID), zap.Int("round", s.placements))
	return end.prepared, nil
}

// handle checks the head of a response, or forwards an event.
func (s *stream) handle(c *engineCall, r *exchanger.Response, p responsePart) error {
	if p.head != nil {
		return s.checkHead(r, c.at)
	}
	if s.firstEventAt.IsZero() {
		s.firstEventAt = time.Now()
	}
	if alreadyDelivered(p.id, s.lastEventID) {
		return nil
	}
	if err := s.write(r, p.event, p.flush); err != nil {
		return writeError(c.ctx, err)
	}
	if p.id != "" {
		s.lastEventID = p.id
	}
	return nil
}

// checkHead checks the status and headers of a response. An engine's error
// response is kept, to be returned to the caller if all further attempts fail.
func (s *stream) checkHead(r *exchanger.Response, at *registrar.Endpoint) error {
	if l, ok := s.forwarder.deps.Endpoints.Load(r); ok {
		s.forwarder.deps.Placer.RecordLoad(at, l, time.Now())
	}
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

// finish completes a stream.
func (s *stream) finish(r *exchanger.Response, at *registrar.Endpoint) {
	s.observation.RespondedBy = at.Name
	if !s.headWritten {
		s.writeHead(r.Status, r.Header)
	}
}
