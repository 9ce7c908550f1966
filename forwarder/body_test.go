package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/budgeter"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	bodyLimit = 1 << 20
	bodyStall = 200 * time.Millisecond
)

// bodyHost is a server that reads bodies by an account.
type bodyHost struct {
	memory *budgeter.Budgeter
	url    string
}

func startBodyHost(t *testing.T, memory *budgeter.Budgeter) *bodyHost {
	t.Helper()
	h := &bodyHost{memory: memory}
	f := New(Deps{Memory: memory, Dialect: plainDialect{}, Log: zap.NewNop()}, Options{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e := &exchange{forwarder: f, writer: w, request: r, observation: &Observation{}}
		defer e.releaseBody()
		body, err := e.readBody(registrar.Limits{BodyBytes: bodyLimit, IdleTimeout: bodyStall}, time.Now().Add(time.Minute))
		if err != nil {
			e.fail(err)
			return
		}
		_, _ = fmt.Fprint(w, len(body)) // the test checks what it gets
	}))
	h.url = s.URL
	t.Cleanup(s.Close)
	return h
}

// post sends a body and returns the response and its body.
func (h *bodyHost) post(t *testing.T, body io.Reader) (*http.Response, string) {
	t.Helper()
	i := is.New(t)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, h.url, body)
	i.NoErr(err)
	response, err := http.DefaultClient.Do(r)
	i.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	i.NoErr(err)
	return response, string(text)
}

// begin sends a head and a part of a body, and returns the connection.
func (h *bodyHost) begin(t *testing.T, text string) net.Conn {
	t.Helper()
	i := is.New(t)
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	i.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	i.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: test.example\r\n"+text)
	i.NoErr(err)
	return c
}

// assertRefused checks the status of an answer that is the connection's last.
func assertRefused(t *testing.T, c net.Conn, status int) {
	t.Helper()
	i := is.New(t)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	i.NoErr(err)
	i.Equal(response.StatusCode, status)
	i.True(response.Close)
	i.Equal(response.Header.Get("Retry-After") != "", status == http.StatusServiceUnavailable)
}

// assertReturned checks that nothing is taken any more.
func (h *bodyHost) assertReturned(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); h.memory.Stats().Bytes > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.New(t).Equal(h.memory.Stats().Bytes, int64(0))
}

func TestBodies(t *testing.T) {
	sizes := []int{1, 4095, 4096, 4097, 100_000, bodyLimit}
	for _, size := range sizes {
		t.Run(fmt.Sprintf("of %d bytes are read", size), func(t *testing.T) {
			i := is.New(t)
			h := startBodyHost(t, budgeter.New(budgeter.Options{Limit: 4 * bodyLimit}))
			text := strings.Repeat("a", size)
			_, n := h.post(t, strings.NewReader(text))
			i.Equal(n, fmt.Sprint(size))
			_, n = h.post(t, io.MultiReader(strings.NewReader(text))) // in chunks
			i.Equal(n, fmt.Sprint(size))
			h.assertReturned(t)
		})
	}
	t.Run("over the limit are refused, with no memory for an announced one", func(t *testing.T) {
		h := startBodyHost(t, budgeter.New(budgeter.Options{Limit: 4 * bodyLimit}))
		c := h.begin(t, fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit+1))
		assertRefused(t, c, http.StatusRequestEntityTooLarge)
		is.New(t).Equal(h.memory.Stats().Kinds[budgeter.KindBody].Peak, int64(0))
		response, _ := h.post(t, io.MultiReader(strings.NewReader(strings.Repeat("a", bodyLimit+1))))
		is.New(t).Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
		h.assertReturned(t)
	})
	t.Run("that stop are refused", func(t *testing.T) {
		h := startBodyHost(t, budgeter.New(budgeter.Options{Limit: 4 * bodyLimit}))
		assertRefused(t, h.begin(t, "Content-Length: 10\r\n\r\n123456789"), http.StatusRequestTimeout)
		assertRefused(t, h.begin(t, "Transfer-Encoding: chunked\r\n\r\na\r\n123456789"), http.StatusRequestTimeout)
		h.assertReturned(t)
	})
}

