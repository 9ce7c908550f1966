package messenger

import (
	"errors"
	"sync"
)

var (
	errOutboxFull   = errors.New("send queue is full")
	errOutboxClosed = errors.New("connection is closed")
)

// buffer is a reusable slice for one encoded frame.
type buffer struct {
	bytes []byte
}

// maxPooledBytes bounds the buffers that are kept for reuse.
const maxPooledBytes = 64 << 10

// outbox queues the frames of one connection for its writer. A frame can be
// withdrawn until the writer has taken it, which is what proves that a call
// was never handed to the transport.
type outbox struct {
	wake chan struct{}

	mu       sync.Mutex
	frames   []*buffer // frames[i] has ordinal taken+1+i; nil: withdrawn
	spare    []*buffer
	bytes    int
	maxBytes int
	taken    uint64 // ordinal of the last frame that the writer took
	closed   bool
}

func newOutbox(maxBytes int) *outbox {
	return &outbox{wake: make(chan struct{}, 1), maxBytes: maxBytes}
}

// push queues a frame and gives its ordinal. A frame that is larger than the
// bound still goes into an empty queue.
func (o *outbox) push(frame *buffer) (uint64, error) {
	o.mu.Lock()
	if o.closed {
		o.mu.Unlock()
		return 0, errOutboxClosed
	}
	if o.bytes > 0 && o.bytes+len(frame.bytes) > o.maxBytes {
		o.mu.Unlock()
		return 0, errOutboxFull
	}
	o.frames = append(o.frames, frame)
	o.bytes += len(frame.bytes)
	ordinal := o.taken + uint64(len(o.frames))
	o.mu.Unlock()
	o.signal()
	return ordinal, nil
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// withdraw takes a frame out of the queue and tells whether the writer had
// not taken it; such a frame is never written.
func (o *outbox) withdraw(ordinal uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ordinal <= o.taken {
		return false
	}
	i := ordinal - o.taken - 1
	if frame := o.frames[i]; frame != nil {
		o.bytes -= len(frame.bytes)
		o.frames[i] = nil
	}
	return true
}

// take gives all queued frames to the writer; nil: none. The slice is valid
// until the next call.
func (o *outbox) take() []*buffer {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.frames) == 0 {
		return nil
	}
	frames := o.frames
	o.taken += uint64(len(frames))
	o.frames = o.spare[:0]
	o.spare = frames
	o.bytes = 0
	return frames
}

// close keeps the writer from taking any more.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.signal()
}
