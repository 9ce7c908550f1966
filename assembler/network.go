package assembler

import (
	"context"
	"net"
	"net/http"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/faulter"
	"github.com/jackdawthread/jackdawthread/launcher"
)

// Names of the parts of the network inside the process beside entry hosts and
// endpoints, which go by their own names.
const (
	PlatformHost identifier.Host = "platform"
	CallerHost   identifier.Host = "caller"
)

// registerSite makes the stand-ins known to the network's faults.
func (s *System) registerSite() {
	if s.Faults == nil {
		return
	}
	s.Faults.Register(PlatformHost, s.Site.PlatformAddress)
	for name, address := range s.Site.Addresses() {
		s.Faults.Register(identifier.Host(name), address)
	}
}

func (s *System) register(name identifier.Host, a launcher.Addresses) {
	if s.Faults == nil {
		return
	}
	for _, address := range []identifier.Address{a.Callers, a.Peers, a.Operators} {
		s.Faults.Register(name, address)
	}
}

// joinMemory puts a host on the network inside the process.
func (s *System) joinMemory(name identifier.Host, o *launcher.Options) {
	dial := s.Faults.Dial(name)
	o.Listen = s.memory.Listen
	o.DialPeer = dial
	o.DialEndpoint = func(ctx context.Context, _, address string) (net.Conn, error) {
		return dial(ctx, identifier.Address(address))
	}
}

// HTTPClient gives a client for callers of the system.
func (s *System) HTTPClient() *http.Client {
	if s.Faults == nil {
		return httpClient(nil)
	}
	return httpClient(s.Faults.Dial(CallerHost))
}

// httpClient speaks HTTP/2 without TLS over the dialler; nil: TCP.
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