// Many large bodies at once.
func TestBodiesWithoutRoom(t *testing.T) {
	large := strings.Repeat("a", bodyLimit)
	t.Run("are refused as not run, and small ones are served", func(t *testing.T) {
		i := is.New(t)
		memory := budgeter.New(budgeter.Options{Limit: bodyLimit + budgeter.SmallBytes, Reserved: budgeter.SmallBytes})
		h := startBodyHost(t, memory)
		other := memory.Open(budgeter.KindBody, time.Now(), nil)
		i.NoErr(other.Take(bodyLimit, time.Now()))
		assertRefused(t, h.begin(t, fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit)), http.StatusServiceUnavailable)
		response, _ := h.post(t, strings.NewReader("small"))
		i.Equal(response.StatusCode, http.StatusOK)
	})
	t.Run("wait until there is some", func(t *testing.T) {
		i := is.New(t)
		memory := budgeter.New(budgeter.Options{Limit: bodyLimit})
		h := startBodyHost(t, memory)
		other := memory.Open(budgeter.KindBody, time.Now(), nil)
		i.NoErr(other.Take(bodyLimit, time.Now()))
		stop := time.AfterFunc(memoryWait/5, other.Close)
		defer stop.Stop()
		response, _ := h.post(t, strings.NewReader(large))
		i.Equal(response.StatusCode, http.StatusOK)
		h.assertReturned(t)
	})
	t.Run("get that of one that has stopped", func(t *testing.T) {
		i := is.New(t)
		memory := budgeter.New(budgeter.Options{Limit: bodyLimit})
		h := startBodyHost(t, memory)
		stopped := false
		other := memory.Open(budgeter.KindBody, time.Now().Add(-time.Minute), func() { stopped = true })
		i.NoErr(other.Take(bodyLimit, time.Now()))
		assertRefused(t, h.begin(t, fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit)), http.StatusServiceUnavailable)
		i.True(stopped)
	})
}

// A body that has stopped is interrupted when another one needs its memory.
func TestLetGoOfBody(t *testing.T) {
	i := is.New(t)
	memory := budgeter.New(budgeter.Options{Limit: bodyLimit})
	h := startBodyHost(t, memory)
	c := h.begin(t, fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyLimit))
	for end := time.Now().Add(5 * time.Second); memory.Stats().Bytes == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	later := time.Now().Add(time.Hour)
	i.True(memory.Open(budgeter.KindBody, later, nil).Take(1, later) != nil)
	assertRefused(t, c, http.StatusServiceUnavailable)
	h.assertReturned(t)
	i.Equal(memory.Stats().Kinds[budgeter.KindBody].LetGo, uint64(1))
}

// A caller that doesn't read its large answer is let go of when another one needs the memory.
func TestSlowReader(t *testing.T) {
	i := is.New(t)
	const size = 16 << 20 // more than the sockets' buffers take
	memory := budgeter.New(budgeter.Options{Limit: size})
	delivered := make(chan error, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := &endpointResponse{body: make([]byte, size), memory: memory.Open(budgeter.KindAnswer, time.Now(), nil)}
		defer a.memory.Close()
		_ = a.memory.Take(size, time.Now()) // the test checks that it is taken
		delivered <- (&exchange{writer: w, request: r}).deliver(a)
	}))
	defer s.Close()
	c, err := net.Dial("tcp", strings.TrimPrefix(s.URL, "http://"))
	i.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: test.example\r\n\r\n")
	i.NoErr(err)
	other := memory.Open(budgeter.KindBody, time.Now(), nil)
	for end := time.Now().Add(10 * time.Second); memory.Stats().Bytes < size && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	later := time.Now().Add(time.Hour)
	i.True(other.Take(1<<20, later) != nil)
	i.True(errors.Is(<-delivered, os.ErrDeadlineExceeded))
	for end := time.Now().Add(10 * time.Second); memory.Stats().Bytes > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	i.NoErr(other.Take(1<<20, later))
}
