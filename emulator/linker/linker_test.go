package linker_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/emulator/linker"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// grant answers every request for a trial.
func grant(_ context.Context, from messenger.Peer, _ []byte) (msgp.Marshaler, error) {
	return &peerwire.TrialReply{Granted: from.Host == "a"}, nil
}

func TestCall(t *testing.T) {
	call := func(t *testing.T, linked, handled bool) (granted bool, took time.Duration, err error) {
		synctest.Test(t, func(t *testing.T) {
			g := grouper.New(t.Context())
			n := linker.New(g, time.Millisecond, func(_, _ identifier.Address) bool { return linked })
			a, b := n.Node("1"), n.Node("2")
			a.Start(messenger.Peer{Host: "a"})
			b.Start(messenger.Peer{Host: "b"})
			if handled {
				b.Handle(peerwire.KindTrial, grant)
			}
			began := time.Now()
			var reply peerwire.TrialReply
			err = a.Call(t.Context(), "2", peerwire.KindTrial, &peerwire.TrialRequest{}, &reply)
			granted, took = reply.Granted, time.Since(began)
			is.New(t).NoErr(a.Send(t.Context(), "2", peerwire.KindTrial, &peerwire.TrialRequest{}))
			g.Stop()
			is.New(t).NoErr(g.Wait())
		})
		return granted, took, err
	}
	t.Run("is answered", func(t *testing.T) {
		i := is.New(t)
		granted, took, err := call(t, true, true)
		i.NoErr(err)
		i.True(granted)
		i.Equal(took, 2*time.Millisecond)
	})
	t.Run("fails over a cut link", func(t *testing.T) {
		_, _, err := call(t, false, true)
		is.New(t).Equal(classifier.Of(err).Reason, classifier.ReasonHostUnreachable)
	})
	t.Run("fails at a process without the handler", func(t *testing.T) {
		_, _, err := call(t, true, false)
		is.New(t).Equal(classifier.Of(err).Reason, classifier.ReasonHostUnreachable)
	})
}

func TestLinkRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		g := grouper.New(t.Context())
		n := linker.New(g, time.Millisecond, func(_, _ identifier.Address) bool { return true })
		a, b := n.Node("1"), n.Node("2")
		a.Start(messenger.Peer{Host: "a"})
		b.Start(messenger.Peer{Host: "b"})
		b.Handle(peerwire.KindChanges, func(context.Context, messenger.Peer, []byte) (msgp.Marshaler, error) {
			return &peerwire.ChangesReply{NextKey: string(make([]byte, 10_000))}, nil
		})
		b.SetLink(10_000)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		i.True(a.Call(ctx, "2", peerwire.KindChanges, &peerwire.ChangesRequest{}, &peerwire.ChangesReply{}) != nil) // takes a second
		began := time.Now()
		i.NoErr(a.Call(t.Context(), "2", peerwire.KindChanges, &peerwire.ChangesRequest{}, &peerwire.ChangesReply{}))
		i.True(time.Since(began) > 1900*time.Millisecond) // behind the reply that was given up
		i.True(b.SentBytes() > 20_000)
		g.Stop()
		i.NoErr(g.Wait())
	})
}
