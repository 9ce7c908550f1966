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
	t.Run("an unreachable host is skipped during its cooldown", func(t *testing.T) {
		i := is.New(t)
		a, b := &host{}, &host{}
		c := &Client{hosts: []*host{a, b}}
		i.Equal(c.host(0), a)
		f := a.recordFailure(t.Context(), refused)
		i.Equal(f.Reason, classifier.ReasonHostUnreachable)
		i.Equal(c.host(0), b)
		a.cooldownUntil.Store(time.Now().UnixNano())
		i.Equal(c.host(0), a)
	})
	t.Run("the index decides if all hosts are in cooldown", func(t *testing.T) {
		i := is.New(t)
		a := &host{}
		i.True(a.recordFailure(t.Context(), refused) != nil)
		c := &Client{hosts: []*host{a}}
		i.Equal(c.host(3), a)
	})
	t.Run("a stream canceled by the host counts as broken", func(t *testing.T) {
		i := is.New(t)
		f := (&host{}).recordFailure(t.Context(), connect.NewError(connect.CodeCanceled, context.Canceled))
		i.Equal(f.Reason, reasonBrokenStream)
		i.True(retryable(f))
	})
	t.Run("a stream canceled by the caller counts as canceled", func(t *testing.T) {
		i := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		f := (&host{}).recordFailure(ctx, connect.NewError(connect.CodeCanceled, context.Canceled))
		i.Equal(f.Reason, classifier.ReasonCanceled)
	})
}
