package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/exchanger"
)

// A stream whose response had neither a length nor chunks, and whose connection ended
// inside an event, reached its caller as complete.
func TestStreamsThatEndInsideAnEvent(t *testing.T) {
	header, _ := frame(exchanger.FramingConnection, wholeStream)
	for cut := range len(wholeStream) {
		part := wholeStream[:cut]
		if cut > 0 && wholeEvents(part) == part {
			continue // the same as a complete stream
		}
		t.Run(fmt.Sprintf("after %d bytes", cut), func(t *testing.T) {
			assertBrokenOff(t, header+part, part, endsWithClose)
		})
	}
}

// The same cuts for streams whose lines end in CRLF or CR.
func TestLineEndsOfBrokenOffStreams(t *testing.T) {
	for name, end := range map[string]string{"CRLF": "\r\n", "CR": "\r"} {
		header, _ := frame(exchanger.FramingConnection, "")
		stream := strings.ReplaceAll(firstEvent+middleEvent, "\n", end)
		first := strings.ReplaceAll(firstEvent, "\n", end)
		for cut := len(first) + 1; cut <= len(stream); cut++ {
			t.Run(fmt.Sprintf("%s, after %d bytes", name, cut), func(t *testing.T) {
				got := receive(t, startEngines(t, zap.NewNop(), sendsRaw(header+stream[:cut], endsWithClose)))
				if cut == len(stream) {
					is.New(t).Equal(got, received{status: http.StatusOK, body: stream, complete: true})
					return
				}
				is.New(t).Equal(got, received{status: http.StatusOK, body: first})
			})
		}
	}
}

// A stream whose last event had no ID was resumed after the last event that had one, so
// that its caller got events twice.
func TestBrokenOffStreamsWithoutIDs(t *testing.T) {
	header, _ := frame(exchanger.FramingConnection, "")
	const event = "data: unnumbered\n\n"
	for name, sent := range map[string]string{
		"no event has an id":       event,
		"the last event has no id": firstEvent + event,
	} {
		t.Run(name, func(t *testing.T) {
			got := receive(t, startEngines(t, zap.NewNop(), sendsRaw(header+sent+"da", endsWithClose), resumes))
			is.New(t).Equal(got, received{status: http.StatusOK, body: sent})
		})
		t.Run(name+", and the engine is silent before its end", func(t *testing.T) {
			t.Parallel()
			url := startEngines(t, zap.NewNop(), sends(silence, sent, "da"), resumes)
			got := receive(t, url)
			is.New(t).Equal(got, received{status: http.StatusOK, body: sent})
		})
	}
	t.Run("a comment needs no id", func(t *testing.T) {
		got := receive(t, startEngines(t, zap.NewNop(), sendsRaw(header+firstEvent+": ping\n\nda", endsWithClose), resumes))
		is.New(t).Equal(got, received{status: http.StatusOK, body: firstEvent + ": ping\n\n" + middleEvent + finalEvent, complete: true})
	})
}

// Streams whose end their framing or a reset shows to be missing must not look complete.
func TestBrokenOffStreams(t *testing.T) {
	for _, f := range framings {
		header, encoded := frame(f, wholeStream)
		for _, end := range []connectionEnd{endsWithClose, endsWithReset} {
			if f == exchanger.FramingConnection && end == endsWithClose {
				continue // TestStreamsThatEndInsideAnEvent
			}
			for cut := 0; cut < len(encoded); cut += 3 {
				part := decoded(f, encoded[:cut])
				t.Run(fmt.Sprintf("%v, %v after %d bytes", f, end, cut), func(t *testing.T) {
					assertBrokenOff(t, header+encoded[:cut], part, end)
				})
			}
		}
	}
}

// decoded returns the body in the beginning of an encoded body.
func decoded(f exchanger.Framing, encoded string) string {
	if f != exchanger.FramingChunks {
		return encoded
	}
	body, _ := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(encoded)))
	return string(body)
}

// receiveWithoutChunks is receive for a caller of HTTP/1.0, which knows no chunks.
func receiveWithoutChunks(t *testing.T, url string) received {
	t.Helper()
	i := is.New(t)
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	i.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /1 HTTP/1.0\r\nHost: test.example\r\n\r\n")
	i.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return received{}
	}
	body, err := io.ReadAll(response.Body)
	return received{status: response.StatusCode, body: string(body), complete: err == nil && response.StatusCode == http.StatusOK}
}

