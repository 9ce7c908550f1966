package messenger

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

var (
	errSilentPeer = errors.New("peer is silent")
	errIdle       = errors.New("connection is idle")
)

// fullRetryAfter is the hint that goes with a full queue.
const fullRetryAfter = 50 * time.Millisecond

// call makes one call. A closed connection gives errOutboxClosed before
// anything was queued, and the caller may take another connection.
func (c *connection) call(ctx context.Context, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	pool := &c.messenger.calls
	w, id, ok := c.calls.add(reply, pool)
	if !ok {
		return errOutboxClosed
	}
	e := peerwire.Envelope{Type: peerwire.FrameCall, ID: id, Kind: kind, Left: timeLeft(ctx)}
	ordinal, err := c.queue(&e, request)
	if err != nil {
		c.takeBack(id, w)
		pool.Put(w)
		return err
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		if c.calls.remove(id) != nil {
			pool.Put(w)
			return c.abandon(ctx, id, ordinal)
		}
		<-w.done
	}
	err = c.outcome(w, ordinal)
	pool.Put(w)
	return err
}

// takeBack makes sure that nobody completes w any more.
func (c *connection) takeBack(id uint64, w *call) {
	if c.calls.remove(id) == nil {
		<-w.done
	}
}

func (c *connection) outcome(w *call, ordinal uint64) error {
	w.reply = nil
	if !w.lost {
		return w.failure
	}
	if c.out.withdraw(ordinal) {
		return classifier.NotRun(classifier.ReasonHostUnreachable, c.options.MinBackoff,
			"connection to host %q ended before the call was sent", c.peer.Host)
	}
	return classifier.MayHaveRun(classifier.ReasonHostUnreachable, c.options.MinBackoff,
		"connection to host %q ended before its reply", c.peer.Host)
}

// abandon ends a call whose context has ended.
func (c *connection) abandon(ctx context.Context, id, ordinal uint64) error {
	if c.out.withdraw(ordinal) {
		return notSent(ctx, c.peer)
	}
	_ = c.post(&peerwire.Envelope{Type: peerwire.FrameCancel, ID: id}, nil) // a lost connection cancels as well
	return classifier.MayHaveRun(endReason(ctx), 0, "call to host %q was given up: %w", c.peer.Host, ctx.Err())
}

func notSent(ctx context.Context, to any) *classifier.Error {
	return classifier.NotRun(endReason(ctx), 0, "call to %v was not sent: %w", to, ctx.Err())
}

func endReason(ctx context.Context) classifier.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return classifier.ReasonDeadline
	}
	return classifier.ReasonCanceled
}

// timeLeft gives the milliseconds to the context's deadline, rounded up; 0:
// none.
func timeLeft(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	left := time.Until(deadline) + time.Millisecond - 1
	return uint64(max(left.Milliseconds(), 1))
}

// receiveAnswer takes a frame on the side that dialled.
func (c *connection) receiveAnswer(e *peerwire.Envelope, payload []byte) error {
	switch e.Type {
	case peerwire.FrameReply:
		c.complete(e.ID, payload)
	case peerwire.FrameFailure:
		return c.completeFailed(e.ID, payload)
	case peerwire.FramePong:
	default:
		return fmt.Errorf("frame of type %d is not expected on a dialled connection", e.Type)
	}
	return nil
}

func (c *connection) complete(id uint64, payload []byte) {
	w := c.calls.remove(id)
	if w == nil {
		return
	}
	if w.reply != nil {
		if _, err := w.reply.UnmarshalMsg(payload); err != nil {
			w.failure = classifier.MayHaveRun(classifier.ReasonInternal, 0, "reply of host %q: %w", c.peer.Host, err)
		}
	}
	w.done <- struct{}{}
}

func (c *connection) completeFailed(id uint64, payload []byte) error {
	failure, err := decodeFailure(payload)
	if err != nil {
		return err
	}
	if id == 0 {
		return failure
	}
	if w := c.calls.remove(id); w != nil {
		w.failure = failure
		w.done <- struct{}{}
	}
	return nil
}
