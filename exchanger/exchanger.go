// Package exchanger sends HTTP/1.1 requests to endpoints over connections of
// its own. It never sends a request twice, and says of each failure whether
// the request may have reached its endpoint.
//
// # Usage
//
//	x := exchanger.New(exchanger.Options{Group: group})
//	response, err := x.Send(ctx, address, &exchanger.Request{
//		Method: "GET", Target: "/quotes/2", Host: "quotes.example", ID: "7f3a",
//		Header: header,
//	})
//	defer response.Close()
//	body, err := response.ReadAll(limit)
//
// # Which connections are used again
//
// Go's own transport repeats a request on a new connection when an idle one
// turns out to be dead, and takes whatever arrives next as the answer. Both
// break promises here: the first runs a call twice, the second hands a caller
// somebody else's answer. A connection is used again only if its last answer
// had a length, was read to its end, came with the request's id and left
// nothing behind it, and if nothing has arrived since. An answer with another
// request's id is skipped; the right one is awaited behind it.
//
// Send's error is a [*classifier.Error]: not-run as long as no byte of the
// request was written.
package exchanger

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/socket"
)

const (
	// defaultDialTimeout is some round trips: a lost opening packet is sent
	// again only after a second, and another endpoint is the faster way.
	defaultDialTimeout = 250 * time.Millisecond
	defaultMaxIdle     = 6
	defaultIdleTimeout = 4 * time.Second
	// keepAliveMargin is taken off an endpoint's announced idle timeout.
	keepAliveMargin = 500 * time.Millisecond
	readBufferBytes = 4 << 10
	// headBytes is the usual length of a request's head.
	headBytes = 512
)

// Options set limits; a zero field takes its default.
type Options struct {
	// IDHeader names the header in which endpoints echo a request's id.
	IDHeader string
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxIdle is how many idle connections are kept for one address.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Request is one request to an endpoint. Its body has a known length.
type Request struct {
	Method string
	// Target is the request line's target, sent as it is.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the value of Options.IDHeader that the answer has to echo; empty:
	// none is expected.
	ID string
	// MaxIdle bounds how long the connection may have been idle before; a
	// call that must not be lost to a stale connection sets it low. 0: the
	// option's bound.
	MaxIdle time.Duration
}

// Exchanger keeps connections to endpoints. It is safe for use by several
// goroutines.
type Exchanger struct {
	options Options
	dial    func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	idle  map[identifier.Address][]*connection
	stats Stats
}

// Stats count what an Exchanger has done.
type Stats struct {
	Dials       uint64 `json:"dials"`
	FailedDials uint64 `json:"failed-dials"`
	Reused      uint64 `json:"reused"`
	Foreign     uint64 `json:"foreign-answers"`
	Idle        int    `json:"idle"`
}

// New gives an Exchanger without connections.
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
	x := &Exchanger{options: o, dial: o.Dial, idle: map[identifier.Address][]*connection{}}
	if x.dial == nil {
		d := socket.Dialer(o.DialTimeout)
		x.dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	return x
}

// Stats gives the present counts.
func (x *Exchanger) Stats() Stats {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.stats
	for _, list := range x.idle {
		s.Idle += len(list)
	}
	return s
}

// CloseIdle closes the connections that have been idle for too long, and all
// of those to addresses that keep doesn't want; nil keeps all addresses.
func (x *Exchanger) CloseIdle(now time.Time, keep func(identifier.Address) bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for a, list := range x.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.usableUntil) && (keep == nil || keep(a)) {
				kept = append(kept, c)
				continue
			}
			c.close()
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(x.idle, a)
			continue
		}
		x.idle[a] = kept
	}
}

// CloseAll closes all idle connections, as after the host stood still.
func (x *Exchanger) CloseAll() {
	x.CloseIdle(time.Now(), func(identifier.Address) bool { return false })
}

