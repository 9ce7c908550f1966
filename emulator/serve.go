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

// headerTimeout bounds how long a client may take to send a call's header.
const headerTimeout = 10 * time.Second

// maxMessageBytes bounds a request to a stand-in.
const maxMessageBytes = 8 << 20

// compressMinBytes is the size from which answers are compressed.
const compressMinBytes = 4 << 10

func handlerOptions() connect.HandlerOption {
	return connect.WithHandlerOptions(
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	)
}

// plainProtocols are HTTP/1.1 and HTTP/2, both without TLS.
func plainProtocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// NewHTTPClient gives a client that speaks HTTP/2 without TLS.
func NewHTTPClient() *http.Client {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: p}}
}

// Serve serves a handler at an address, over HTTP/1.1 and over HTTP/2 without
// TLS, and gives the address bound. When ctx ends, or the group stops, all
// connections are cut.
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
	closeServer := func() { _ = server.Close() } // nothing is left to do with its error
	stop := context.AfterFunc(ctx, closeServer)
	g.Go(func(running context.Context) error {
		defer stop()
		defer context.AfterFunc(running, closeServer)()
		err := server.Serve(l)
		closeServer() // waits for a call under way, so that all connections are cut
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrapf(err, "serve %s", l.Addr())
	})
	return identifier.Address(l.Addr().String()), nil
}
