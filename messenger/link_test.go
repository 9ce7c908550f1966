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
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/jackdawthread/jackdawthread/certifier"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/faulter"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// exchangeFrame opens a connection, sends raw bytes and returns the frame that
// the host responds with. It fails the test if the host does not close the
// connection afterwards.
func exchangeFrame(t *testing.T, to identifier.Address, first []byte) (e peerwire.Envelope, payload []byte) {
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
		t.Fatal("connection was not closed")
	}
	return e, payload
}

// checkFailure checks that a frame is a failure with the verdict, and that its
// message contains the text.
func checkFailure(t *testing.T, e peerwire.Envelope, payload []byte, verdict classifier.Verdict, message string) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	is.Equal(e.Type, peerwire.FrameFailure)
	var f peerwire.Failure
	_, err := f.UnmarshalMsg(payload)
	is.NoErr(err)
	is.Equal(classifier.Verdict(f.Verdict), verdict)
	is.True(strings.Contains(f.Message, message)) // f.Message contains the text
}

func TestHello(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // after the hosts have stopped
	hello := peerwire.Envelope{Type: peerwire.FrameHello}
	valid := peerwire.Hello{Version: peerwire.ProtocolVersion, Host: "a", Incarnation: 5, DataCenter: "tw-north-1"}
	oldVersion, withoutHost, otherFirm := valid, valid, valid
	oldVersion.Version = 0
	withoutHost.Host = ""
	otherFirm.Firm = "snyrtinams"
	cases := []struct {
		name    string
		first   []byte
		message string
	}{
		{"old version", encodeFrame(t, hello, &oldVersion), "protocol version 0 is older than 1"},
		{"no host", encodeFrame(t, hello, &withoutHost), "lacks host or incarnation"},
		{"another firm", encodeFrame(t, hello, &otherFirm), `belongs to firm "snyrtinams"`},
		{"a call first", encodeFrame(t, peerwire.Envelope{Type: peerwire.FrameCall, ID: 1}, nil), "not a hello"},
		{"malformed", encodeFrame(t, hello, text("x")), "malformed frame"},
		{"oversize", []byte("GET / HTTP/1.1\r\n\r\n"), "exceeds the limit"},
	}
	b := startHost(t, "b", messenger.Options{HelloTimeout: 200 * time.Millisecond}, echo)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e, payload := exchangeFrame(t, b.address, c.first)
			checkFailure(t, e, payload, classifier.VerdictNotRun, c.message)
		})
	}
	t.Run("no hello", func(t *testing.T) {
		e, payload := exchangeFrame(t, b.address, nil)
		checkFailure(t, e, payload, classifier.VerdictNotRun, "timeout")
	})
}

// A connection that a killed host closed before it sent anything was logged as refused, like
// one whose hello can't be read.
func TestLogOfRefusedPeers(t *testing.T) {
	hello := encodeFrame(t, peerwire.Envelope{Type: peerwire.FrameHello}, &peerwire.Hello{Version: peerwire.ProtocolVersion, Host: "a", Incarnation: 5})
	cases := []struct {
		name, event string
		sent        []byte
	}{
		{"nothing", "peer-left-before-hello", nil},
		{"part of the length of a hello", "peer-refused", hello[:2]},
		{"part of a hello", "peer-refused", hello[:len(hello)-1]},
		{"another message", "peer-refused", encodeFrame(t, peerwire.Envelope{Type: peerwire.FrameCall, ID: 1}, nil)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			core, logs := observer.New(zapcore.InfoLevel)
			b := startHost(t, "b", messenger.Options{Logger: zap.New(core)}, echo)
			raw, err := net.Dial("tcp", string(b.address))
			i.NoErr(err)
			_, err = raw.Write(c.sent)
			i.NoErr(err)
			i.NoErr(raw.(*net.TCPConn).CloseWrite())
			_, _ = io.Copy(io.Discard, raw) // until the host has closed it too
			i.NoErr(raw.Close())
			i.Equal(logs.Len(), 1)
			i.Equal(logs.All()[0].Message, c.event)
		})
	}
}

func TestUnreadableFrames(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	hello := encodeFrame(t, peerwire.Envelope{Type: peerwire.FrameHello}, &peerwire.Hello{Version: peerwire.ProtocolVersion, Host: "a", Incarnation: 5})
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
			checkFailure(t, e, payload, classifier.VerdictMayHaveRun, c.message)
		})
	}
}

