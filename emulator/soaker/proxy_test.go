package soaker

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// TestNoGapInConnections guards against a fault of the soak: data that was dropped for
// a while was missing in the middle of a connection, which TCP never shows.
func TestNoGapInConnections(t *testing.T) {
	i := is.New(t)
	g := grouper.New(context.Background())
	t.Cleanup(func() {
		g.Stop()
		i.NoErr(g.Wait())
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	p, err := startProxy(g, identifier.Address(ln.Addr().String()))
	i.NoErr(err)
	client, err := net.Dial("tcp", string(p.address))
	i.NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	server, err := ln.Accept()
	i.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })

	i.Equal(passed(t, client, server, "before"), "before")
	p.setFault(faultDropBoth)
	i.Equal(passed(t, client, server, "lost"), "")
	p.setFault(faultNone)
	i.Equal(passed(t, client, server, "after"), "")
	i.Equal(passed(t, server, client, "other direction"), "other direction") // nothing was lost there
	i.NoErr(client.Close())
	i.NoErr(server.SetReadDeadline(time.Now().Add(2 * keepAliveTime)))
	_, err = server.Read(make([]byte, 1))
	i.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded)) // the end is noticed late
}

// failingListener fails once before each connection that it accepts.
type failingListener struct {
	net.Listener
	failed bool
}

func (f *failingListener) Accept() (net.Conn, error) {
	f.failed = !f.failed
	if f.failed {
		return nil, syscall.EMFILE
	}
	return f.Listener.Accept()
}

// A proxy that once had no descriptor for a connection accepted none any more, so that
// its runner was unreachable until the end of the soak.
func TestProxyWithoutDescriptors(t *testing.T) {
	i := is.New(t)
	g := grouper.New(context.Background())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	p, err := startProxy(g, identifier.Address(server.Addr().String()))
	i.NoErr(err)
	g.Run(func(context.Context) { p.accept(g, &failingListener{Listener: ln}) })
	t.Cleanup(func() {
		_ = ln.Close()
		_ = server.Close()
		g.Stop()
		i.NoErr(g.Wait())
	})
	client, err := net.Dial("tcp", ln.Addr().String())
	i.NoErr(err)
	defer func() { _ = client.Close() }()
	i.NoErr(server.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Second)))
	_, err = server.Accept()
	i.NoErr(err)
}

// A connection that a proxy opened while its group ended was never closed, so that the end of
// the group was awaited forever.
func TestProxyThatEnds(t *testing.T) {
	i := is.New(t)
	g := grouper.New(context.Background())
	target, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	defer func() { _ = target.Close() }()
	p, err := startProxy(g, identifier.Address(target.Addr().String()))
	i.NoErr(err)
	earlier, tracked := net.Pipe()
	p.track(tracked)
	g.Stop()
	_, err = earlier.Read(make([]byte, 1))
	i.Equal(err, io.EOF) // all connections of that time have been reset
	client, atProxy := net.Pipe()
	defer func() { _ = client.Close() }()
	served := make(chan struct{})
	go func() {
		p.serve(atProxy)
		close(served)
	}()
	server, err := target.Accept()
	i.NoErr(err)
	defer func() { _ = server.Close() }()
	select {
	case <-served:
	case <-time.After(5 * time.Second):
		t.Fatal("proxy still serves the connection")
	}
	i.NoErr(g.Wait())
}

// passed sends text and returns what arrives at the other end within a short time.
func passed(t *testing.T, from, to net.Conn, text string) string {
	t.Helper()
	i := is.New(t)
	_, err := from.Write([]byte(text))
	i.NoErr(err)
	i.NoErr(to.SetReadDeadline(time.Now().Add(200 * time.Millisecond)))
	b := make([]byte, 64)
	n, _ := to.Read(b) // a timeout if nothing arrives
	return string(b[:n])
}
