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
	errPeerTimeout = errors.New("no frames received from peer within the keepalive timeout")
	errIdleTimeout = errors.New("connection exceeded its idle timeout")
)

// queueFullRetryAfter is the retry delay suggested to senders when a send
// queue or the handler limit is full.
const queueFullRetryAfter = 50 * time.Millisecond

// call sends a request and waits for its reply. It returns errConnectionClosed
// if the connection closed before the request was queued; the request can then
// be sent on another connection.
func (c *connection) call(ctx context.Context, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	pool := &c.messenger.calls
	call, id, ok := c.calls.add(reply, pool)
	if !ok {
		return errConnectionClosed
	}
	e := peerwire.Envelope{Type: peerwire.FrameCall, ID: id, Kind: kind, TimeLeftMs: remainingMillis(ctx)}
	ordinal, err := c.enqueue(&e, request)
	if err != nil {
		c.discardCall(id, call)
		pool.Put(call)
		return err
	}
	select {
	case <-call.done:
	case <-ctx.Done():
		if c.calls.remove(id) != nil {
			pool.Put(call)
			return c.cancelCall(ctx, id, ordinal)
		}
		<-call.done
	}
	err = c.callResult(call, ordinal)
	pool.Put(call)
	return err
}

// discardCall ensures that no other goroutine can complete the call, so that
// it can be returned to the pool.
func (c *connection) discardCall(id uint64, call *pendingCall) {
	if c.calls.remove(id) == nil {
		<-call.done
	}
}

// callResult returns the error of a completed call. If the connection was lost,
// the call is NotRun only when its frame was still in the send queue.
func (c *connection) callResult(call *pendingCall, ordinal uint64) error {
	call.reply = nil
	if !call.connectionLost {
		return call.failure
	}
	if c.queue.withdraw(ordinal) {
		return classifier.NotRun(classifier.ReasonHostUnreachable, c.options.MinBackoff,
			"connection to host %q ended before the call was sent", c.peer.Host)
	}
	return classifier.MayHaveRun(classifier.ReasonHostUnreachable, c.options.MinBackoff,
		"connection to host %q ended before the reply was received", c.peer.Host)
}

// cancelCall handles a call whose context is done. It removes the request from
// the send queue or, if it was already sent, asks the peer to cancel it.
func (c *connection) cancelCall(ctx context.Context, id, ordinal uint64) error {
	if c.queue.withdraw(ordinal) {
		return notSentError(ctx, c.peer)
	}
	_ = c.send(&peerwire.Envelope{Type: peerwire.FrameCancel, ID: id}, nil) // losing the connection also cancels the handler
	return classifier.MayHaveRun(contextReason(ctx), 0, "call to host %q was abandoned: %w", c.peer.Host, ctx.Err())
}

func notSentError(ctx context.Context, to any) *classifier.Error {
	return classifier.NotRun(contextReason(ctx), 0, "call to %v was not sent: %w", to, ctx.Err())
}

// contextReason returns the reason that a context is done.
func contextReason(ctx context.Context) classifier.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return classifier.ReasonDeadline
	}
	return classifier.ReasonCanceled
}

// remainingMillis returns the milliseconds until the context's deadline,
// rounded up to at least 1, or 0 if it has none.
func remainingMillis(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	left := time.Until(deadline) + time.Millisecond - 1
	return uint64(max(left.Milliseconds(), 1))
}

// handleResponseFrame processes a frame received on a dialled connection.
func (c *connection) handleResponseFrame(e *peerwire.Envelope, payload []byte) error {
	switch e.Type {
	case peerwire.FrameReply:
		c.completeCall(e.ID, payload)
	case peerwire.FrameFailure:
		return c.failCall(e.ID, payload)
	case peerwire.FramePong:
	default:
		return fmt.Errorf("unexpected frame type %d on a dialled connection", e.Type)
	}
	return nil
}

func (c *connection) completeCall(id uint64, payload []byte) {
	call := c.calls.remove(id)
	if call == nil {
		return
	}
	if call.reply != nil {
		if _, err := call.reply.UnmarshalMsg(payload); err != nil {
			call.failure = classifier.MayHaveRun(classifier.ReasonInternal, 0, "decode reply from host %q: %w", c.peer.Host, err)
		}
	}
	call.done <- struct{}{}
}

func (c *connection) failCall(id uint64, payload []byte) error {
	failure, err := decodeFailure(payload)
	if err != nil {
		return err
	}
	if id == 0 {
		return failure
	}
	if call := c.calls.remove(id); call != nil {
		call.failure = failure
		call.done <- struct{}{}
	}
	return nil
}
