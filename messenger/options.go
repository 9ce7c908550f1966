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

// Options configures a messenger. Zero fields take their defaults.
type Options struct {
	// Firm is the firm of this host. Peers of another firm are rejected.
	Firm identifier.Firm
	// MaxFrameBytes limits the size of sent and received frames.
	MaxFrameBytes int
	// MaxQueueBytes limits the send queue of one connection.
	MaxQueueBytes int
	// MaxHandlers limits the concurrent handlers of one connection.
	MaxHandlers int
	// DialTimeout limits dialling a peer, including the TLS handshake.
	DialTimeout time.Duration
	// HelloTimeout limits the exchange of hellos.
	HelloTimeout time.Duration
	// WriteTimeout limits one write, for peers that read slowly.
	WriteTimeout time.Duration
	// KeepAlive is the interval between pings while calls are pending. If
	// nothing is received for three intervals, the connection is closed.
	KeepAlive time.Duration
	// IdleTimeout is the time after which a connection without pending calls is
	// closed.
	IdleTimeout time.Duration
	// MinBackoff and MaxBackoff limit the delay after a failed dial.
	MinBackoff, MaxBackoff time.Duration
	// TLS, if set, secures both dialled and accepted connections.
	TLS *tls.Config
	// Dial replaces the TCP dialler.
	Dial DialFunc
	// Logger receives connection events. If nil, nothing is logged.
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
