// Package messenger carries messages between entry hosts: length-framed
// msgpack over TCP, optionally secured by mutual TLS.
//
// # Usage
//
// A host registers its handlers, serves a listener and calls peers by address:
//
//	m := messenger.New(self, messenger.Options{Firm: "tamsui"}, group)
//	m.Handle(peerwire.KindAllocate, func(ctx context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
//		var request peerwire.AllocationRequest
//		if _, err := request.UnmarshalMsg(payload); err != nil {
//			return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed request: %w", err)
//		}
//		return allocate(ctx, &request)
//	})
//	m.Serve(listener)
//	err := m.Call(ctx, address, peerwire.KindAllocate, &request, &reply)
//
// # Connections
//
// A host dials one connection to each peer that it calls, on the first call,
// and keeps it open until it is idle. Each side starts by sending a hello with
// the protocol version, firm, host, incarnation and data center. Calls and
// one-way messages are multiplexed on the connection and may complete in any
// order. Failed dials are retried with exponential backoff and jitter; calls
// made during the backoff fail immediately.
//
// # Verdicts
//
// Every error of Call is a [*classifier.Error]. NotRun means that the frame was
// never handed to the transport, or that the peer rejected it before running a
// handler. An error returned by the peer's handler keeps its own verdict. All
// other errors are MayHaveRun. When the context of a call is done, the peer is
// asked to cancel the handler's context. Losing the connection cancels it too.
package messenger

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// Peer identifies a host by the contents of its hello.
type Peer struct {
	Host        identifier.Host
	Incarnation identifier.Incarnation
	DataCenter  identifier.DataCenter
}

// Handler handles one message. The reply may be nil for messages that need
// none. A *classifier.Error is sent to the caller with its verdict, reason,
// retry-after and ticket; any other error is sent as MayHaveRun. The context is
// canceled when the caller's deadline passes, the caller cancels or the
// connection is lost.
type Handler func(ctx context.Context, from Peer, payload []byte) (reply msgp.Marshaler, err error)

// sweepInterval is the number of links at each multiple of which expired links
// are removed.
const sweepInterval = 64

// kindCount is the number of possible values of peerwire.Kind.
const kindCount = 256

// Messenger sends messages to peers and handles messages from them. Create it
// with New.
type Messenger struct {
	self     Peer
	options  Options
	group    *grouper.Group
	ctx      context.Context
	cancel   context.CancelFunc
	handlers [kindCount]Handler
	links    sync.Map // identifier.Address -> *link
	buffers  sync.Pool
	calls    sync.Pool
	counters counters
	// handshakes is the number of accepted connections whose peer hasn't said who it is.
	handshakes atomic.Int64

	mu          sync.Mutex
	closed      bool
	connections map[*connection]struct{}
	listeners   []net.Listener
}

type counters struct {
	sentBytes, dials, failedDials atomic.Uint64
	links                         atomic.Int64
}

// New returns a messenger that runs in the group until the group stops or Close
// is called.
func New(self Peer, options Options, group *grouper.Group) *Messenger {
	m := &Messenger{
		self:        self,
		options:     options.withDefaults(),
		group:       group,
		connections: map[*connection]struct{}{},
	}
	m.buffers.New = func() any { return new(buffer) }
	m.calls.New = func() any { return &pendingCall{done: make(chan struct{}, 1)} }
	m.ctx, m.cancel = context.WithCancel(group.Context())
	group.Run(m.closeOnDone)
	return m
}

// Handle registers the handler for a kind. It must not be called after Serve.
func (m *Messenger) Handle(kind peerwire.Kind, h Handler) {
	m.handlers[kind] = h
}

// Serve starts accepting connections on ln. The listener is closed when the
// messenger stops.
func (m *Messenger) Serve(ln net.Listener) {
	m.mu.Lock()
	m.listeners = append(m.listeners, ln)
	m.mu.Unlock()
	if !m.start(func(context.Context) { m.accept(ln) }) {
		_ = ln.Close()
	}
}

// Call sends a request to the host at address to and decodes the response into
// reply, which may be nil to ignore it. All errors are of type
// *classifier.Error.
func (m *Messenger) Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	return m.withConnection(ctx, to, func(c *connection) error {
		return c.call(ctx, kind, request, reply)
	})
}

// Send sends a one-way message to the host at address to. A nil error only
// means that the message was queued; all errors have the verdict NotRun.
func (m *Messenger) Send(ctx context.Context, to identifier.Address, kind peerwire.Kind, message msgp.Marshaler) error {
	return m.withConnection(ctx, to, func(c *connection) error {
		return c.send(&peerwire.Envelope{Type: peerwire.FrameSend, Kind: kind}, message)
	})
}

// Close closes all connections and listeners. It does not wait for running
// handlers; wait for the group to do so.
func (m *Messenger) Close() {
	m.cancel()
}

// SentBytes returns the number of bytes written to peers, excluding the overhead
// of TCP, IP and TLS.
func (m *Messenger) SentBytes() uint64 {
	return m.counters.sentBytes.Load()
}

// Stats holds the connection counts and cumulative counters of a messenger.
type Stats struct {
	// Links counts the recently called addresses.
	Links int `json:"links"`
	// Connections counts the open connections, dialled and accepted.
	Connections int    `json:"connections"`
	SentBytes   uint64 `json:"sent-bytes"`
	Dials       uint64 `json:"dials"`
	FailedDials uint64 `json:"failed-dials"`
	// QueuedBytes waits to be written, and MostQueuedBytes of it on one connection.
	QueuedBytes     int `json:"queued-bytes"`
	MostQueuedBytes int `json:"most-queued-bytes"`
}

