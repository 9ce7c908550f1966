package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
)

// closeTimeout bounds the time until the connection of a broken response is closed, and
// responseTimeout that of a call.
const (
	closeTimeout    = 2 * time.Second
	responseTimeout = 2 * time.Second
)

// rawServer sends a text, as it is, in response to the first request on each connection, and
// then waits for the end of the connection.
type rawServer struct {
	*scriptedServer
	closed chan struct{}
	client *exchanger.Exchanger
}

func serveRaw(t *testing.T, text string) *rawServer {
	t.Helper()
	s := &rawServer{closed: make(chan struct{}, 1), client: newExchanger()}
	s.scriptedServer = listen(t, func(e *scriptedServer, c net.Conn, r *bufio.Reader) {
		if _, ok := e.read(r); !ok {
			return
		}
		_, _ = io.WriteString(c, text) // the end of the connection is seen below
		_, _ = io.Copy(io.Discard, r)
		s.closed <- struct{}{}
	})
	return s
}

// exchange sends a request with an ID of 1 and reads the whole response.
func (s *rawServer) exchange(method string) (*exchanger.Response, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	response, err := s.client.Send(ctx, s.address, &exchanger.Request{Method: method, Target: "/", Host: "h", ID: "1"})
	if err != nil {
		return nil, "", err
	}
	defer response.Close()
	body, err := response.ReadAll(cutBodyLimit)
	return response, string(body), err
}

// assertBroken checks that a response is refused for one of its parts, that its connection is
// closed although the server sends nothing more, and that the request may have run.
func assertBroken(t *testing.T, text, part string) {
	t.Helper()
	s := serveRaw(t, text)
	response, body, err := s.exchange(http.MethodGet)
	if err == nil {
		t.Fatalf("accepted with status %d and the body %q", response.Status, body)
	}
	i := is.New(t)
	i.Equal(classifier.Of(err).Verdict, classifier.VerdictMayHaveRun)
	i.Equal(classifier.Of(err).Reason, classifier.ReasonEndpointFailed)
	i.Equal(s.client.Stats().BrokenResponses, uint64(1))
	if !strings.Contains(err.Error(), "broken "+part) {
		t.Errorf("error doesn't name the %s: %v", part, err)
	}
	select {
	case <-s.closed:
	case <-time.After(closeTimeout):
		t.Error("connection is still open")
	}
}

// wholeTail ends a head and has the body of 4 bytes that its Content-Length states.
const wholeTail = "Call-Id: 1\r\nContent-Length: 4\r\n\r\nbody"

// TestBrokenStatusLines guards against a response that has no status, or none that ends an
// exchange, and that a caller gets as an answer, or instead of which it gets a later one.
func TestBrokenStatusLines(t *testing.T) {
	later := completeResponse("1", "later")
	for _, line := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 000", "HTTP/1.1 001 Trouble", "HTTP/1.1 099 Trouble", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK",
		"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1  OK", "HTTP/1.1", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.10 200 OK",
		"http/1.1 200 OK", "ICY 200 OK", "200 OK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200\tOK",
	} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			t.Run("with a length", func(t *testing.T) { assertBroken(t, line+"\r\n"+wholeTail, "status line") })
			t.Run("without a body, before a response", func(t *testing.T) { assertBroken(t, line+"\r\nCall-Id: 1\r\n\r\n"+later, "status line") })
			t.Run("after an informational response", func(t *testing.T) {
				assertBroken(t, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+line+"\r\n"+wholeTail, "status line")
			})
		})
	}
}

// invalidNames are no tokens.
var invalidNames = []string{
	"X A", "X-A ", "X-A\t", "", "X\x00A", "X\x01A", "X\x7fA", "X\rA", "X\xe9", "X(A)", "X/A", "X@A", "X[A]", "X{A}", `X"A`, `X\A`,
	"Content-Length ", "Transfer-Encoding ", "Content Length",
}

