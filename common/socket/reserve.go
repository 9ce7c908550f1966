package socket

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// Ports for processes that are started later come from below the range
	// from which systems give ports to those that ask for any.
	firstPort = 12_000
	lastPort  = 30_000
	portTries = 100
)

// ErrNoPort says that no free port was found.
var ErrNoPort = errors.New("no free port found")

// PortClaim keeps a TCP port of loopback for a process that listens there
// later: nobody else who claims ports, in this program or another one, is
// given it until Close. It holds the UDP port of the same number.
type PortClaim struct {
	held net.PacketConn
}

// ClaimPort claims a port that nobody listens on. Its error is ErrNoPort.
func ClaimPort() (*PortClaim, error) {
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if c, ok := claim(address); ok {
			return c, nil
		}
	}
	return nil, ErrNoPort
}

// claim gives false if the address is claimed or somebody listens there.
func claim(address string) (*PortClaim, bool) {
	held, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, false
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		_ = held.Close()
		return nil, false
	}
	_ = ln.Close()
	return &PortClaim{held: held}, true
}

// Port gives the port's number.
func (c *PortClaim) Port() int {
	return c.held.LocalAddr().(*net.UDPAddr).Port
}

// String gives the address, as "127.0.0.1:12345".
func (c *PortClaim) String() string {
	return c.held.LocalAddr().String()
}

// Close gives the claim up.
func (c *PortClaim) Close() error {
	return c.held.Close()
}
