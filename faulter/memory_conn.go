package faulter

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// streamBufferSize is the number of bytes buffered in one direction of a
// connection.
const streamBufferSize = 256 << 10

// memoryConn is one end of an in-process connection.
type memoryConn struct {
	in, out       *stream
	local, remote net.Addr
	readDeadline  deadline
	writeDeadline deadline
}

func newMemoryConnPair(a, b net.Addr) (*memoryConn, *memoryConn) {
	aToB, bToA := newStream(), newStream()
	return &memoryConn{in: bToA, out: aToB, local: a, remote: b, readDeadline: newDeadline(), writeDeadline: newDeadline()},
		&memoryConn{in: aToB, out: bToA, local: b, remote: a, readDeadline: newDeadline(), writeDeadline: newDeadline()}
}

// Read implements net.Conn.
func (c *memoryConn) Read(b []byte) (int, error) { return c.in.read(b, &c.readDeadline) }

// Write implements net.Conn.
func (c *memoryConn) Write(b []byte) (int, error) { return c.out.write(b, &c.writeDeadline) }

// Close implements net.Conn.
func (c *memoryConn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

// LocalAddr implements net.Conn.
func (c *memoryConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *memoryConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *memoryConn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *memoryConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *memoryConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return nil
}

// stream is one direction of an in-process connection.
type stream struct {
	mu      sync.Mutex
	buffer  []byte
	closed  bool
	changed chan struct{} // closed and replaced at each change
}

func newStream() *stream {
	return &stream{changed: make(chan struct{})}
}

// notify wakes all waiting readers and writers. The caller holds s.mu.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) read(b []byte, d *deadline) (int, error) {
	for {
		n, changed, err := s.tryRead(b)
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		if err := d.wait(changed); err != nil {
			return 0, err
		}
	}
}

func (s *stream) tryRead(b []byte) (int, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer) > 0 {
		n := copy(b, s.buffer)
		s.buffer = s.buffer[n:]
		s.notify()
		return n, nil, nil
	}
	if s.closed {
		return 0, nil, io.EOF
	}
	return 0, s.changed, nil
}

func (s *stream) write(b []byte, d *deadline) (int, error) {
	written := 0
	for written < len(b) {
		n, changed, err := s.tryWrite(b[written:])
		written += n
		if err != nil {
			return written, err
		}
		if n > 0 {
			continue
		}
		if err := d.wait(changed); err != nil {
			return written, err
		}
	}
	return written, nil
}

func (s *stream) tryWrite(b []byte) (int, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, nil, &net.OpError{Op: "write", Net: "memory", Err: syscall.EPIPE}
	}
	n := min(len(b), streamBufferSize-len(s.buffer))
	if n == 0 {
		return 0, s.changed, nil
	}
	s.buffer = append(s.buffer, b[:n]...)
	s.notify()
	return n, nil, nil
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		s.notify()
	}
}

// deadline is a time limit that may be changed while it is waited for.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	expired chan struct{}
}

func newDeadline() deadline {
	return deadline{expired: make(chan struct{})}
}

// set changes the limit; the zero time removes it.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.expired // the timer has fired or is about to
	}
	d.timer = nil
	if isClosed(d.expired) {
		d.expired = make(chan struct{})
	}
	if t.IsZero() {
		return
	}
	if wait := time.Until(t); wait > 0 {
		expired := d.expired
		d.timer = time.AfterFunc(wait, func() { close(expired) })
		return
	}
	close(d.expired)
}

// wait waits for changed, or returns os.ErrDeadlineExceeded after the limit.
func (d *deadline) wait(changed <-chan struct{}) error {
	d.mu.Lock()
	expired := d.expired
	d.mu.Unlock()
	if isClosed(expired) {
		return os.ErrDeadlineExceeded
	}
	select {
	case <-changed:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
