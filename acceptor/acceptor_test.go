package acceptor_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/acceptor"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/socket"
)

// testTimeout bounds how long a test waits for an expected state.
const testTimeout = 5 * time.Second

// settleTime is how long sent bytes need to arrive.
const settleTime = 20 * time.Millisecond

// server is an HTTP server behind an Acceptor.
type server struct {
	is       *is.I
	acceptor *acceptor.Acceptor
	address  string
	// reads counts the reads that have begun on all connections, without those with
	// which net/http watches for a disconnect.
	reads atomic.Int32

	mu       sync.Mutex
	closings []*acceptor.Closing
}

// startServer starts a server whose connections' reads, and its listener, g holds
// back; g may be nil.
func startServer(t *testing.T, h http.Handler, g *gate) *server {
	t.Helper()
	s := &server{is: is.New(t)}
	ln, err := socket.Listen(context.Background(), "127.0.0.1:0")
	s.is.NoErr(err)
	s.address = ln.Addr().String()
	if g == nil {
		g = &gate{}
	}
	g.TCPListener, g.reads = ln.(*net.TCPListener), &s.reads
	s.acceptor = acceptor.New(g, s.observe)
	hs := &http.Server{Handler: s.acceptor.Handler(h), ConnContext: s.acceptor.Context, ConnState: s.acceptor.ObserveState}
	group := grouper.New(context.Background())
	group.Run(func(context.Context) { _ = hs.Serve(s.acceptor) }) // ends with an error when it is closed
	t.Cleanup(func() {
		_ = hs.Close()
		group.Stop()
		_ = group.Wait() // its functions return no error
	})
	return s
}

func (s *server) observe(c *acceptor.Closing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closings = append(s.closings, c)
}

// reasons returns the reasons of the observed closings.
func (s *server) reasons() []acceptor.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []acceptor.Reason
	for _, c := range s.closings {
		all = append(all, c.Reason)
	}
	return all
}

// await returns the next value of the channel.
func await[T any](t *testing.T, values <-chan T) T {
	t.Helper()
	select {
	case v := <-values:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing happened in time")
		panic("unreachable")
	}
}

// TestCauses guards against the failure that a request whose connection the host
// had closed was logged as canceled by its caller.
func TestCauses(t *testing.T) {
	running := make(chan struct{}, 1)
	causes := make(chan error, 1)
	h := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		<-r.Context().Done()
		causes <- context.Cause(r.Context())
	})
	t.Run("name the host's reason if the host closes the connection", func(t *testing.T) {
		s := startServer(t, h, nil)
		s.call(t).send()
		await(t, running)
		s.acceptor.CloseAll(acceptor.ReasonKill)
		closing, ok := errors.AsType[*acceptor.Closing](await(t, causes))
		s.is.True(ok)
		s.is.Equal(closing.Reason, acceptor.ReasonKill)
		s.is.Equal(s.reasons(), []acceptor.Reason{acceptor.ReasonKill})
	})
	t.Run("are a plain cancellation if the caller leaves", func(t *testing.T) {
		s := startServer(t, h, nil)
		c := s.call(t)
		c.send()
		await(t, running)
		s.is.NoErr(c.conn.Close())
		s.is.Equal(await(t, causes), context.Canceled)
		s.is.Equal(len(s.reasons()), 0)
	})
}

// gate is a listener that can hold back its connections' reads.
type gate struct {
	*net.TCPListener
	reads *atomic.Int32
	// accept is called before each Accept, write before each Write, before and after
	// around each read, after only if it returns data. Each may be nil.
	accept, write, before, after func()
}

func (g *gate) Accept() (net.Conn, error) {
	if g.accept != nil {
		g.accept()
	}
	c, err := g.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &gatedConnection{TCPConn: c, gate: g}, nil
}

type gatedConnection struct {
	*net.TCPConn
	gate *gate
}