// Send sends r to the endpoint at address a and waits for the head of its
// answer. When ctx ends, the connection is closed, also while the answer's
// body is read.
func (x *Exchanger) Send(ctx context.Context, a identifier.Address, r *Request) (*Response, error) {
	c, err := x.connect(ctx, a, r.MaxIdle)
	if err != nil {
		return nil, err
	}
	response := &Response{exchanger: x, connection: c, ctx: ctx}
	response.stop = context.AfterFunc(ctx, c.abort)
	writeErr := c.write(r)
	if writeErr != nil && c.written == 0 {
		response.Close()
		return nil, sendError(ctx, a, c, writeErr)
	}
	if err := response.readHead(r); err != nil {
		response.Close()
		return nil, sendError(ctx, a, c, errors.Join(writeErr, err))
	}
	if writeErr != nil { // it answered without reading all of the body
		response.reusable = false
	}
	return response, nil
}

// sendError gives the failure of an exchange that has a connection.
func sendError(ctx context.Context, a identifier.Address, c *connection, err error) *classifier.Error {
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if c.written == 0 {
		return classifier.NotRun(classifier.ReasonEndpointFailed, 0, "request to %s was not sent: %w", a, err)
	}
	return classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "endpoint at %s gave no answer: %w", a, err)
}

// connect takes an idle connection or opens one.
func (x *Exchanger) connect(ctx context.Context, a identifier.Address, maxIdle time.Duration) (*connection, error) {
	now := time.Now()
	for c := x.takeIdle(a); c != nil; c = x.takeIdle(a) {
		fresh := maxIdle == 0 || now.Sub(c.idleSince) <= maxIdle
		if fresh && now.Before(c.usableUntil) && socket.Quiet(c.raw) {
			c.written = 0
			return c, nil
		}
		c.close()
	}
	return x.open(ctx, a)
}

// open dials a new connection.
func (x *Exchanger) open(ctx context.Context, a identifier.Address) (*connection, error) {
	x.count(func(s *Stats) { s.Dials++ })
	raw, err := x.dial(ctx, string(a))
	if err != nil {
		x.count(func(s *Stats) { s.FailedDials++ })
		return nil, classifier.NotRun(classifier.ReasonHostUnreachable, 0, "no connection to %s: %w", a, err)
	}
	return &connection{address: a, raw: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
}

// Probe opens a connection to address a, to see whether it can be reached, and
// keeps it for a request to come.
func (x *Exchanger) Probe(ctx context.Context, a identifier.Address) error {
	c, err := x.open(ctx, a)
	if err != nil {
		return err
	}
	x.keep(c, x.options.IdleTimeout)
	return nil
}

func (x *Exchanger) count(f func(*Stats)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f(&x.stats)
}

// takeIdle takes the connection that was used last.
func (x *Exchanger) takeIdle(a identifier.Address) *connection {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.idle[a]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	x.idle[a] = list[:len(list)-1]
	x.stats.Reused++
	return c
}

// keep makes a connection idle, or closes it when enough of them are.
func (x *Exchanger) keep(c *connection, timeout time.Duration) {
	now := time.Now()
	c.idleSince = now
	c.usableUntil = now.Add(timeout)
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.idle[c.address]) >= x.options.MaxIdle {
		c.close()
		return
	}
	x.idle[c.address] = append(x.idle[c.address], c)
}

// connection is one connection to an endpoint.
type connection struct {
	address     identifier.Address
	raw         net.Conn
	reader      *bufio.Reader
	written     int // bytes of the present request that the transport took
	idleSince   time.Time
	usableUntil time.Time
}

func (c *connection) close() {
	_ = c.raw.Close() // nothing is lost that an answer was read from
}

// abort closes a connection on which a request is under way. It resets it:
// bytes that wait for a way to the endpoint would otherwise be delivered when
// the request has long been given up.
func (c *connection) abort() {
	if t, ok := c.raw.(interface{ SetLinger(int) error }); ok {
		_ = t.SetLinger(0) // fails on a connection that is closed already
	}
	c.close()
}

// write sends the whole request.
func (c *connection) write(r *Request) error {
	head := appendHead(make([]byte, 0, headBytes+len(r.Body)), r)
	n, err := c.raw.Write(append(head, r.Body...))
	c.written = n
	return err
}

func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || hasBody(r.Method) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// hasBody tells whether a request of the method states its body's length even
// when it is empty.
func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// idleTimeout gives how long the endpoint keeps the connection, as it says.
func idleTimeout(h http.Header, most time.Duration) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			return 0
		}
		return max(0, min(most, time.Duration(seconds)*time.Second-keepAliveMargin))
	}
	return most
}
