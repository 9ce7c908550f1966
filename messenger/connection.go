package messenger

import (
	"bufio"
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/peerwire"
)

// maxBatchBytes limits the bytes combined into one write. A single frame may
// exceed it.
const maxBatchBytes = 64 << 10

// maxMissedKeepAlives is the number of keepalive periods without a received
// frame after which the peer is considered unreachable.
const maxMissedKeepAlives = 3

// connection is a TCP connection that has completed the hello exchange. The
// dialling side makes calls and the accepting side handles them.
type connection struct {
	messenger    *Messenger
	options      *Options
	conn         net.Conn
	frames       *FrameReader
	peer         Peer
	queue        *sendQueue
	calls        callTable
	handlers     handlerTable
	ctx          context.Context
	cancel       context.CancelFunc
	failOnce     sync.Once
	lastReceived atomic.Int64 // unix nanoseconds of the last frame
	dialled      bool
	batch        []byte
	// closeCause, if set, is the error with which the writer closes the
	// connection after it has flushed the queue.
	closeCause atomic.Pointer[error]
}

func newConnection(m *Messenger, conn net.Conn, frames *FrameReader, peer Peer, dialled bool) *connection {
	c := &connection{
		messenger: m,
		options:   &m.options,
		conn:      conn,
		frames:    frames,
		peer:      peer,
		dialled:   dialled,
		queue:     newSendQueue(m.options.MaxQueueBytes),
	}
	c.calls.pending = map[uint64]*pendingCall{}
	c.handlers.running = map[uint64]context.CancelFunc{}
	c.ctx, c.cancel = context.WithCancel(m.ctx)
	c.lastReceived.Store(time.Now().UnixNano())
	return c
}

func newFrameReader(conn net.Conn, o *Options) *FrameReader {
	return NewFrameReader(bufio.NewReader(conn), o.MaxFrameBytes)
}

// start starts the reader and the writer. It returns false if the messenger is
// closed.
func (c *connection) start() bool {
	m := c.messenger
	if !m.track(c) {
		c.fail(errConnectionClosed)
		return false
	}
	started := m.start(c.read) && m.start(c.write)
	if !started {
		c.fail(errConnectionClosed)
	}
	return started
}

// fail closes the connection and completes its pending calls as lost.
func (c *connection) fail(cause error) {
	c.failOnce.Do(func() {
		c.queue.close()
		c.cancel()
		_ = c.conn.Close()
		c.calls.close()
		c.messenger.untrack(c)
		c.options.Logger.Debug("connection-ended", zap.String("peer", string(c.peer.Host)), zap.Error(cause))
	})
}

func (c *connection) read(context.Context) {
	var e peerwire.Envelope
	for {
		payload, err := c.frames.Read(&e)
		if err == nil {
			c.lastReceived.Store(time.Now().UnixNano())
			err = c.handleFrame(&e, payload)
		}
		if err != nil {
			c.failWithNotice(err)
			return
		}
	}
}

// failWithNotice closes the connection. A peer that sent an oversized or
// malformed frame on an accepted connection first receives a failure frame
// with the cause.
func (c *connection) failWithNotice(cause error) {
	_, large := errors.AsType[*SizeError](cause)
	_, malformed := errors.AsType[*MalformedError](cause)
	if c.dialled || !large && !malformed || c.sendFailure(0, cause) != nil {
		c.fail(cause)
		return
	}
	c.closeCause.Store(&cause)
	c.queue.signal()
}

func (c *connection) handleFrame(e *peerwire.Envelope, payload []byte) error {
	if c.dialled {
		return c.handleResponseFrame(e, payload)
	}
	return c.handleRequestFrame(e, payload)
}

func (c *connection) write(context.Context) {
	ticker := time.NewTicker(c.options.KeepAlive)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		var err error
		select {
		case <-c.ctx.Done():
			err = c.ctx.Err()
		case <-c.queue.wake:
			runtime.Gosched() // lets other callers add frames to the batch
			closeCause := c.closeCause.Load()
			err = c.flush()
			if err == nil && closeCause != nil {
				err = *closeCause
			}
		case now := <-ticker.C:
			err = c.checkLiveness(now, now.Sub(lastTick))
			lastTick = now
		}
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// flush writes all queued frames, combining several frames per write.
func (c *connection) flush() error {
	frames := c.queue.takeAll()
	c.batch = c.batch[:0]
	for i, f := range frames {
		frames[i] = nil
		if f == nil {
			continue
		}
		if len(c.batch) > 0 && len(c.batch)+len(f.bytes) > maxBatchBytes {
			if err := c.writeBatch(); err != nil {
				return err
			}
		}
		c.batch = append(c.batch, f.bytes...)
		c.messenger.putBuffer(f)
	}
	return c.writeBatch()
}

func (c *connection) writeBatch() error {
	if len(c.batch) == 0 {
		return nil
	}
	err := c.conn.SetWriteDeadline(time.Now().Add(c.options.WriteTimeout))
	if err != nil {
		return err
	}
	n, err := c.conn.Write(c.batch)
	c.messenger.counters.sentBytes.Add(uint64(n))
	if cap(c.batch) > 2*maxBatchBytes {
		c.batch = nil
	}
	c.batch = c.batch[:0]
	return err
}

// checkLiveness sends a ping while calls are pending, and returns an error when
// the peer has stopped responding or the connection is idle. A late tick means
// that this process was paused, so missing frames do not indicate a failed peer.
func (c *connection) checkLiveness(now time.Time, sinceLast time.Duration) error {
	keepAlive := c.options.KeepAlive
	if sinceLast > 2*keepAlive {
		c.lastReceived.Store(now.UnixNano())
		return nil
	}
	silent := now.Sub(time.Unix(0, c.lastReceived.Load()))
	busy := !c.calls.empty() || !c.handlers.empty()
	if busy && silent > maxMissedKeepAlives*keepAlive {
		return errPeerTimeout
	}
	if !c.dialled {
		if silent > 2*c.options.IdleTimeout {
			return errIdleTimeout
		}
		return nil
	}
	if busy {
		return c.send(&peerwire.Envelope{Type: peerwire.FramePing}, nil)
	}
	if silent > c.options.IdleTimeout && c.calls.closeIfEmpty() {
		return errIdleTimeout
	}
	return nil
}

// send queues a frame that is never withdrawn.
func (c *connection) send(e *peerwire.Envelope, payload msgp.Marshaler) error {
	_, err := c.enqueue(e, payload)
	return err
}

// enqueue encodes and queues a frame and returns its ordinal, by which it can
// be withdrawn.
func (c *connection) enqueue(e *peerwire.Envelope, payload msgp.Marshaler) (uint64, error) {
	frame := c.messenger.getBuffer()
	var err error
	frame.bytes, err = AppendFrame(frame.bytes[:0], e, payload, c.options.MaxFrameBytes)
	if err != nil {
		c.messenger.putBuffer(frame)
		return 0, err
	}
	ordinal, err := c.queue.push(frame)
	if err != nil {
		c.messenger.putBuffer(frame)
	}
	return ordinal, err
}
