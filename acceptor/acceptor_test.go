package acceptor_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/acceptor"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/socket"
)

// testTimeout bounds how long a test waits for an expected state.
const testTimeout = 5 * time.Second

// server is an HTTP server behind an Acceptor.
type server struct {
	is       *is.I
	acceptor *acceptor.Acceptor
	address  string

	mu       sync.Mutex
	closings []*acceptor.Closing
}

// startServer starts a server. wrap, if not nil, wraps its listener.
func startServer(t *testing.T, h http.Handler, wrap func(net.Listener) net.Listener) *server {
	t.Helper()
	s := &server{is: is.New(t)}
	ln, err := socket.Listen(context.Background(), "127.0.0.1:0")
	s.is.NoErr(err)
	s.address = ln.Addr().String()
	if wrap != nil {
		ln = wrap(ln)
	}
	s.acceptor = acceptor.New(ln, s.observe)
	hs := &http.Server{Handler: h, ConnContext: s.acceptor.Context, ConnState: s.acceptor.ObserveState}
	g := grouper.New(context.Background())
	g.Run(func(context.Context) { _ = hs.Serve(s.acceptor) }) // ends with an error when it is closed
	t.Cleanup(func() {
		_ = hs.Close()
		g.Stop()
		_ = g.Wait() // the group's functions return no error
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

func (s *server) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	s.is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// send sends a request.
func (s *server) send(c net.Conn) {
	_, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: test.example\r\n\r\n")
	s.is.NoErr(err)
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
		s.send(s.dial(t))
		await(t, running)
		s.acceptor.CloseAll(acceptor.ReasonKill)
		closing, ok := errors.AsType[*acceptor.Closing](await(t, causes))
		s.is.True(ok)
		s.is.Equal(closing.Reason, acceptor.ReasonKill)
		s.is.Equal(s.reasons(), []acceptor.Reason{acceptor.ReasonKill})
	})
	t.Run("are a plain cancellation if the caller leaves", func(t *testing.T) {
		s := startServer(t, h, nil)
		c := s.dial(t)
		s.send(c)
		await(t, running)
		s.is.NoErr(c.Close())
		s.is.Equal(await(t, causes), context.Canceled)
		s.is.Equal(len(s.reasons()), 0)
	})
}
