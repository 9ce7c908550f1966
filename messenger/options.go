package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Defaults of Options.
const (
	defaultMaxFrameBytes = 4 << 20
	defaultMaxQueueBytes = 8 << 20
	defaultMaxHandlers   = 512
	defaultDialTimeout   = 2 * time.Second
	defaultHelloTimeout  = 2 * time.Second
	defaultWriteTimeout  = 5 * time.Second
	defaultKeepAlive     = 2 * time.Second
	defaultIdleTimeout   = time.Minute
	defaultMinBackoff    = 50 * time.Millisecond
	defaultMaxBackoff    = 2 * time.Second
)

// DialFunc opens a connection to a peer.
type DialFunc func(ctx context.Context, to identifier.Address) (net.Conn, error)

// Options set limits; a zero field takes its default.
type Options struct {
	// Firm of this host; peers of another firm are refused.
	Firm identifier.Firm
	// MaxFrameBytes bounds a frame, in both directions.
	MaxFrameBytes int
	// MaxQueueBytes bounds what waits to be written on one connection.
	MaxQueueBytes int
	// MaxHandlers bounds the handlers that run for one connection.
	MaxHandlers int
	// DialTimeout bounds the dialling of a peer, TLS included.
	DialTimeout time.Duration
	// HelloTimeout bounds the exchange of hellos.
	HelloTimeout time.Duration
	// WriteTimeout bounds one write to a peer that reads slowly.
	WriteTimeout time.Duration
	// KeepAlive is the time between pings while calls wait; a connection that
	// stays silent for three of them is closed.
	KeepAlive time.Duration
	// IdleTimeout closes a connection on which no call waits.
	IdleTimeout time.Duration
	// MinBackoff and MaxBackoff bound the time between failed dials.
	MinBackoff, MaxBackoff time.Duration
	// TLS secures both directions when set.
	TLS *tls.Config
	// Dial replaces the TCP dialler.
	Dial DialFunc
	// Logger gets one line per event; nil: none.
	Logger *zap.Logger
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxFrameBytes, defaultMaxFrameBytes)
	setDefault(&o.MaxQueueBytes, defaultMaxQueueBytes)
	setDefault(&o.MaxHandlers, defaultMaxHandlers)
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.HelloTimeout, defaultHelloTimeout)
	setDefault(&o.WriteTimeout, defaultWriteTimeout)
	setDefault(&o.KeepAlive, defaultKeepAlive)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.MinBackoff, defaultMinBackoff)
	setDefault(&o.MaxBackoff, defaultMaxBackoff)
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	return o
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

func dialTCP(ctx context.Context, to identifier.Address) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", string(to))
}
