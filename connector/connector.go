// Package connector manages the clients with which an entry host calls endpoints.
// All calls to an endpoint share its connections. Each call is sent once: what net/http would
// send again by itself ends with an error instead.
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

// Dial opens a network connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Connector. Zero fields are replaced by defaults.
type Options struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// Dial replaces the default dialer, for example to inject faults.
	Dial Dial
	// MaxMessageBytes limits the size of a message from an endpoint.
	MaxMessageBytes int
}

const (
	defaultDialTimeout     = time.Second
	defaultMaxMessageBytes = 4 << 20
	// maxHeadBytes limits the headers of a response.
	maxHeadBytes = 64 << 10
	// pingInterval is how long a connection may receive nothing before it is
	// checked with a ping; pingTimeout is how long the reply may take.
	pingInterval = 2 * time.Second
	pingTimeout  = 2 * time.Second
)

// Connector provides the clients of endpoints by address. It is safe for
// concurrent use.
type Connector struct {
	transport     *http.Transport
	client        *http.Client
	maxBytes      int
	engineClients sync.Map // identifier.Address -> enginewireconnect.EngineServiceClient
	plainClients  sync.Map // identifier.Address -> enginewireconnect.PlainServiceClient
}

// New returns a Connector, which opens connections on first use.
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
		DialContext: filterResets(o.Dial),
		Protocols:   protocols,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},

		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Connector{
		transport: transport,
		client:    converter.HTTPClient(singleSender{transport: &boundedTransport{RoundTripper: transport, maxBytes: int64(o.MaxMessageBytes)}}),
		maxBytes:  o.MaxMessageBytes,
	}
}

// Engine returns the client of the model engine at address.
func (c *Connector) Engine(address identifier.Address) enginewireconnect.EngineServiceClient {
	if e, ok := c.engineClients.Load(address); ok {
		return e.(enginewireconnect.EngineServiceClient)
	}
	newClient := enginewireconnect.NewEngineServiceClient(c.client, "http://"+string(address), c.MessageLimit())
	e, _ := c.engineClients.LoadOrStore(address, newClient)
	return e.(enginewireconnect.EngineServiceClient)
}

// Plain returns the client of the plain service instance at address.
func (c *Connector) Plain(address identifier.Address) enginewireconnect.PlainServiceClient {
	if p, ok := c.plainClients.Load(address); ok {
		return p.(enginewireconnect.PlainServiceClient)
	}
	newClient := enginewireconnect.NewPlainServiceClient(c.client, "http://"+string(address), c.MessageLimit())
	p, _ := c.plainClients.LoadOrStore(address, newClient)
	return p.(enginewireconnect.PlainServiceClient)
}

// Reach opens a connection to an address and closes it. Its error is that of the dialer.
func (c *Connector) Reach(ctx context.Context, a identifier.Address) error {
	raw, err := c.transport.DialContext(ctx, "tcp", string(a))
	if err != nil {
		return err
	}
	return raw.Close()
}

// MessageLimit returns the option that limits the size of received messages.
func (c *Connector) MessageLimit() connect.ClientOption {
	return connect.WithReadMaxBytes(c.maxBytes)
}

// HTTP returns the HTTP client shared by all others, for calls to other services, whose
// clients need MessageLimit.
func (c *Connector) HTTP() *http.Client {
	return c.client
}

// Close closes idle connections.
func (c *Connector) Close() {
	c.transport.CloseIdleConnections()
}