// TestBrokenFieldNames guards against a response with a field name that is no token, which a
// caller gets with that field, or with another body, as the field was one of the framing.
func TestBrokenFieldNames(t *testing.T) {
	for _, name := range invalidNames {
		t.Run(fmt.Sprintf("%q", name), func(t *testing.T) {
			field := name + ": 4\r\n"
			t.Run("first", func(t *testing.T) { assertBroken(t, "HTTP/1.1 200 OK\r\n"+field+wholeTail, "field name") })
			t.Run("last", func(t *testing.T) {
				assertBroken(t, "HTTP/1.1 200 OK\r\nCall-Id: 1\r\nContent-Length: 4\r\n"+field+"\r\nbody", "field name")
			})
			t.Run("without framing", func(t *testing.T) {
				assertBroken(t, "HTTP/1.1 200 OK\r\nCall-Id: 1\r\n"+field+"\r\nbody", "field name")
			})
			t.Run("in an informational response", func(t *testing.T) {
				assertBroken(t, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n"+completeResponse("1", "body"), "field name")
			})
		})
	}
	for _, line := range []string{"X-A", " X-A: folded without a field before", "X-A\r\n : name over two lines"} {
		t.Run(fmt.Sprintf("line %q", line), func(t *testing.T) {
			assertBroken(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n"+wholeTail, "field name")
		})
	}
}

// TestBrokenFieldValues guards against a response with control bytes in a field's value.
func TestBrokenFieldValues(t *testing.T) {
	for _, value := range []string{"a\x00b", "a\x01b", "a\x0bb", "a\x1bb", "a\x7fb", "a\rb", "a\r"} {
		t.Run(fmt.Sprintf("%q", value), func(t *testing.T) {
			assertBroken(t, "HTTP/1.1 200 OK\r\nX-A: "+value+"\r\n"+wholeTail, "field value")
			assertBroken(t, "HTTP/1.1 200 OK\r\nX-A: b\r\n "+value+"\r\n"+wholeTail, "field value")
		})
	}
}

// TestBrokenFraming guards against a response whose fields contradict each other about where
// its body ends, so that a caller gets another body than the endpoint's.
func TestBrokenFraming(t *testing.T) {
	chunked := "4\r\nbody\r\n0\r\n\r\n"
	for _, c := range []struct{ name, line, fields, body string }{
		{"chunks and a length", "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", chunked},
		{"a length and chunks", "HTTP/1.1 200 OK", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", chunked},
		{"folded chunks and a length", "HTTP/1.1 200 OK", "Transfer-Encoding:\r\n chunked\r\nContent-Length: 4\r\n", chunked},
		{"two lengths", "HTTP/1.1 200 OK", "Content-Length: 4\r\nContent-Length: 3\r\n", "body"},
		{"a list of lengths", "HTTP/1.1 200 OK", "Content-Length: 4, 3\r\n", "body"},
		{"a signed length", "HTTP/1.1 200 OK", "Content-Length: +4\r\n", "body"},
		{"a negative length", "HTTP/1.1 200 OK", "Content-Length: -4\r\n", "body"},
		{"an empty length", "HTTP/1.1 200 OK", "Content-Length:\r\n", "body"},
		{"a length that is no number", "HTTP/1.1 200 OK", "Content-Length: 4x\r\n", "body"},
		{"a length beyond all bounds", "HTTP/1.1 200 OK", "Content-Length: 99999999999999999999\r\n", "body"},
		{"a length that is no number, without a body", "HTTP/1.1 204 No Content", "Content-Length: 4x\r\n", ""},
		{"an unknown coding", "HTTP/1.1 200 OK", "Transfer-Encoding: zip\r\n", "body"},
		{"chunks twice", "HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunked},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n", chunked},
		{"chunks in HTTP/1.0 with a length", "HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", chunked},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertBroken(t, c.line+"\r\nCall-Id: 1\r\n"+c.fields+"\r\n"+c.body, "framing")
		})
	}
}

// TestBrokenChunks guards against a body whose chunks break the rules and that counts as whole.
func TestBrokenChunks(t *testing.T) {
	for _, body := range []string{
		"+4\r\nbody\r\n0\r\n\r\n", "-4\r\nbody\r\n0\r\n\r\n", "0x4\r\nbody\r\n0\r\n\r\n", "\r\nbody\r\n0\r\n\r\n", " 4\r\nbody\r\n0\r\n\r\n",
		"4\nbody\r\n0\r\n\r\n", "4\r\nbody0\r\n\r\n", "4\r\nbodyX\r\n0\r\n\r\n", "4\r\nbody\n0\r\n\r\n", "10000000000000004\r\nbody\r\n0\r\n\r\n", "4;a\rb\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(fmt.Sprintf("%q", body), func(t *testing.T) {
			_, read, err := serveRaw(t, "HTTP/1.1 200 OK\r\nCall-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"+body).exchange(http.MethodGet)
			if err == nil {
				t.Fatalf("accepted with the body %q", read)
			}
			is.New(t).Equal(classifier.Of(err).Verdict, classifier.VerdictMayHaveRun)
		})
	}
}

// TestBrokenTrailers guards against a response that a caller gets as whole although its
// trailer is broken.
func TestBrokenTrailers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nCall-Id: 1\r\nTransfer-Encoding: chunked\r\n"
	for _, name := range invalidNames {
		t.Run(fmt.Sprintf("%q", name), func(t *testing.T) {
			assertBroken(t, head+"\r\n4\r\nbody\r\n0\r\nX-B: 1\r\n"+name+": 4\r\n\r\n", "trailer")
			assertBroken(t, head+"Trailer: X-B\r\n\r\n4\r\nbody\r\n0\r\n"+name+": 4\r\n\r\n", "trailer")
		})
	}
	t.Run("a control byte in a value", func(t *testing.T) {
		assertBroken(t, head+"\r\n4\r\nbody\r\n0\r\nX-B: a\x00b\r\n\r\n", "trailer")
	})
	t.Run("of a response to another request", func(t *testing.T) {
		other := strings.Replace(head, "Call-Id: 1", "Call-Id: 2", 1)
		assertBroken(t, other+"\r\n4\r\nbody\r\n0\r\nX A: 4\r\n\r\n"+completeResponse("1", "body"), "trailer")
	})
}

