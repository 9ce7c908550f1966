package faulter

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// baseMemoryPort precedes the first port that is assigned to a listener on port 0.
	baseMemoryPort = 20_000
	// acceptBacklog bounds the connections that wait to be accepted.
	acceptBacklog = 1024
)

// MemoryNetwork is an in-process network of listeners and connections without
// sockets. Tests with virtual time use it, because synctest treats goroutines that
// wait on it as durably blocked, unlike those that wait on sockets.
type MemoryNetwork struct {
	mu        sync.Mutex
	listeners map[identifier.Address]*memoryListener
	lastPort  uint16
}

// NewMemoryNetwork returns a network without listeners.
func NewMemoryNetwork() *MemoryNetwork {
	return &MemoryNetwork{listeners: make(map[identifier.Address]*memoryListener), lastPort: baseMemoryPort}
}

// Listen listens on address; port 0 selects a free port.
func (m *MemoryNetwork) Listen(address identifier.Address) (net.Listener, error) {
	at, err := netip.ParseAddrPort(string(address))
	if err != nil {
		return nil, fmt.Errorf("invalid listen address %q, expected IP:port: %w", address, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Port() == 0 {
		m.lastPort++
		at = netip.AddrPortFrom(at.Addr(), m.lastPort)
	}
	name := identifier.Address(at.String())
	if _, taken := m.listeners[name]; taken {
		return nil, &net.OpError{Op: "listen", Net: "memory", Err: syscall.EADDRINUSE}
	}
	l := &memoryListener{
		network: m,
		address: net.TCPAddrFromAddrPort(at),
		name:    name,
		pending: make(chan net.Conn, acceptBacklog),
		closed:  make(chan struct{}),
	}
	m.listeners[name] = l
	return l, nil
}

// Dial connects to the listener on an address. Without a listener it fails with
// ECONNREFUSED.
func (m *MemoryNetwork) Dial(ctx context.Context, to identifier.Address) (net.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: err}
	}
	m.mu.Lock()
	l, ok := m.listeners[to]
	m.mu.Unlock()
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	}
	clientConn, serverConn := newMemoryConnPair(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}, l.address)
	select {
	case l.pending <- serverConn:
		return clientConn, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: ctx.Err()}
	}
}

// memoryListener implements net.Listener.
type memoryListener struct {
	network   *MemoryNetwork
	address   net.Addr
	name      identifier.Address
	pending   chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "memory", Err: net.ErrClosed}
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.name)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr {
	return l.address
}
