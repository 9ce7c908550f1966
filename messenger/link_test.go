package messenger_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/goleak"

	"github.com/jackdawthread/jackdawthread/certifier"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/faulter"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// answerTo sends raw bytes as the first of a connection and gives the frame
// that comes back.
func answerTo(t *testing.T, to identifier.Address, first []byte) (e peerwire.Envelope, payload []byte) {
	t.Helper()
	raw, err := net.Dial("tcp", string(to))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = raw.Close() }()
	_, _ = raw.Write(first)
	_ = raw.SetReadDeadline(time.Now().Add(10 * time.Second))
	payload, err = messenger.NewFrameReader(raw, 1<<20).Read(&e)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := raw.Read(make([]byte, 1)); err == nil {
		t.Fatal("connection stays open")
	}
	return e, payload
}

// isRefused checks that the answer is a failure whose message has a text.
func isRefused(t *testing.T, e peerwire.Envelope, payload []byte, verdict classifier.Verdict, message string) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	is.Equal(e.Type, peerwire.FrameFailure)
	var f peerwire.Failure
	_, err := f.UnmarshalMsg(payload)
	is.NoErr(err)
	is.Equal(classifier.Verdict(f.Verdict), verdict)
	is.True(strings.Contains(f.Message, message)) // f.Message
}

func TestHello(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // after the hosts have stopped
	hello := peerwire.Envelope{Type: peerwire.FrameHello}
	good := peerwire.Hello{Version: peerwire.ProtocolVersion, Host: "a", Incarnation: 5, DataCenter: "tw-north-1"}
	old, nameless, foreign := good, good, good
	old.Version = 0
	nameless.Host = ""
	foreign.Firm = "snyrtinams"
	cases := []struct {
		name    string
		first   []byte
		message string
	}{
		{"old version", frameOf(t, hello, &old), "protocol version 0 is older than 1"},
		{"no host", frameOf(t, hello, &nameless), "lacks host or incarnation"},
		{"another firm", frameOf(t, hello, &foreign), `belongs to firm "snyrtinams"`},
		{"a call first", frameOf(t, peerwire.Envelope{Type: peerwire.FrameCall, ID: 1}, nil), "not a hello"},
		{"malformed", frameOf(t, hello, text("x")), "malformed frame"},
		{"oversize", []byte("GET / HTTP/1.1\r\n\r\n"), "exceeds the limit"},
	}
	b := startHost(t, "b", messenger.Options{HelloTimeout: 200 * time.Millisecond}, echo)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e, payload := answerTo(t, b.address, c.first)
			isRefused(t, e, payload, classifier.VerdictNotRun, c.message)
		})
	}
	t.Run("silence", func(t *testing.T) {
		e, payload := answerTo(t, b.address, nil)
		isRefused(t, e, payload, classifier.VerdictNotRun, "timeout")
	})
}

func TestUnreadableFrames(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	hello := frameOf(t, peerwire.Envelope{Type: peerwire.FrameHello}, &peerwire.Hello{Version: peerwire.ProtocolVersion, Host: "a", Incarnation: 5})
	cases := []struct {
		name, message string
		frame         []byte
	}{
		{"oversize", "exceeds the limit", []byte{0xff, 0, 0, 0}},
		{"malformed", "malformed frame", []byte{0, 0, 0, 1, 0xc1}},
	}
	b := startHost(t, "b", messenger.Options{}, echo)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw, err := net.Dial("tcp", string(b.address))
			is.New(t).NoErr(err)
			defer func() { _ = raw.Close() }()
			_, _ = raw.Write(slices.Concat(hello, c.frame))
			var e peerwire.Envelope
			r := messenger.NewFrameReader(raw, 1<<20)
			_, err = r.Read(&e)
			is.New(t).NoErr(err)
			is.New(t).Equal(e.Type, peerwire.FrameHello)
			payload, err := r.Read(&e)
			is.New(t).NoErr(err)
			isRefused(t, e, payload, classifier.VerdictMayHaveRun, c.message)
		})
	}
}

// onNetwork starts two hosts, a and b, whose links suffer faults.
func onNetwork(t *testing.T, o messenger.Options, handle func(*messenger.Messenger)) (n *faulter.Network, a, b *testHost) {
	t.Helper()
	group := grouper.New(context.Background())
	t.Cleanup(func() {
		group.Stop()
		_ = group.Wait()
	})
	n = faulter.New(1, group)
	b = startHost(t, "b", o, handle)
	n.Register("b", b.address)
	o.Dial = n.Dial("a")
	a = startHost(t, "a", o, nil)
	return n, a, b
}

