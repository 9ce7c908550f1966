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

// link leads to one address: its connection, or when to dial again.
type link struct {
	messenger *Messenger
	address   identifier.Address
	current   atomic.Pointer[connection]

	mu       sync.Mutex
	dialling chan struct{} // closed when the dial under way ends; nil: none
	failure  error         // of the last dial
	failures int           // in a row
	retryAt  time.Time
	// dialledAt is when the last dial ended.
	dialledAt time.Time
}

// connection gives an open connection and dials when there is none. Its error
// is a NotRun.
func (l *link) connection(ctx context.Context) (*connection, error) {
	for {
		if c := l.current.Load(); c != nil && c.ctx.Err() == nil {
			return c, nil
		}
		ended, err := l.dial()
		if err != nil {
			return nil, err
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, notSent(ctx, l.address)
		}
	}
}

// dial makes sure that a dial is under way and gives the channel that is
// closed when it ends.
func (l *link) dial() (ended <-chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialling != nil {
		return l.dialling, nil
	}
	now := time.Now()
	if now.Before(l.retryAt) {
		return nil, l.unreachable(l.retryAt.Sub(now))
	}
	done := make(chan struct{})
	l.dialling = done
	started := l.messenger.start(func(ctx context.Context) { l.redial(ctx, done) })
	if !started {
		l.dialling = nil
		return nil, classifier.NotRun(classifier.ReasonStopping, 0, "host %q is stopping", l.messenger.self.Host)
	}
	return done, nil
}

func (l *link) unreachable(retryAfter time.Duration) error {
	return classifier.NotRun(classifier.ReasonHostUnreachable, retryAfter, "address %s: %w", l.address, l.failure)
}

// linkRetention is how long a link without a connection is kept.
const linkRetention = time.Minute

// forgotten tells whether the link is of no more use.
func (l *link) forgotten(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.current.Load()
	open := c != nil && c.ctx.Err() == nil
	return !open && l.dialling == nil && now.Sub(l.dialledAt) > linkRetention
}

func (l *link) redial(ctx context.Context, done chan struct{}) {
	c, err := l.open(ctx)
	l.messenger.counters.dials.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(done)
	l.dialling = nil
	l.dialledAt = time.Now()
	if err != nil {
		l.backOff(err)
		return
	}
	l.failures = 0
	l.failure = nil
	l.retryAt = time.Time{}
	l.current.Store(c)
}

func (l *link) backOff(err error) {
	l.messenger.counters.failedDials.Add(1)
	o := &l.messenger.options
	wait := min(o.MinBackoff<<min(l.failures, 16), o.MaxBackoff)
	wait = wait/2 + rand.N(wait/2+1)
	l.failures++
	l.failure = err
	l.retryAt = time.Now().Add(wait)
}

func (l *link) open(ctx context.Context) (*connection, error) {
	m := l.messenger
	ctx, cancel := context.WithTimeout(ctx, m.options.DialTimeout)
	defer cancel()
	raw, err := m.options.Dial(ctx, l.address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(m.ctx, func() { _ = raw.Close() })
	defer stop()
	secured, err := l.secure(ctx, raw)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	c, err := m.greet(secured)
	if err != nil {
		_ = secured.Close()
		return nil, err
	}
	if !c.start() {
		return nil, errOutboxClosed
	}
	return c, nil
}

func (l *link) secure(ctx context.Context, raw net.Conn) (net.Conn, error) {
	config := l.messenger.options.TLS
	if config == nil {
		return raw, nil
	}
	if config.ServerName == "" {
		config = config.Clone()
		config.ServerName, _, _ = net.SplitHostPort(string(l.address))
	}
	secured := tls.Client(raw, config)
	return secured, secured.HandshakeContext(ctx)
}