func (c *gatedConnection) Read(b []byte) (int, error) {
	if len(b) == 1 { // net/http watches for a disconnect
		return c.TCPConn.Read(b)
	}
	c.gate.reads.Add(1)
	if c.gate.before != nil {
		c.gate.before()
	}
	n, err := c.TCPConn.Read(b)
	if c.gate.after != nil && n > 0 {
		c.gate.after()
	}
	return n, err
}

func (c *gatedConnection) Write(b []byte) (int, error) {
	if c.gate.write != nil {
		c.gate.write()
	}
	return c.TCPConn.Write(b)
}

// awaitReads waits until n reads have begun: what was read before has been handled.
func (s *server) awaitReads(t *testing.T, n int32) {
	t.Helper()
	for end := time.Now().Add(testTimeout); s.reads.Load() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d reads have begun, want %d", s.reads.Load(), n)
		}
	}
}

// limits are the limits of most tests.
var limits = acceptor.Limits{Idle: time.Second, Header: time.Second}

// later is a time at which all limits of the tests have passed.
func later() time.Time { return time.Now().Add(time.Hour) }

// caller sends requests on one connection.
type caller struct {
	is     *is.I
	conn   net.Conn
	reader *bufio.Reader
}

func (s *server) call(t *testing.T) *caller {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	s.is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	s.is.NoErr(c.SetDeadline(time.Now().Add(testTimeout)))
	return &caller{is: s.is, conn: c, reader: bufio.NewReader(c)}
}

func (c *caller) send() {
	_, err := fmt.Fprint(c.conn, "GET / HTTP/1.1\r\nHost: test.example\r\n\r\n")
	c.is.NoErr(err)
}

// assertAnswered checks that the request was answered, and whether its answer is the
// connection's last.
func (c *caller) assertAnswered(last bool) {
	c.is.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	c.is.NoErr(err)
	c.is.Equal(response.StatusCode, http.StatusOK)
	_, err = io.ReadAll(response.Body)
	c.is.NoErr(err)
	c.is.Equal(response.Close, last)
	if last {
		c.assertEnded()
	}
}

// assertEnded checks that the connection ends without a further byte.
func (c *caller) assertEnded() {
	c.is.Helper()
	_, err := c.reader.ReadByte()
	c.is.Equal(err, io.EOF)
}

// holdNth returns a function that blocks in its nth call until it is released.
func holdNth(n int32) (f func(), held <-chan struct{}, release func()) {
	var calls atomic.Int32
	reached, released := make(chan struct{}, 1), make(chan struct{})
	return func() {
		if calls.Add(1) == n {
			reached <- struct{}{}
			<-released
		}
	}, reached, func() { close(released) }
}

var answer = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })

// TestRequestsThatMeetTheIdleLimit guards against the failure LOST of issue 22: a
// connection was closed as idle after a request on it had been read, and the request
// ran without an answer.
func TestRequestsThatMeetTheIdleLimit(t *testing.T) {
	t.Run("are answered if they were read, but not parsed yet", func(t *testing.T) {
		after, held, release := holdNth(2) // the second request's bytes are in memory
		s := startServer(t, answer, &gate{after: after})
		c := s.call(t)
		c.send()
		c.assertAnswered(false)
		s.awaitReads(t, 2)
		c.send()
		await(t, held)
		s.acceptor.Sweep(later(), limits)
		release()
		c.assertAnswered(true)
		s.is.Equal(len(s.reasons()), 0)
	})
	t.Run("are answered if they wait in the socket", func(t *testing.T) {
		before, held, release := holdNth(2) // the second request isn't read for now
		s := startServer(t, answer, &gate{before: before})
		c := s.call(t)
		c.send()
		c.assertAnswered(false)
		await(t, held)
		c.send()
		time.Sleep(settleTime)
		s.acceptor.Sweep(later(), limits)
		release()
		c.assertAnswered(true)
		s.is.Equal(len(s.reasons()), 0)
	})
	t.Run("are answered if they arrive while another one is answered", func(t *testing.T) {
		running, finish := make(chan struct{}, 2), make(chan struct{}, 2)
		s := startServer(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			running <- struct{}{}
			<-finish
		}), nil)
		c := s.call(t)
		c.send()
		await(t, running)
		c.send() // net/http reads its first byte while it watches for a disconnect
		time.Sleep(settleTime)
		s.acceptor.Sweep(later(), limits)
		finish <- struct{}{}
		c.assertAnswered(false)
		await(t, running)
		finish <- struct{}{}
		c.assertAnswered(false)
		s.is.Equal(len(s.reasons()), 0)
	})
}