func TestLink(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // after the hosts have stopped
	quick := messenger.Options{KeepAlive: 20 * time.Millisecond, DialTimeout: 100 * time.Millisecond, MinBackoff: time.Millisecond}
	cut := func(n *faulter.Network) { n.Cut([]identifier.Host{"a"}, []identifier.Host{"b"}) }
	t.Run("cut before the dial gives NotRun, and heals", func(t *testing.T) {
		n, a, b := onNetwork(t, quick, echo)
		cut(n)
		err := a.Call(t.Context(), b.address, peerwire.KindAsk, text(""), nil)
		isVerdict(t, err, classifier.VerdictNotRun, classifier.ReasonHostUnreachable)
		n.Heal()
		eventually(t, func() bool { return a.Call(t.Context(), b.address, peerwire.KindAsk, text(""), nil) == nil })
	})
	t.Run("cut in a call gives MayHaveRun by keepalive", func(t *testing.T) {
		n, a, b := onNetwork(t, quick, echo)
		is.New(t).NoErr(a.Call(t.Context(), b.address, peerwire.KindAsk, text(""), nil))
		cut(n)
		err := a.Call(t.Context(), b.address, peerwire.KindAsk, text(""), nil)
		isVerdict(t, err, classifier.VerdictMayHaveRun, classifier.ReasonHostUnreachable)
	})
	t.Run("a silent handler keeps its connection", func(t *testing.T) {
		_, a, b := onNetwork(t, quick, func(m *messenger.Messenger) {
			m.Handle(peerwire.KindAsk, func(context.Context, messenger.Peer, []byte) (msgp.Marshaler, error) {
				time.Sleep(10 * quick.KeepAlive)
				return nil, nil
			})
		})
		is.New(t).NoErr(a.Call(t.Context(), b.address, peerwire.KindAsk, text(""), nil))
	})
	t.Run("replies that trickle in keep their connection", func(t *testing.T) {
		const calls = 20
		var served atomic.Int32
		_, a, b := onNetwork(t, quick, func(m *messenger.Messenger) {
			m.Handle(peerwire.KindAsk, func(context.Context, messenger.Peer, []byte) (msgp.Marshaler, error) {
				time.Sleep(time.Duration(served.Add(1)) * quick.KeepAlive / 3)
				return nil, nil
			})
		})
		group := grouper.New(t.Context())
		for range calls {
			group.Go(func(ctx context.Context) error {
				return a.Call(ctx, b.address, peerwire.KindAsk, text(""), nil)
			})
		}
		is.New(t).NoErr(group.Wait())
	})
	t.Run("an idle connection closes and opens again", func(t *testing.T) {
		is := is.New(t)
		o := quick
		o.IdleTimeout = 10 * time.Millisecond
		var mu sync.Mutex
		dials := 0
		b := startHost(t, "b", o, echo)
		o.Dial = func(ctx context.Context, to identifier.Address) (net.Conn, error) {
			mu.Lock()
			dials++
			mu.Unlock()
			return new(net.Dialer).DialContext(ctx, "tcp", string(to))
		}
		a := startHost(t, "a", o, nil)
		eventually(t, func() bool {
			is.NoErr(a.Call(t.Context(), b.address, peerwire.KindAsk, text(""), nil))
			time.Sleep(quick.KeepAlive)
			mu.Lock()
			defer mu.Unlock()
			return dials > 1
		})
	})
	t.Run("bounds the handlers of a peer", func(t *testing.T) {
		o := quick
		o.MaxHandlers = 1
		started := make(chan struct{})
		_, a, b := onNetwork(t, o, func(m *messenger.Messenger) {
			m.Handle(peerwire.KindAsk, func(ctx context.Context, _ messenger.Peer, _ []byte) (msgp.Marshaler, error) {
				close(started)
				<-ctx.Done()
				return nil, ctx.Err()
			})
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		a.group.Run(func(context.Context) { _ = a.Call(ctx, b.address, peerwire.KindAsk, text(""), nil) })
		<-started
		err := a.Call(t.Context(), b.address, peerwire.KindAsk, text(""), nil)
		isVerdict(t, err, classifier.VerdictNotRun, classifier.ReasonQueueFull)
	})
}

func TestLinksAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := grouper.New(context.Background())
		refuse := func(context.Context, identifier.Address) (net.Conn, error) { return nil, errors.New("refused") }
		m := messenger.New(messenger.Peer{Host: "a", Incarnation: 1}, messenger.Options{Dial: refuse}, group)
		for i := range 1000 {
			_ = m.Call(t.Context(), identifier.Address(fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)), peerwire.KindAsk, nil, nil)
			time.Sleep(time.Second)
		}
		is.New(t).True(m.Stats().Links < 200)
		is.New(t).Equal(m.Stats().FailedDials, uint64(1000))
		m.Close()
		_ = group.Wait()
	})
}

