package exchanger_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
)

const idHeader = "Call-Id"

// scriptedServer is a TCP server that runs a test's handler on each connection,
// so that the test controls every byte of the responses.
type scriptedServer struct {
	address identifier.Address
	mu      sync.Mutex
	opened  int
	heads   []string // of all requests, with their bodies
}

// listen starts a scriptedServer that calls serve for each connection.
func listen(t *testing.T, serve func(e *scriptedServer, c net.Conn, r *bufio.Reader)) *scriptedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	e := &scriptedServer{address: identifier.Address(ln.Addr().String())}
	g := grouper.New(context.Background())
	g.Run(func(context.Context) {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.opened++
			e.mu.Unlock()
			g.Run(func(ctx context.Context) {
				stop := context.AfterFunc(ctx, func() { _ = c.Close() })
				defer stop()
				defer func() { _ = c.Close() }()
				serve(e, c, bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		g.Stop()
		_ = g.Wait() // the handlers return no error
	})
	return e
}

// read reads one request and returns its ID. It returns false at the end of the
// connection.
func (e *scriptedServer) read(r *bufio.Reader) (id string, ok bool) {
	q, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return "", false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heads = append(e.heads, q.Method+" "+q.RequestURI+" "+q.Host+" "+string(body))
	return q.Header.Get(idHeader), true
}

func (e *scriptedServer) counts() (opened, requests int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opened, len(e.heads)
}

func completeResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

// respondWith returns a handler that writes the text returned by script in
// response to each request.
func respondWith(script func(id string) string) func(*scriptedServer, net.Conn, *bufio.Reader) {
	return func(e *scriptedServer, c net.Conn, r *bufio.Reader) {
		for {
			id, ok := e.read(r)
			if !ok {
				return
			}
			if _, err := io.WriteString(c, script(id)); err != nil {
				return
			}
		}
	}
}

var errNotAllowed = errors.New("not allowed")

func newExchanger() *exchanger.Exchanger {
	return exchanger.New(exchanger.Options{IDHeader: idHeader})
}

func request(id string) *exchanger.Request {
	return &exchanger.Request{
		Method: http.MethodPost, Target: "/a%2Fb?c", Host: "desk.example",
		Header: http.Header{idHeader: {id}}, Body: []byte("body of " + id), ID: id,
	}
}

// exchange sends a request and reads the whole response.
func exchange(ctx context.Context, x *exchanger.Exchanger, e *scriptedServer, r *exchanger.Request) (string, error) {
	response, err := x.Send(ctx, e.address, r)
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := response.ReadAll(1 << 20)
	return string(body), err
}

func assertVerdict(t *testing.T, err error, v classifier.Verdict) {
	t.Helper()
	i := is.New(t)
	i.Helper()
	i.True(err != nil)
	i.Equal(classifier.VerdictOf(err), v)
}

func TestSend(t *testing.T) {
	ctx := context.Background()
	t.Run("sends requests unmodified and reuses the connection", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, respondWith(func(id string) string { return completeResponse(id, "answer to "+id) }))
		x := newExchanger()
		for _, id := range []string{"one", "two", "three"} {
			body, err := exchange(ctx, x, e, request(id))
			i.NoErr(err)
			i.Equal(body, "answer to "+id)
		}
		opened, _ := e.counts()
		i.Equal(opened, 1)
		i.Equal(e.heads[0], "POST /a%2Fb?c desk.example body of one")
	})
	t.Run("opens a new connection if the endpoint closed the idle one", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, func(e *scriptedServer, c net.Conn, r *bufio.Reader) {
			if id, ok := e.read(r); ok {
				_, _ = io.WriteString(c, completeResponse(id, "x"))
			}
		})
		x := newExchanger()
		for _, id := range []string{"one", "two"} {
			_, err := exchange(ctx, x, e, request(id))
			i.NoErr(err)
			time.Sleep(20 * time.Millisecond)
		}
		opened, requests := e.counts()
		i.Equal(opened, 2)
		i.Equal(requests, 2)
	})
	t.Run("does not retry a request that may have arrived", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, func(e *scriptedServer, _ net.Conn, r *bufio.Reader) { e.read(r) })
		_, err := exchange(ctx, newExchanger(), e, request("one"))
		assertVerdict(t, err, classifier.VerdictMayHaveRun)
		_, requests := e.counts()
		i.Equal(requests, 1)
	})
	t.Run("returns not-run if the connection fails", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		_ = ln.Close()
		_, err = newExchanger().Send(ctx, identifier.Address(ln.Addr().String()), request("one"))
		assertVerdict(t, err, classifier.VerdictNotRun)
	})
	t.Run("sends nothing that may not be written, also once it is connected", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, respondWith(func(id string) string { return completeResponse(id, "x") }))
		for allowed := range 2 {
			q, asked := request("one"), 0
			q.MayWrite = func() error {
				asked++
				if asked > allowed {
					return errNotAllowed
				}
				return nil
			}
			_, err := newExchanger().Send(ctx, e.address, q)
			i.True(errors.Is(err, errNotAllowed))
		}
		_, requests := e.counts()
		i.Equal(requests, 0)
	})
	t.Run("accepts a response sent before the whole body is read", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, func(e *scriptedServer, c net.Conn, r *bufio.Reader) {
			_, _ = r.Peek(1)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\n"+idHeader+": long\r\nContent-Length: 0\r\n\r\n")
			e.read(r) // reads the body only after responding
		})
		r := request("long")
		r.Body = []byte(strings.Repeat("x", 4<<20))
		response, err := newExchanger().Send(ctx, e.address, r)
		i.NoErr(err)
		defer response.Close()
		i.Equal(response.Status, http.StatusServiceUnavailable)
	})
	t.Run("returns when the context ends", func(t *testing.T) {
		e := listen(t, func(e *scriptedServer, _ net.Conn, r *bufio.Reader) {
			e.read(r)
			_, _ = r.ReadByte() // blocks until the connection is closed
		})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := exchange(short, newExchanger(), e, request("one"))
		assertVerdict(t, err, classifier.VerdictMayHaveRun)
		is.New(t).True(time.Since(began) < time.Second)
	})
}