func TestIdleConnections(t *testing.T) {
	// answered returns a connection that got an answer under the limits l.
	answered := func(t *testing.T, s *server, l acceptor.Limits) *caller {
		t.Helper()
		s.acceptor.Sweep(time.Now(), l)
		c := s.call(t)
		c.send()
		c.assertAnswered(false)
		s.awaitReads(t, 2)
		return c
	}
	t.Run("end after the limit", func(t *testing.T) {
		s := startServer(t, answer, nil)
		c := answered(t, s, limits)
		s.acceptor.Sweep(time.Now(), limits)
		c.send()
		c.assertAnswered(false) // still open
		s.awaitReads(t, 3)
		s.acceptor.Sweep(later(), limits)
		c.assertEnded()
		s.is.Equal(s.reasons(), []acceptor.Reason{acceptor.ReasonIdle})
	})
	t.Run("keep the limit under which they became idle when it is lowered", func(t *testing.T) {
		s := startServer(t, answer, nil)
		c := answered(t, s, acceptor.Limits{Idle: time.Minute, Header: time.Second})
		s.acceptor.Sweep(time.Now().Add(30*time.Second), limits)
		c.send()
		c.assertAnswered(false)
		s.awaitReads(t, 3)
		s.acceptor.Sweep(time.Now().Add(30*time.Second), limits) // the lower limit applies from now on
		c.assertEnded()
	})
	t.Run("get a limit that is raised", func(t *testing.T) {
		s := startServer(t, answer, nil)
		c := answered(t, s, limits)
		s.acceptor.Sweep(time.Now().Add(30*time.Second), acceptor.Limits{Idle: time.Minute, Header: time.Second})
		c.send()
		c.assertAnswered(false)
	})
	t.Run("without a first request end too", func(t *testing.T) {
		s := startServer(t, answer, nil)
		c := s.call(t)
		s.awaitOpen(t, 1)
		s.acceptor.Sweep(later(), limits)
		c.assertEnded()
		s.awaitOpen(t, 0)
	})
}

// awaitOpen waits until n connections are open.
func (s *server) awaitOpen(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); s.acceptor.Open() != n; {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, want %d", s.acceptor.Open(), n)
		}
		time.Sleep(time.Millisecond)
	}
}

func TestHeaderLimit(t *testing.T) {
	// begin sends the beginning of a request, and returns when it has been read.
	begin := func(t *testing.T, l acceptor.Limits) (*server, *caller) {
		t.Helper()
		s := startServer(t, answer, nil)
		s.acceptor.Sweep(time.Now(), l)
		c := s.call(t)
		_, err := fmt.Fprint(c.conn, "GET / HTTP/1.1\r\nHo")
		s.is.NoErr(err)
		s.awaitReads(t, 2)
		return s, c
	}
	// finish sends the rest of the request.
	finish := func(c *caller) {
		_, err := fmt.Fprint(c.conn, "st: test.example\r\n\r\n")
		c.is.NoErr(err)
	}
	t.Run("refuses a request whose header takes longer", func(t *testing.T) {
		s, c := begin(t, limits)
		s.acceptor.Sweep(later(), limits)
		response, err := http.ReadResponse(c.reader, nil)
		s.is.NoErr(err)
		s.is.Equal(response.StatusCode, http.StatusRequestTimeout)
		c.assertEnded()
		s.is.Equal(s.reasons(), []acceptor.Reason{acceptor.ReasonHeader})
	})
	t.Run("isn't lowered for a request that has begun", func(t *testing.T) {
		s, c := begin(t, acceptor.Limits{Idle: time.Second, Header: time.Minute})
		s.acceptor.Sweep(time.Now().Add(30*time.Second), limits)
		finish(c)
		c.assertAnswered(false)
	})
	t.Run("isn't the idle limit", func(t *testing.T) {
		s, c := begin(t, acceptor.Limits{Idle: time.Second, Header: time.Minute})
		s.acceptor.Sweep(time.Now().Add(30*time.Second), acceptor.Limits{Idle: time.Millisecond, Header: time.Minute})
		finish(c)
		c.assertAnswered(false)
	})
}

