package faulter_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/faulter"
)

// connectedPair returns a network and both ends of a connection from a to b.
func connectedPair(t *testing.T) (n *faulter.Network, dialed, accepted net.Conn) {
	t.Helper()
	group := grouper.New(context.Background())
	n = faulter.New(1, group)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := identifier.Address(ln.Addr().String())
	n.Register("b", address)
	dialed, err = n.Dial("a")(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = ln.Close()
		_ = dialed.Close()
		_ = accepted.Close()
		group.Stop()
		_ = group.Wait()
	})
	return n, dialed, accepted
}

// assertNothingReceived checks that c receives nothing for 50 ms.
func assertNothingReceived(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	is.New(t).True(errors.Is(err, os.ErrDeadlineExceeded))
	_ = c.SetReadDeadline(time.Time{})
}

// assertReceived checks that c receives text next.
func assertReceived(t *testing.T, c net.Conn, text string) {
	t.Helper()
	is := is.New(t)
	b := make([]byte, len(text))
	_, err := io.ReadFull(c, b)
	is.NoErr(err)
	is.Equal(string(b), text)
}

func TestNetwork(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, b := []identifier.Host{"a"}, []identifier.Host{"b"}
	t.Run("blocks both directions of a partition until it heals", func(t *testing.T) {
		n, dialed, accepted := connectedPair(t)
		n.Partition(a, b)
		_, _ = dialed.Write([]byte("there"))
		_, _ = accepted.Write([]byte("back"))
		assertNothingReceived(t, accepted)
		assertNothingReceived(t, dialed)
		n.Heal()
		assertReceived(t, accepted, "there")
		assertReceived(t, dialed, "back")
	})
	t.Run("blocks one direction", func(t *testing.T) {
		n, dialed, accepted := connectedPair(t)
		n.SetFault("b", "a", faulter.Fault{Blocked: true})
		_, _ = dialed.Write([]byte("there"))
		_, _ = accepted.Write([]byte("back"))
		assertReceived(t, accepted, "there")
		assertNothingReceived(t, dialed)
	})
	t.Run("delays without reordering", func(t *testing.T) {
		n, dialed, accepted := connectedPair(t)
		start := time.Now()
		n.SetFault("a", "b", faulter.Fault{Delay: 40 * time.Millisecond})
		_, _ = dialed.Write([]byte("one"))
		n.Heal()
		_, _ = dialed.Write([]byte("two"))
		assertReceived(t, accepted, "onetwo")
		is.New(t).True(time.Since(start) >= 40*time.Millisecond)
	})
	t.Run("delays lost bytes", func(t *testing.T) {
		n, dialed, accepted := connectedPair(t)
		start := time.Now()
		n.SetFault("a", "b", faulter.Fault{Loss: 0.999})
		_, _ = dialed.Write([]byte("one"))
		n.SetFault("a", "b", faulter.Fault{})
		assertNothingReceived(t, accepted)
		is.New(t).True(time.Since(start) < faulter.RetransmitDelay)
	})
	t.Run("closes connections on reset", func(t *testing.T) {
		n, dialed, accepted := connectedPair(t)
		n.Reset("b", "a")
		_, err := accepted.Read(make([]byte, 1))
		is.New(t).True(err != nil)
		_, err = dialed.Write([]byte("x"))
		is.New(t).True(err != nil)
	})
	t.Run("blocks dials to a frozen host", func(t *testing.T) {
		is := is.New(t)
		n, _, accepted := connectedPair(t)
		n.Freeze("b")
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		n.Register("b", identifier.Address(accepted.LocalAddr().String()))
		_, err := n.Dial("a")(ctx, identifier.Address(accepted.LocalAddr().String()))
		is.True(errors.Is(err, context.DeadlineExceeded))
		n.Unfreeze("b")
		c, err := n.Dial("a")(t.Context(), identifier.Address(accepted.LocalAddr().String()))
		is.NoErr(err)
		_ = c.Close()
	})
}
