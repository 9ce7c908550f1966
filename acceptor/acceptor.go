// Package acceptor accepts callers' connections and ends them only between two
// requests. It also records which connections the host ends, and why, so that a
// caller that left can be told from one whose connection was closed.
//
// # Usage
//
//	a := acceptor.New(listener, func(c *acceptor.Closing) { log(c) })
//	server := &http.Server{
//		Handler:     a.Handler(handler),
//		ConnContext: a.Context,
//		ConnState:   a.ObserveState,
//	}
//	err := server.Serve(a)
//
// The limits given to Sweep replace the server's timeouts for reading.
//
// With AllowHTTP2, connections that begin with the preface of HTTP/2 are left to the
// server, also its timeouts and their closing by http.Server.Shutdown, which is called
// after the others have ended. Other protocols, such as TLS, must not use an Acceptor.
//
// # How a connection ends
//
// net/http reports a connection as idle until it has parsed the next request's
// header. A connection that is closed because of that state may have a request on
// it that is then run without an answer. http.Server.Shutdown closes connections
// in this way, and it drops requests that it reads afterwards. So neither is used.
//
// Sweep and Drain only ask a connection to end: they expire its read deadline. The
// goroutine that reads the connection decides. If it has read a byte of a request, or
// one waits in the socket, the request is served, and its answer says `Connection:
// close`. Otherwise the connection ends, and a request that is still on its way was
// never read. Only CloseAll closes connections from outside.
//
// A caller may send the beginning of its next request together with the previous
// one, against the practice of HTTP clients. This package doesn't see these bytes,
// and may end the connection while the rest of that request hasn't arrived.
//
// # Limits
//
// A connection is ended by the largest idle limit that was in force at any time
// since it became idle, since callers reuse connections by the limit that they knew
// then. In the same way the largest header limit since a request's first byte
// applies to its header.
//
// Bounds limit what connections and heads take. A head is counted line by line while it
// is read, before net/http allocates memory for its lines; one that is too large is refused
// with 431, and one for which memory is short with 503. When there are too many
// connections, one without a whole request ends for the next one.
//
// The context of a request whose connection the host closes ends with a *Closing as
// its cause.
package acceptor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/budgeter"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
)

const (
	// drainIdleLimit is the idle limit in a planned stop. A caller that got an answer
	// without `Connection: close` just before may send its next request in this time.
	drainIdleLimit = 500 * time.Millisecond
	// drainPollPeriod is how often AwaitDrained checks the connections.
	drainPollPeriod = 20 * time.Millisecond
	// A planned stop accepts connections until none has come for acceptLinger, so that
	// those in the queue of the listener aren't reset, and no longer than acceptLimit.
	acceptLinger = 50 * time.Millisecond
	acceptLimit  = 500 * time.Millisecond
)

// Observe is called once for each connection that the host ends by itself. It must
// not block.
type Observe func(*Closing)

// Limits bound how long callers may take.
type Limits struct {
	// Idle is the time that a connection may stay without a request.
	Idle time.Duration
	// Header is the time from a request's first byte to the end of its header.
	Header time.Duration
}

// Acceptor is a listener whose connections are of type *Connection. It is safe for
// concurrent use.
type Acceptor struct {
	net.Listener
	observe    Observe
	allowHTTP2 bool
	bounds     Bounds

	mu       sync.Mutex
	open     map[*Connection]struct{}
	limits   Limits // of the last sweep
	draining bool
	// acceptUntil is when a planned stop accepts no more connections at the latest.
	acceptUntil time.Time
	// closed is set while no more connections are accepted.
	closed bool
}

// New returns an Acceptor of connections that ln accepts.
func New(ln net.Listener, observe Observe) *Acceptor {
	return &Acceptor{
		Listener: ln,
		observe:  observe,
		bounds:   Bounds{Memory: budgeter.New(budgeter.Options{})},
		open:     map[*Connection]struct{}{},
	}
}

// AllowHTTP2 lets callers use HTTP/2 without TLS. It must be called before Accept.
func (a *Acceptor) AllowHTTP2() {
	a.allowHTTP2 = true
}

// Accept implements net.Listener. It returns net.ErrClosed once a planned stop accepts
// no more connections.
func (a *Acceptor) Accept() (net.Conn, error) {
	for {
		draining := a.limitAccept(time.Now())
		raw, err := a.Listener.Accept()
		if err == nil {
			if c := a.admit(raw); c != nil {
				return c, nil
			}
			continue
		}
		if !draining && a.isDraining() && errors.Is(err, os.ErrDeadlineExceeded) {
			continue // Drain has interrupted the wait: accept what is in the queue
		}
		return nil, a.stopAccepting(err)
	}
}

