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

// endpoint is a server whose every byte is scripted: serve gets one connection
// after another.
type endpoint struct {
	address identifier.Address
	mu      sync.Mutex
	opened  int
	heads   []string // of all requests
}

// listen starts an endpoint that answers each connection's requests by serve.
func listen(t *testing.T, serve func(e *endpoint, c net.Conn, r *bufio.Reader)) *endpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	e := &endpoint{address: identifier.Address(ln.Addr().String())}
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
		_ = g.Wait() // the scripts give no error
	})
	return e
}

// read reads one request and gives its id; false: the connection has ended.
func (e *endpoint) read(r *bufio.Reader) (id string, ok bool) {
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

func (e *endpoint) counts() (opened, requests int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.opened, len(e.heads)
}

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

// scripted answers every request by the text that script gives for it.
func scripted(script func(id string) string) func(*endpoint, net.Conn, *bufio.Reader) {
	return func(e *endpoint, c net.Conn, r *bufio.Reader) {
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

func newExchanger() *exchanger.Exchanger {
	return exchanger.New(exchanger.Options{IDHeader: idHeader})
}

func request(id string) *exchanger.Request {
	return &exchanger.Request{
		Method: http.MethodPost, Target: "/a%2Fb?c", Host: "desk.example",
		Header: http.Header{idHeader: {id}}, Body: []byte("body of " + id), ID: id,
	}
}

// exchange sends a request and reads its whole answer.
func exchange(ctx context.Context, x *exchanger.Exchanger, e *endpoint, r *exchanger.Request) (string, error) {
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
	t.Run("sends the request as it is and uses the connection again", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, scripted(func(id string) string { return whole(id, "answer to "+id) }))
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
	t.Run("opens a new connection where the endpoint closed an idle one", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
			if id, ok := e.read(r); ok {
				_, _ = io.WriteString(c, whole(id, "x"))
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
	t.Run("never sends a request again that may have arrived", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, func(e *endpoint, _ net.Conn, r *bufio.Reader) { e.read(r) })
		_, err := exchange(ctx, newExchanger(), e, request("one"))
		assertVerdict(t, err, classifier.VerdictMayHaveRun)
		_, requests := e.counts()
		i.Equal(requests, 1)
	})
	t.Run("tells that nothing was sent where no connection can be opened", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		_ = ln.Close()
		_, err = newExchanger().Send(ctx, identifier.Address(ln.Addr().String()), request("one"))
		assertVerdict(t, err, classifier.VerdictNotRun)
	})
	t.Run("takes an answer that comes before a long body is read", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
			_, _ = r.Peek(1)
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\n"+idHeader+": long\r\nContent-Length: 0\r\n\r\n")
			e.read(r) // and reads on later
		})
		r := request("long")
		r.Body = []byte(strings.Repeat("x", 4<<20))
		response, err := newExchanger().Send(ctx, e.address, r)
		i.NoErr(err)
		defer response.Close()
		i.Equal(response.Status, http.StatusServiceUnavailable)
	})
	t.Run("ends at once when its context ends", func(t *testing.T) {
		e := listen(t, func(e *endpoint, _ net.Conn, r *bufio.Reader) {
			e.read(r)
			_, _ = r.ReadByte() // until the connection ends
		})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		began := time.Now()
		_, err := exchange(short, newExchanger(), e, request("one"))
		assertVerdict(t, err, classifier.VerdictMayHaveRun)
		is.New(t).True(time.Since(began) < time.Second)
	})
}

// TestAbandoned checks that a request that was given up is not delivered when
// the way to its endpoint opens again: its connection is reset.
func TestAbandoned(t *testing.T) {
	ctx := context.Background()
	i := is.New(t)
	ended := make(chan error, 1)
	e := listen(t, func(_ *endpoint, _ net.Conn, r *bufio.Reader) {
		time.Sleep(150 * time.Millisecond) // nothing is read until the request is given up
		_, err := io.Copy(io.Discard, r)
		ended <- err
	})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := exchange(short, newExchanger(), e, request("one"))
	assertVerdict(t, err, classifier.VerdictMayHaveRun)
	i.True(errors.Is(<-ended, syscall.ECONNRESET))
}