// Stats returns a snapshot of the current statistics.
func (m *Messenger) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Stats{
		Links:       int(m.counters.links.Load()),
		Connections: len(m.connections),
		SentBytes:   m.counters.sentBytes.Load(),
		Dials:       m.counters.dials.Load(),
		FailedDials: m.counters.failedDials.Load(),
	}
	for c := range m.connections {
		queued := c.queue.queuedBytes()
		s.QueuedBytes += queued
		s.MostQueuedBytes = max(s.MostQueuedBytes, queued)
	}
	return s
}

// withConnection runs do on a connection to the address. It retries on a new
// connection if the previous one closed before anything was queued.
func (m *Messenger) withConnection(ctx context.Context, to identifier.Address, do func(*connection) error) error {
	if ctx.Err() != nil {
		return notSentError(ctx, to)
	}
	l := m.link(to)
	for {
		c, err := l.connection(ctx)
		if err != nil {
			return err
		}
		err = do(c)
		if err == nil {
			return nil
		}
		if !errors.Is(err, errConnectionClosed) {
			return toNotRun(err, to)
		}
	}
}

// toNotRun converts an error that occurred before the message was queued to a
// NotRun. A *classifier.Error is returned unchanged.
func toNotRun(err error, to identifier.Address) error {
	if e, ok := errors.AsType[*classifier.Error](err); ok {
		return e
	}
	if _, ok := errors.AsType[*SizeError](err); ok {
		return classifier.NotRun(classifier.ReasonTooLarge, 0, "message to %s: %w", to, err)
	}
	if errors.Is(err, errQueueFull) {
		return classifier.NotRun(classifier.ReasonQueueFull, queueFullRetryAfter, "message to %s: %w", to, err)
	}
	return classifier.NotRun(classifier.ReasonBadRequest, 0, "message to %s: %w", to, err)
}

func (m *Messenger) link(to identifier.Address) *link {
	if l, ok := m.links.Load(to); ok {
		return l.(*link)
	}
	l, known := m.links.LoadOrStore(to, &link{messenger: m, address: to})
	if !known && m.counters.links.Add(1)%sweepInterval == 0 {
		m.sweep(time.Now())
	}
	return l.(*link)
}

// sweep removes expired links.
func (m *Messenger) sweep(now time.Time) {
	m.links.Range(func(to, l any) bool {
		if l.(*link).expired(now) && m.links.CompareAndDelete(to, l) {
			m.counters.links.Add(-1)
		}
		return true
	})
}

func (m *Messenger) accept(ln net.Listener) {
	for {
		raw, err := ln.Accept()
		if err != nil {
			if m.ctx.Err() == nil {
				m.options.Logger.Error("accept-failed", zap.Error(err))
			}
			return
		}
		if !m.beginHandshake() {
			_ = raw.Close() // the peer dials again
			continue
		}
		if !m.start(func(ctx context.Context) { m.serve(ctx, raw) }) {
			m.handshakes.Add(-1)
			_ = raw.Close()
		}
	}
}

// maxHandshakes limits the accepted connections whose peer hasn't said who it is.
const maxHandshakes = 256

// beginHandshake returns false if there are too many handshakes.
func (m *Messenger) beginHandshake() bool {
	if m.handshakes.Add(1) <= maxHandshakes {
		return true
	}
	m.handshakes.Add(-1)
	return false
}

func (m *Messenger) serve(ctx context.Context, raw net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	conn := raw
	if m.options.TLS != nil {
		conn = tls.Server(raw, m.options.TLS)
	}
	c, err := m.serverHandshake(conn)
	m.handshakes.Add(-1)
	if err != nil {
		m.logRefusal(raw.RemoteAddr(), err)
		_ = conn.Close()
		return
	}
	c.start()
}

// logRefusal logs that a connection was refused, or that its peer closed it before the
// first byte of a hello, as a host does that is killed at that time.
func (m *Messenger) logRefusal(from net.Addr, err error) {
	if errors.Is(err, io.EOF) {
		m.options.Logger.Info("peer-left-before-hello", zap.Stringer("address", from))
		return
	}
	m.options.Logger.Warn("peer-refused", zap.Stringer("address", from), zap.Error(err))
}

// start runs f in the group. It returns false if the messenger is closed.
func (m *Messenger) start(f func(context.Context)) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.group.Run(func(context.Context) { f(m.ctx) })
	return true
}

// closeOnDone closes the messenger when its context is done. Until then it
// keeps the group alive, so that start can still add to it.
func (m *Messenger) closeOnDone(context.Context) {
	<-m.ctx.Done()
	m.mu.Lock()
	m.closed = true
	listeners := m.listeners
	open := m.connections
	m.connections = nil
	m.mu.Unlock()
	for _, ln := range listeners {
		_ = ln.Close()
	}
	for c := range open {
		c.fail(context.Canceled)
	}
}

func (m *Messenger) track(c *connection) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.connections[c] = struct{}{}
	return true
}

func (m *Messenger) untrack(c *connection) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.connections, c)
}

func (m *Messenger) getBuffer() *buffer {
	return m.buffers.Get().(*buffer)
}

func (m *Messenger) putBuffer(b *buffer) {
	if cap(b.bytes) <= maxPooledBytes {
		m.buffers.Put(b)
	}
}
