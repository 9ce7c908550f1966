package soaker

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
)

// proxyFault is a fault that a proxy applies to its connections.
type proxyFault uint8

const (
	faultNone proxyFault = iota
	// faultDelay delays every chunk of data by proxyDelay.
	faultDelay
	// faultNarrow lets proxyRate bytes a second pass in each direction.
	faultNarrow
	// faultDropBoth silently drops data in both directions and resets nothing.
	faultDropBoth
	// faultDropToServer silently drops only data sent to the server.
	faultDropToServer
	// faultReset resets all connections and refuses new ones.
	faultReset
)

const (
	proxyDelay = 50 * time.Millisecond
	// proxyRate is in bytes a second.
	proxyRate = 256 << 10
	// keepAliveTime is how long the end of a connection stays unknown to the side
	// that nothing reaches any more.
	keepAliveTime = 3 * time.Second
)

// proxy forwards TCP connections from hosts to a listener of the emulated
// platform.
type proxy struct {
	address identifier.Address
	target  identifier.Address
	group   *grouper.Group

	mu          sync.Mutex
	fault       proxyFault
	connections map[net.Conn]struct{}
}

func startProxy(g *grouper.Group, target identifier.Address) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: identifier.Address(ln.Addr().String()), target: target, group: g, connections: map[net.Conn]struct{}{}}
	g.Run(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() {
			_ = ln.Close()
			p.resetAll()
		})
		defer stop()
		p.accept(g, ln)
	})
	return p, nil
}

// accept serves the connections of a listener until that is closed.
func (p *proxy) accept(g *grouper.Group, ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as too many open files
			time.Sleep(acceptRetry)
			continue
		}
		g.Run(func(context.Context) { p.serve(c) })
	}
}

// acceptRetry is how long a proxy that can't accept a connection waits.
const acceptRetry = 5 * time.Millisecond

// setFault sets the current fault; faultNone ends it.
func (p *proxy) setFault(f proxyFault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f == faultReset {
		p.resetAll()
	}
}

func (p *proxy) currentFault() proxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails on a connection that is already closed
	}
	_ = c.Close()
}

// track adds a connection to those that resetAll resets. One that opens after the
// group's end is reset at once.
func (p *proxy) track(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections[c] = struct{}{}
	if p.group.Context().Err() != nil {
		reset(c)
	}
}

func (p *proxy) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

func (p *proxy) serve(client net.Conn) {
	if p.currentFault() == faultReset {
		reset(client)
		return
	}
	server, err := net.Dial("tcp", string(p.target))
	if err != nil {
		reset(client)
		return
	}
	p.track(client)
	p.track(server)
	defer p.forget(client)
	defer p.forget(server)
	done := make(chan struct{})
	p.group.Run(func(context.Context) {
		p.copy(server, client, true)
		close(done)
	})
	p.copy(client, server, false)
	<-done
	_ = client.Close()
	_ = server.Close()
}

// copy forwards data in one direction until either side closes. After data was
// dropped, all that follows is dropped too, since TCP delivers no data with a gap.
func (p *proxy) copy(to, from net.Conn, toServer bool) {
	b := make([]byte, 16<<10)
	gap := false
	for {
		n, err := from.Read(b)
		f := p.currentFault()
		switch f {
		case faultDelay:
			time.Sleep(proxyDelay)
		case faultNarrow:
			time.Sleep(time.Duration(n) * time.Second / proxyRate)
		}
		dropped := gap || f == faultDropBoth || f == faultDropToServer && toServer
		gap = gap || dropped && n > 0
		if n > 0 && !dropped {
			if _, writeErr := to.Write(b[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && !dropped {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite() // the other direction may continue
				return
			}
		}
		if dropped {
			// The receiver finds out by its keep-alive probes.
			_ = sleeper.Sleep(p.group.Context(), keepAliveTime)
		}
		reset(to)
		return
	}
}
