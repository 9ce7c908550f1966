package socket

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// Ports are chosen below the ephemeral range, from which the system
	// assigns ports to sockets that request port 0.
	firstPort       = 12_000
	lastPort        = 30_000
	maxPortAttempts = 100
)

// ErrNoPort is returned by ReservePort if it finds no free port.
var ErrNoPort = errors.New("no free port found")

// PortReservation reserves a loopback TCP port for a process that will listen
// on it later. Until Close, no other call of ReservePort returns the port, in
// this process or another one. The reservation is held by binding the UDP port of the
// same number, which leaves the TCP port free.
type PortReservation struct {
	udp net.PacketConn
}

// ReservePort reserves a free port. The only error it returns is ErrNoPort.
func ReservePort() (*PortReservation, error) {
	for range maxPortAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if c, ok := tryClaim(address); ok {
			return c, nil
		}
	}
	return nil, ErrNoPort
}

// tryClaim returns false if the address is already claimed or in use.
func tryClaim(address string) (*PortReservation, bool) {
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return nil, false
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		_ = udp.Close()
		return nil, false
	}
	_ = ln.Close()
	return &PortReservation{udp: udp}, true
}

// Port returns the port number.
func (c *PortReservation) Port() int {
	return c.udp.LocalAddr().(*net.UDPAddr).Port
}

// String returns the address in the form "127.0.0.1:12345".
func (c *PortReservation) String() string {
	return c.udp.LocalAddr().String()
}

// Close releases the port.
func (c *PortReservation) Close() error {
	return c.udp.Close()
}
