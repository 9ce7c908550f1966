package messenger_test

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/goleak"

	"github.com/jackdawthread/jackdawthread/certifier"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// testHost is a messenger that listens on loopback.
type testHost struct {
	*messenger.Messenger
	address identifier.Address
	group   *grouper.Group
}

func startHost(t testing.TB, name identifier.Host, o messenger.Options, handle func(*messenger.Messenger)) *testHost {
	t.Helper()
	g := grouper.New(context.Background())
	self := messenger.Peer{Host: name, Incarnation: identifier.NewIncarnation(), DataCenter: "tw-north-1"}
	m := messenger.New(self, o, g)
	if handle != nil {
		handle(m)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m.Serve(ln)
	t.Cleanup(func() {
		m.Close()
		_ = g.Wait()
	})
	return &testHost{Messenger: m, address: identifier.Address(ln.Addr().String()), group: g}
}

// echo registers a handler that replies with the payload.
func echo(m *messenger.Messenger) {
	m.Handle(peerwire.KindAllocate, func(_ context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
		return msgp.Raw(payload), nil
	})
}

// text returns s encoded as a message.
func text(s string) msgp.Raw {
	return msgp.AppendString(nil, s)
}

func checkError(t *testing.T, err error, verdict classifier.Verdict, reason classifier.Reason) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	e, ok := errors.AsType[*classifier.Error](err)
	is.True(ok)
	is.Equal(e.Verdict, verdict)
	is.Equal(e.Reason, reason)
}

