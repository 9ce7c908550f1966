package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/exchanger"
)

const (
	middleEvent = "id: 2\ndata: middle\n\n"
	finalEvent  = "id: 3\ndata: last\n\n"
	wholeStream = firstEvent + middleEvent + finalEvent
)

// framings are the ways in which an engine frames its responses.
var framings = []exchanger.Framing{exchanger.FramingConnection, exchanger.FramingLength, exchanger.FramingChunks}

// connectionEnd is how an engine ends a connection on which it has sent a response.
type connectionEnd bool

const (
	endsWithClose connectionEnd = false
	endsWithReset connectionEnd = true
)

func (e connectionEnd) String() string {
	if e == endsWithReset {
		return "reset"
	}
	return "closed"
}

// frame returns a response's header and the bytes that carry its body.
func frame(f exchanger.Framing, body string) (header, encoded string) {
	header = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	switch f {
	case exchanger.FramingLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", header, len(body)), body
	case exchanger.FramingChunks:
		for _, event := range strings.SplitAfter(body, "\n\n") {
			if event != "" {
				encoded += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
			}
		}
		encoded += lastChunk
		return header + "Transfer-Encoding: chunked\r\n\r\n", encoded
	default:
		return header + "\r\n", body
	}
}

// lastChunk ends a response that has chunks.
const lastChunk = "0\r\n\r\n"

// sendsRaw returns an engine that sends bytes as they are and ends the connection.
func sendsRaw(raw string, end connectionEnd) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(c, raw) // the host may have disconnected
		if end == endsWithReset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// resumes is an engine that sends the events of wholeStream after the last one that
// the caller received.
func resumes(w http.ResponseWriter, r *http.Request) {
	rest := wholeStream
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, rest, _ = strings.Cut(wholeStream, "id: "+last+"\n")
		_, rest, _ = strings.Cut(rest, "\n\n")
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, rest) // the host may have disconnected
}

// wholeEvents returns the part of a stream up to the end of its last whole event.
func wholeEvents(s string) string {
	end := strings.LastIndex(s, "\n\n")
	if end < 0 {
		return ""
	}
	return s[:end+len("\n\n")]
}

// received is a caller's view of a response: the body, and whether the response's
// framing says that this is all of it.
type received struct {
	status   int
	body     string
	complete bool
}

// receive sends a request and reads the response.
func receive(t *testing.T, url string) received {
	t.Helper()
	i := is.New(t)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url+"/1", nil)
	i.NoErr(err)
	r.Host = "test.example"
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return received{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return received{status: response.StatusCode, body: string(body), complete: err == nil && response.StatusCode == http.StatusOK}
}

// assertBrokenOff checks what a caller receives of a stream that was broken off after
// the given part, without another engine, and with one.
func assertBrokenOff(t *testing.T, raw, part string, end connectionEnd) {
	t.Helper()
	i := is.New(t)
	alone := receive(t, startEngines(t, zap.NewNop(), sendsRaw(raw, end)))
	i.True(!alone.complete)
	i.True(strings.HasPrefix(wholeEvents(part), alone.body)) // a reset may overtake events
	if end == endsWithClose {
		i.Equal(alone.body, wholeEvents(part))
	}
	resumed := receive(t, startEngines(t, zap.NewNop(), sendsRaw(raw, end), resumes))
	i.Equal(resumed, received{status: http.StatusOK, body: wholeStream, complete: true})
}
