package connector_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/connector"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

const maxMessageBytes = 100 << 10

// plainEndpoint answers calls with a payload and a header of the given sizes.
type plainEndpoint struct {
	enginewireconnect.UnimplementedPlainServiceHandler
	payloadBytes, headerBytes int
}

func (p *plainEndpoint) Invoke(context.Context, *connect.Request[enginewire.InvokeRequest]) (*connect.Response[enginewire.InvokeResponse], error) {
	r := connect.NewResponse(&enginewire.InvokeResponse{Payload: make([]byte, p.payloadBytes)})
	r.Header().Set("Filler", strings.Repeat("x", p.headerBytes))
	return r, nil
}

// startEndpoint serves an endpoint's handler, and returns a connector and the address.
func startEndpoint(t *testing.T, path string, h http.Handler) (*connector.Connector, identifier.Address) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(path, h)
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	c := connector.New(connector.Options{MaxMessageBytes: maxMessageBytes})
	t.Cleanup(c.Close)
	return c, identifier.Address(strings.TrimPrefix(server.URL, "http://"))
}

// invoke calls an endpoint.
func invoke(t *testing.T, p *plainEndpoint) error {
	t.Helper()
	path, handler := enginewireconnect.NewPlainServiceHandler(p)
	c, address := startEndpoint(t, path, handler)
	_, err := c.Plain(address).Invoke(t.Context(), connect.NewRequest(&enginewire.InvokeRequest{}))
	return err
}

// The headers of a response of an endpoint were limited to 10 MB.
func TestLimits(t *testing.T) {
	cases := []struct {
		name     string
		endpoint plainEndpoint
		accepted bool
	}{
		{"a small response", plainEndpoint{payloadBytes: 1000, headerBytes: 1000}, true},
		{"a message over the limit", plainEndpoint{payloadBytes: maxMessageBytes + 1}, false},
		{"headers over the limit", plainEndpoint{headerBytes: 100 << 10}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(invoke(t, &c.endpoint) == nil, c.accepted)
		})
	}
}
