package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/inspector"
)

const (
	// maxMismatchedResponses is the number of responses to other requests
	// that are discarded before the request fails.
	maxMismatchedResponses = 8
	// maxMismatchedBytes limits the body size of a discarded response.
	maxMismatchedBytes = 64 << 10
)

// ErrTooLarge indicates that a response body exceeds the limit.
var ErrTooLarge = errors.New("response body is too large")

// errUnknownEnd indicates a response to another request that may be one to HEAD, which has no
// body, or may have a body.
var errUnknownEnd = errors.New("response to another request may have a body or none")

// Framing is how the end of a response's body is known.
type Framing uint8

const (
	// FramingConnection means that the body ends with its connection. An end without
	// an error doesn't show that the body is whole.
	FramingConnection Framing = iota
	// FramingLength means that the length was stated, or that there is no body.
	FramingLength
	// FramingChunks means that the body has chunks, the last of which is marked.
	FramingChunks
)

// String returns the framing's name in logs.
func (f Framing) String() string {
	switch f {
	case FramingLength:
		return "length"
	case FramingChunks:
		return "chunks"
	default:
		return "connection"
	}
}

func framingOf(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramingChunks
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return FramingLength
	default:
		return FramingConnection
	}
}

// Response is an endpoint's response. The caller must call Close.
type Response struct {
	Status  int
	Header  http.Header
	Framing Framing
	// Attribution is what relates the response to its request.
	Attribution Attribution
	// OnProgress is called by ReadAll whenever a part of the body has arrived; nil for no calls.
	OnProgress func()

	exchanger  *Exchanger
	connection *connection
	ctx        context.Context
	stopWatch  func() bool // stops watching ctx
	body       io.ReadCloser
	reusable   bool
	buffer     *buffer // of the body, if ReadAll has read it
	readToEnd  bool
	closed     bool
}

// readHead reads the status line and headers of the response to q. It skips
// responses to other requests.
func (r *Response) readHead(q *Request) error {
	for range maxMismatchedResponses + 1 {
		response, err := r.readFinalHead(q)
		if err != nil {
			return fmt.Errorf("failed to read response: %w", err)
		}
		if !r.mismatched(q, response) {
			r.accept(q, response)
			return nil
		}
		r.Attribution.Discarded++
		r.exchanger.updateStats(func(s *Stats) { s.MismatchedResponses++ })
		if r.connection.carriedHead {
			return errUnknownEnd
		}
		if err := discardBody(response); err != nil {
			return err
		}
	}
	return fmt.Errorf("no matching response among the first %d", maxMismatchedResponses+1)
}

// readFinalHead reads a status line and headers, after informational responses.
func (r *Response) readFinalHead(q *Request) (*http.Response, error) {
	c := r.connection
	c.limit.left = maxHeadBytes
	defer func() { c.limit.left = unlimited }()
	for range maxInformational + 1 {
		response, err := c.reader.ReadResponse(q.Method)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, fmt.Errorf("%w: more than %d informational responses", ErrHeadTooLarge, maxInformational)
}

// mismatched reports whether the response carries the ID of another request. That of a request
// without an ID may name one that no earlier request had.
func (r *Response) mismatched(q *Request, response *http.Response) bool {
	echoed := r.echoedIDs(response)
	if q.ID == "" {
		return slices.ContainsFunc(echoed, func(id string) bool { return r.connection.ids.has(hashID(id)) })
	}
	return len(echoed) > 0 && !slices.Contains(echoed, q.ID)
}

// names reports whether the response carries the ID of the request, and no other.
func (r *Response) names(q *Request, response *http.Response) bool {
	echoed := r.echoedIDs(response)
	return len(echoed) > 0 && !slices.ContainsFunc(echoed, func(id string) bool { return id != q.ID })
}

// echoedIDs returns the IDs that the response carries.
func (r *Response) echoedIDs(response *http.Response) []string {
	values := response.Header.Values(r.exchanger.options.IDHeader)
	return slices.DeleteFunc(slices.Clone(values), func(id string) bool { return id == "" })
}

// discardBody reads the body to its end. It fails if the body is delimited
// only by the end of the connection, since no further response can follow.
func discardBody(response *http.Response) error {
	if framingOf(response) == FramingConnection {
		return errors.New("response to another request has neither a length nor chunks")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBytes))
	if err != nil {
		return err
	}
	if n == maxMismatchedBytes {
		return fmt.Errorf("response to another request: %w", ErrTooLarge)
	}
	return nil
}

