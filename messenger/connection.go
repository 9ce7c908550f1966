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

// writeBatch is how many bytes go into one write at most, but for a frame
// that is larger by itself.
const writeBatch = 64 << 10

// silentKeepAlives is the number of keepalive periods without a frame after
// which a peer counts as gone.
const silentKeepAlives = 3

// connection is one TCP connection after its hellos. The side that dialled
// makes calls, the side that accepted handles them.
type connection struct {
	messenger *Messenger
	options   *Options
	raw       net.Conn
	frames    *FrameReader
	peer      Peer
	out       *outbox
	calls     callTable
	handlers  handlerTable
	ctx       context.Context
	cancel    context.CancelFunc
	failOnce  sync.Once
	heardAt   atomic.Int64 // unix nanoseconds of the last frame
	dialled   bool
	batch     []byte
	// ending is why the connection ends once the writer has told the peer.
	ending atomic.Pointer[error]
}

func newConnection(m *Messenger, raw net.Conn, frames *FrameReader, peer Peer, dialled bool) *connection {
	c := &connection{
		messenger: m,
		options:   &m.options,
		raw:       raw,
		frames:    frames,
		peer:      peer,
		dialled:   dialled,
		out:       newOutbox(m.options.MaxQueueBytes),
	}
	c.calls.waiting = map[uint64]*call{}
	c.handlers.running = map[uint64]context.CancelFunc{}
	c.ctx, c.cancel = context.WithCancel(m.ctx)
	c.heardAt.Store(time.Now().UnixNano())
	return c
}

func newFrameReader(raw net.Conn, o *Options) *FrameReader {
	return NewFrameReader(bufio.NewReader(raw), o.MaxFrameBytes)
}

// start runs the reader and the writer; false: the messenger is closed.
func (c *connection) start() bool {
	m := c.messenger
	if !m.track(c) {
		c.fail(errOutboxClosed)
		return false
	}
	started := m.start(c.read) && m.start(c.write)
	if !started {
		c.fail(errOutboxClosed)
	}
	return started
}

// fail ends the connection and completes its calls.
func (c *connection) fail(cause error) {
	c.failOnce.Do(func() {
		c.out.close()
		c.cancel()
		_ = c.raw.Close()
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
			c.heardAt.Store(time.Now().UnixNano())
			err = c.receive(&e, payload)
		}
		if err != nil {
			c.end(err)
			return
		}
	}
}

// end tells a peer whose frames can't be read why, and then ends the
// connection.
func (c *connection) end(cause error) {
	_, large := errors.AsType[*SizeError](cause)
	_, malformed := errors.AsType[*MalformedError](cause)
	if c.dialled || !large && !malformed || c.postFailure(0, cause) != nil {
		c.fail(cause)
		return
	}
	c.ending.Store(&cause)
	c.out.signal()
}

func (c *connection) receive(e *peerwire.Envelope, payload []byte) error {
	if c.dialled {
		return c.receiveAnswer(e, payload)
	}
	return c.receiveRequest(e, payload)
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
		case <-c.out.wake:
			runtime.Gosched() // lets callers add to the batch
			ending := c.ending.Load()
			err = c.flush()
			if err == nil && ending != nil {
				err = *ending
			}
		case now := <-ticker.C:
			err = c.tick(now, now.Sub(lastTick))
			lastTick = now
		}
		if err != nil {
			c.fail(err)
			return
		}
	}
}

// flush writes what is queued, several frames to a write.
func (c *connection) flush() error {
	frames := c.out.take()
	c.batch = c.batch[:0]
	for i, f := range frames {
		frames[i] = nil
		if f == nil {
			continue
		}
		if len(c.batch) > 0 && len(c.batch)+len(f.bytes) > writeBatch {
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
	err := c.raw.SetWriteDeadline(time.Now().Add(c.options.WriteTimeout))
	if err != nil {
		return err
	}
	n, err := c.raw.Write(c.batch)
	c.messenger.counters.sentBytes.Add(uint64(n))
	if cap(c.batch) > 2*writeBatch {
		c.batch = nil
	}
	c.batch = c.batch[:0]
	return err
}

// tick keeps the connection alive, or ends it when the peer is silent or no
// call needs it. After a pause of this process (a late tick) the silence
// proves nothing.
func (c *connection) tick(now time.Time, sinceLast time.Duration) error {
	keepAlive := c.options.KeepAlive
	if sinceLast > 2*keepAlive {
		c.heardAt.Store(now.UnixNano())
		return nil
	}
	silent := now.Sub(time.Unix(0, c.heardAt.Load()))
	busy := !c.calls.empty() || !c.handlers.empty()
	if busy && silent > silentKeepAlives*keepAlive {
		return errSilentPeer
	}
	if !c.dialled {
		if silent > 2*c.options.IdleTimeout {
			return errIdle
		}
		return nil
	}
	if busy {
		return c.post(&peerwire.Envelope{Type: peerwire.FramePing}, nil)
	}
	if silent > c.options.IdleTimeout && c.calls.closeIfEmpty() {
		return errIdle
	}
	return nil
}

// post queues a frame that nobody withdraws.
func (c *connection) post(e *peerwire.Envelope, payload msgp.Marshaler) error {
	_, err := c.queue(e, payload)
	return err
}

// queue encodes and queues a frame and gives its ordinal.
func (c *connection) queue(e *peerwire.Envelope, payload msgp.Marshaler) (uint64, error) {
	frame := c.messenger.getBuffer()
	var err error
	frame.bytes, err = AppendFrame(frame.bytes[:0], e, payload, c.options.MaxFrameBytes)
	if err != nil {
		c.messenger.putBuffer(frame)
		return 0, err
	}
	ordinal, err := c.out.push(frame)
	if err != nil {
		c.messenger.putBuffer(frame)
	}
	return ordinal, err
}
