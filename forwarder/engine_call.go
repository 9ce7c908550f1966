package forwarder

import (
	"context"
	"errors"
	"io"
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

// callEnd is the error that ended a call; nil means that the response is complete.
type callEnd struct{ err error }

// responsePart is the head of a response, or one of its events.
type responsePart struct {
	head *exchanger.Response
	// event is a complete event with its ID. It is to be flushed if no further complete
	// event has arrived.
	event []byte
	id    string
	flush bool
	// partial is set if the event is what followed the last complete one.
	partial bool
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
	s.group.Run(func(context.Context) { c.ended <- callEnd{err: c.read(f)} })
	return c
}

// read hands over the response's parts. The trailing bytes of a complete stream are
// handed over as an event without an ID.
func (c *engineCall) read(f send) error {
	response, err := f(c.ctx)
	if err != nil {
		return err
	}
	defer response.Close()
	if err := c.handOver(responsePart{head: response}); err != nil {
		return err
	}
	events := newEventReader(response)
	for {
		event, err := events.next()
		if err != nil {
			return c.handOverRest(events, err)
		}
		if err := c.handOver(responsePart{event: event, id: events.id, flush: !events.buffered()}); err != nil {
			return err
		}
	}
}

// handOverRest hands over the bytes after the last event of a complete stream.
func (c *engineCall) handOverRest(events *eventReader, err error) error {
	if !errors.Is(err, io.EOF) {
		return classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "stream from engine %q was interrupted: %w", c.at.Name, err)
	}
	rest := events.trailing()
	if len(rest) == 0 {
		return nil
	}
	return c.handOver(responsePart{event: rest, partial: true})
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