// The end of its connection is all that shows a caller of HTTP/1.0 the end of a stream.
// It was closed without a reset after an interrupted one.
func TestBrokenOffStreamsOfCallersWithoutChunks(t *testing.T) {
	for _, f := range framings {
		header, encoded := frame(f, wholeStream)
		t.Run("whole, "+f.String(), func(t *testing.T) {
			got := receiveWithoutChunks(t, startEngines(t, zap.NewNop(), sendsRaw(header+encoded, endsWithClose)))
			is.New(t).Equal(got, received{status: http.StatusOK, body: wholeStream, complete: true})
		})
		for cut := 1; cut < len(firstEvent+middleEvent); cut++ {
			if wholeEvents(encoded[:cut]) == encoded[:cut] {
				continue // looks like a complete stream without chunks and a length
			}
			t.Run(fmt.Sprintf("%v, after %d bytes", f, cut), func(t *testing.T) {
				got := receiveWithoutChunks(t, startEngines(t, zap.NewNop(), sendsRaw(header+encoded[:cut], endsWithClose)))
				is.New(t).True(!got.complete)
			})
		}
	}
}

// A response that is no event stream has no events that could be incomplete.
func TestResponsesWithoutEvents(t *testing.T) {
	for _, f := range framings {
		t.Run(f.String(), func(t *testing.T) {
			const body = "no events: 3 left"
			header, encoded := frame(f, body)
			header = strings.Replace(header, "text/event-stream", "text/plain; charset=utf-8", 1)
			got := receive(t, startEngines(t, zap.NewNop(), sendsRaw(header+encoded, endsWithClose)))
			is.New(t).Equal(got, received{status: http.StatusOK, body: body, complete: true})
		})
	}
	t.Run("a complete stream of no events", func(t *testing.T) {
		header, encoded := frame(exchanger.FramingLength, "")
		got := receive(t, startEngines(t, zap.NewNop(), sendsRaw(header+encoded, endsWithClose)))
		is.New(t).Equal(got, received{status: http.StatusOK, complete: true})
	})
}

// An engine's event without end is given up at its size, and the caller doesn't wait for
// its deadline.
func TestEventsWithoutEnd(t *testing.T) {
	for name, piece := range map[string]string{"one line": "x", "many lines": "data: x\n", "a line that ends in CR": "data: x\r"} {
		for _, f := range []exchanger.Framing{exchanger.FramingConnection, exchanger.FramingChunks} {
			t.Run(fmt.Sprintf("%s, %v", name, f), func(t *testing.T) {
				i := is.New(t)
				var sent atomic.Int64
				got := receive(t, startEngines(t, zap.NewNop(), sendsWithoutEnd(f, firstEvent+"data: ", piece, &sent)))
				i.Equal(got, received{status: http.StatusOK, body: firstEvent})
				resumed := receive(t, startEngines(t, zap.NewNop(), sendsWithoutEnd(f, firstEvent+"data: ", piece, &sent), resumes))
				i.Equal(resumed, received{status: http.StatusOK, body: wholeStream, complete: true})
				i.True(sent.Load() < endlessBytes)
			})
		}
	}
}

// endlessBytes is what an engine of sendsWithoutEnd would send until a deadline.
const endlessBytes = 256 << 20

// sendsWithoutEnd returns an engine that repeats a piece of text until the host closes the
// connection, at most for endlessBytes.
func sendsWithoutEnd(f exchanger.Framing, beginning, piece string, sent *atomic.Int64) http.HandlerFunc {
	block := strings.Repeat(piece, (32<<10)/len(piece))
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = c.Close() }()
		header, encoded := frame(f, beginning)
		_, err = io.WriteString(c, header+strings.TrimSuffix(encoded, lastChunk))
		for n := 0; err == nil && n < endlessBytes; n += len(block) {
			sent.Add(int64(len(block)))
			if f == exchanger.FramingChunks {
				_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(block), block)
				continue
			}
			_, err = io.WriteString(c, block)
		}
	}
}

// A response that is no event stream has as complete, however they are framed.
func TestWholeStreams(t *testing.T) {
	for _, f := range framings {
		t.Run(f.String(), func(t *testing.T) {
			header, encoded := frame(f, wholeStream)
			got := receive(t, startEngines(t, zap.NewNop(), sendsRaw(header+encoded, endsWithClose)))
			is.New(t).Equal(got, received{status: http.StatusOK, body: wholeStream, complete: true})
		})
	}
}
