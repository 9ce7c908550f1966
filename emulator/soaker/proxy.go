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
)

// wayFault is what a proxy does to the connections through it.
type wayFault uint8

const (
	wayClear wayFault = iota
	// wayDelayed holds every piece up for wayDelay.
	wayDelayed
	// waySilent drops what comes, both ways, and resets nothing.
	waySilent
	// wayOneWay drops what goes to the server alone.
	wayOneWay
	// wayReset resets all connections and refuses new ones.
	wayReset
)

const wayDelay = 50 * time.Millisecond

// proxy stands between hosts and one listener of the stand-ins.
type proxy struct {
	address identifier.Address
	target  identifier.Address
	group   *grouper.Group

	mu    sync.Mutex
	fault wayFault
	open  map[net.Conn]struct{}
}

func startProxy(g *grouper.Group, target identifier.Address) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: identifier.Address(ln.Addr().String()), target: target, group: g, open: map[net.Conn]struct{}{}}
	g.Run(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() {
			_ = ln.Close()
			p.resetAll()
		})
		defer stop()
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			g.Run(func(context.Context) { p.serve(c) })
		}
	})
	return p, nil
}

// set has the proxy misbehave, or behave again.
func (p *proxy) set(f wayFault) {
	p.mu.Lock()
	p.fault = f
	p.mu.Unlock()
	if f == wayReset {
		p.resetAll()
	}
}

func (p *proxy) present() wayFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails on a connection that is closed already
	}
	_ = c.Close()
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.open[c] = struct{}{}
		return
	}
	delete(p.open, c)
}

func (p *proxy) serve(near net.Conn) {
	if p.present() == wayReset {
		reset(near)
		return
	}
	far, err := net.Dial("tcp", string(p.target))
	if err != nil {
		reset(near)
		return
	}
	p.track(near, true)
	p.track(far, true)
	defer p.track(near, false)
	defer p.track(far, false)
	done := make(chan struct{})
	p.group.Run(func(context.Context) {
		p.copy(far, near, true)
		close(done)
	})
	p.copy(near, far, false)
	<-done
	_ = near.Close()
	_ = far.Close()
}

// copy passes bytes one way until one side ends.
func (p *proxy) copy(to, from net.Conn, toServer bool) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		f := p.present()
		if f == wayDelayed {
			time.Sleep(wayDelay)
		}
		dropped := f == waySilent || f == wayOneWay && toServer
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
				_ = t.CloseWrite() // the other way may go on
				return
			}
		}
		if !dropped {
			reset(to)
		}
		return
	}
}
