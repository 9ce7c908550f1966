package acceptor

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/budgeter"
	"github.com/jackdawthread/jackdawthread/common/socket"
)

// phase is what a connection's reader does.
type phase uint8

const (
	// phaseWaiting: no byte has been read since the connection was accepted, or since
	// the last answer.
	phaseWaiting phase = iota
	// phaseHeader: a byte of a request has been read, but not its whole header.
	phaseHeader
	// phaseServing: the request's header has been read, and its answer isn't complete.
	phaseServing
)

const (
	// headerTimeoutAnswer refuses a request whose header didn't arrive in time.
	headerTimeoutAnswer = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusalTimeout bounds the time to send headerTimeoutAnswer.
	refusalTimeout = 100 * time.Millisecond
)

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

// Connection is a caller's connection. It is safe for concurrent use.
type Connection struct {
	net.Conn
	acceptor *Acceptor
	accepted time.Time
	// own and head account for the connection and for its current head.
	own, head *budgeter.Holder
	// taken is what head has, and receiving is set while the head arrives. The goroutine
	// that serves the connection has both.
	taken     int64
	receiving bool

	mu    sync.Mutex
	phase phase
	// since is the start of the phase.
	since time.Time
	// limit is the largest limit that applied to the phase so far.
	limit time.Duration
	// asked is the reason for which the connection should end; empty if there is none.
	asked Reason
	// last is set if the connection's next answer has to be the last one.
	last bool
	// readAhead is set if a byte of the next request has been read during phaseServing.
	readAhead bool
	// scanner counts the current head.
	scanner headScanner
	// served is set once the connection has had a whole request.
	served bool
	// cancel ends the contexts of the connection's requests.
	cancel context.CancelCauseFunc
	closed bool

	// isHTTP2 is set once the beginning of http2Preface was read, if the Acceptor allows
	// HTTP/2. The other fields then have no effect.
	isHTTP2 atomic.Bool
	// beginning holds the first bytes that were read, as many as http2Preface has.
	beginning []byte
	// deadline is the last one that net/http set outside of phaseServing.
	deadline time.Time
}

// http2Preface is how a connection of HTTP/2 begins, and no request of HTTP/1.1.
const http2Preface = "PRI"

// Read implements net.Conn. It returns io.EOF if the connection was asked to end and
// has no request.
func (c *Connection) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 {
			now := time.Now()
			if c.noteRead(now, b[:n], len(b)) {
				c.own.Keep()
			}
			if closing := c.accountHead(b[:n], now); closing != nil {
				return 0, c.end(closing)
			}
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		closing, readAgain := c.decide(time.Now())
		if closing != nil {
			return 0, c.end(closing)
		}
		if !readAgain {
			return n, err
		}
	}
}

// noteRead records that b was read into a buffer of the given size. It returns true if a
// request begins with it.
func (c *Connection) noteRead(now time.Time, b []byte, size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recognize(b)
	switch {
	case c.isHTTP2.Load():
	case c.phase == phaseWaiting:
		c.last = c.asked != ""
		c.startHeader(now, c.acceptor.currentLimits())
		return true
	case c.phase == phaseServing:
		// net/http watches for the caller's disconnect with reads of one byte.
		c.readAhead = c.readAhead || size == 1
	}
	return false
}

// recognize sets isHTTP2 from the connection's first bytes. The caller holds the lock.
func (c *Connection) recognize(b []byte) {
	missing := len(http2Preface) - len(c.beginning)
	if !c.acceptor.allowHTTP2 || missing == 0 {
		return
	}
	c.beginning = append(c.beginning, b[:min(missing, len(b))]...)
	if string(c.beginning) != http2Preface {
		return
	}
	c.isHTTP2.Store(true)
	_ = c.Conn.SetReadDeadline(c.deadline) // fails only if the connection is closed
}

// startHeader begins phaseHeader. The caller holds the lock.
func (c *Connection) startHeader(now time.Time, l Limits) {
	c.enter(phaseHeader, now, l.Header)
	c.scanner = headScanner{}
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
}

// enter begins a phase. The caller holds the lock.
func (c *Connection) enter(p phase, now time.Time, limit time.Duration) {
	c.phase = p
	c.since = now
	c.limit = limit
	c.asked = ""
}

// startServing records that net/http has read a request's header.
func (c *Connection) startServing() {
	c.keepHead()
	c.own.Keep()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isHTTP2.Load() {
		return
	}
	c.served = true
	c.enter(phaseServing, time.Now(), 0)
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
}

