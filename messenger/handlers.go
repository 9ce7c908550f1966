package messenger

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// handlerTable holds the handlers that run for one connection.
type handlerTable struct {
	mu      sync.Mutex
	running map[uint64]context.CancelFunc
	count   int
}

// add counts a handler in; false: there are limit of them.
func (t *handlerTable) add(id uint64, cancel context.CancelFunc, limit int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count >= limit {
		return false
	}
	t.count++
	if id != 0 {
		t.running[id] = cancel
	}
	return true
}

func (t *handlerTable) remove(id uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count--
	delete(t.running, id)
}

func (t *handlerTable) cancel(id uint64) {
	t.mu.Lock()
	cancel := t.running[id]
	t.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (t *handlerTable) empty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count == 0
}

// receiveRequest takes a frame on the side that accepted.
func (c *connection) receiveRequest(e *peerwire.Envelope, payload []byte) error {
	switch e.Type {
	case peerwire.FrameCall, peerwire.FrameSend:
		return c.handle(*e, payload)
	case peerwire.FrameCancel:
		c.handlers.cancel(e.ID)
	case peerwire.FramePing:
		return c.post(&peerwire.Envelope{Type: peerwire.FramePong}, nil)
	default:
		return fmt.Errorf("frame of type %d is not expected on an accepted connection", e.Type)
	}
	return nil
}

// handle starts the handler, or refuses when none may run.
func (c *connection) handle(e peerwire.Envelope, payload []byte) error {
	if e.Type == peerwire.FrameSend {
		e.ID = 0
	}
	h := c.messenger.handlers[e.Kind]
	if h == nil {
		return c.refuse(e, classifier.NotRun(classifier.ReasonBadRequest, 0,
			"host %q does not know messages of kind %d", c.messenger.self.Host, e.Kind))
	}
	ctx, cancel := c.handlerContext(e.Left)
	if !c.handlers.add(e.ID, cancel, c.options.MaxHandlers) {
		cancel()
		return c.refuse(e, classifier.NotRun(classifier.ReasonQueueFull, fullRetryAfter,
			"host %q runs %d handlers for one peer", c.messenger.self.Host, c.options.MaxHandlers))
	}
	payload = bytes.Clone(payload)
	// The reader is a member of the group, so the group can't have ended.
	c.messenger.group.Run(func(context.Context) {
		defer cancel()
		defer c.handlers.remove(e.ID)
		c.answer(ctx, e, h, payload)
	})
	return nil
}

func (c *connection) handlerContext(leftMillis uint64) (context.Context, context.CancelFunc) {
	if leftMillis == 0 {
		return context.WithCancel(c.ctx)
	}
	const maxLeft = 24 * time.Hour
	left := min(leftMillis, uint64(maxLeft/time.Millisecond))
	return context.WithTimeout(c.ctx, time.Duration(left)*time.Millisecond)
}

func (c *connection) answer(ctx context.Context, e peerwire.Envelope, h Handler, payload []byte) {
	reply, err := h(ctx, c.peer, payload)
	if e.Type == peerwire.FrameSend {
		if err != nil {
			c.logRefused(e.Kind, err)
		}
		return
	}
	if err == nil {
		err = c.reply(e.ID, reply)
	}
	if err == nil {
		return
	}
	if err := c.postFailure(e.ID, err); err != nil {
		c.fail(err)
	}
}

// reply queues the reply; an oversized one gives a failure to send instead.
func (c *connection) reply(id uint64, reply msgp.Marshaler) error {
	err := c.post(&peerwire.Envelope{Type: peerwire.FrameReply, ID: id}, reply)
	if _, ok := errors.AsType[*SizeError](err); ok {
		return classifier.MayHaveRun(classifier.ReasonTooLarge, 0, "reply: %w", err)
	}
	return err
}

func (c *connection) postFailure(id uint64, err error) error {
	return c.post(&peerwire.Envelope{Type: peerwire.FrameFailure, ID: id}, encodeFailure(err))
}

func (c *connection) refuse(e peerwire.Envelope, err error) error {
	if e.Type == peerwire.FrameSend {
		c.logRefused(e.Kind, err)
		return nil
	}
	return c.postFailure(e.ID, err)
}

func (c *connection) logRefused(kind peerwire.Kind, err error) {
	c.options.Logger.Warn("message-refused", zap.String("peer", string(c.peer.Host)),
		zap.Uint8("kind", uint8(kind)), zap.Error(err))
}
