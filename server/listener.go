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

	"github.com/jackdawthread/jackdawthread/common/grouper"
)

// ListenerOptions bound what one connection may cost.
type ListenerOptions struct {
	// HeaderTimeout and BodyTimeout bound how long a sender may take.
	HeaderTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout bounds how long a reader may let one write wait.
	WriteTimeout time.Duration
	// IdleTimeout ends connections without requests.
	IdleTimeout time.Duration
	// TLS is nil for plain text.
	TLS *tls.Config
}

// DefaultListenerOptions suit callers on the open network.
func DefaultListenerOptions() ListenerOptions {
	return ListenerOptions{
		HeaderTimeout: 5 * time.Second,
		BodyTimeout:   10 * time.Second,
		WriteTimeout:  10 * time.Second,
		IdleTimeout:   2 * time.Minute,
	}
}

// Listener serves one handler on one address, over HTTP/1.1 and HTTP/2.
type Listener struct {
	server *http.Server
	log    *zap.Logger
}

// Listen serves h on ln as a member of g.
func Listen(g *grouper.Group, ln net.Listener, h http.Handler, o ListenerOptions, log *zap.Logger) *Listener {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	l := &Listener{
		log: log,
		server: &http.Server{
			Handler:           guard(h, o),
			ReadHeaderTimeout: o.HeaderTimeout,
			IdleTimeout:       o.IdleTimeout,
			Protocols:         protocols,
			TLSConfig:         o.TLS,
			ErrorLog:          zap.NewStdLog(log),
		},
	}
	g.Go(func(context.Context) error { return l.serve(ln) })
	return l
}

func (l *Listener) serve(ln net.Listener) error {
	var err error
	if l.server.TLSConfig != nil {
		err = l.server.ServeTLS(ln, "", "")
	} else {
		err = l.server.Serve(ln)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrapf(err, "listener on %s failed", ln.Addr())
}

// Stop accepts nothing new and waits until all requests have their answer or
// ctx ends; then it closes what is left.
func (l *Listener) Stop(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close() // the shutdown's error says more
	}
	return err
}

// Close ends all connections at once.
func (l *Listener) Close() {
	_ = l.server.Close() // nothing is left to be done about an error
}
