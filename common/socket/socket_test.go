package socket_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/socket"
)

// pair gives the two ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	i := is.New(t)
	ln, err := socket.Listen(context.Background(), "127.0.0.1:0")
	i.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	near, err = socket.Dialer(time.Second).Dial("tcp", ln.Addr().String())
	i.NoErr(err)
	far, err = ln.Accept()
	i.NoErr(err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

func TestQuiet(t *testing.T) {
	t.Run("a connection on which nothing came is quiet", func(t *testing.T) {
		near, _ := pair(t)
		is.New(t).True(socket.Quiet(near))
	})
	t.Run("one with bytes isn't, and keeps them", func(t *testing.T) {
		i := is.New(t)
		near, far := pair(t)
		_, err := far.Write([]byte("x"))
		i.NoErr(err)
		time.Sleep(20 * time.Millisecond)
		i.True(!socket.Quiet(near))
		b := make([]byte, 1)
		_, err = near.Read(b)
		i.NoErr(err)
		i.Equal(string(b), "x")
	})
	t.Run("one that has ended isn't", func(t *testing.T) {
		near, far := pair(t)
		_ = far.Close()
		time.Sleep(20 * time.Millisecond)
		is.New(t).True(!socket.Quiet(near))
	})
}

func TestClaimPort(t *testing.T) {
	i := is.New(t)
	seen := map[string]bool{}
	for range 50 {
		c, err := socket.ClaimPort()
		i.NoErr(err)
		defer func() { _ = c.Close() }()
		seen[c.String()] = true
		ln, err := net.Listen("tcp", c.String())
		i.NoErr(err) // a claimed port is free for the process that it is for
		i.NoErr(ln.Close())
	}
	i.Equal(len(seen), 50)
}
