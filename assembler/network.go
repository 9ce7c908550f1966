package assembler

import (
	"context"
	"net"
	"net/http"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/faulter"
	"github.com/jackdawthread/jackdawthread/launcher"
)

// Host names of the platform and the callers in the in-process network. Entry hosts
// and endpoints are registered under their own names.
const (
	PlatformHost identifier.Host = "platform"
	CallerHost   identifier.Host = "caller"
)

// registerEmulators registers the emulated platform and endpoints, so that faults
// can be set on their links.
func (s *System) registerEmulators() {
	if s.Faults == nil {
		return
	}
	s.Faults.Register(PlatformHost, s.Site.PlatformAddress)
	for name, address := range s.Site.Addresses() {
		s.Faults.Register(identifier.Host(name), address)
	}
}

func (s *System) registerHost(name identifier.Host, a launcher.Addresses) {
	if s.Faults == nil {
		return
	}
	for _, address := range []identifier.Address{a.Callers, a.Peers, a.Operators} {
		s.Faults.Register(name, address)
	}
}

// useMemoryNetwork makes a host listen and dial on the in-process network.
func (s *System) useMemoryNetwork(name identifier.Host, o *launcher.Options) {
	dial := s.Faults.Dial(name)
	o.Listen = s.memoryNetwork.Listen
	o.DialPeer = dial
	o.DialEndpoint = func(ctx context.Context, _, address string) (net.Conn, error) {
		return dial(ctx, identifier.Address(address))
	}
}

// HTTPClient returns an HTTP client for callers of the system.
func (s *System) HTTPClient() *http.Client {
	if s.Faults == nil {
		return httpClient(nil)
	}
	return httpClient(s.Faults.Dial(CallerHost))
}

// httpClient returns a client for HTTP/2 without TLS that connects with dial, or
// over TCP if dial is nil.
func httpClient(dial faulter.Dialer) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	if dial != nil {
		transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, identifier.Address(address))
		}
	}
	return &http.Client{Transport: transport}
}
