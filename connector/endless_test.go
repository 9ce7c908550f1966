package connector_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

const (
	// endlessCalls is the number of simultaneous calls to an endless endpoint, whose deadline
	// is endlessTimeout.
	endlessCalls   = 4
	endlessTimeout = 5 * time.Second
	// maxGrowth is how much memory these may take, garbage and the endpoint included: a
	// quarter of what a host of 134 MB has.
	maxGrowth = 32 << 20
	// inflatedBytes is the size of what is sent compressed.
	inflatedBytes = 16 << 20
	// compressedMessage and plainMessage are the flags of a message in a stream.
	plainMessage, compressedMessage = 0, 1
)

// deflate returns inflatedBytes zeros, compressed.
func deflate(t *testing.T) []byte {
	t.Helper()
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	zeros := make([]byte, 1<<20)
	for range inflatedBytes / len(zeros) {
		_, err := w.Write(zeros)
		is.New(t).NoErr(err)
	}
	is.New(t).NoErr(w.Close())
	return b.Bytes()
}

// messageHead returns the head of a message in a stream.
func messageHead(flag byte, size uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{flag}, size)
}

// repeat writes without end until the caller closes.
func repeat(w io.Writer) {
	block := bytes.Repeat([]byte("x"), 32<<10)
	for {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// peakMemory returns by how much the heap grows at most while f runs.
func peakMemory(f func()) uint64 {
	inUse := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse
	}
	runtime.GC()
	before, most := inUse(), uint64(0)
	g := grouper.New(context.Background())
	g.Run(func(ctx context.Context) {
		for ctx.Err() == nil {
			most = max(most, inUse())
			time.Sleep(2 * time.Millisecond)
		}
	})
	f()
	g.Stop()
	_ = g.Wait() // its function returns no error
	return most - min(most, before)
}

// assertBounded makes calls at the same time. Each has to fail before its deadline.
func assertBounded(t *testing.T, call func(ctx context.Context) error) {
	t.Helper()
	i := is.New(t)
	began := time.Now()
	errs := make(chan error, endlessCalls)
	growth := peakMemory(func() {
		var calls sync.WaitGroup
		for range endlessCalls {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
				defer cancel()
				errs <- call(ctx)
			})
		}
		calls.Wait()
	})
	i.True(time.Since(began) < endlessTimeout/2)
	for range endlessCalls {
		err := <-errs
		i.True(err != nil)
		i.True(converter.FromEndpoint(err).Verdict != classifier.VerdictNotRun)
	}
	if growth > maxGrowth {
		t.Errorf("memory grew by %d KiB", growth>>10)
	}
}

// TestEndlessEndpoints guards against an endpoint of the own protocol that takes all memory of
// its host by sending without end, or what is large once it is inflated.
func TestEndlessEndpoints(t *testing.T) {
	zeros := deflate(t)
	unary := func(h http.Header) { h.Set("Content-Type", "application/proto") }
	stream := func(h http.Header) { h.Set("Content-Type", "application/connect+proto") }
	cases := []struct {
		name   string
		stream bool
		answer func(w http.ResponseWriter)
	}{
		{"a response", false, func(w http.ResponseWriter) { repeat(w) }},
		{"an error", false, func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"code":"unavailable","message":"`)
			repeat(w)
		}},
		{"a response that is large once inflated", false, func(w http.ResponseWriter) {
			w.Header().Set("Content-Encoding", "gzip")
			_, _ = w.Write(zeros)
		}},
		{"informational responses", false, func(w http.ResponseWriter) {
			for range 100_000 {
				w.WriteHeader(http.StatusEarlyHints)
			}
		}},
		{"a message of a stream", true, func(w http.ResponseWriter) {
			_, _ = w.Write(messageHead(plainMessage, 1<<31))
			repeat(w)
		}},
		{"a message that is large once inflated", true, func(w http.ResponseWriter) {
			w.Header().Set("Connect-Content-Encoding", "gzip")
			_, _ = w.Write(append(messageHead(compressedMessage, uint32(len(zeros))), zeros...))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if unary(w.Header()); c.stream {
					stream(w.Header())
				}
				c.answer(w)
			})
			connected, address := startEndpoint(t, "/", handler)
			if !c.stream {
				assertBounded(t, func(ctx context.Context) error {
					_, err := connected.Plain(address).Invoke(ctx, connect.NewRequest(&enginewire.InvokeRequest{}))
					return err
				})
				return
			}
			assertBounded(t, func(ctx context.Context) error { return decodeAll(ctx, connected.Engine(address)) })
		})
	}
}

// decodeAll reads a stream to its end.
func decodeAll(ctx context.Context, c enginewireconnect.EngineServiceClient) error {
	s, err := c.Decode(ctx, connect.NewRequest(&enginewire.DecodeRequest{}))
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }() // the stream has failed
	for s.Receive() {
	}
	return s.Err()
}
