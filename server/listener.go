package server

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/acceptor"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
)

// ListenerOptions limits how long a connection can hold resources.
type ListenerOptions struct {
	// HeaderTimeout and BodyTimeout limit the time to read a request's headers
	// and the time until its body is read.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout limits the time of one write of the response.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which a connection without requests is closed.
	IdleTimeout time.Duration
	// TLS is the TLS configuration, or nil for unencrypted connections.
	TLS *tls.Config
}

// DefaultListenerOptions returns options for callers on an untrusted network.
func DefaultListenerOptions() ListenerOptions {
	return ListenerOptions{
		HeaderTimeout: 5 * time.Second,
		BodyTimeout:   10 * time.Second,
		WriteTimeout:  10 * time.Second,
		IdleTimeout:   2 * time.Minute,
	}
}

// Listener serves a handler on one address, over HTTP/1.1 and HTTP/2.
type Listener struct {
	server *http.Server
	// acceptor ends the connections of HTTP/1.1; nil with TLS.
	acceptor *acceptor.Acceptor
	limits   acceptor.Limits
	log      *zap.Logger
	// cancel ends the contexts of all requests.
	cancel context.CancelCauseFunc
}

// maxHeaderBytes bounds the size of a request's header.
const maxHeaderBytes = 64 << 10

const (
	// sweepPeriod is the time between two checks of connections for their limits.
	sweepPeriod = time.Second
	// cancelTimeout bounds the time for the answers to requests that Stop cancels.
	cancelTimeout = 200 * time.Millisecond
)

// errStopped ends the requests that are in progress at the end of Stop.
var errStopped = classifier.NotRun(classifier.ReasonStopping, 0, "host has stopped")

// Listen starts serving h on ln in a goroutine of g.
func Listen(g *grouper.Group, ln net.Listener, h http.Handler, o ListenerOptions, log *zap.Logger) *Listener {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	base, cancel := context.WithCancelCause(context.Background())
	l := &Listener{
		cancel: cancel,
		log:    log,
		limits: acceptor.Limits{Idle: o.IdleTimeout, Header: o.HeaderTimeout},
		server: &http.Server{
			Handler:           limitTime(h, o),
			ReadHeaderTimeout: o.HeaderTimeout,
			IdleTimeout:       o.IdleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			Protocols:         protocols,
			TLSConfig:         o.TLS,
			ErrorLog:          zap.NewStdLog(log),
			BaseContext:       func(net.Listener) context.Context { return base },
		},
	}
	if o.TLS == nil {
		ln = l.useAcceptor(g, ln)
	}
	g.Go(func(context.Context) error { return l.serve(ln) })
	return l
}

// useAcceptor makes l accept connections from ln by an Acceptor, and returns it.
func (l *Listener) useAcceptor(g *grouper.Group, ln net.Listener) net.Listener {
	l.acceptor = acceptor.New(ln, l.observeClosing)
	l.acceptor.AllowHTTP2()
	l.acceptor.Bound(acceptor.Bounds{HeadBytes: maxHeaderBytes})
	l.acceptor.Sweep(time.Now(), l.limits)
	l.server.Handler = l.acceptor.Handler(l.server.Handler)
	l.server.ConnContext = l.acceptor.Context
	l.server.ConnState = l.acceptor.ObserveState
	g.Run(func(ctx context.Context) {
		for sleeper.Sleep(ctx, sweepPeriod) == nil {
			l.acceptor.Sweep(time.Now(), l.limits)
		}
	})
	return l.acceptor
}

func (l *Listener) observeClosing(c *acceptor.Closing) {
	l.log.Debug("caller-connection-closed",
		zap.String("reason", string(c.Reason)),
		zap.String("remote", c.Remote),
		zap.Duration("age", c.Age),
		zap.Duration("idle", c.Idle),
		zap.Duration("limit", c.Limit))
}

func (l *Listener) serve(ln net.Listener) error {
	var err error
	if l.server.TLSConfig != nil {
		err = l.server.ServeTLS(ln, "", "")
	} else {
		err = l.server.Serve(ln)
	}
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return eris.Wrapf(err, "listener on %s failed", ln.Addr())
}

// Stop stops accepting connections and waits until all requests are answered. If
// ctx ends first, it cancels the others, waits up to cancelTimeout for their answers, and closes
// the remaining connections.
func (l *Listener) Stop(ctx context.Context) error {
	l.drain(ctx)
	err := l.server.Shutdown(ctx)
	if err != nil {
		l.cancelRequests()
		l.Close()
	}
	return err
}

// cancelRequests ends the contexts of the requests in progress, and waits for their answers.
func (l *Listener) cancelRequests() {
	l.cancel(errStopped)
	if l.acceptor != nil {
		l.acceptor.CancelRequests(acceptor.ReasonStopLimit)
	}
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = l.server.Shutdown(ctx) // Close ends those that remain
}

// drain ends the connections of HTTP/1.1 after their answers: once Shutdown is called,
// net/http drops the requests that it reads from them. Those of HTTP/2 are told to
// use another connection by their next answer, the others by Shutdown.
func (l *Listener) drain(ctx context.Context) {
	if l.acceptor == nil {
		return
	}
	l.acceptor.Drain(time.Now())
	_ = l.acceptor.AwaitDrained(ctx) // Shutdown reports the end of ctx
}

// Close closes the listener and all connections immediately.
func (l *Listener) Close() {
	_ = l.server.Close() // there is no way to handle an error here
	l.cancel(errStopped)
}
