// Package socket opens TCP sockets that notice a peer which has gone silent.
// A lost host, a cut network and a connection that a middlebox forgot send no
// reset; only unanswered data or unanswered keep-alive probes show them.
//
// # Usage
//
//	dialer := socket.Dialer(250 * time.Millisecond)
//	raw, err := dialer.DialContext(ctx, "tcp", "10.0.0.1:80")
//	listener, err := socket.Listen(ctx, "10.0.0.1:80")
package socket

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UserTimeout is how long sent data may stay unacknowledged.
	UserTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount close a connection
	// that answers no probes for about three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
}

// Dialer gives a dialer whose connections are opened within timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive(),
		Control:         setUserTimeout,
	}
}

// Listen listens on address; accepted connections notice silent peers too.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	return c.Listen(ctx, "tcp", address)
}

// setUserTimeout sets the option before the socket connects or listens;
// accepted connections inherit it.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Quiet tells whether nothing has arrived on an idle connection: no bytes, no
// end and no error. It doesn't block and takes nothing from the connection.
func Quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