// startHosts starts two hosts, a and b, on a network that can inject faults.
func startHosts(t *testing.T, o messenger.Options, handle func(*messenger.Messenger)) (n *faulter.Network, a, b *testHost) {
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
	fast := messenger.Options{KeepAlive: 20 * time.Millisecond, DialTimeout: 100 * time.Millisecond, MinBackoff: time.Millisecond}
	partition := func(n *faulter.Network) { n.Partition([]identifier.Host{"a"}, []identifier.Host{"b"}) }
	t.Run("partition before the dial gives NotRun until healed", func(t *testing.T) {
		n, a, b := startHosts(t, fast, echo)
		partition(n)
		err := a.Call(t.Context(), b.address, peerwire.KindAllocate, text(""), nil)
		checkError(t, err, classifier.VerdictNotRun, classifier.ReasonHostUnreachable)
		n.Heal()
		eventually(t, func() bool { return a.Call(t.Context(), b.address, peerwire.KindAllocate, text(""), nil) == nil })
	})
	t.Run("partition during a call gives MayHaveRun on keepalive timeout", func(t *testing.T) {
		n, a, b := startHosts(t, fast, echo)
		is.New(t).NoErr(a.Call(t.Context(), b.address, peerwire.KindAllocate, text(""), nil))
		partition(n)
		err := a.Call(t.Context(), b.address, peerwire.KindAllocate, text(""), nil)
		checkError(t, err, classifier.VerdictMayHaveRun, classifier.ReasonHostUnreachable)
	})
	t.Run("a slow handler does not cause a keepalive timeout", func(t *testing.T) {
		_, a, b := startHosts(t, fast, func(m *messenger.Messenger) {
			m.Handle(peerwire.KindAllocate, func(context.Context, messenger.Peer, []byte) (msgp.Marshaler, error) {
				time.Sleep(10 * fast.KeepAlive)
				return nil, nil
			})
		})
		is.New(t).NoErr(a.Call(t.Context(), b.address, peerwire.KindAllocate, text(""), nil))
	})
	t.Run("slowly arriving replies do not cause a keepalive timeout", func(t *testing.T) {
		const calls = 20
		var served atomic.Int32
		_, a, b := startHosts(t, fast, func(m *messenger.Messenger) {
			m.Handle(peerwire.KindAllocate, func(context.Context, messenger.Peer, []byte) (msgp.Marshaler, error) {
				time.Sleep(time.Duration(served.Add(1)) * fast.KeepAlive / 3)
				return nil, nil
			})
		})
		group := grouper.New(t.Context())
		for range calls {
			group.Go(func(ctx context.Context) error {
				return a.Call(ctx, b.address, peerwire.KindAllocate, text(""), nil)
			})
		}
		is.New(t).NoErr(group.Wait())
	})
	t.Run("an idle connection is closed and redialled", func(t *testing.T) {
		is := is.New(t)
		o := fast
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
			is.NoErr(a.Call(t.Context(), b.address, peerwire.KindAllocate, text(""), nil))
			time.Sleep(fast.KeepAlive)
			mu.Lock()
			defer mu.Unlock()
			return dials > 1
		})
	})
	t.Run("handlers per peer are limited", func(t *testing.T) {
		o := fast
		o.MaxHandlers = 1
		started := make(chan struct{})
		_, a, b := startHosts(t, o, func(m *messenger.Messenger) {
			m.Handle(peerwire.KindAllocate, func(ctx context.Context, _ messenger.Peer, _ []byte) (msgp.Marshaler, error) {
				close(started)
				<-ctx.Done()
				return nil, ctx.Err()
			})
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		a.group.Run(func(context.Context) { _ = a.Call(ctx, b.address, peerwire.KindAllocate, text(""), nil) })
		<-started
		err := a.Call(t.Context(), b.address, peerwire.KindAllocate, text(""), nil)
		checkError(t, err, classifier.VerdictNotRun, classifier.ReasonQueueFull)
	})
}

func TestUnusedLinksExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := grouper.New(context.Background())
		refuse := func(context.Context, identifier.Address) (net.Conn, error) { return nil, errors.New("refused") }
		m := messenger.New(messenger.Peer{Host: "a", Incarnation: 1}, messenger.Options{Dial: refuse}, group)
		for i := range 1000 {
			_ = m.Call(t.Context(), identifier.Address(fmt.Sprintf("10.0.%d.%d:1", i/250, i%250)), peerwire.KindAllocate, nil, nil)
			time.Sleep(time.Second)
		}
		is.New(t).True(m.Stats().Links < 200)
		is.New(t).Equal(m.Stats().FailedDials, uint64(1000))
		m.Close()
		_ = group.Wait()
	})
}

