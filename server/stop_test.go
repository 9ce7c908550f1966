package server

import (
	"bufio"
	"context"
	"fmt"
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