// TestPlannedStop guards against the failure LOST of issue 22 in planned stops: once
// http.Server.Shutdown had been called, net/http read requests and dropped them.
func TestPlannedStop(t *testing.T) {
	t.Run("answers a request on a connection that had none before", func(t *testing.T) {
		s := startServer(t, answer, nil)
		c := s.call(t)
		s.awaitOpen(t, 1)
		s.acceptor.Drain(time.Now())
		s.acceptor.Sweep(time.Now(), limits)
		c.send()
		c.assertAnswered(true)
		s.awaitDrained(t)
	})
	t.Run("answers the request that follows an answer that was begun before", func(t *testing.T) {
		running, finish := make(chan struct{}, 2), make(chan struct{}, 2)
		s := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			w.(http.Flusher).Flush()
			running <- struct{}{}
			<-finish
		}), nil)
		c := s.call(t)
		c.send()
		await(t, running)
		s.acceptor.Drain(time.Now())
		finish <- struct{}{}
		c.assertAnswered(false)
		s.awaitReads(t, 2)
		s.acceptor.Sweep(time.Now(), limits)
		c.send()
		await(t, running)
		finish <- struct{}{}
		c.assertAnswered(true)
		s.awaitDrained(t)
	})
	t.Run("answers a request that has been read, but not parsed yet", func(t *testing.T) {
		after, held, release := holdNth(1)
		s := startServer(t, answer, &gate{after: after})
		c := s.call(t)
		c.send()
		await(t, held)
		s.acceptor.Drain(time.Now())
		s.acceptor.Sweep(later(), limits)
		release()
		c.assertAnswered(true)
		s.awaitDrained(t)
	})
	t.Run("answers a request on a connection in the listener's queue", func(t *testing.T) {
		accept, held, release := holdNth(1)
		s := startServer(t, answer, &gate{accept: accept})
		await(t, held)
		c := s.call(t)
		c.send()
		s.acceptor.Drain(time.Now())
		release()
		c.assertAnswered(true)
		s.awaitDrained(t)
	})
	t.Run("waits until the end of an answer is sent", func(t *testing.T) {
		write, held, release := holdNth(1) // net/http sends it after the handler has returned
		s := startServer(t, answer, &gate{write: write})
		c := s.call(t)
		c.send()
		await(t, held)
		s.acceptor.Drain(time.Now())
		time.Sleep(100 * time.Millisecond) // the listener is closed
		s.acceptor.Sweep(later(), limits)
		s.is.True(!s.acceptor.Drained())
		release()
		c.assertAnswered(false)
		s.awaitDrained(t)
	})
	t.Run("ends connections without a request, and accepts no more", func(t *testing.T) {
		s := startServer(t, answer, nil)
		unused, used := s.call(t), s.call(t)
		used.send()
		used.assertAnswered(false)
		s.awaitReads(t, 3)
		s.acceptor.Drain(time.Now())
		s.acceptor.Sweep(later(), limits)
		unused.assertEnded()
		used.assertEnded()
		s.awaitDrained(t)
		s.is.Equal(s.reasons(), []acceptor.Reason{acceptor.ReasonStop, acceptor.ReasonStop})
		_, err := net.Dial("tcp", s.address)
		s.is.True(err != nil)
	})
}

// awaitDrained sweeps until the planned stop is complete.
func (s *server) awaitDrained(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !s.acceptor.Drained(); {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open", s.acceptor.Open())
		}
		s.acceptor.Sweep(time.Now(), limits)
		time.Sleep(time.Millisecond)
	}
}
