package exchanger

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/inspector"
	"github.com/jackdawthread/jackdawthread/common/socket"
)

// connection is a connection to an endpoint with its read buffer and reuse
// state.
type connection struct {
	number       uint64
	address      identifier.Address
	conn         net.Conn
	limit        *limitedReader // from which reader reads
	reader       *inspector.Reader
	requests     int   // requests that it has carried, the current one included
	ids          idSet // of these requests
	carriedHead  bool  // whether the method of one of them was HEAD
	handles      idSet // what its responses have handed out
	bytesWritten int   // bytes of the current request
	// failure is what has failed on the connection, in either direction; nil if nothing has. The
	// socket reports a reset only once, as an end afterwards.
	failure     error
	idleSince   time.Time
	usableUntil time.Time
}

func (c *connection) close() {
	_ = c.conn.Close() // a close error doesn't affect the response already read
}

// abort resets a connection that has a request in flight. Without the reset,
// bytes buffered during a network outage would still be delivered to the
// endpoint after the request was abandoned.
func (c *connection) abort() {
	socket.Reset(c.conn)
}

// maxCopiedBytes is the size of the largest body that is sent in one piece with the head.
const maxCopiedBytes = 4 << 10

// write sends the request headers and body in one write. A large body isn't copied.
func (c *connection) write(r *Request) error {
	err := c.writeParts(r)
	c.recordFailure(err)
	return err
}

// recordFailure records an error of the connection. One by which a deadline has passed ends
// nothing.
func (c *connection) recordFailure(err error) {
	if c.failure == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failure = err
	}
}

func (c *connection) writeParts(r *Request) error {
	c.requests++
	c.ids.add(hashID(r.ID))
	c.carriedHead = c.carriedHead || r.Method == http.MethodHead
	if len(r.Body) <= maxCopiedBytes {
		head := appendHead(make([]byte, 0, typicalHeadBytes+len(r.Body)), r)
		n, err := c.conn.Write(append(head, r.Body...))
		c.bytesWritten = n
		return err
	}
	parts := net.Buffers{appendHead(make([]byte, 0, typicalHeadBytes), r), r.Body}
	n, err := parts.WriteTo(c.conn)
	c.bytesWritten = int(n)
	return err
}

func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || requiresContentLength(r.Method) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// requiresContentLength reports whether requests with the method carry a
// Content-Length header even if the body is empty.
func requiresContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// idleTimeout returns how long the connection may stay idle, from the
// endpoint's Keep-Alive header and at most limit.
func idleTimeout(h http.Header, limit time.Duration) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			return 0
		}
		return max(0, min(limit, time.Duration(seconds)*time.Second-keepAliveMargin))
	}
	return limit
}
