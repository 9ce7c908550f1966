package messenger

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// link manages the outbound connection to one address, including redialling
// with backoff.
type link struct {
	messenger *Messenger
	address   identifier.Address
	current   atomic.Pointer[connection]

	mu                  sync.Mutex
	dialDone            chan struct{} // closed when the current dial ends; nil if none is in progress
	lastErr             error         // result of the last dial
	consecutiveFailures int           // failed dials since the last successful one
	retryAt             time.Time
	lastDialEnd         time.Time
}

// connection returns an open connection, dialling if there is none. All its
// errors have the verdict NotRun.
func (l *link) connection(ctx context.Context) (*connection, error) {
	for {
		if c := l.current.Load(); c != nil && c.ctx.Err() == nil {
			return c, nil
		}
		done, err := l.dial()
		if err != nil {
			return nil, err
		}
		select {
		case <-done:
		case <-ctx.Done():
			return nil, notSentError(ctx, l.address)
		}
	}
}

// dial starts a dial unless one is already in progress, and returns a channel
// that is closed when it ends. It fails while the link is backing off.
func (l *link) dial() (ended <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialDone != nil {
		return l.dialDone, nil
	}
	now := time.Now()
	if now.Before(l.retryAt) {
		return nil, l.unreachableError(l.retryAt.Sub(now))
	}
	done := make(chan struct{})
	l.dialDone = done
	started := l.messenger.start(func(ctx context.Context) { l.runDial(ctx, done) })
	if !started {
		l.dialDone = nil
		return nil, classifier.NotRun(classifier.ReasonStopping, 0, "host %q is stopping", l.messenger.self.Host)
	}
	return done, nil
}

func (l *link) unreachableError(retryAfter time.Duration) error {
	return classifier.NotRun(classifier.ReasonHostUnreachable, retryAfter, "address %s: %w", l.address, l.lastErr)
}

// linkTTL is how long a link without a connection is kept after its last dial.
const linkTTL = time.Minute

// expired reports whether the link can be removed: it has no open connection,
// no dial in progress, and has not been dialled within linkTTL.
func (l *link) expired(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current.Load()
	open := c != nil && c.ctx.Err() == nil
	return !open && l.dialDone == nil && now.Sub(l.lastDialEnd) > linkTTL
}

func (l *link) runDial(ctx context.Context, done chan struct{}) {
	c, err := l.connect(ctx)
	l.messenger.counters.dials.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	l.dialDone = nil
	l.lastDialEnd = time.Now()
	if err != nil {
		l.backOff(err)
		return
	}
	l.consecutiveFailures = 0
	l.lastErr = nil
	l.retryAt = time.Time{}
	l.current.Store(c)
}

// backOff schedules the next dial after an exponentially growing delay with
// jitter.
func (l *link) backOff(err error) {
	l.messenger.counters.failedDials.Add(1)
	o := &l.messenger.options
	wait := min(o.MinBackoff<<min(l.consecutiveFailures, 16), o.MaxBackoff)
	wait = wait/2 + rand.N(wait/2+1)
	l.consecutiveFailures++
	l.lastErr = err
	l.retryAt = time.Now().Add(wait)
}

func (l *link) connect(ctx context.Context) (*connection, error) {
	m := l.messenger
	ctx, cancel := context.WithTimeout(ctx, m.options.DialTimeout)
	defer cancel()
	raw, err := m.options.Dial(ctx, l.address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(m.ctx, func() { _ = raw.Close() })
	defer stop()
	conn, err := l.clientTLS(ctx, raw)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	c, err := m.clientHandshake(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if !c.start() {
		return nil, errConnectionClosed
	}
	return c, nil
}

func (l *link) clientTLS(ctx context.Context, raw net.Conn) (net.Conn, error) {
	config := l.messenger.options.TLS
	if config == nil {
		return raw, nil
	}
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName, _, _ = net.SplitHostPort(string(l.address))
	}
	tlsConn := tls.Client(raw, config)
	return tlsConn, tlsConn.HandshakeContext(ctx)
}