// startWaiting records that an answer is complete.
func (c *Connection) startWaiting(now time.Time, l Limits) {
	c.releaseHead()
	c.own.Await(now, c.endForRoom)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isHTTP2.Load() {
		return
	}
	if c.readAhead {
		c.readAhead = false
		c.startHeader(now, l)
		return
	}
	c.enter(phaseWaiting, now, l.Idle)
}

// check asks the connection to end if it exceeds a limit.
func (c *Connection) check(now time.Time, l Limits, draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isHTTP2.Load() {
		return
	}
	var reason Reason
	switch c.phase {
	case phaseWaiting:
		c.limit = max(c.limit, l.Idle)
		reason = ReasonIdle
		if draining {
			c.limit = drainIdleLimit
			reason = ReasonStop
		}
	case phaseHeader:
		c.limit = max(c.limit, l.Header)
		reason = ReasonHeader
	default:
		return
	}
	if now.Sub(c.since) <= c.limit {
		return
	}
	c.asked = reason
	_ = c.Conn.SetReadDeadline(expired) // fails only if the connection is closed
}

// decide returns whether to end the connection or to read again after a read's
// deadline has expired. The deadline is net/http's in phaseServing, else check's.
func (c *Connection) decide(now time.Time) (closing *Closing, readAgain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing || c.isHTTP2.Load() || c.closed {
		return nil, false
	}
	_ = c.Conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	if c.asked != "" && (c.endsAtOnce() || socket.NothingToRead(c.Conn)) {
		return c.close(c.asked, now), false
	}
	return nil, true
}

// endsAtOnce reports whether the rest of a header isn't waited for, since there is no room
// for it, or no time. The caller holds the lock.
func (c *Connection) endsAtOnce() bool {
	if c.phase != phaseHeader {
		return false
	}
	return c.asked == ReasonCrowded || c.asked == ReasonMemory || c.asked == ReasonStopLimit
}

// close marks the connection as closed. The caller holds the lock.
func (c *Connection) close(r Reason, now time.Time) *Closing {
	c.closed = true
	return c.describe(r, now)
}

// describe returns the connection's state. The caller holds the lock.
func (c *Connection) describe(r Reason, now time.Time) *Closing {
	return &Closing{
		Reason: r,
		Remote: c.RemoteAddr().String(),
		Age:    now.Sub(c.accepted),
		Idle:   now.Sub(c.since),
		Limit:  c.limit,
	}
}

// end closes a connection without a whole request, on behalf of its reader.
func (c *Connection) end(closing *Closing) error {
	c.acceptor.observe(closing)
	if answer := c.refusal(closing.Reason); answer != "" {
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = io.WriteString(c.Conn, answer) // the caller may be gone
	}
	switch closing.Reason {
	case ReasonHeadTooLarge, ReasonMemory, ReasonStopLimit:
		c.linger()
	}
	_ = c.Conn.Close() // net/http may read or write again after an error
	return io.EOF
}

// cancelRequest ends the context of the connection's requests. Without a whole request, it asks
// the connection to end.
func (c *Connection) cancelRequest(r Reason, now time.Time) {
	if c.ask(r) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseServing || c.cancel == nil {
		return
	}
	closing := c.describe(r, now)
	closing.Limit = 0
	c.cancel(closing)
}

// abort closes the connection and ends its requests.
func (c *Connection) abort(r Reason, now time.Time) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	closing := c.close(r, now)
	closing.Limit = 0
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel(closing)
	}
	c.acceptor.observe(closing)
	_ = c.Close() // the caller may have closed it at the same time
}

// isLast reports whether the answer in progress has to be the connection's last.
func (c *Connection) isLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// SetReadDeadline implements net.Conn. Outside of phaseServing, the deadline is
// under the control of this package, and t is ignored.
func (c *Connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseServing && !c.isHTTP2.Load() {
		c.deadline = t
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *Connection) Close() error {
	c.mu.Lock()
	c.closed = true
	cancel := c.cancel
	c.mu.Unlock()
	if cancel != nil {
		cancel(context.Canceled)
	}
	c.own.Close()
	c.head.Close()
	c.acceptor.remove(c)
	return c.Conn.Close()
}

// SetLinger sets what Close does with data that has not been sent, as of
// net.TCPConn.
func (c *Connection) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return l.SetLinger(seconds)
}

// CloseWrite ends the sending direction. net/http uses it before it closes a
// connection with unread data, so that the last answer isn't lost.
func (c *Connection) CloseWrite() error {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return w.CloseWrite()
}