func TestForeignBytes(t *testing.T) {
	ctx := context.Background()
	t.Run("a second answer behind the first is nobody's", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, scripted(func(id string) string { return whole(id, id) + whole("other", "extra") }))
		x := newExchanger()
		for _, id := range []string{"one", "two", "three"} {
			body, err := exchange(ctx, x, e, request(id))
			i.NoErr(err)
			i.Equal(body, id)
		}
	})
	t.Run("an answer that comes late is skipped for the request's own", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, scripted(func(id string) string {
			if id == "two" { // the extra answer comes with the next request
				return whole("one", "extra") + whole(id, id)
			}
			return whole(id, id)
		}))
		x := newExchanger()
		for _, id := range []string{"one", "two"} {
			body, err := exchange(ctx, x, e, request(id))
			i.NoErr(err)
			i.Equal(body, id)
		}
		i.Equal(x.Stats().Foreign, uint64(1))
	})
	t.Run("a foreign answer without an end leaves no answer", func(t *testing.T) {
		e := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
			e.read(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": other\r\n\r\nbytes")
		})
		_, err := exchange(ctx, newExchanger(), e, request("one"))
		assertVerdict(t, err, classifier.VerdictMayHaveRun)
	})
	t.Run("bytes that are no answer are none", func(t *testing.T) {
		e := listen(t, scripted(func(string) string { return "\x00\x01 nonsense\r\n\r\n" }))
		_, err := exchange(ctx, newExchanger(), e, request("one"))
		assertVerdict(t, err, classifier.VerdictMayHaveRun)
	})
	t.Run("bytes that arrive while a connection is idle end its use", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, func(e *endpoint, c net.Conn, r *bufio.Reader) {
			for {
				id, ok := e.read(r)
				if !ok {
					return
				}
				_, _ = io.WriteString(c, whole(id, id))
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(c, whole("late", "late"))
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
	once := func(text string, reset bool) func(*endpoint, net.Conn, *bufio.Reader) {
		return func(e *endpoint, c net.Conn, r *bufio.Reader) {
			e.read(r)
			_, _ = io.WriteString(c, text)
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		}
	}
	t.Run("an answer without a length ends with its connection", func(t *testing.T) {
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
		"without a length, reset on the way": {head + "\r\nhalf", true},
		"shorter than its length":            {head + "Content-Length: 10\r\n\r\nhalf", false},
		"without its last chunk":             {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
		"cut in its head":                    {head, false},
	}
	for name, b := range broken {
		t.Run("an answer "+name+" isn't whole", func(t *testing.T) {
			e := listen(t, once(b.text, b.reset))
			_, err := exchange(ctx, newExchanger(), e, request("one"))
			assertVerdict(t, err, classifier.VerdictMayHaveRun)
		})
	}
	t.Run("an answer over the limit is refused", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, scripted(func(id string) string { return whole(id, strings.Repeat("x", 100)) }))
		response, err := newExchanger().Send(ctx, e.address, request("one"))
		i.NoErr(err)
		defer response.Close()
		_, err = response.ReadAll(10)
		i.True(errors.Is(err, exchanger.ErrTooLarge))
	})
}

func TestIdleConnections(t *testing.T) {
	ctx := context.Background()
	answering := func(more string) func(*endpoint, net.Conn, *bufio.Reader) {
		return scripted(func(id string) string {
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
		{"are not used again behind Connection: close", "Connection: close\r\n", 0, 2},
		{"are given up before the endpoint's timeout", "Keep-Alive: timeout=0\r\n", 0, 2},
		{"are too old for a call that must not be lost", "", 10 * time.Millisecond, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			e := listen(t, answering(c.more))
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
	t.Run("to addresses that nobody wants are closed", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, answering(""))
		x := newExchanger()
		_, err := exchange(ctx, x, e, request("one"))
		i.NoErr(err)
		x.CloseIdle(time.Now(), func(identifier.Address) bool { return true })
		i.Equal(x.Stats().Idle, 1)
		x.CloseIdle(time.Now(), func(identifier.Address) bool { return false })
		i.Equal(x.Stats().Idle, 0)
	})
	t.Run("that a probe opened serve the next request", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, answering(""))
		x := newExchanger()
		i.NoErr(x.Probe(ctx, e.address))
		_, err := exchange(ctx, x, e, request("one"))
		i.NoErr(err)
		opened, _ := e.counts()
		i.Equal(opened, 1)
	})
}

// FuzzAnswer feeds any bytes as an answer: they never end the process, and a
// request never gets the answer of another one.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(whole("one", "body")))
	f.Add([]byte(whole("other", "body")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + whole("one", "x")))
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
		_ = g.Wait() // the script gives no error
	})
}
