package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/socket"
	"github.com/jackdawthread/jackdawthread/exchanger"
)

const (
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes = 6 << 20
	// earlyRuns is how often a response arrives before its upload is written.
	earlyRuns = 10
	// unreadPause lets the client write until the buffers are full, and receive the response.
	unreadPause = 20 * time.Millisecond
)

// respondEarly sends a text once the head of an upload has arrived, of whose body it reads
// nothing, and ends the connection.
func respondEarly(t *testing.T, text string, end func(net.Conn)) *scriptedServer {
	t.Helper()
	return listen(t, func(_ *scriptedServer, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, text) // the caller sees a failure
		time.Sleep(unreadPause)
		end(c)
	})
}

// upload sends a request with a large body and reads the whole response.
func upload(t *testing.T, e *scriptedServer) (*exchanger.Response, string, error) {
	t.Helper()
	q := request("1")
	q.Body = make([]byte, uploadBytes)
	response, err := newExchanger().Send(context.Background(), e.address, q)
	if err != nil {
		return nil, "", err
	}
	defer response.Close()
	body, err := response.ReadAll(cutBodyLimit)
	return response, string(body), err
}

// TestEarlyResponses guards against a response that only its connection ends, and that is broken
// off while the upload is still being written: a part of it must not be taken for the whole.
func TestEarlyResponses(t *testing.T) {
	ends := map[string]func(net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"reset":  func(c net.Conn) { socket.Reset(c) },
	}
	for name, end := range ends {
		t.Run("without framing, "+name, func(t *testing.T) {
			e := respondEarly(t, "HTTP/1.1 200 OK\r\nCall-Id: 1\r\n\r\npart of the b", end)
			for range earlyRuns {
				response, body, err := upload(t, e)
				if err == nil {
					t.Fatalf("taken for a whole response with status %d and the body %q", response.Status, body)
				}
				is.New(t).Equal(classifier.Of(err).Verdict, classifier.VerdictMayHaveRun)
			}
		})
		for framing, tail := range map[string]string{
			"a length": "Content-Length: 4\r\n\r\nbody",
			"chunks":   "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		} {
			for _, line := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 Service Unavailable\r\n"} {
				t.Run(line+"with "+framing+" is whole, "+name, func(t *testing.T) {
					i := is.New(t)
					response, body, err := upload(t, respondEarly(t, line+"Call-Id: 1\r\n"+tail, end))
					i.NoErr(err)
					i.Equal(body, "body")
					i.True(strings.Contains(line, http.StatusText(response.Status)))
				})
			}
		}
	}
	t.Run("without framing, after the upload was read, is whole", func(t *testing.T) {
		i := is.New(t)
		e := listen(t, func(e *scriptedServer, c net.Conn, r *bufio.Reader) {
			if id, ok := e.read(r); ok {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nCall-Id: "+id+"\r\n\r\nbody") // the caller sees a failure
			}
		})
		response, body, err := upload(t, e)
		i.NoErr(err)
		i.Equal(response.Framing, exchanger.FramingConnection)
		i.Equal(body, "body")
	})
}
