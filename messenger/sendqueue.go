package messenger

import (
	"errors"
	"sync"
)

var (
	errQueueFull        = errors.New("send queue is full")
	errConnectionClosed = errors.New("connection is closed")
)

// buffer is a pooled buffer for one encoded frame.
type buffer struct {
	bytes []byte
}

// maxPooledBytes is the capacity above which buffers are not pooled.
const maxPooledBytes = 64 << 10

// sendQueue holds the frames to be written on one connection. A frame can be
// withdrawn until the writer takes it; a withdrawn frame proves that a call was
// never handed to the transport.
type sendQueue struct {
	wake chan struct{}

	mu        sync.Mutex
	frames    []*buffer // frames[i] has ordinal lastTaken+1+i; nil if withdrawn
	spare     []*buffer
	bytes     int
	maxBytes  int
	lastTaken uint64 // ordinal of the last frame that the writer took
	closed    bool
}

func newSendQueue(maxBytes int) *sendQueue {
	return &sendQueue{wake: make(chan struct{}, 1), maxBytes: maxBytes}
}

// push queues a frame and returns its ordinal. An empty queue accepts a frame
// of any size.
func (q *sendQueue) push(frame *buffer) (uint64, error) {
	q.mu.Lock()
	if q.closed {
		q.mu.Unlock()
		return 0, errConnectionClosed
	}
	if q.bytes > 0 && q.bytes+len(frame.bytes) > q.maxBytes {
		q.mu.Unlock()
		return 0, errQueueFull
	}
	q.frames = append(q.frames, frame)
	q.bytes += len(frame.bytes)
	ordinal := q.lastTaken + uint64(len(q.frames))
	q.mu.Unlock()
	q.signal()
	return ordinal, nil
}

func (q *sendQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// withdraw removes a frame from the queue, so that it is never written. It
// returns false if the writer has already taken the frame.
func (q *sendQueue) withdraw(ordinal uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if ordinal <= q.lastTaken {
		return false
	}
	i := ordinal - q.lastTaken - 1
	if frame := q.frames[i]; frame != nil {
		q.bytes -= len(frame.bytes)
		q.frames[i] = nil
	}
	return true
}

// takeAll removes and returns all queued frames, or nil if there are none. The
// slice is valid until the next call.
func (q *sendQueue) takeAll() []*buffer {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.frames) == 0 {
		return nil
	}
	frames := q.frames
	q.lastTaken += uint64(len(frames))
	q.frames = q.spare[:0]
	q.spare = frames
	q.bytes = 0
	return frames
}

// queuedBytes returns the size of the frames that the writer hasn't taken.
func (q *sendQueue) queuedBytes() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes
}

// close rejects further frames and discards the queued ones.
func (q *sendQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.signal()
}
