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
	// moveOverlap is how long a silent engine keeps a stream whose decode was sent to a
	// replacement, which refuses within that time if it does. Both run the request
	// meanwhile.
	moveOverlap = 250 * time.Millisecond
)

func (s *stream) stallTimeout() time.Duration {
	return max(minStallTimeout, stallGapFactor*s.route.GapObjective)
}

// follow forwards the events of a decode as they arrive. While its engine is silent, it
// prepares a replacement, and returns that once it has taken over, or if the decode
// has failed meanwhile.
func (s *stream) follow(ctx context.Context, d *decoding, m *mover) (next *decoding, err error) {
	c := d.call
	watchdog := time.NewTimer(m.wait(time.Now()))
	defer watchdog.Stop()
	var r *replacement
	for {
		a := c.await(r.endings(), watchdog.C)
		switch {
		case a.part != nil:
			err := s.handle(d, *a.part)
			if err == nil && a.part.head == nil {
				s.recordActivity(c, m, r)
			}
			c.handled <- struct{}{}
			if err != nil {
				c.stop()
				s.cancelReplacement(r)
				return nil, err
			}
		case a.end != nil:
			c.cancel()
			s.observeEnd(ctx, *a.end)
			if a.end.err == nil {
				s.cancelReplacement(r)
				s.complete(d)
				return nil, nil
			}
			return s.takeOver(ctx, r, a.end.err)
		case a.prepared != nil:
			r.cancel()
			r = nil
			if next := s.move(ctx, d, m, *a.prepared); next != nil {
				return s.leave(d, next)
			}
		default:
			r = s.askForReplacement(ctx, c, m, r)
		}
		watchdog.Reset(m.wait(time.Now()))
	}
}

// leave ends a decode whose replacement has taken over, unless its stream was complete
// before.
func (s *stream) leave(d, next *decoding) (*decoding, error) {
	if d.call.stop().err != nil {
		return next, nil
	}
	next.call.stop()
	next.isolation.Close()
	s.forwarder.deps.Reservations.RecordOutcome(next.plan, unusedOutcome)
	s.complete(d)
	return nil, nil
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

// move starts the decode at a replacement whose preparation has ended, and returns it
// once its engine has accepted it. Otherwise the stream stays at its silent engine.
func (s *stream) move(ctx context.Context, d *decoding, m *mover, end replacementEnd) *decoding {
	if end.err != nil && !m.canceling() {
		s.settle(end)
		s.refuseMove(d.call, m, end.err)
		return nil
	}
	if !m.onReady() {
		s.settle(end)
		return nil
	}
	s.mayHaveRun = true
	next := s.start(ctx, end.prepared)
	if err := s.confirm(next); err != nil {
		s.recordFailedDecode(ctx, next, err)
		s.refuseMove(d.call, m, err)
		return nil
	}
	s.placements++
	s.observation.Moves.Moved++
	s.logDecision("stream-moved", d.call.at, nil,
		zap.String("to", string(next.call.at.Name)),
		zap.Duration("silence", m.silence(time.Now())),
		zap.String("last-event", s.lastEventID))
	return next
}

// confirm waits until the engine has accepted the decode, or has not refused it for
// moveOverlap. In case of an error the call has ended.
func (s *stream) confirm(d *decoding) error {
	overlap := time.NewTimer(moveOverlap)
	defer overlap.Stop()
	a := d.call.await(nil, overlap.C)
	switch {
	case a.end != nil:
		d.call.cancel()
		if a.end.err == nil {
			return errNoResponse
		}
		return a.end.err
	case a.part != nil:
		err := s.handle(d, *a.part)
		d.call.handled <- struct{}{}
		if err != nil {
			d.call.stop()
		}
		return err
	default:
		return nil
	}
}

var errNoResponse = classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "call ended without a response")

// takeOver starts the decode at the replacement of an engine whose call has failed. It
// returns the failure if there is none.
func (s *stream) takeOver(ctx context.Context, r *replacement, failure error) (*decoding, error) {
	if r == nil {
		return nil, failure
	}
	if ctx.Err() != nil || s.withoutID {
		s.cancelReplacement(r)
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
	s.logRetry(end.prepared.plan.Decode, failure)
	return s.start(ctx, end.prepared), nil
}

// handle checks the head of a response, or forwards an event.
func (s *stream) handle(d *decoding, p responsePart) error {
	if p.head != nil {
		d.response = p.head
		s.observation.Stream = StreamObservation{Framing: p.head.Framing.String()}
		if err := s.checkHead(p.head, d.call.at); err != nil || !d.resumed {
			return err
		}
		return d.checkResumedHead()
	}
	s.observeEvent(p)
	if d.resumed {
		if err := d.checkResumedEvent(p); err != nil {
			return err
		}
	}
	d.recordEvent(time.Now())
	if alreadyDelivered(p.id, s.lastEventID) {
		return nil
	}
	if err := s.write(d.response, p.event, p.flush); err != nil {
		return writeError(d.call.ctx, err)
	}
	if p.id != "" {
		s.lastEventID = p.id
	}
	s.withoutID = s.withoutID || p.hasData && p.id == ""
	return nil
}

// recordEvent records the arrival of an event.
func (d *decoding) recordEvent(now time.Time) {
	if d.events == 0 {
		d.firstEventAt = now
	}
	d.events++
	d.lastEventAt = now
	if d.events == begunEvents {
		d.isolation.Begun()
	}
}

// observeEvent counts an event that has arrived.
func (s *stream) observeEvent(p responsePart) {
	o := &s.observation.Stream
	o.Events++
	o.Bytes += int64(len(p.event))
}

// observeEnd records what followed the last whole event, and a response that was broken
// off.
func (s *stream) observeEnd(ctx context.Context, e callEnd) {
	o := &s.observation.Stream
	o.PartialBytes = e.partialBytes
	if e.err != nil && ctx.Err() == nil && o.Framing != "" {
		s.observation.BrokenOff = append(s.observation.BrokenOff, o.Framing)
	}
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
	memory := r.KeepBody(s.request.Context())
	s.engineFailure = &endpointResponse{endpoint: at, status: r.Status, header: r.Header, attribution: r.Attribution, body: body, memory: memory}
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

// complete ends a stream that was forwarded as a whole.
func (s *stream) complete(d *decoding) {
	d.isolation.Completed()
	s.observation.RespondedBy = d.call.at.Name
	if !s.headWritten {
		s.writeHead(d.response.Status, d.response.Header)
	}
}
