package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Connection is a caller's connection. It is safe for concurrent use.
type Connection struct {
	net.Conn
	acceptor *Acceptor
	accepted time.Time

	mu sync.Mutex
	// since is the time of the last answer, or at which the connection was accepted.
	since time.Time
	// waiting is set while net/http reports that the connection waits for another
	// request.
	waiting bool
	// cancel ends the contexts of the connection's requests.
	cancel context.CancelCauseFunc
	closed bool
}

func (c *Connection) observeState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = s == http.StateIdle
	if c.waiting {
		c.since = time.Now()
	}
}

// idleFor returns for how long the connection has been waiting for another request.
func (c *Connection) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waiting {
		return 0
	}
	return now.Sub(c.since)
}

// closeBecause closes the connection and reports it, unless it was closed before.
func (c *Connection) closeBecause(r Reason, now time.Time, limit time.Duration) {
	closing := c.startClosing(r, now, limit)
	if closing == nil {
		return
	}
	c.acceptor.observe(closing)
	_ = c.Close() // the caller may have closed it at the same time
}

// startClosing ends the connection's requests. It returns nil if the connection was
// closed before.
func (c *Connection) startClosing(r Reason, now time.Time, limit time.Duration) *Closing {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	closing := &Closing{
		Reason: r,
		Remote: c.RemoteAddr().String(),
		Age:    now.Sub(c.accepted),
		Idle:   now.Sub(c.since),
		Limit:  limit,
	}
	if c.cancel != nil {
		c.cancel(closing)
	}
	return closing
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
	c.acceptor.remove(c)
	return c.Conn.Close()
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
