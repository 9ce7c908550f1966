package socket_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/socket"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	i := is.New(t)
	ln, err := socket.Listen(context.Background(), "127.0.0.1:0")
	i.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	client, err = socket.Dialer(time.Second).Dial("tcp", ln.Addr().String())
	i.NoErr(err)
	server, err = ln.Accept()
	i.NoErr(err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	return client, server
}

func TestQuiet(t *testing.T) {
	t.Run("quiet without data", func(t *testing.T) {
		client, _ := connect(t)
		is.New(t).True(socket.NothingToRead(client))
	})
	t.Run("not quiet with unread data, which is kept", func(t *testing.T) {
		i := is.New(t)
		client, server := connect(t)
		_, err := server.Write([]byte("x"))
		i.NoErr(err)
		time.Sleep(20 * time.Millisecond)
		i.True(!socket.NothingToRead(client))
		b := make([]byte, 1)
		_, err = client.Read(b)
		i.NoErr(err)
		i.Equal(string(b), "x")
	})
	t.Run("not quiet after the peer closes", func(t *testing.T) {
		client, server := connect(t)
		_ = server.Close()
		time.Sleep(20 * time.Millisecond)
		is.New(t).True(!socket.NothingToRead(client))
	})
}

func TestReservePort(t *testing.T) {
	i := is.New(t)
	seen := map[string]bool{}
	for range 50 {
		c, err := socket.ReservePort()
		i.NoErr(err)
		defer func() { _ = c.Close() }()
		seen[c.String()] = true
		ln, err := net.Listen("tcp", c.String())
		i.NoErr(err) // the TCP port itself stays free
		i.NoErr(ln.Close())
	}
	i.Equal(len(seen), 50)
}
