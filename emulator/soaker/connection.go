package soaker

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/inspector"
	"github.com/jackdawthread/jackdawthread/platform/standin"
)

const (
	dialTimeout = time.Second
	// callTimeout is the deadline that a caller states.
	callTimeout = 3 * time.Second
	// answerMargin is how long after its deadline a caller waits for an answer.
	answerMargin = 600 * time.Millisecond
	// openTimeout is how long a check for the end of a connection takes.
	openTimeout  = time.Millisecond
	promptTokens = 1000
	outputTokens = 100

	readBufferBytes = 4 << 10
)

// outcome is what a caller saw of one request.
type outcome struct {
	id   identifier.Request
	path string
	host int
	// customer is whose key the request has; a stranger's belongs to no customer.
	customer string
	stranger bool
	// padding is the number of bytes that enlarge the body.
	padding int
	// sentAt is when the last byte was sent; zero if the request was not sent
	// completely. endedAt is when the response, or the connection, ended.
	sentAt, endedAt time.Time
	// again is set if the request had been sent before, with the same ID to the same host, and
	// refused. The rest is about the last sending.
	again bool
	// reused is set if the connection had carried a request before.
	reused bool
	status int // 0 if there was no response
	// runner is the one that signed the response; "" for the host's own.
	runner string
	body   string
	// complete is set if the response was received to its end.
	complete bool
	// reset is set if the connection was reset, as by a host that closes it with
	// bytes unread.
	reset bool
	// timedOut is set if the connection was still open callTimeout +
	// answerMargin after the request.
	timedOut bool
	// broken is what is wrong with a response that breaks the rules of HTTP; nil if nothing is.
	broken error
	// surplus is the number of bytes received after the response.
	surplus int
}

// repetition returns the outcome of sending the request again.
func (o *outcome) repetition() outcome {
	return outcome{id: o.id, path: o.path, host: o.host, customer: o.customer, stranger: o.stranger, padding: o.padding, again: true}
}

// requestBody returns the body that the request is sent with.
func (o *outcome) requestBody() string {
	return "body of " + string(o.id) + strings.Repeat(".", o.padding)
}

// connection is a caller's persistent connection to a host.
type connection struct {
	raw    net.Conn
	reader *inspector.Reader
	used   bool
}

func connect(a identifier.Address) (*connection, error) {
	raw, err := net.DialTimeout("tcp", string(a), dialTimeout)
	if err != nil {
		return nil, err
	}
	return &connection{raw: raw, reader: inspector.NewReader(raw, readBufferBytes)}, nil
}

func (c *connection) close() {
	_ = c.raw.Close() // nothing is expected on it any more
}

// open reports whether the host has neither closed the connection nor sent
// anything on it. Bytes that no request asked for are left for the next exchange.
func (c *connection) open() bool {
	_ = c.raw.SetReadDeadline(time.Now().Add(openTimeout)) // fails if the connection has ended, as reads do
	_, err := c.reader.Peek(1)
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// exchange sends a request and records its response. It reports whether the
// connection can be used again. A split request is sent in two parts.
func (c *connection) exchange(o *outcome, split time.Duration) bool {
	o.reused = c.used
	c.used = true
	defer func() { o.endedAt = time.Now() }()
	if !c.send(o, split) {
		return false
	}
	_ = c.raw.SetReadDeadline(o.sentAt.Add(callTimeout + answerMargin)) // fails if the connection has ended, as reads do
	response, err := c.reader.ReadResponse(http.MethodPost)
	if err != nil {
		o.fail(err)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	o.status = response.StatusCode
	o.runner = standin.Responder(response.Header)
	read, err := io.ReadAll(response.Body)
	o.body = string(read)
	o.complete = err == nil
	o.fail(err)
	o.surplus = c.reader.Buffered()
	return o.complete && !response.Close && o.surplus == 0
}

// fail records why a response is incomplete.
func (o *outcome) fail(err error) {
	o.timedOut = errors.Is(err, os.ErrDeadlineExceeded)
	o.reset = errors.Is(err, syscall.ECONNRESET)
	if inspector.IsBroken(err) {
		o.broken = err
	}
}

func (c *connection) send(o *outcome, split time.Duration) bool {
	text := requestText(o)
	half := len(text)
	if split > 0 {
		half /= 2
	}
	if _, err := io.WriteString(c.raw, text[:half]); err != nil {
		return false
	}
	if split > 0 {
		time.Sleep(split)
		if _, err := io.WriteString(c.raw, text[half:]); err != nil {
			return false
		}
	}
	o.sentAt = time.Now()
	return true
}

func requestText(o *outcome) string {
	body := o.requestBody()
	return fmt.Sprintf("POST %s1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\nX-Token-Counts: %d,%d\r\nContent-Length: %d\r\n\r\n%s",
		o.path, standin.ConfigHost, o.id, callTimeout.Milliseconds(), standin.CustomerKey(o.customer), promptTokens, outputTokens, len(body), body)
}
