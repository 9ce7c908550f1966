// Package messenger carries messages between entry hosts: length-framed
// msgpack over TCP, optionally secured by mutual TLS.
//
// # Usage
//
// A host registers its handlers, listens, and calls its peers by address:
//
//	m := messenger.New(self, messenger.Options{Firm: "tamsui"}, group)
//	m.Handle(peerwire.KindAsk, func(ctx context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
//		var ask peerwire.Ask
//		if _, err := ask.UnmarshalMsg(payload); err != nil {
//			return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "ask: %w", err)
//		}
//		return answer(ctx, &ask)
//	})
//	m.Serve(listener)
//	err := m.Call(ctx, address, peerwire.KindAsk, &ask, &answer)
//
// # Connections
//
// Each host dials one connection to a peer that it calls, at the first call,
// and keeps it while calls come. Both sides open it with a hello that names
// the protocol's version, the firm, the host, its incarnation and its data
// center. Calls share the connection and may complete in any order; so may
// messages. Failed dials are repeated after a growing, randomized wait, and
// calls made meanwhile fail at once.
//
// # Verdicts
//
// Every failure of Call is a [*classifier.Error]. NotRun means that the frame
// was never handed to the transport, or that the peer refused it before any
// handler saw it. A failure that the peer's handler returns keeps its own
// verdict. All else is MayHaveRun. A call whose context ends sends a cancel,
// which ends the context of the peer's handler; so does the loss of the
// connection.
package messenger

import (
	"context"
	"crypto/tls"
	"errors"
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

// Peer is a host at the other end of a connection, as its hello said.
type Peer struct {
	Host        identifier.Host
	Incarnation identifier.Incarnation
	DataCenter  identifier.DataCenter
}

// Handler answers one message. The reply may be nil, for messages that need
// none. An *classifier.Error travels with its verdict, reason, retry-after
// and ticket; any other error counts as MayHaveRun. The context ends with the
// caller's deadline, its cancel and its connection.
type Handler func(ctx context.Context, from Peer, payload []byte) (reply msgp.Marshaler, err error)

// sweepLinks is the number of new links after which old ones are looked for.
const sweepLinks = 64

// kinds is the number of values of peerwire.Kind.
const kinds = 256

// Messenger sends messages to peers and handles theirs. Create it with New.
type Messenger struct {
	self     Peer
	options  Options
	group    *grouper.Group
	ctx      context.Context
	cancel   context.CancelFunc
	handlers [kinds]Handler
	links    sync.Map // identifier.Address -> *link
	buffers  sync.Pool
	calls    sync.Pool
	counters counters

	mu        sync.Mutex
	closed    bool
	open      map[*connection]struct{}
	listeners []net.Listener
}

type counters struct {
	sentBytes, dials, failedDials atomic.Uint64
	links                         atomic.Int64
}

// New gives a messenger that runs in the group until the group ends or Close
// is called.
func New(self Peer, options Options, group *grouper.Group) *Messenger {
	m := &Messenger{
		self:    self,
		options: options.withDefaults(),
		group:   group,
		open:    map[*connection]struct{}{},
	}
	m.buffers.New = func() any { return new(buffer) }
	m.calls.New = func() any { return &call{done: make(chan struct{}, 1)} }
	m.ctx, m.cancel = context.WithCancel(group.Context())
	group.Run(m.closeAtEnd)
	return m
}

// Handle sets the handler of a kind. All handlers are set before Serve.
func (m *Messenger) Handle(kind peerwire.Kind, h Handler) {
	m.handlers[kind] = h
}

// Serve accepts peers on ln until the messenger ends, and closes ln then.
func (m *Messenger) Serve(ln net.Listener) {
	m.mu.Lock()
	m.listeners = append(m.listeners, ln)
	m.mu.Unlock()
	if !m.start(func(context.Context) { m.accept(ln) }) {
		_ = ln.Close()
	}
}

// Call asks the host at address to and waits for its reply, which may be nil
// when none is needed. Its error is a *classifier.Error.
func (m *Messenger) Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	return m.onConnection(ctx, to, func(c *connection) error {
		return c.call(ctx, kind, request, reply)
	})
}

// Send hands the host at address to a message that gets no reply. A nil error
// only means that the message was queued; an error is a NotRun.
func (m *Messenger) Send(ctx context.Context, to identifier.Address, kind peerwire.Kind, message msgp.Marshaler) error {
	return m.onConnection(ctx, to, func(c *connection) error {
		return c.post(&peerwire.Envelope{Type: peerwire.FrameSend, Kind: kind}, message)
	})
}