// limitAccept limits the time of the next Accept, and returns true, in a planned stop.
func (a *Acceptor) limitAccept(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.draining {
		return false
	}
	end := now.Add(acceptLinger)
	if a.acceptUntil.Before(end) {
		end = a.acceptUntil
	}
	setAcceptDeadline(a.Listener, end)
	return true
}

// setAcceptDeadline closes ln if it doesn't support deadlines.
func setAcceptDeadline(ln net.Listener, t time.Time) {
	limited, ok := ln.(interface{ SetDeadline(t time.Time) error })
	if !ok || limited.SetDeadline(t) != nil {
		_ = ln.Close() // it may be closed already
	}
}

// stopAccepting records that err ended the accepting of connections. It returns the
// error for the server.
func (a *Acceptor) stopAccepting(err error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if !a.draining {
		return err
	}
	_ = a.Close() // it may be closed already
	return net.ErrClosed
}

func (a *Acceptor) add(raw net.Conn, now time.Time) *Connection {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = false // an error before was temporary
	c := &Connection{
		Conn:     raw,
		acceptor: a,
		accepted: now,
		since:    now,
		limit:    a.limits.Idle,
		own:      a.bounds.Memory.Open(budgeter.KindConnection, now, nil),
		head:     a.bounds.Memory.Open(budgeter.KindHead, now, nil),
	}
	a.open[c] = struct{}{}
	return c
}

// Context implements http.Server.ConnContext.
func (a *Acceptor) Context(ctx context.Context, conn net.Conn) context.Context {
	c, ok := conn.(*Connection)
	if !ok {
		return ctx
	}
	ctx, cancel := context.WithCancelCause(context.WithValue(ctx, connectionKey{}, c))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	return ctx
}

type connectionKey struct{}

// ObserveState implements http.Server.ConnState.
func (a *Acceptor) ObserveState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*Connection)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.startServing()
	case http.StateIdle:
		c.startWaiting(time.Now(), a.currentLimits())
	}
}

// Handler makes the answers of next that are the last on their connections say so.
func (a *Acceptor) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connectionKey{}).(*Connection)
		if a.isDraining() || ok && c.isLast() {
			w.Header().Set("Connection", "close")
		}
		if ok && !c.settleHead(r, time.Now()) {
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "0.5")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Sweep asks the connections that exceed a limit to end.
func (a *Acceptor) Sweep(now time.Time, l Limits) {
	a.mu.Lock()
	a.limits = l
	draining := a.draining
	a.mu.Unlock()
	for _, c := range a.connections() {
		c.check(now, l, draining)
	}
}

// Drain begins a planned stop: it accepts no more connections, and further sweeps
// end connections that have no request, until Drained returns true.
func (a *Acceptor) Drain(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.draining = true
	a.acceptUntil = now.Add(acceptLimit)
	setAcceptDeadline(a.Listener, expired)
}

// Drained reports whether a planned stop is complete: no connection is open, except
// those of HTTP/2, and none will be accepted.
func (a *Acceptor) Drained() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		return false
	}
	for c := range a.open {
		if !c.isHTTP2.Load() {
			return false
		}
	}
	return true
}

// CancelRequests ends the contexts of all requests in progress, so that they can be
// answered before CloseAll. Requests whose header hasn't arrived are refused.
func (a *Acceptor) CancelRequests(r Reason) {
	now := time.Now()
	for _, c := range a.connections() {
		c.cancelRequest(r, now)
	}
}

// AwaitDrained waits until a planned stop is complete, and returns ctx.Err() if ctx ends
// before. It asks connections to end by the limits of the last sweep.
func (a *Acceptor) AwaitDrained(ctx context.Context) error {
	for !a.Drained() {
		a.Sweep(time.Now(), a.currentLimits())
		if err := sleeper.Sleep(ctx, drainPollPeriod); err != nil {
			return err
		}
	}
	return nil
}

// CloseAll closes all connections at once, whether or not they have requests.
func (a *Acceptor) CloseAll(r Reason) {
	now := time.Now()
	for _, c := range a.connections() {
		c.abort(r, now)
	}
}

// Open returns the number of open connections.
func (a *Acceptor) Open() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.open)
}

func (a *Acceptor) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.draining
}

func (a *Acceptor) currentLimits() Limits {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits
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

// remove removes a closed connection.
func (a *Acceptor) remove(c *Connection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.open, c)
}