func TestCall(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // after the hosts have stopped
	t.Run("replies", func(t *testing.T) {
		is := is.New(t)
		b := startHost(t, "b", messenger.Options{}, echo)
		a := startHost(t, "a", messenger.Options{}, nil)
		var reply msgp.Raw
		is.NoErr(a.Call(t.Context(), b.address, peerwire.KindAllocate, text("slots"), &reply))
		is.Equal([]byte(reply), []byte(text("slots")))
	})
	t.Run("rejects an unknown kind", func(t *testing.T) {
		b := startHost(t, "b", messenger.Options{}, nil)
		a := startHost(t, "a", messenger.Options{}, nil)
		err := a.Call(t.Context(), b.address, peerwire.KindAllocate, text(""), nil)
		checkError(t, err, classifier.VerdictNotRun, classifier.ReasonBadRequest)
	})
	t.Run("keeps a handler's verdict", func(t *testing.T) {
		is := is.New(t)
		b := startHost(t, "b", messenger.Options{}, func(m *messenger.Messenger) {
			m.Handle(peerwire.KindAllocate, func(context.Context, messenger.Peer, []byte) (msgp.Marshaler, error) {
				return nil, &classifier.Error{
					Verdict: classifier.VerdictRan, Reason: classifier.ReasonTicketUsed, RetryAfter: time.Second, Ticket: "t", Message: "used",
				}
			})
		})
		a := startHost(t, "a", messenger.Options{}, nil)
		err := a.Call(t.Context(), b.address, peerwire.KindAllocate, text(""), nil)
		checkError(t, err, classifier.VerdictRan, classifier.ReasonTicketUsed)
		e, _ := errors.AsType[*classifier.Error](err)
		is.Equal(e.RetryAfter, time.Second)
		is.Equal(e.Ticket, identifier.Ticket("t"))
	})
	t.Run("gives NotRun when the address has no listener", func(t *testing.T) {
		a := startHost(t, "a", messenger.Options{}, nil)
		err := a.Call(t.Context(), "127.0.0.1:1", peerwire.KindAllocate, text(""), nil)
		checkError(t, err, classifier.VerdictNotRun, classifier.ReasonHostUnreachable)
	})
	t.Run("propagates the deadline", func(t *testing.T) {
		remaining := make(chan time.Duration, 1)
		b := startHost(t, "b", messenger.Options{}, func(m *messenger.Messenger) {
			m.Handle(peerwire.KindAllocate, func(ctx context.Context, _ messenger.Peer, _ []byte) (msgp.Marshaler, error) {
				deadline, _ := ctx.Deadline()
				remaining <- time.Until(deadline)
				<-ctx.Done()
				return nil, ctx.Err()
			})
		})
		a := startHost(t, "a", messenger.Options{}, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		err := a.Call(ctx, b.address, peerwire.KindAllocate, text(""), nil)
		e, _ := errors.AsType[*classifier.Error](err)
		is.New(t).Equal(e.Verdict, classifier.VerdictMayHaveRun) // the deadline may expire first at either end
		timeout := <-remaining
		is.New(t).True(timeout > 0 && timeout <= 51*time.Millisecond)
	})
	t.Run("cancels the handler", func(t *testing.T) {
		started := make(chan struct{})
		ended := make(chan struct{})
		b := startHost(t, "b", messenger.Options{}, func(m *messenger.Messenger) {
			m.Handle(peerwire.KindAllocate, func(ctx context.Context, _ messenger.Peer, _ []byte) (msgp.Marshaler, error) {
				close(started)
				<-ctx.Done()
				close(ended)
				return nil, ctx.Err()
			})
		})
		a := startHost(t, "a", messenger.Options{}, nil)
		ctx, cancel := context.WithCancel(t.Context())
		a.group.Run(func(context.Context) {
			<-started
			cancel()
		})
		err := a.Call(ctx, b.address, peerwire.KindAllocate, text(""), nil)
		checkError(t, err, classifier.VerdictMayHaveRun, classifier.ReasonCanceled)
		select {
		case <-ended:
		case <-time.After(2 * time.Second): // shorter than the keepalive timeout, which would also end the handler
			t.Fatal("handler was not canceled")
		}
	})
	t.Run("rejects an oversized message", func(t *testing.T) {
		b := startHost(t, "b", messenger.Options{}, echo)
		a := startHost(t, "a", messenger.Options{MaxFrameBytes: 1000}, nil)
		err := a.Call(t.Context(), b.address, peerwire.KindAllocate, text(string(make([]byte, 1000))), nil)
		checkError(t, err, classifier.VerdictNotRun, classifier.ReasonTooLarge)
	})
	t.Run("rejects another firm", func(t *testing.T) {
		b := startHost(t, "b", messenger.Options{Firm: "tamsui"}, echo)
		a := startHost(t, "a", messenger.Options{Firm: "snyrtinams"}, nil)
		err := a.Call(t.Context(), b.address, peerwire.KindAllocate, text(""), nil)
		checkError(t, err, classifier.VerdictNotRun, classifier.ReasonHostUnreachable)
	})
}

// TestPanickingHandler guards against one message whose handler panics ending the process.
func TestPanickingHandler(t *testing.T) {
	for _, oneWay := range []bool{false, true} {
		t.Run(fmt.Sprintf("one-way %t", oneWay), func(t *testing.T) {
			i := is.New(t)
			b := startHost(t, "b", messenger.Options{}, func(m *messenger.Messenger) {
				echo(m)
				m.Handle(peerwire.KindRelease, func(context.Context, messenger.Peer, []byte) (msgp.Marshaler, error) {
					panic("unexpected")
				})
			})
			a := startHost(t, "a", messenger.Options{}, nil)
			if oneWay {
				i.NoErr(a.Send(t.Context(), b.address, peerwire.KindRelease, text("x")))
			} else {
				err := a.Call(t.Context(), b.address, peerwire.KindRelease, text("x"), nil)
				checkError(t, err, classifier.VerdictMayHaveRun, classifier.ReasonInternal)
			}
			var reply msgp.Raw
			i.NoErr(a.Call(t.Context(), b.address, peerwire.KindAllocate, text("y"), &reply))
		})
	}
}

func BenchmarkCall(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) { benchmarkCall(b, callers) })
	}
}

func benchmarkCall(b *testing.B, callers int) {
	server := startHost(b, "b", messenger.Options{}, echo)
	client := startHost(b, "a", messenger.Options{}, nil)
	request := text("a request of ordinary length, some sixty bytes of it as here")
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	group := grouper.New(b.Context())
	b.ReportAllocs()
	b.ResetTimer()
	for range callers {
		group.Go(func(ctx context.Context) error {
			var reply msgp.Raw
			for remaining.Add(-1) >= 0 {
				if err := client.Call(ctx, server.address, peerwire.KindAllocate, request, &reply); err != nil {
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
}

// eventually polls a condition, for tests that use real connections.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("condition not met within 20 s")
}

func peerConfig(t *testing.T, authority *certifier.Authority, name string) *tls.Config {
	t.Helper()
	dir := t.TempDir()
	f := certifier.Files{
		Certificate: filepath.Join(dir, "host.pem"),
		Key:         filepath.Join(dir, "host-key.pem"),
		Authorities: filepath.Join(dir, "authorities.pem"),
	}
	pair, err := authority.Issue([]string{name}, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(pair.Write(f.Certificate, f.Key), os.WriteFile(f.Authorities, authority.Certificate, 0o600)); err != nil {
		t.Fatal(err)
	}
	store, err := certifier.Open(f, nil)
	if err != nil {
		t.Fatal(err)
	}
	return store.PeerConfig()
}
