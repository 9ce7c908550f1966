package faulter

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// maxChunk is the most that is read from a connection at once.
const maxChunk = 16 << 10

// conn is a dialled connection whose two directions suffer faults.
type conn struct {
	net.Conn
	network  *Network
	from, to identifier.Host
	closed   chan struct{}
	once     sync.Once
	outgoing *lane
	incoming *lane

	pending *chunk // that Read waits for
	rest    []byte // of the chunk that Read has begun

	mu       sync.Mutex
	deadline time.Time // of reads
}

// chunk is bytes that arrive at a time, or the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// lane is one direction: chunks in order, each with its time.
type lane struct {
	from, to identifier.Host
	chunks   chan chunk
}

// laneChunks bounds the chunks that a lane holds back.
const laneChunks = 4096

func (n *Network) wrap(raw net.Conn, from, to identifier.Host) *conn {
	c := &conn{
		Conn:     raw,
		network:  n,
		from:     from,
		to:       to,
		closed:   make(chan struct{}),
		outgoing: &lane{from: from, to: to, chunks: make(chan chunk, laneChunks)},
		incoming: &lane{from: to, to: from, chunks: make(chan chunk, laneChunks)},
	}
	n.mu.Lock()
	n.open[c] = struct{}{}
	n.mu.Unlock()
	n.group.Run(c.pumpOut)
	n.group.Run(c.pumpIn)
	return c
}

// put queues a chunk; false: the connection was closed.
func (c *conn) put(l *lane, data []byte, err error) bool {
	if c.closedError() != nil {
		return false
	}
	k := chunk{data: data, err: err, due: time.Now().Add(c.network.delay(l.from, l.to))}
	select {
	case <-c.closed:
		return false // also where the lane has room
	default:
	}
	select {
	case l.chunks <- k:
		return true
	case <-c.closed:
		return false
	}
}

// hold waits until the chunk may arrive. Its error says that ctx or the
// connection ended first.
func (c *conn) hold(ctx context.Context, l *lane, k chunk) error {
	if err := c.waitUntil(ctx, k.due); err != nil {
		return err
	}
	for {
		blocked, changed := c.network.blocked(l.from, l.to)
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

// waitUntil waits until due. It makes no timer for a time that has come: with
// virtual time the race detector of Go 1.26 fails when several goroutines
// select on timers that are due.
func (c *conn) waitUntil(ctx context.Context, due time.Time) error {
	wait := time.Until(due)
	if wait <= 0 {
		return c.closedError()
	}
	alarm := time.NewTimer(wait)
	defer alarm.Stop()
	select {
	case <-alarm.C:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-ctx.Done():
		return os.ErrDeadlineExceeded
	}
}

// closedError gives net.ErrClosed for a closed connection, or nil.
func (c *conn) closedError() error {
	select {
	case <-c.closed:
		return net.ErrClosed
	default:
		return nil
	}
}

func (c *conn) pumpOut(ctx context.Context) {
	defer func() { _ = c.Close() }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.closed:
			return
		case k := <-c.outgoing.chunks:
			if c.hold(ctx, c.outgoing, k) != nil {
				return
			}
			if _, err := c.Conn.Write(k.data); err != nil {
				return
			}
		}
	}
}

func (c *conn) pumpIn(context.Context) {
	for {
		data := make([]byte, maxChunk)
		n, err := c.Conn.Read(data)
		if !c.put(c.incoming, data[:n], err) || err != nil {
			return
		}
	}
}

// Write queues a copy of p, which arrives when the faults allow it.
func (c *conn) Write(p []byte) (int, error) {
	if !c.put(c.outgoing, append([]byte(nil), p...), nil) {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

// Read gives what has arrived, or os.ErrDeadlineExceeded. A deadline that is
// set while it waits doesn't count.
func (c *conn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// next waits for a chunk, and keeps it for later when the wait is cut short.
func (c *conn) next() error {
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
	if err := c.hold(ctx, c.incoming, *c.pending); err != nil {
		return err
	}
	k := c.pending
	c.pending = nil
	c.rest = k.data
	if len(k.data) == 0 {
		return k.err
	}
	return nil
}

// readContext ends with the deadline of reads.
func (c *conn) readContext() (context.Context, context.CancelFunc) {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if deadline.IsZero() {
		return context.Background(), func() {}
	}
	return context.WithDeadline(context.Background(), deadline)
}

// Close breaks the connection; what is held back is lost.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.open, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// SetDeadline sets the deadline of reads; writes never wait.
func (c *conn) SetDeadline(t time.Time) error {
	return c.SetReadDeadline(t)
}

// SetReadDeadline sets the deadline of the reads that follow.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

// SetWriteDeadline does nothing: writes never wait.
func (c *conn) SetWriteDeadline(time.Time) error {
	return nil
}
