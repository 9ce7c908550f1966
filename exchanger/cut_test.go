package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/socket"
	"github.com/jackdawthread/jackdawthread/exchanger"
)

// cutBodyLimit is more than the bodies of the responses that are cut.
const cutBodyLimit = 1 << 10

// cutResponses are responses in all framings, each with the request's ID and the same body.
var cutResponses = []struct {
	name, text, body string
	framing          exchanger.Framing
}{
	{"with a length", "HTTP/1.1 200 OK\r\nCall-Id: 1\r\nContent-Length: 11\r\n\r\nhello world", "hello world", exchanger.FramingLength},
	{"with a length before other fields", "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nCall-Id: 1\r\nA: b\r\n\r\nhello world", "hello world", exchanger.FramingLength},
	{"with lines that end in LF", "HTTP/1.1 200 OK\nCall-Id: 1\nContent-Length: 11\n\nhello world", "hello world", exchanger.FramingLength},
	{"in chunks", "HTTP/1.1 200 OK\r\nCall-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n", "hello world", exchanger.FramingChunks},
	{"in a chunk with extensions, and trailers", "HTTP/1.1 200 OK\r\nCall-Id: 1\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n00b;a=b\r\nhello world\r\n0\r\nA: b\r\n\r\n", "hello world", exchanger.FramingChunks},
	{"without framing", "HTTP/1.1 200 OK\r\nCall-Id: 1\r\n\r\nhello world", "hello world", exchanger.FramingConnection},
	{"after an informational one", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nCall-Id: 1\r\nContent-Length: 11\r\n\r\nhello world", "hello world", exchanger.FramingLength},
	{"after one to another request", completeResponse("2", "other") + completeResponse("1", "hello world"), "hello world", exchanger.FramingLength},
	{"without a body", "HTTP/1.1 204 No Content\r\nCall-Id: 1\r\n\r\n", "", exchanger.FramingLength},
}

// readCut returns the response, and its body, whose server sends a text and ends the
// connection.
func readCut(t *testing.T, text string, end func(net.Conn)) (*exchanger.Response, string, error) {
	t.Helper()
	e := listen(t, func(e *scriptedServer, c net.Conn, r *bufio.Reader) {
		if _, ok := e.read(r); !ok {
			return
		}
		_, _ = io.WriteString(c, text) // the caller sees a failure
		end(c)
	})
	x := exchanger.New(exchanger.Options{IDHeader: idHeader})
	response, err := x.Send(context.Background(), e.address, &exchanger.Request{Method: http.MethodGet, Target: "/", Host: "h", ID: "1"})
	if err != nil {
		return nil, "", err
	}
	defer response.Close()
	body, err := response.ReadAll(cutBodyLimit)
	return response, string(body), err
}

// TestCutResponses guards against an endpoint that stops in the middle of a response's head, or
// body, and closes: what arrived must not be taken for a whole response. Only a body that
// its connection ends can't be told from a shorter one.
func TestCutResponses(t *testing.T) {
	ends := map[string]func(net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"reset":  func(c net.Conn) { socket.Reset(c) },
	}
	for _, c := range cutResponses {
		t.Run(c.name+" is whole", func(t *testing.T) {
			i := is.New(t)
			response, body, err := readCut(t, c.text, ends["closed"])
			i.NoErr(err)
			i.Equal(body, c.body)
			i.Equal(response.Framing, c.framing)
		})
		for name, end := range ends {
			t.Run(c.name+", cut at each byte and "+name, func(t *testing.T) {
				headEnd := strings.Index(c.text, "\r\n\r\n")
				for cut := range len(c.text) {
					_, body, err := readCut(t, c.text[:cut], end)
					byConnection := c.framing == exchanger.FramingConnection && cut >= headEnd+len("\r\n\r\n")
					switch {
					case err == nil && !byConnection:
						t.Errorf("%d bytes are taken for a whole response with the body %q", cut, body)
					case err != nil && classifier.Of(err).Verdict == classifier.VerdictNotRun:
						t.Errorf("%d bytes are taken for a proof that the request has not run: %v", cut, err)
					}
				}
			})
		}
	}
}