// TestCanceledRequestNotDelivered checks that the connection of a canceled request
// is reset, so that bytes still buffered after a network outage are not delivered
// to the endpoint later.
func TestCanceledRequestNotDelivered(t *testing.T) {
	ctx := context.Background()
	i := is.New(t)
	ended := make(chan error, 1)
	e := listen(t, func(_ *scriptedServer, _ net.Conn, r *bufio.Reader) {
		time.Sleep(150 * time.Millisecond) // reads only after the request is canceled
		_, err := io.Copy(io.Discard, r)
		ended <- err
	})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := exchange(short, newExchanger(), e, request("one"))
	assertVerdict(t, err, classifier.VerdictMayHaveRun)
	i.True(errors.Is(<-ended, syscall.ECONNRESET))
}

func TestMismatchedResponses(t *testing.T) {
	ctx := context.Background()
	t.Run("an extra response after the first is not delivered", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, respondWith(func(id string) string { return completeResponse(id, id) + completeResponse("other", "extra") }))
		x := newExchanger()
		for _, id := range []string{"one", "two", "three"} {
			body, err := exchange(ctx, x, e, request(id))
			i.NoErr(err)
			i.Equal(body, id)
		}
	})
	t.Run("a late response to an earlier request is skipped", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, respondWith(func(id string) string {
			if id == "two" { // the extra response arrives before the matching one
				return completeResponse("one", "extra") + completeResponse(id, id)
			}
			return completeResponse(id, id)
		}))
		x := newExchanger()
		for _, id := range []string{"one", "two"} {
			body, err := exchange(ctx, x, e, request(id))
			i.NoErr(err)
			i.Equal(body, id)
		}
		i.Equal(x.Stats().MismatchedResponses, uint64(1))
	})
	t.Run("a mismatched response without a length is an error", func(t *testing.T) {
		e := listen(t, func(e *scriptedServer, c net.Conn, r *bufio.Reader) {
			e.read(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": other\r\n\r\nbytes")
		})
		_, err := exchange(ctx, newExchanger(), e, request("one"))
		assertVerdict(t, err, classifier.VerdictMayHaveRun)
	})
	t.Run("malformed bytes are an error", func(t *testing.T) {
		e := listen(t, respondWith(func(string) string { return "\x00\x01 nonsense\r\n\r\n" }))
		_, err := exchange(ctx, newExchanger(), e, request("one"))
		assertVerdict(t, err, classifier.VerdictMayHaveRun)
	})
	t.Run("data received on an idle connection prevents its reuse", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, func(e *scriptedServer, c net.Conn, r *bufio.Reader) {
			for {
				id, ok := e.read(r)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, completeResponse(id, id))
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, completeResponse("late", "late"))
			}
		})
		x := newExchanger()
		for _, id := range []string{"one", "two"} {
			body, err := exchange(ctx, x, e, request(id))
			i.NoErr(err)
			i.Equal(body, id)
			time.Sleep(60 * time.Millisecond)
		}
		opened, _ := e.counts()
		i.Equal(opened, 2)
	})
}