// Close ends all connections and listeners. It does not wait for handlers,
// which the group does.
func (m *Messenger) Close() {
	m.cancel()
}

// SentBytes gives the bytes written to peers so far, without those of TCP, IP
// and TLS.
func (m *Messenger) SentBytes() uint64 {
	return m.counters.sentBytes.Load()
}

// Stats say what a messenger holds and has done.
type Stats struct {
	// Links are the addresses that were called of late.
	Links int `json:"links"`
	// Connections are open, in both directions.
	Connections int    `json:"connections"`
	SentBytes   uint64 `json:"sent-bytes"`
	Dials       uint64 `json:"dials"`
	FailedDials uint64 `json:"failed-dials"`
}

// Stats gives the present numbers.
func (m *Messenger) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Stats{
		Links:       int(m.counters.links.Load()),
		Connections: len(m.open),
		SentBytes:   m.counters.sentBytes.Load(),
		Dials:       m.counters.dials.Load(),
		FailedDials: m.counters.failedDials.Load(),
	}
}

// onConnection runs use on a connection to address, and again on a new one
// when the first was closed before anything was queued.
func (m *Messenger) onConnection(ctx context.Context, to identifier.Address, use func(*connection) error) error {
	if ctx.Err() != nil {
		return notSent(ctx, to)
	}
	l := m.link(to)
	for {
		c, err := l.connection(ctx)
		if err != nil {
			return err
		}
		err = use(c)
		if err == nil {
			return nil
		}
		if !errors.Is(err, errOutboxClosed) {
			return asRefused(err, to)
		}
	}
}

// asRefused gives errors from before the queue their NotRun.
func asRefused(err error, to identifier.Address) error {
	if e, ok := errors.AsType[*classifier.Error](err); ok {
		return e
	}
	if _, ok := errors.AsType[*SizeError](err); ok {
		return classifier.NotRun(classifier.ReasonTooLarge, 0, "message to %s: %w", to, err)
	}
	if errors.Is(err, errOutboxFull) {
		return classifier.NotRun(classifier.ReasonQueueFull, fullRetryAfter, "message to %s: %w", to, err)
	}
	return classifier.NotRun(classifier.ReasonBadRequest, 0, "message to %s: %w", to, err)
}

func (m *Messenger) link(to identifier.Address) *link {
	if l, ok := m.links.Load(to); ok {
		return l.(*link)
	}
	l, known := m.links.LoadOrStore(to, &link{messenger: m, address: to})
	if !known && m.counters.links.Add(1)%sweepLinks == 0 {
		m.sweep(time.Now())
	}
	return l.(*link)
}

// sweep forgets the links to addresses that can't be reached and weren't
// dialled of late.
func (m *Messenger) sweep(now time.Time) {
	m.links.Range(func(to, l any) bool {
		if l.(*link).forgotten(now) && m.links.CompareAndDelete(to, l) {
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
		if !m.start(func(ctx context.Context) { m.serve(ctx, raw) }) {
			_ = raw.Close()
		}
	}
}

func (m *Messenger) serve(ctx context.Context, raw net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	secured := raw
	if m.options.TLS != nil {
		secured = tls.Server(raw, m.options.TLS)
	}
	c, err := m.welcome(secured)
	if err != nil {
		m.options.Logger.Warn("peer-refused", zap.Stringer("address", raw.RemoteAddr()), zap.Error(err))
		_ = secured.Close()
		return
	}
	c.start()
}

// start runs f in the group; false: the messenger has ended.
func (m *Messenger) start(f func(context.Context)) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.group.Run(func(context.Context) { f(m.ctx) })
	return true
}

// closeAtEnd holds the group until nothing can be started any more.
func (m *Messenger) closeAtEnd(context.Context) {
	<-m.ctx.Done()
	m.mu.Lock()
	m.closed = true
	listeners := m.listeners
	open := m.open
	m.open = nil
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
	m.open[c] = struct{}{}
	return true
}

func (m *Messenger) untrack(c *connection) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.open, c)
}

func (m *Messenger) getBuffer() *buffer {
	return m.buffers.Get().(*buffer)
}

func (m *Messenger) putBuffer(b *buffer) {
	if cap(b.bytes) <= maxPooledBytes {
		m.buffers.Put(b)
	}
}
