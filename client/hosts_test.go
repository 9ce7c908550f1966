package client

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
)

func TestHosts(t *testing.T) {
	refused := connect.NewError(connect.CodeUnavailable, &net.OpError{Op: "dial", Err: errors.New("refused")})
	t.Run("a host that could not be reached is passed over for a while", func(t *testing.T) {
		i := is.New(t)
		a, b := &host{}, &host{}
		c := &Client{hosts: []*host{a, b}}
		i.Equal(c.host(0), a)
		f := a.failed(t.Context(), refused)
		i.Equal(f.Reason, classifier.ReasonHostUnreachable)
		i.Equal(c.host(0), b)
		a.avoidUntil.Store(time.Now().UnixNano())
		i.Equal(c.host(0), a)
	})
	t.Run("when all are avoided the turn decides", func(t *testing.T) {
		i := is.New(t)
		a := &host{}
		i.True(a.failed(t.Context(), refused) != nil)
		c := &Client{hosts: []*host{a}}
		i.Equal(c.host(3), a)
	})
	t.Run("a stream canceled by the host is broken, not canceled", func(t *testing.T) {
		i := is.New(t)
		f := (&host{}).failed(t.Context(), connect.NewError(connect.CodeCanceled, context.Canceled))
		i.Equal(f.Reason, reasonBrokenStream)
		i.True(retryable(f))
	})
	t.Run("a stream canceled by the caller stays canceled", func(t *testing.T) {
		i := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		f := (&host{}).failed(ctx, connect.NewError(connect.CodeCanceled, context.Canceled))
		i.Equal(f.Reason, classifier.ReasonCanceled)
	})
}
