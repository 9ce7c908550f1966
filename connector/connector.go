// Package connector keeps the clients that an entry host calls endpoints with.
// All calls to one endpoint share its connections.
//
// # Usage
//
//	c := connector.New(connector.Options{DialTimeout: time.Second})
//	defer c.Close()
//	response, err := c.Engine(endpoint.Address).Prefill(ctx, request)
package connector

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

// Dial opens a connection; it has the signature of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options of a Connector. Zero fields get defaults.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// Dial replaces the network's dialer, for example to inject faults.
	Dial Dial
	// MaxMessageBytes bounds a message from an endpoint.
	MaxMessageBytes int
}

const (
	defaultDialTimeout     = time.Second
	defaultMaxMessageBytes = 4 << 20
	// pingPeriod is how long a connection may be silent before it is probed,
	// pingTimeout how long the probe may take.
	pingPeriod  = 2 * time.Second
	pingTimeout = 2 * time.Second
)

// Connector gives clients of endpoints by address. It is safe for use by
// several goroutines.
type Connector struct {
	transport *http.Transport
	client    *http.Client
	maxBytes  int
	engines   sync.Map // identifier.Address -> enginewireconnect.EngineServiceClient
	plains    sync.Map // identifier.Address -> enginewireconnect.PlainServiceClient
}

// New gives a Connector without connections.
func New(o Options) *Connector {
	if o.DialTimeout == 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.MaxMessageBytes == 0 {
		o.MaxMessageBytes = defaultMaxMessageBytes
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext: o.Dial,
		Protocols:   protocols,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingPeriod, PingTimeout: pingTimeout},
	}
	return &Connector{
		transport: transport,
		client:    converter.HTTPClient(transport),
		maxBytes:  o.MaxMessageBytes,
	}
}

// Engine gives the client of the model engine at address.
func (c *Connector) Engine(address identifier.Address) enginewireconnect.EngineServiceClient {
	if e, ok := c.engines.Load(address); ok {
		return e.(enginewireconnect.EngineServiceClient)
	}
	fresh := enginewireconnect.NewEngineServiceClient(c.client, "http://"+string(address), connect.WithReadMaxBytes(c.maxBytes))
	e, _ := c.engines.LoadOrStore(address, fresh)
	return e.(enginewireconnect.EngineServiceClient)
}

// Plain gives the client of the plain service's instance at address.
func (c *Connector) Plain(address identifier.Address) enginewireconnect.PlainServiceClient {
	if p, ok := c.plains.Load(address); ok {
		return p.(enginewireconnect.PlainServiceClient)
	}
	fresh := enginewireconnect.NewPlainServiceClient(c.client, "http://"+string(address), connect.WithReadMaxBytes(c.maxBytes))
	p, _ := c.plains.LoadOrStore(address, fresh)
	return p.(enginewireconnect.PlainServiceClient)
}

// HTTP gives the client under all others, for further services.
func (c *Connector) HTTP() *http.Client {
	return c.client
}

// Close drops idle connections.
func (c *Connector) Close() {
	c.transport.CloseIdleConnections()
}
