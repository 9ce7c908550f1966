// Package acceptor accepts callers' connections and records which of them the host
// closes, and why, so that a caller that left can be told from one whose connection
// was closed.
//
// # Usage
//
//	a := acceptor.New(listener, func(c *acceptor.Closing) { log(c) })
//	server := &http.Server{ConnContext: a.Context, ConnState: a.ObserveState}
//	err := server.Serve(a)
//
// The context of a request whose connection the host closes ends with a *Closing as
// its cause.
package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Observe is called once for each connection that the host closes by itself. It
// must not block.
type Observe func(*Closing)

// Acceptor is a listener whose connections are of type *Connection. It is safe for
// concurrent use.
type Acceptor struct {
	net.Listener
	observe Observe

	mu   sync.Mutex
	open map[*Connection]struct{}
}

// New returns an Acceptor of connections that ln accepts.
func New(ln net.Listener, observe Observe) *Acceptor {
	return &Acceptor{Listener: ln, observe: observe, open: map[*Connection]struct{}{}}
}

// Accept implements net.Listener.
func (a *Acceptor) Accept() (net.Conn, error) {
	raw, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &Connection{Conn: raw, acceptor: a, accepted: now, since: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[c] = struct{}{}
	return c, nil
}

// Context implements http.Server.ConnContext.
func (a *Acceptor) Context(ctx context.Context, conn net.Conn) context.Context {
	c, ok := conn.(*Connection)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	return ctx
}

// ObserveState implements http.Server.ConnState.
func (a *Acceptor) ObserveState(conn net.Conn, s http.ConnState) {
	if c, ok := conn.(*Connection); ok {
		c.observeState(s)
	}
}

// Open returns the number of open connections.
func (a *Acceptor) Open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.open)
}

// connections returns the open connections.
func (a *Acceptor) connections() []*Connection {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := make([]*Connection, 0, len(a.open))
	for c := range a.open {
		all = append(all, c)
	}
	return all
}

// CloseIdle closes the connections that have been waiting for a request for longer
// than limit.
func (a *Acceptor) CloseIdle(now time.Time, limit time.Duration) {
	for _, c := range a.connections() {
		if c.idleFor(now) > limit {
			c.closeBecause(ReasonIdle, now, limit)
		}
	}
}

// CloseAll closes all connections for the reason r.
func (a *Acceptor) CloseAll(r Reason) {
	now := time.Now()
	for _, c := range a.connections() {
		c.closeBecause(r, now, 0)
	}
}

// remove removes a closed connection.
func (a *Acceptor) remove(c *Connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open, c)
}
