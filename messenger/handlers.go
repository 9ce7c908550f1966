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

// handlerTable tracks the running handlers of one connection. Only handlers of
// calls, which have an ID, can be canceled individually.
type handlerTable struct {
	mu      sync.Mutex
	running map[uint64]context.CancelFunc
	count   int
}

// add registers a handler, or returns false if limit handlers are running.
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

// handleRequestFrame processes a frame received on an accepted connection.
func (c *connection) handleRequestFrame(e *peerwire.Envelope, payload []byte) error {
	switch e.Type {
	case peerwire.FrameCall, peerwire.FrameSend:
		return c.handle(*e, payload)
	case peerwire.FrameCancel:
		c.handlers.cancel(e.ID)
	case peerwire.FramePing:
		return c.send(&peerwire.Envelope{Type: peerwire.FramePong}, nil)
	default:
		return fmt.Errorf("unexpected frame type %d on an accepted connection", e.Type)
	}
	return nil
}

// handle starts the handler for a message, or rejects the message if its kind
// is unknown or too many handlers are running.
func (c *connection) handle(e peerwire.Envelope, payload []byte) error {
	if e.Type == peerwire.FrameSend {
		e.ID = 0
	}
	h := c.messenger.handlers[e.Kind]
	if h == nil {
		return c.rejectMessage(e, classifier.NotRun(classifier.ReasonBadRequest, 0,
			"host %q does not support messages of kind %d", c.messenger.self.Host, e.Kind))
	}
	ctx, cancel := c.handlerContext(e.TimeLeftMs)
	if !c.handlers.add(e.ID, cancel, c.options.MaxHandlers) {
		cancel()
		return c.rejectMessage(e, classifier.NotRun(classifier.ReasonQueueFull, queueFullRetryAfter,
			"host %q is at its limit of %d concurrent handlers per peer", c.messenger.self.Host, c.options.MaxHandlers))
	}
	payload = bytes.Clone(payload)
	// The calling reader runs in the group, so the group cannot have ended.
	c.messenger.group.Run(func(context.Context) {
		defer cancel()
		defer c.handlers.remove(e.ID)
		c.runHandler(ctx, e, h, payload)
	})
	return nil
}

func (c *connection) handlerContext(remainingMillis uint64) (context.Context, context.CancelFunc) {
	if remainingMillis == 0 {
		return context.WithCancel(c.ctx)
	}
	const maxTimeout = 24 * time.Hour
	left := min(remainingMillis, uint64(maxTimeout/time.Millisecond))
	return context.WithTimeout(c.ctx, time.Duration(left)*time.Millisecond)
}

func (c *connection) runHandler(ctx context.Context, e peerwire.Envelope, h Handler, payload []byte) {
	reply, err := c.callHandler(ctx, e.Kind, h, payload)
	if e.Type == peerwire.FrameSend {
		if err != nil {
			c.logRejected(e.Kind, err)
		}
		return
	}
	if err == nil {
		err = c.reply(e.ID, reply)
	}
	if err == nil {
		return
	}
	if err := c.sendFailure(e.ID, err); err != nil {
		c.fail(err)
	}
}

// callHandler calls a handler. If it panics, that is the message's failure and not the
// end of the process.
func (c *connection) callHandler(ctx context.Context, k peerwire.Kind, h Handler, payload []byte) (reply msgp.Marshaler, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			c.options.Logger.Error("handler-panicked",
				zap.Uint8("kind", uint8(k)), zap.String("peer", string(c.peer.Host)),
				zap.Any("cause", cause), zap.Stack("stack"))
			reply, err = nil, classifier.MayHaveRun(classifier.ReasonInternal, 0, "handler of kind %d failed: %v", k, cause)
		}
	}()
	return h(ctx, c.peer, payload)
}

// reply queues a reply. For a reply over the size limit it returns the error to
// send to the caller instead.
func (c *connection) reply(id uint64, reply msgp.Marshaler) error {
	err := c.send(&peerwire.Envelope{Type: peerwire.FrameReply, ID: id}, reply)
	if _, ok := errors.AsType[*SizeError](err); ok {
		return classifier.MayHaveRun(classifier.ReasonTooLarge, 0, "reply: %w", err)
	}
	return err
}

func (c *connection) sendFailure(id uint64, err error) error {
	return c.send(&peerwire.Envelope{Type: peerwire.FrameFailure, ID: id}, encodeFailure(err))
}

func (c *connection) rejectMessage(e peerwire.Envelope, err error) error {
	if e.Type == peerwire.FrameSend {
		c.logRejected(e.Kind, err)
		return nil
	}
	return c.sendFailure(e.ID, err)
}

func (c *connection) logRejected(kind peerwire.Kind, err error) {
	c.options.Logger.Warn("message-refused", zap.String("peer", string(c.peer.Host)),
		zap.Uint8("kind", uint8(kind)), zap.Error(err))
}
