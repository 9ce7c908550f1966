package server

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
)

const testTimeout = 100 * time.Millisecond

// startListener serves h until the test ends and returns its URL.
func startListener(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	g := grouper.New(t.Context())
	o := DefaultListenerOptions()
	o.WriteTimeout, o.BodyTimeout = testTimeout, testTimeout
	l := Listen(g, ln, h, o, zap.NewNop())
	t.Cleanup(func() {
		l.Close()
		is.New(t).NoErr(g.Wait())
	})
	return "http://" + ln.Addr().String()
}

// clients returns a client for each supported version of HTTP.
func clients() map[string]*http.Client {
	two := new(http.Protocols)
	two.SetUnencryptedHTTP2(true)
	return map[string]*http.Client{
		"HTTP/1.1": {Transport: &http.Transport{}},
		"HTTP/2":   {Transport: &http.Transport{Protocols: two}},
	}
}

func TestQuietStream(t *testing.T) {
	url := startListener(t, func(w http.ResponseWriter, _ *http.Request) {
		for range 2 {
			_, _ = io.WriteString(w, "token")
			w.(http.Flusher).Flush()
			time.Sleep(3 * testTimeout)
		}
		_, _ = io.WriteString(w, "end")
	})
	for version, c := range clients() {
		t.Run("is not interrupted over "+version, func(t *testing.T) {
			i := is.New(t)
			r, err := c.Get(url)
			i.NoErr(err)
			text, err := io.ReadAll(r.Body)
			i.NoErr(err)
			i.Equal(string(text), "tokentokenend")
		})
	}
}

func TestSlowReader(t *testing.T) {
	for version, c := range clients() {
		t.Run("is disconnected over "+version, func(t *testing.T) {
			i := is.New(t)
			failed := make(chan error, 1)
			url := startListener(t, func(w http.ResponseWriter, _ *http.Request) {
				failed <- writeUntilError(w)
			})
			r, err := c.Get(url)
			i.NoErr(err)
			defer func() { _ = r.Body.Close() }()
			select {
			case err := <-failed:
				i.True(err != nil)
			case <-time.After(10 * time.Second):
				t.Fatal("the handler is still writing to a caller that doesn't read")
			}
		})
	}
}

func writeUntilError(w http.ResponseWriter) error {
	block := bytes.Repeat([]byte("x"), 1<<20)
	for {
		if _, err := w.Write(block); err != nil {
			return err
		}
		w.(http.Flusher).Flush()
	}
}

func TestSlowSender(t *testing.T) {
	url := startListener(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})
	t.Run("is refused with the verdict not-run", func(t *testing.T) {
		i := is.New(t)
		body, stalled := io.Pipe()
		defer func() { _ = stalled.Close() }()
		r, err := clients()["HTTP/2"].Post(url, "application/json", body)
		i.NoErr(err)
		i.Equal(r.StatusCode, http.StatusRequestTimeout)
		i.Equal(r.Header.Get(HeaderVerdict), "not-run")
	})
}

func TestLargeHeader(t *testing.T) {
	url := startListener(t, func(http.ResponseWriter, *http.Request) {})
	for version, c := range clients() {
		t.Run("is refused over "+version, func(t *testing.T) {
			i := is.New(t)
			for size, accepted := range map[int]bool{maxHeaderBytes / 2: true, 2 * maxHeaderBytes: false} {
				r, err := http.NewRequest(http.MethodGet, url, nil)
				i.NoErr(err)
				r.Header.Set("Name", strings.Repeat("x", size))
				response, err := c.Do(r)
				if err == nil {
					i.NoErr(response.Body.Close())
				}
				i.Equal(err == nil && response.StatusCode == http.StatusOK, accepted)
			}
		})
	}
}
