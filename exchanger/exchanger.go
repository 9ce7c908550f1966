// Package exchanger is an HTTP/1.1 client with its own connection pool. It
// never retries a request, and its errors state whether the request may have
// reached the endpoint.
//
// # Usage
//
//	x := exchanger.New(exchanger.Options{IDHeader: "X-Request-Id"})
//	response, err := x.Send(ctx, address, &exchanger.Request{
//		Method: "GET", Target: "/quotes/2", Host: "quotes.example", ID: "7f3a",
//		Header: header,
//	})
//	defer response.Close()
//	body, err := response.ReadAll(limit)
//
// # Connection reuse
//
// http.Transport resends a request on a new connection if an idle connection
// turns out to be dead, and accepts whatever arrives next as the response. The
// former can run a call twice; the latter can return another request's
// response to a caller. This package reuses a connection only if the last
// response was length-delimited or chunked, was read to its end and was neither
// preceded by responses to other requests nor followed by further bytes, and if no
// data has arrived since.
//
// # Attribution
//
// An endpoint may send a response too many, such as a copy of an earlier one, where the
// next is due. A response with another request's ID is discarded, and the matching one is
// read after it. The ID proves this only while it is unique on its connection: a request is
// never sent on a connection that has carried its ID. A response without an ID proves nothing
// on a connection that has carried other requests, or responses to such; see
// [Attribution.Certain].
//
// # Broken responses
//
// A response that breaks the rules of HTTP is refused by the [inspector]: its connection is closed,
// its body isn't waited for, and the request may have run. The end of a connection ends a
// body only if nothing has failed on the connection before: after a failed write, the
// socket reports a reset as an end.
//
// # Limits
//
// An endpoint may send bytes without end. Heads, informational responses, and bodies
// that are discarded or buffered have limits of size, which are far below what the
// calls' deadlines would allow; net/http limits chunk headers and trailers. A connection
// on which a limit is exceeded is closed.
//
// Errors of Send are of type [*classifier.Error], or those of Request.MayWrite and
// Request.Commit. The verdict is not-run if no byte of the request was written.
package exchanger

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/budgeter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/inspector"
	"github.com/jackdawthread/jackdawthread/common/socket"
)

const (
	// defaultDialTimeout allows for a few round trips. A lost SYN is
	// retransmitted only after a second, so trying another endpoint is faster.
	defaultDialTimeout = 250 * time.Millisecond
	defaultMaxIdle     = 6
	defaultIdleTimeout = 4 * time.Second
	// keepAliveMargin is subtracted from the idle timeout that an endpoint
	// announces.
	keepAliveMargin = 500 * time.Millisecond
	readBufferBytes = 4 << 10
	// typicalHeadBytes is the initial buffer capacity for the request line
	// and headers.
	typicalHeadBytes = 512
)

