package emulator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// headerTimeout bounds the time a client may take to send request headers.
const headerTimeout = 10 * time.Second

// maxMessageBytes bounds the size of a request message.
const maxMessageBytes = 8 << 20

// compressMinBytes is the minimum size of responses that are compressed.
const compressMinBytes = 4 << 10

func handlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	)
}

// plainProtocols returns HTTP/1.1 and HTTP/2, both without TLS.
func plainProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// NewHTTPClient creates a client that speaks HTTP/2 without TLS.
func NewHTTPClient() *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: p}}
}

// Serve serves a handler on an address over HTTP/1.1 and HTTP/2, both without
// TLS, and returns the bound address. All connections are closed when ctx is
// canceled or the group stops.
func Serve(ctx context.Context, g *grouper.Group, address string, h http.Handler) (identifier.Address, error) {
	return serveOn(ctx, g, listenTCP, address, h)
}

// Listen opens a listener on an address.
type Listen func(address identifier.Address) (net.Listener, error)

func listenTCP(address identifier.Address) (net.Listener, error) {
	return net.Listen("tcp", string(address))
}

func serveOn(ctx context.Context, g *grouper.Group, listen Listen, address string, h http.Handler) (identifier.Address, error) {
	l, err := listen(identifier.Address(address))
	if err != nil {
		return "", eris.Wrapf(err, "listen on %q", address)
	}
	server := &http.Server{
		Handler:           h,
		Protocols:         plainProtocols(),
		ReadHeaderTimeout: headerTimeout,
	}
	closeServer := func() { _ = server.Close() } // the error needs no handling at shutdown
	stop := context.AfterFunc(ctx, closeServer)
	g.Go(func(running context.Context) error {
		defer stop()
		defer context.AfterFunc(running, closeServer)()
		err := server.Serve(l)
		closeServer() // blocks on a concurrent Close, so that all connections are closed on return
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrapf(err, "serve %s", l.Addr())
	})
	return identifier.Address(l.Addr().String()), nil
}