// tokenCharacters are all characters of a token.
const tokenCharacters = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// TestOddResponses guards against refusing responses that are unusual and allowed.
func TestOddResponses(t *testing.T) {
	for _, c := range []struct {
		name, head, body string
		status           int
		field, value     string // of the response; none if empty
		method           string
	}{
		{name: "an empty reason", head: "HTTP/1.1 200 \r\nContent-Length: 4\r\n", body: "body"},
		{name: "no reason and no blank", head: "HTTP/1.1 200\r\nContent-Length: 4\r\n", body: "body"},
		{name: "several blanks before the status", head: "HTTP/1.1   200 OK\r\nContent-Length: 4\r\n", body: "body"},
		{name: "a reason of several words and other bytes", head: "HTTP/1.1 200 All\tis w\xe9ll\r\nContent-Length: 4\r\n", body: "body"},
		{name: "HTTP/1.0", head: "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n", body: "body"},
		{name: "a status without a meaning", head: "HTTP/1.1 299 Odd\r\nContent-Length: 4\r\n", body: "body", status: 299},
		{name: "the highest status", head: "HTTP/1.1 599 Odd\r\nContent-Length: 4\r\n", body: "body", status: 599},
		{name: "each character of a token", head: "HTTP/1.1 200 OK\r\n" + tokenCharacters + ": 1\r\nContent-Length: 4\r\n", body: "body", field: tokenCharacters, value: "1"},
		{name: "bytes over 0x7f in a value", head: "HTTP/1.1 200 OK\r\nX-A: \x80\xff\xc3\xa9\r\nContent-Length: 4\r\n", body: "body", field: "X-A", value: "\x80\xff\xc3\xa9"},
		{name: "an empty value", head: "HTTP/1.1 200 OK\r\nX-A:\r\nContent-Length: 4\r\n", body: "body", field: "X-A"},
		{name: "tabs and blanks around and in a value", head: "HTTP/1.1 200 OK\r\nX-A:\t a \tb \t\r\nContent-Length: 4\r\n", body: "body", field: "X-A", value: "a \tb"},
		{name: "colons in a value", head: "HTTP/1.1 200 OK\r\nX-A::b : c\r\nContent-Length: 4\r\n", body: "body", field: "X-A", value: ":b : c"},
		{name: "a folded value", head: "HTTP/1.1 200 OK\r\nX-A: a\r\n\t b\r\n c\r\nContent-Length: 4\r\n", body: "body", field: "X-A", value: "a b c"},
		{name: "one length twice", head: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n", body: "body"},
		{name: "a length with zeros before it", head: "HTTP/1.1 200 OK\r\nContent-Length: 0004\r\n", body: "body"},
		{name: "chunks in other letters", head: "HTTP/1.1 200 OK\r\ntransfer-encoding: CHUNKED\r\n", body: "4\r\nbody\r\n0\r\n\r\n"},
		{name: "chunks and a trailer", head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-B\r\n", body: "4\r\nbody\r\n0\r\n" + tokenCharacters + ": \xff\r\nX-B: 1\r\n\r\n"},
		{name: "no content with a length of 0", head: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n", status: 204},
		{name: "not modified with a length", head: "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n", status: 304},
		{name: "a length in the response to HEAD", head: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", method: http.MethodHead},
		{name: "informational responses", head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 199\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n", body: "body"},
		{name: "lines that end in LF", head: "HTTP/1.1 200 OK\nX-A: 1\nContent-Length: 4\n", body: "body", field: "X-A", value: "1"},
		{name: "fields over the size of a buffer", head: "HTTP/1.1 200 OK\r\nX-A: " + strings.Repeat("a", 9000) + "\r\nContent-Length: 4\r\n", body: "body", field: "X-A", value: strings.Repeat("a", 9000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			if c.method == "" {
				c.method = http.MethodGet
			}
			if c.status == 0 {
				c.status = http.StatusOK
			}
			response, body, err := serveRaw(t, c.head+"Call-Id: 1\r\n\r\n"+c.body).exchange(c.method)
			i.NoErr(err)
			i.Equal(response.Status, c.status)
			i.Equal(body, strings.Repeat("body", min(1, len(c.body))))
			if c.field != "" {
				i.Equal(response.Header[http.CanonicalHeaderKey(c.field)], []string{c.value})
			}
		})
	}
}