// Options configures an Exchanger. Zero values select the defaults.
type Options struct {
	// IDHeader is the header in which endpoints echo the request ID.
	IDHeader string
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// MaxIdle is the maximum number of idle connections per address.
	MaxIdle int
	// IdleTimeout is the maximum time that a connection stays idle.
	IdleTimeout time.Duration
	// MaxBuffered is the memory in bytes for the bodies that ReadAll returns, for all
	// calls together. The first freeBufferBytes of each body don't count.
	MaxBuffered int64
	// Dial replaces the default TCP dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Request is a request to an endpoint, with its whole body in memory.
type Request struct {
	Method string
	// Target is the request target, sent unmodified.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the value of Options.IDHeader that the response is matched
	// against. If empty, only responses to earlier requests on the connection are recognized.
	ID string
	// MaxIdle is the maximum time that a reused connection may have been
	// idle. Calls that can't be retried set it low, since they would fail on
	// a stale connection. 0 means Options.IdleTimeout.
	MaxIdle time.Duration
	// Fresh makes Send open a new connection, so that nothing sent before can have caused the
	// response.
	Fresh bool
	// MayWrite is called before a connection is opened, and again before the first
	// byte is written, since opening one takes time. If it returns an error,
	// nothing is sent and Send returns that error. Nil allows every request.
	MayWrite func() error
	// Commit is called once, right before the first byte is written, for checks that use
	// something up. If it returns an error, nothing is sent and Send returns that error. Nil
	// allows every request.
	Commit func() error
}

// mayOpen reports whether a connection may be opened for the request.
func (r *Request) mayOpen() error {
	if r.MayWrite == nil {
		return nil
	}
	return r.MayWrite()
}

// commit reports whether the request may be written.
func (r *Request) commit() error {
	if err := r.mayOpen(); err != nil || r.Commit == nil {
		return err
	}
	return r.Commit()
}

// Exchanger sends requests over pooled connections. It is safe for concurrent
// use.
type Exchanger struct {
	options Options
	dial    func(ctx context.Context, address string) (net.Conn, error)
	buffers *buffers

	mu     sync.Mutex
	idle   map[identifier.Address][]*connection
	opened uint64 // connections so far
	stats  Stats
}

// Stats counts the connections and mismatched responses of an Exchanger.
type Stats struct {
	Dials               uint64 `json:"dials"`
	FailedDials         uint64 `json:"failed-dials"`
	ReusedConnections   uint64 `json:"reused"`
	MismatchedResponses uint64 `json:"foreign-answers"`
	// AvoidedConnections counts the idle connections instead of which a new one was opened, as
	// they had carried the request's ID.
	AvoidedConnections uint64 `json:"avoided-for-id"`
	// RetiredConnections counts the connections that were closed as they had carried as many
	// requests as they may.
	RetiredConnections uint64 `json:"retired"`
	// DoubtfulConnections counts the connections that were closed after a response too many.
	DoubtfulConnections uint64 `json:"doubtful"`
	// UnnamedResponses counts the responses to requests that have an ID which aren't certain.
	UnnamedResponses uint64 `json:"unnamed-answers"`
	// OversizedResponses counts the responses of which a part exceeded its limit.
	OversizedResponses uint64 `json:"oversized"`
	// BrokenResponses counts the responses that break the rules of HTTP, see [inspector.Error].
	BrokenResponses uint64 `json:"broken"`
	Idle            int    `json:"idle"`
}

// New creates an Exchanger with an empty connection pool.
func New(o Options) *Exchanger {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = defaultMaxIdle
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxBuffered <= 0 {
		o.MaxBuffered = defaultMaxBuffered
	}
	x := &Exchanger{options: o, dial: o.Dial, buffers: newBuffers(o.MaxBuffered), idle: map[identifier.Address][]*connection{}}
	if x.dial == nil {
		d := socket.Dialer(o.DialTimeout)
		x.dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return x
}

// ShareMemory makes the bodies that ReadAll returns count in b too. It must be called
// before Send.
func (x *Exchanger) ShareMemory(b *budgeter.Budgeter) {
	x.buffers.shared = b
}

// Stats returns the current counts.
func (x *Exchanger) Stats() Stats {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.stats
	for _, list := range x.idle {
		s.Idle += len(list)
	}
	return s
}

// Send sends r to the endpoint at address a and waits for the response
// headers. The connection is closed when ctx ends, even while the response
// body is being read.
func (x *Exchanger) Send(ctx context.Context, a identifier.Address, r *Request) (*Response, error) {
	if err := r.mayOpen(); err != nil {
		return nil, err
	}
	c, avoided, err := x.connect(ctx, a, r)
	if err != nil {
		return nil, err
	}
	if err := r.commit(); err != nil {
		c.close()
		return nil, err
	}
	response := &Response{exchanger: x, connection: c, ctx: ctx}
	response.Attribution = Attribution{Connection: c.number, Earlier: c.requests, Avoided: avoided}
	response.stopWatch = context.AfterFunc(ctx, c.abort)
	writeErr := c.write(r)
	if writeErr != nil && c.bytesWritten == 0 {
		response.Close()
		return nil, sendError(ctx, a, c, writeErr)
	}
	if err := response.readHead(r); err != nil {
		response.Close()
		x.countInvalid(err)
		return nil, sendError(ctx, a, c, errors.Join(writeErr, err))
	}
	if writeErr != nil { // the endpoint responded without reading the whole body
		response.reusable = false
	}
	return response, nil
}

// sendError classifies a failure on an open connection by whether any byte of
// the request was written.
func sendError(ctx context.Context, a identifier.Address, c *connection, err error) *classifier.Error {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if c.bytesWritten == 0 {
		return classifier.NotRun(classifier.ReasonEndpointFailed, 0, "request to %s was not sent: %w", a, err)
	}
	return classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "endpoint at %s sent no response: %w", a, err)
}

// countInvalid counts a response that failed with err if that is a limit, or if the response is
// broken.
func (x *Exchanger) countInvalid(err error) {
	switch {
	case inspector.IsBroken(err):
		x.updateStats(func(s *Stats) { s.BrokenResponses++ })
	case errors.Is(err, ErrHeadTooLarge), errors.Is(err, ErrTooLarge):
		x.updateStats(func(s *Stats) { s.OversizedResponses++ })
	}
}

func (x *Exchanger) updateStats(f func(*Stats)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(&x.stats)
}