// stuckConn takes a hello and then lets no write return.
type stuckConn struct {
	net.Conn
	writes atomic.Int32
	closed chan struct{}
	once   sync.Once
}

func (c *stuckConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) == 1 {
		return c.Conn.Write(p)
	}
	<-c.closed
	return 0, io.ErrClosedPipe
}

func (c *stuckConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func TestVerdicts(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // after the hosts have stopped
	setUp := func(t *testing.T, handled *atomic.Int32) (a, b *testHost, first func()) {
		b = startHost(t, "b", messenger.Options{}, func(m *messenger.Messenger) {
			m.Handle(peerwire.KindAsk, func(context.Context, messenger.Peer, []byte) (msgp.Marshaler, error) {
				handled.Add(1)
				return nil, nil
			})
		})
		var stuck atomic.Pointer[stuckConn]
		a = startHost(t, "a", messenger.Options{MaxQueueBytes: 200, Dial: func(ctx context.Context, to identifier.Address) (net.Conn, error) {
			raw, err := new(net.Dialer).DialContext(ctx, "tcp", string(to))
			c := &stuckConn{Conn: raw, closed: make(chan struct{})}
			stuck.Store(c)
			return c, err
		}}, nil)
		first = func() {
			a.group.Run(func(context.Context) { _ = a.Call(t.Context(), b.address, peerwire.KindAsk, text("first"), nil) })
			eventually(t, func() bool { return stuck.Load() != nil && stuck.Load().writes.Load() == 2 })
		}
		return a, b, first
	}
	t.Run("a call behind a stuck write is withdrawn as NotRun", func(t *testing.T) {
		var handled atomic.Int32
		a, b, first := setUp(t, &handled)
		first()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		err := a.Call(ctx, b.address, peerwire.KindAsk, text("second"), nil)
		isVerdict(t, err, classifier.VerdictNotRun, classifier.ReasonDeadline)
		is.New(t).True(errors.Is(err, context.DeadlineExceeded))
		is.New(t).Equal(handled.Load(), int32(0))
	})
	t.Run("a full queue refuses as NotRun", func(t *testing.T) {
		var handled atomic.Int32
		a, b, first := setUp(t, &handled)
		first()
		big := text(string(make([]byte, 150)))
		is.New(t).NoErr(a.Send(t.Context(), b.address, peerwire.KindAsk, big))
		isVerdict(t, a.Send(t.Context(), b.address, peerwire.KindAsk, big), classifier.VerdictNotRun, classifier.ReasonQueueFull)
	})
}

func TestTLS(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // after the hosts have stopped
	authority, err := certifier.NewAuthority("tamsui", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	options := func(name string) messenger.Options {
		return messenger.Options{TLS: peerConfig(t, authority, name)}
	}
	b := startHost(t, "b", options("b"), echo)
	t.Run("calls", func(t *testing.T) {
		a := startHost(t, "a", options("a"), nil)
		is.New(t).NoErr(a.Call(t.Context(), b.address, peerwire.KindAsk, text("x"), nil))
	})
	t.Run("refuses a host with another's certificate", func(t *testing.T) {
		a := startHost(t, "a", options("c"), nil)
		err := a.Call(t.Context(), b.address, peerwire.KindAsk, text("x"), nil)
		isVerdict(t, err, classifier.VerdictNotRun, classifier.ReasonHostUnreachable)
		is.New(t).True(strings.Contains(err.Error(), "certificate of another"))
	})
	t.Run("closes while a peer is silent in its handshake", func(t *testing.T) {
		c := startHost(t, "c", options("c"), nil)
		raw, err := net.Dial("tcp", string(c.address))
		is.New(t).NoErr(err)
		time.Sleep(10 * time.Millisecond) // for the handshake to begin
		c.Close()
		_, err = raw.Read(make([]byte, 1))
		is.New(t).True(err != nil)
		_ = raw.Close()
	})
	t.Run("refuses a host without", func(t *testing.T) {
		a := startHost(t, "a", messenger.Options{}, nil)
		err := a.Call(t.Context(), b.address, peerwire.KindAsk, text("x"), nil)
		isVerdict(t, err, classifier.VerdictNotRun, classifier.ReasonHostUnreachable)
	})
}
