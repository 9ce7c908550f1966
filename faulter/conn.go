package faulter

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// maxChunk is the maximum number of bytes read from a connection at once.
const maxChunk = 16 << 10

// conn is a dialed connection to which faults are applied in both directions.
type conn struct {
	net.Conn
	network   *Network
	from, to  identifier.Host
	closed    chan struct{}
	closeOnce sync.Once
	outgoing  *chunkQueue
	incoming  *chunkQueue

	pending *chunk // chunk that Read is waiting to deliver
	unread  []byte // remainder of a partly read chunk

	mu           sync.Mutex
	readDeadline time.Time
}

// chunk is data, or the error that ends the stream, with its delivery time.
type chunk struct {
	data      []byte
	deliverAt time.Time
	err       error
}

// chunkQueue holds the undelivered chunks of one direction in order.
type chunkQueue struct {
	from, to identifier.Host
	chunks   chan chunk
}

// maxQueuedChunks bounds the undelivered chunks of one direction.
const maxQueuedChunks = 4096

func (n *Network) wrap(raw net.Conn, from, to identifier.Host) *conn {
	c := &conn{
		Conn:     raw,
		network:  n,
		from:     from,
		to:       to,
		closed:   make(chan struct{}),
		outgoing: &chunkQueue{from: from, to: to, chunks: make(chan chunk, maxQueuedChunks)},
		incoming: &chunkQueue{from: to, to: from, chunks: make(chan chunk, maxQueuedChunks)},
	}
	n.mu.Lock()
	n.conns[c] = struct{}{}
	n.mu.Unlock()
	n.group.Run(c.writeLoop)
	n.group.Run(c.readLoop)
	return c
}

// enqueue schedules data or err for delivery. It returns false if the connection
// is closed.
func (c *conn) enqueue(q *chunkQueue, data []byte, err error) bool {
	if c.closedError() != nil {
		return false
	}
	k := chunk{data: data, err: err, deliverAt: time.Now().Add(c.network.randomDelay(q.from, q.to))}
	select {
	case <-c.closed:
		return false // the select below might still choose a queue with free capacity
	default:
	}
	select {
	case q.chunks <- k:
		return true
	case <-c.closed:
		return false
	}
}

// awaitDelivery waits until the chunk's delivery time has passed and its
// direction is not blocked. It returns an error if ctx ends or the connection is
// closed first.
func (c *conn) awaitDelivery(ctx context.Context, q *chunkQueue, k chunk) error {
	if err := c.waitUntil(ctx, k.deliverAt); err != nil {
		return err
	}
	for {
		blocked, changed := c.network.blocked(q.from, q.to)
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-c.closed:
			return net.ErrClosed
		case <-ctx.Done():
			return os.ErrDeadlineExceeded
		}
	}
}

// waitUntil waits until due. It starts no timer for a time that has passed:
// with virtual time, the race detector of Go 1.26 fails when several goroutines
// select on expired timers.
func (c *conn) waitUntil(ctx context.Context, due time.Time) error {
	wait := time.Until(due)
	if wait <= 0 {
		return c.closedError()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-ctx.Done():
		return os.ErrDeadlineExceeded
	}
}

// closedError returns net.ErrClosed if the connection is closed, or nil.
func (c *conn) closedError() error {
	select {
	case <-c.closed:
		return net.ErrClosed
	default:
		return nil
	}
}

func (c *conn) writeLoop(ctx context.Context) {
	defer func() { _ = c.Close() }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.closed:
			return
		case k := <-c.outgoing.chunks:
			if c.awaitDelivery(ctx, c.outgoing, k) != nil {
				return
			}
			if _, err := c.Conn.Write(k.data); err != nil {
				return
			}
		}
	}
}

func (c *conn) readLoop(context.Context) {
	for {
		data := make([]byte, maxChunk)
		n, err := c.Conn.Read(data)
		if !c.enqueue(c.incoming, data[:n], err) || err != nil {
			return
		}
	}
}

// Write queues a copy of p for delivery. It blocks only while maxQueuedChunks
// are queued.
func (c *conn) Write(p []byte) (int, error) {
	if !c.enqueue(c.outgoing, append([]byte(nil), p...), nil) {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

// Read returns delivered data. After the read deadline it returns
// os.ErrDeadlineExceeded; a deadline that is set during a Read applies to the
// next one.
func (c *conn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if err := c.nextChunk(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// nextChunk waits for a chunk. If the wait is interrupted, it keeps the chunk for
// the next call.
func (c *conn) nextChunk() error {
	ctx, cancel := c.readContext()
	defer cancel()
	if c.pending == nil {
		select {
		case k := <-c.incoming.chunks:
			c.pending = &k
		case <-c.closed:
			return net.ErrClosed
		case <-ctx.Done():
			return os.ErrDeadlineExceeded
		}
	}
	if err := c.awaitDelivery(ctx, c.incoming, *c.pending); err != nil {
		return err
	}
	k := c.pending
	c.pending = nil
	c.unread = k.data
	if len(k.data) == 0 {
		return k.err
	}
	return nil
}

// readContext returns a context that ends at the read deadline.
func (c *conn) readContext() (context.Context, context.CancelFunc) {
	c.mu.Lock()
	deadline := c.readDeadline
	c.mu.Unlock()
	if deadline.IsZero() {
		return context.Background(), func() {}
	}
	return context.WithDeadline(context.Background(), deadline)
}

// Close closes the connection and discards undelivered data.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// SetDeadline sets the read deadline; writes have none.
func (c *conn) SetDeadline(t time.Time) error {
	return c.SetReadDeadline(t)
}

// SetReadDeadline sets the deadline of later reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return nil
}

// SetWriteDeadline does nothing: writes are queued, so they rarely block.
func (c *conn) SetWriteDeadline(time.Time) error {
	return nil
}
