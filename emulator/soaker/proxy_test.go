package soaker

import (
	"context"
	"errors"
	"net"
	"os"
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
