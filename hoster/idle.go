package hoster

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/timer"
)

const (
	// defaultIdleTimeout applies until the declarations set a timeout.
	defaultIdleTimeout = 30 * time.Second
	// idleMargin is added to the declared timeout, so that a request sent just in
	// time doesn't arrive on a connection that is being closed.
	idleMargin = 300 * time.Millisecond
	idlePeriod = 250 * time.Millisecond
)

// idleCloser closes callers' connections that have been idle for longer than
// the declarations in force allow.
type idleCloser struct {
	registry *registrar.Registrar

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleCloser(t *timer.Service, r *registrar.Registrar) *idleCloser {
	c := &idleCloser{registry: r, idleSince: map[net.Conn]time.Time{}}
	t.Every(idlePeriod, c.sweep)
	return c
}

// observe implements http.Server.ConnState.
func (c *idleCloser) observe(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateIdle:
		c.idleSince[conn] = time.Now()
	default:
		delete(c.idleSince, conn)
	}
}

func (c *idleCloser) sweep(now time.Time) {
	timeout := defaultIdleTimeout
	if d := c.registry.Snapshot().Declarations; d != nil && d.Limits.IdleTimeout > 0 {
		timeout = d.Limits.IdleTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if now.Sub(since) > timeout+idleMargin {
			delete(c.idleSince, conn)
			_ = conn.Close() // no request is in progress
		}
	}
}
