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

// ChoosePort holds a loopback port that is free, for a process that listens
// there once the listener has been closed. Whoever listens on any port, in this
// program or another one, isn't given it meanwhile.
func ChoosePort() (net.Listener, error) {
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if ln, err := net.Listen("tcp", address); err == nil {
			return ln, nil
		}
	}
	return nil, ErrNoPort
}
