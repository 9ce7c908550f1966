package forwarder

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// engineCall is a call whose response is an event stream. A goroutine of its own
// reads the response and hands its parts over one at a time, so that the request's
// goroutine can also wait for other things while the endpoint is silent.
type engineCall struct {
	at      *registrar.Endpoint
	started time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	// parts has the response's parts. Each is valid until a value is sent to
	// handled, which has to follow.
	parts   chan responsePart
	handled chan struct{}
	// ended has the end of the call.
	ended chan callEnd
}

// callEnd is the end of a call.
type callEnd struct {
	// err is nil if the response is complete.
	err error
	// partialBytes is what followed the response's last complete event.
	partialBytes int64
}

// responsePart is the head of a response, or a part of its body.
type responsePart struct {
	head *exchanger.Response
	// event is a complete event with its ID, or a part of a body that is no event
	// stream. It is to be flushed if no further complete event has arrived.
	event     []byte
	id        string
	hasData   bool
	isComment bool
	flush     bool
}

// send calls the endpoint.
type send func(context.Context) (*exchanger.Response, error)

// callEndpoint starts a call to an endpoint.
func (s *stream) callEndpoint(ctx context.Context, at *registrar.Endpoint, f send) *engineCall {
	c := &engineCall{
		at:      at,
		started: time.Now(),
		parts:   make(chan responsePart),
		handled: make(chan struct{}, 1),
		ended:   make(chan callEnd, 1),
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	s.group.Run(func(context.Context) { c.ended <- c.read(f) })
	return c
}

// read hands over the response's parts.
func (c *engineCall) read(f send) callEnd {
	response, err := f(c.ctx)
	if err != nil {
		return callEnd{err: err}
	}
	defer response.Close()
	if err := c.handOver(responsePart{head: response}); err != nil {
		return callEnd{err: err}
	}
	if !isEventStream(response.Header) {
		return callEnd{err: c.readBytes(response)}
	}
	return c.readEvents(response)
}

// readEvents hands over the events of a stream. A stream whose end is only the end of
// its connection isn't complete without an event, since it may have been broken off.
func (c *engineCall) readEvents(r *exchanger.Response) callEnd {
	events := newEventReader(r, func(b []byte) ([]byte, error) { return r.GrowBuffer(b, maxEventBuffer) })
	for count := 0; ; count++ {
		event, err := events.next()
		switch {
		case errors.Is(err, io.EOF) && count == 0 && r.Framing == exchanger.FramingConnection:
			return callEnd{err: c.interrupted(errNoEvent)}
		case errors.Is(err, io.EOF):
			return callEnd{}
		case err != nil:
			return callEnd{err: c.interrupted(err), partialBytes: events.partialBytes()}
		}
		if err := c.handOver(responsePart{event: event, id: events.id, hasData: events.hasData, isComment: events.isComment, flush: !events.buffered()}); err != nil {
			return callEnd{err: err}
		}
	}
}

var errNoEvent = errors.New("connection ended before the first event")

// readBytes hands over a body that is no event stream, as it arrives.
func (c *engineCall) readBytes(r *exchanger.Response) error {
	b := make([]byte, eventBufferBytes)
	for {
		n, err := r.Read(b)
		if n > 0 {
			if err := c.handOver(responsePart{event: b[:n], hasData: true, flush: true}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return c.interrupted(err)
		}
	}
}

// isEventStream reports whether a response to a streaming request consists of events,
// which is assumed of one that doesn't state its type.
func isEventStream(h http.Header) bool {
	text := h.Get("Content-Type")
	if text == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(text)
	return err != nil || mediaType == "text/event-stream"
}

func (c *engineCall) interrupted(err error) error {
	reason := classifier.ReasonEndpointFailed
	if errors.Is(err, exchanger.ErrBuffersFull) {
		reason = classifier.ReasonQueueFull
	}
	return classifier.MayHaveRun(reason, 0, "stream from engine %q was interrupted: %w", c.at.Name, err)
}

// handOver waits until the part has been handled, or until the call is canceled before
// the part is accepted. An accepted part is always waited for, since its receiver may
// still read the response.
func (c *engineCall) handOver(p responsePart) error {
	select {
	case c.parts <- p:
	case <-c.ctx.Done():
		return c.canceled()
	}
	<-c.handled
	if c.ctx.Err() != nil {
		return c.canceled()
	}
	return nil
}

func (c *engineCall) canceled() error {
	return classifier.MayHaveRun(classifier.ReasonCanceled, 0, "call to engine %q was canceled: %w", c.at.Name, context.Cause(c.ctx))
}

// stop cancels the call and returns its end. A nil error means that the response was
// complete before.
func (c *engineCall) stop() callEnd {
	c.cancel()
	return <-c.ended
}

// arrival is what a stream waits for. One field is set, or none if the engine is
// overdue.
type arrival struct {
	part     *responsePart
	end      *callEnd
	prepared *replacementEnd
}

// await waits for the next arrival. What the engine has sent goes first, so that a
// stream isn't moved away from it.
func (c *engineCall) await(prepared <-chan replacementEnd, overdue <-chan time.Time) arrival {
	select {
	case p := <-c.parts:
		return arrival{part: &p}
	case e := <-c.ended:
		return arrival{end: &e}
	default:
	}
	select {
	case p := <-c.parts:
		return arrival{part: &p}
	case e := <-c.ended:
		return arrival{end: &e}
	case e := <-prepared:
		return arrival{prepared: &e}
	case <-overdue:
		return arrival{}
	}
}
