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
	// firstMemoryPort is the port of the first listener that asks for any.
	firstMemoryPort = 20_000
	// acceptBacklog bounds the connections that wait to be accepted.
	acceptBacklog = 1024
)

// Memory is a network inside the process: listeners and connections without
// sockets. Tests with virtual time use it, since goroutines that wait for it
// count as blocked there.
type Memory struct {
	mu        sync.Mutex
	listeners map[identifier.Address]*memoryListener
	lastPort  uint16
}

// NewMemory gives a network without listeners.
func NewMemory() *Memory {
	return &Memory{listeners: make(map[identifier.Address]*memoryListener), lastPort: firstMemoryPort}
}

// Listen listens on address; port 0 stands for any free one.
func (m *Memory) Listen(address identifier.Address) (net.Listener, error) {
	at, err := netip.ParseAddrPort(string(address))
	if err != nil {
		return nil, fmt.Errorf("address %q is not IP:port: %w", address, err)
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
		memory:  m,
		address: net.TCPAddrFromAddrPort(at),
		name:    name,
		arrived: make(chan net.Conn, acceptBacklog),
		closed:  make(chan struct{}),
	}
	m.listeners[name] = l
	return l, nil
}

// Dial connects to a listener, or is refused.
func (m *Memory) Dial(ctx context.Context, to identifier.Address) (net.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: err}
	}
	m.mu.Lock()
	l, ok := m.listeners[to]
	m.mu.Unlock()
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	}
	near, far := memoryPair(&net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}, l.address)
	select {
	case l.arrived <- far:
		return near, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "memory", Err: ctx.Err()}
	}
}

// memoryListener implements net.Listener.
type memoryListener struct {
	memory  *Memory
	address net.Addr
	name    identifier.Address
	arrived chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.arrived:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "memory", Err: net.ErrClosed}
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.memory.mu.Lock()
		delete(l.memory.listeners, l.name)
		l.memory.mu.Unlock()
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr {
	return l.address
}
