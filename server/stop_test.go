package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
)

// stopTimeout bounds a planned stop in tests.
const stopTimeout = 5 * time.Second

// TestStop guards against the failure LOST of issue 22 on the callers' own protocol: a
// stopping host read requests and dropped them.
func TestStop(t *testing.T) {
	// start returns a listener and the function that stops it in the background.
	start := func(t *testing.T) (i *is.I, address string, stop func() <-chan error) {
		t.Helper()
		i = is.New(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		i.NoErr(err)
		g := grouper.New(t.Context())
		l := Listen(g, ln, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNoContent)
		}), DefaultListenerOptions(), zap.NewNop())
		t.Cleanup(func() {
			l.Close()
			i.NoErr(g.Wait())
		})
		return i, ln.Addr().String(), func() <-chan error {
			stopped := make(chan error, 1)
			g.Run(func(context.Context) {
				ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
				defer cancel()
				stopped <- l.Stop(ctx)
			})
			return stopped
		}
	}
	t.Run("answers a request on a connection that was accepted before", func(t *testing.T) {
		i, address, stop := start(t)
		c, err := net.Dial("tcp", address)
		i.NoErr(err)
		defer func() { _ = c.Close() }()
		i.NoErr(c.SetDeadline(time.Now().Add(stopTimeout)))
		time.Sleep(testTimeout)
		stopped := stop()
		time.Sleep(testTimeout)
		_, err = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: test.example\r\n\r\n")
		i.NoErr(err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		i.NoErr(err)
		i.NoErr(response.Body.Close())
		i.Equal(response.StatusCode, http.StatusNoContent)
		i.True(response.Close)
		i.NoErr(<-stopped)
	})
	for version, c := range clients() {
		t.Run("ends while idle connections are kept over "+version, func(t *testing.T) {
			i, address, stop := start(t)
			defer c.CloseIdleConnections()
			response, err := c.Get("http://" + address)
			i.NoErr(err)
			i.NoErr(response.Body.Close())
			i.NoErr(<-stop())
		})
	}
}

// TestStopLimit guards against the failure LOST that the end of a planned stop cuts off
// requests of the callers' own protocol without an answer.
func TestStopLimit(t *testing.T) {
	// stopDuring starts a listener, sends a request by post, and stops the listener with too
	// little time once the handler has the request. It returns the response.
	stopDuring := func(t *testing.T, h func(w http.ResponseWriter, r *http.Request) error, post func(url string) (*http.Response, error)) *http.Response {
		t.Helper()
		i := is.New(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		i.NoErr(err)
		g := grouper.New(t.Context())
		began := make(chan struct{})
		l := Listen(g, ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(began)
			if err := h(w, r); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			}
		}), DefaultListenerOptions(), zap.NewNop())
		g.Run(func(context.Context) {
			<-began
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			i.True(l.Stop(ctx) != nil)
		})
		response, err := post("http://" + ln.Addr().String())
		i.NoErr(err)
		t.Cleanup(func() {
			i.NoErr(response.Body.Close())
			i.NoErr(g.Wait())
		})
		return response
	}
	for version, c := range clients() {
		t.Run("answers a request that still runs over "+version, func(t *testing.T) {
			i := is.New(t)
			response := stopDuring(t, func(_ http.ResponseWriter, r *http.Request) error {
				<-r.Context().Done()
				return context.Cause(r.Context())
			}, c.Get)
			i.Equal(response.StatusCode, http.StatusServiceUnavailable)
			text, err := io.ReadAll(response.Body)
			i.NoErr(err)
			i.Equal(string(text), errStopped.Error()+"\n")
		})
		t.Run("answers a request whose body is still arriving over "+version, func(t *testing.T) {
			i := is.New(t)
			body, stalled := io.Pipe()
			defer func() { _ = stalled.Close() }()
			response := stopDuring(t, func(_ http.ResponseWriter, r *http.Request) error {
				_, err := io.ReadAll(r.Body)
				return err
			}, func(url string) (*http.Response, error) { return c.Post(url, "application/json", body) })
			i.Equal(response.StatusCode, http.StatusServiceUnavailable)
			i.Equal(response.Header.Get(HeaderVerdict), "not-run")
		})
	}
}