func (r *Response) accept(q *Request, response *http.Response) {
	r.Attribution.Named = r.names(q, response)
	if q.ID != "" && !r.Attribution.Certain() {
		r.exchanger.updateStats(func(s *Stats) { s.UnnamedResponses++ })
	}
	r.Status = response.StatusCode
	r.Header = response.Header
	r.body = response.Body
	r.Framing = framingOf(response)
	r.reusable = r.Framing != FramingConnection && !response.Close && r.mayCarryMore()
}

// mayCarryMore reports whether the connection may carry further requests after this one.
func (r *Response) mayCarryMore() bool {
	switch {
	case r.Attribution.Discarded > 0:
		r.exchanger.updateStats(func(s *Stats) { s.DoubtfulConnections++ })
		return false
	case r.connection.requests >= maxRequests:
		r.exchanger.updateStats(func(s *Stats) { s.RetiredConnections++ })
		return false
	default:
		return true
	}
}

// errEndAfterFailure indicates that a body that only its connection ends has ended after a failure
// of the connection.
var errEndAfterFailure = errors.New("connection ended after a failure")

// Read implements io.Reader for the body. Only io.EOF indicates that the body
// is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	switch failure := r.connection.failure; {
	case inspector.IsBroken(err):
		r.exchanger.countInvalid(err)
	case !errors.Is(err, io.EOF):
		r.connection.recordFailure(err)
	case r.Framing == FramingConnection && failure != nil:
		err = fmt.Errorf("%w: %w", errEndAfterFailure, failure)
	default:
		r.readToEnd = true
	}
	if err != nil && r.ctx.Err() != nil && !r.readToEnd {
		err = context.Cause(r.ctx)
	}
	return n, err
}

// ReadAll reads the whole body, up to limit bytes. Its memory counts as used until
// Close. The verdict of its errors is never not-run.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	a := r.connection.address
	r.buffer = &buffer{account: r.exchanger.buffers, address: a, free: freeBufferBytes}
	body, err := r.fill(r.buffer, limit)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, ErrBuffersFull):
		return nil, classifier.MayHaveRun(classifier.ReasonQueueFull, 0, "response from endpoint at %s: %w", a, err)
	case errors.Is(err, ErrTooLarge):
		r.exchanger.countInvalid(err)
		return nil, classifier.Ran(classifier.ReasonTooLarge, "response from endpoint at %s: %w", a, err)
	default:
		return nil, classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "response from endpoint at %s was interrupted: %w", a, err)
	}
}

// GrowBuffer returns a larger buffer, of at most limit bytes, with the content of b, which is
// nil or was returned before. It is for a caller that reads the body in parts and keeps one of them:
// the buffer's memory counts as used until Close, as that of ReadAll does. The errors are
// ErrTooLarge and ErrBuffersFull.
func (r *Response) GrowBuffer(b []byte, limit int64) ([]byte, error) {
	if r.buffer == nil {
		r.buffer = &buffer{account: r.exchanger.buffers, address: r.connection.address, free: freePartBytes}
	}
	r.buffer.bytes = b
	if err := r.buffer.grow(limit); err != nil {
		r.exchanger.countInvalid(err)
		return nil, err
	}
	return r.buffer.bytes, nil
}

// fill reads the body into a buffer and returns it.
func (r *Response) fill(b *buffer, limit int64) ([]byte, error) {
	for {
		if len(b.bytes) == cap(b.bytes) {
			if err := b.grow(limit + 1); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		if n > 0 && r.OnProgress != nil {
			r.OnProgress()
		}
		switch {
		case int64(len(b.bytes)) > limit:
			return nil, fmt.Errorf("over %d bytes: %w", limit, ErrTooLarge)
		case errors.Is(err, io.EOF):
			return b.bytes, nil
		case err != nil:
			return nil, err
		}
	}
}

// Close returns the connection to the pool if it can be reused, and closes it
// otherwise.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if r.buffer != nil {
		r.buffer.release()
	}
	alive := r.stopWatch()
	if alive && r.readToEnd && r.reusable && r.connection.reader.Buffered() == 0 {
		if timeout := idleTimeout(r.Header, r.exchanger.options.IdleTimeout); timeout > 0 {
			r.exchanger.putIdle(r.connection, timeout)
			return
		}
	}
	if r.readToEnd {
		r.connection.close()
		return
	}
	r.connection.abort()
}

// Discard closes the connection, on which the actual response may still follow.
func (r *Response) Discard() {
	r.reusable = false
	r.Close()
}

// SetReadDeadline sets the deadline for reading the body.
func (r *Response) SetReadDeadline(t time.Time) error {
	return r.connection.conn.SetReadDeadline(t)
}
