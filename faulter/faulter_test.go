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

// pair gives a network and the two ends of a connection from a to b.
func pair(t *testing.T) (n *faulter.Network, dialled, accepted net.Conn) {
	t.Helper()
	group := grouper.New(context.Background())
	n = faulter.New(1, group)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := identifier.Address(ln.Addr().String())
	n.Register("b", address)
	dialled, err = n.Dial("a")(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = ln.Close()
		_ = dialled.Close()
		_ = accepted.Close()
		group.Stop()
		_ = group.Wait()
	})
	return n, dialled, accepted
}

// isHeld checks that nothing arrives at c for a while.
func isHeld(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	is.New(t).True(errors.Is(err, os.ErrDeadlineExceeded))
	_ = c.SetReadDeadline(time.Time{})
}

// arrives checks that text comes next at c.
func arrives(t *testing.T, c net.Conn, text string) {
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
	t.Run("holds both directions of a cut until it heals", func(t *testing.T) {
		n, dialled, accepted := pair(t)
		n.Cut(a, b)
		_, _ = dialled.Write([]byte("there"))
		_, _ = accepted.Write([]byte("back"))
		isHeld(t, accepted)
		isHeld(t, dialled)
		n.Heal()
		arrives(t, accepted, "there")
		arrives(t, dialled, "back")
	})
	t.Run("blocks one direction", func(t *testing.T) {
		n, dialled, accepted := pair(t)
		n.SetFault("b", "a", faulter.Fault{Blocked: true})
		_, _ = dialled.Write([]byte("there"))
		_, _ = accepted.Write([]byte("back"))
		arrives(t, accepted, "there")
		isHeld(t, dialled)
	})
	t.Run("delays without reordering", func(t *testing.T) {
		n, dialled, accepted := pair(t)
		start := time.Now()
		n.SetFault("a", "b", faulter.Fault{Delay: 40 * time.Millisecond})
		_, _ = dialled.Write([]byte("one"))
		n.Heal()
		_, _ = dialled.Write([]byte("two"))
		arrives(t, accepted, "onetwo")
		is.New(t).True(time.Since(start) >= 40*time.Millisecond)
	})
	t.Run("lets lost bytes arrive late", func(t *testing.T) {
		n, dialled, accepted := pair(t)
		start := time.Now()
		n.SetFault("a", "b", faulter.Fault{Loss: 0.999})
		_, _ = dialled.Write([]byte("one"))
		n.SetFault("a", "b", faulter.Fault{})
		isHeld(t, accepted)
		is.New(t).True(time.Since(start) < faulter.RetransmitDelay)
	})
	t.Run("resets", func(t *testing.T) {
		n, dialled, accepted := pair(t)
		n.Reset("b", "a")
		_, err := accepted.Read(make([]byte, 1))
		is.New(t).True(err != nil)
		_, err = dialled.Write([]byte("x"))
		is.New(t).True(err != nil)
	})
	t.Run("holds dials of a frozen host", func(t *testing.T) {
		is := is.New(t)
		n, _, accepted := pair(t)
		n.Freeze("b")
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		n.Register("b", identifier.Address(accepted.LocalAddr().String()))
		_, err := n.Dial("a")(ctx, identifier.Address(accepted.LocalAddr().String()))
		is.True(errors.Is(err, context.DeadlineExceeded))
		n.Thaw("b")
		c, err := n.Dial("a")(t.Context(), identifier.Address(accepted.LocalAddr().String()))
		is.NoErr(err)
		_ = c.Close()
	})
}