// blockingConn passes on the first write, which is the hello, and blocks all
// later writes until it is closed.
type blockingConn struct {
	net.Conn
	writes atomic.Int32
	closed chan struct{}
	once   sync.Once
}

func (c *blockingConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) == 1 {
		return c.Conn.Write(p)
	}
	<-c.closed
	return 0, io.ErrClosedPipe
}

func (c *blockingConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func TestVerdicts(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) }) // after the hosts have stopped
	setup := func(t *testing.T, handled *atomic.Int32) (a, b *testHost, block func()) {
		b = startHost(t, "b", messenger.Options{}, func(m *messenger.Messenger) {
			m.Handle(peerwire.KindAllocate, func(context.Context, messenger.Peer, []byte) (msgp.Marshaler, error) {
				handled.Add(1)
				return nil, nil
			})
		})
		var conn atomic.Pointer[blockingConn]
		a = startHost(t, "a", messenger.Options{MaxQueueBytes: 200, Dial: func(ctx context.Context, to identifier.Address) (net.Conn, error) {
			raw, err := new(net.Dialer).DialContext(ctx, "tcp", string(to))
			c := &blockingConn{Conn: raw, closed: make(chan struct{})}
			conn.Store(c)
			return c, err
		}}, nil)
		block = func() {
			a.group.Run(func(context.Context) { _ = a.Call(t.Context(), b.address, peerwire.KindAllocate, text("first"), nil) })
			eventually(t, func() bool { return conn.Load() != nil && conn.Load().writes.Load() == 2 })
		}
		return a, b, block
	}
	t.Run("a call queued behind a blocked write is withdrawn as NotRun", func(t *testing.T) {
		var handled atomic.Int32
		a, b, block := setup(t, &handled)
		block()
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		err := a.Call(ctx, b.address, peerwire.KindAllocate, text("second"), nil)
		checkError(t, err, classifier.VerdictNotRun, classifier.ReasonDeadline)
		is.New(t).True(errors.Is(err, context.DeadlineExceeded))
		is.New(t).Equal(handled.Load(), int32(0))
	})
	t.Run("a full queue gives NotRun", func(t *testing.T) {
		var handled atomic.Int32
		a, b, block := setup(t, &handled)
		block()
		big := text(string(make([]byte, 150)))
		is.New(t).NoErr(a.Send(t.Context(), b.address, peerwire.KindAllocate, big))
		checkError(t, a.Send(t.Context(), b.address, peerwire.KindAllocate, big), classifier.VerdictNotRun, classifier.ReasonQueueFull)
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
		is.New(t).NoErr(a.Call(t.Context(), b.address, peerwire.KindAllocate, text("x"), nil))
	})
	t.Run("rejects a host with the certificate of another", func(t *testing.T) {
		a := startHost(t, "a", options("c"), nil)
		err := a.Call(t.Context(), b.address, peerwire.KindAllocate, text("x"), nil)
		checkError(t, err, classifier.VerdictNotRun, classifier.ReasonHostUnreachable)
		is.New(t).True(strings.Contains(err.Error(), "certificate of another"))
	})
	t.Run("closes while a handshake is pending", func(t *testing.T) {
		c := startHost(t, "c", options("c"), nil)
		raw, err := net.Dial("tcp", string(c.address))
		is.New(t).NoErr(err)
		time.Sleep(10 * time.Millisecond) // lets the handshake begin
		c.Close()
		_, err = raw.Read(make([]byte, 1))
		is.New(t).True(err != nil)
		_ = raw.Close()
	})
	t.Run("rejects a host without TLS", func(t *testing.T) {
		a := startHost(t, "a", messenger.Options{}, nil)
		err := a.Call(t.Context(), b.address, peerwire.KindAllocate, text("x"), nil)
		checkError(t, err, classifier.VerdictNotRun, classifier.ReasonHostUnreachable)
	})
}
