// Package socket opens TCP sockets that detect an unresponsive peer. A crashed
// host, a network partition or a middlebox that dropped the connection state
// sends no reset; only unacknowledged data or unanswered keep-alive probes
// reveal the failure.
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
	// keepAliveIdle, keepAliveInterval and keepAliveCount close an idle
	// connection after about three seconds without a response.
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

// Dialer returns a dialer with the given connect timeout. Its connections detect
// unresponsive peers.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive(),
		Control:         setUserTimeout,
	}
}

// Listen listens on address. Accepted connections detect unresponsive peers too.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	c := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: setUserTimeout}
	return c.Listen(ctx, "tcp", address)
}

// setUserTimeout sets TCP_USER_TIMEOUT before the socket connects or listens.
// Accepted connections inherit it.
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

// Reset closes a connection with a reset, if it supports that, so that its peer can't
// take its end for that of a message. Bytes that the peer has not received are dropped.
func Reset(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0) // fails only if the connection is already closed
	}
	_ = c.Close() // a connection that is reset has no data to lose
}

// NothingToRead reports whether an idle connection has nothing to read: no
// data, no EOF and no error. It doesn't block and consumes no data.
func NothingToRead(c net.Conn) bool {
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
		var buffer [1]byte
		_, _, peekErr := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peekErr == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