func TestFraming(t *testing.T) {
	ctx := context.Background()
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": one\r\n"
	once := func(text string, reset bool) func(*scriptedServer, net.Conn, *bufio.Reader) {
		return func(e *scriptedServer, c net.Conn, r *bufio.Reader) {
			e.read(r)
			_, _ = io.WriteString(c, text)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		}
	}
	t.Run("a response without a length ends with the connection", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, once(head+"\r\nall of it", false))
		body, err := exchange(ctx, newExchanger(), e, request("one"))
		i.NoErr(err)
		i.Equal(body, "all of it")
	})
	broken := map[string]struct {
		text  string
		reset bool
	}{
		"without a length, reset":  {head + "\r\nhalf", true},
		"shorter than its length":  {head + "Content-Length: 10\r\n\r\nhalf", false},
		"without its last chunk":   {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
		"truncated in its headers": {head, false},
	}
	for name, b := range broken {
		t.Run("a response "+name+" is incomplete", func(t *testing.T) {
			e := listen(t, once(b.text, b.reset))
			_, err := exchange(ctx, newExchanger(), e, request("one"))
			assertVerdict(t, err, classifier.VerdictMayHaveRun)
		})
	}
	t.Run("a body over the limit is rejected", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, respondWith(func(id string) string { return completeResponse(id, strings.Repeat("x", 100)) }))
		response, err := newExchanger().Send(ctx, e.address, request("one"))
		i.NoErr(err)
		defer response.Close()
		_, err = response.ReadAll(10)
		i.True(errors.Is(err, exchanger.ErrTooLarge))
	})
}

func TestIdleConnections(t *testing.T) {
	ctx := context.Background()
	emptyResponse := func(more string) func(*scriptedServer, net.Conn, *bufio.Reader) {
		return respondWith(func(id string) string {
			return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + id + "\r\n" + more + "Content-Length: 0\r\n\r\n"
		})
	}
	cases := []struct {
		name   string
		more   string
		idle   time.Duration
		opened int
	}{
		{"are kept", "", 0, 1},
		{"are not reused after Connection: close", "Connection: close\r\n", 0, 2},
		{"are closed before the endpoint's idle timeout", "Keep-Alive: timeout=0\r\n", 0, 2},
		{"are not reused beyond the request's MaxIdle", "", 10 * time.Millisecond, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			e := listen(t, emptyResponse(c.more))
			x := newExchanger()
			for _, id := range []string{"one", "two"} {
				r := request(id)
				r.MaxIdle = c.idle
				_, err := exchange(ctx, x, e, r)
				i.NoErr(err)
				time.Sleep(30 * time.Millisecond)
			}
			opened, _ := e.counts()
			i.Equal(opened, c.opened)
		})
	}
	t.Run("to unwanted addresses are closed", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, emptyResponse(""))
		x := newExchanger()
		_, err := exchange(ctx, x, e, request("one"))
		i.NoErr(err)
		x.CloseIdle(time.Now(), func(identifier.Address) bool { return true })
		i.Equal(x.Stats().Idle, 1)
		x.CloseIdle(time.Now(), func(identifier.Address) bool { return false })
		i.Equal(x.Stats().Idle, 0)
	})
	t.Run("opened by a probe are used by the next request", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, emptyResponse(""))
		x := newExchanger()
		i.NoErr(x.Probe(ctx, e.address))
		_, err := exchange(ctx, x, e, request("one"))
		i.NoErr(err)
		opened, _ := e.counts()
		i.Equal(opened, 1)
	})
}

// FuzzResponse feeds arbitrary bytes as a response. They must not cause a panic,
// and a request must not receive a response with another request's ID.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(completeResponse("one", "body")))
	f.Add([]byte(completeResponse("other", "body")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + completeResponse("one", "x")))
	f.Fuzz(func(t *testing.T, answer []byte) {
		near, far := net.Pipe()
		g := grouper.New(context.Background())
		g.Run(func(context.Context) {
			defer func() { _ = far.Close() }()
			_, _ = http.ReadRequest(bufio.NewReader(far))
			_, _ = far.Write(answer)
		})
		x := exchanger.New(exchanger.Options{
			IDHeader: idHeader,
			Dial:     func(context.Context, string) (net.Conn, error) { return near, nil },
		})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		r := request("one")
		r.Body = nil
		response, err := x.Send(ctx, "127.0.0.1:1", r)
		if err == nil {
			echoed := response.Header.Get(idHeader)
			is.New(t).True(echoed == "" || echoed == "one")
			_, _ = response.ReadAll(1 << 16)
			response.Close()
		}
		_ = near.Close()
		g.Stop()
		_ = g.Wait() // the handler returns no error
	})
}
