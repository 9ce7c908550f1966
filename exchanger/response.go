package exchanger

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
)

const (
	// maxForeign is how many answers of other requests are skipped before an
	// exchange is given up.
	maxForeign = 2
	// maxForeignBytes bounds the body of one that is skipped.
	maxForeignBytes = 1 << 20
)

// ErrTooLarge says that an answer's body is over the reader's limit.
var ErrTooLarge = errors.New("answer's body is too large")

// Response is an endpoint's answer. Close has to be called in the end.
type Response struct {
	Status int
	Header http.Header

	exchanger  *Exchanger
	connection *connection
	ctx        context.Context
	stop       func() bool // ends the watch on ctx
	body       io.ReadCloser
	framed     bool // has a length or chunks
	reusable   bool
	ended      bool // the body was read to its end
	closed     bool
}

// readHead reads the head of the request's own answer.
func (r *Response) readHead(q *Request) error {
	for range maxForeign + 1 {
		response, err := http.ReadResponse(r.connection.reader, &http.Request{Method: q.Method})
		if err != nil {
			return fmt.Errorf("malformed answer: %w", err)
		}
		if response.StatusCode < http.StatusOK {
			continue // informational; the answer follows
		}
		if !r.foreign(q, response) {
			r.take(response)
			return nil
		}
		r.exchanger.count(func(s *Stats) { s.Foreign++ })
		if err := skip(response); err != nil {
			return err
		}
	}
	return errors.New("answers of other requests came instead")
}

// foreign tells whether an answer belongs to another request.
func (r *Response) foreign(q *Request, response *http.Response) bool {
	echoed := response.Header.Get(r.exchanger.options.IDHeader)
	return q.ID != "" && echoed != "" && echoed != q.ID
}

// skip reads an answer to its end; one without a length has none.
func skip(response *http.Response) error {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return errors.New("answer of another request has no end")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBytes))
	if err != nil {
		return err
	}
	if n == maxForeignBytes {
		return ErrTooLarge
	}
	return nil
}

func (r *Response) take(response *http.Response) {
	r.Status = response.StatusCode
	r.Header = response.Header
	r.body = response.Body
	r.framed = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	r.reusable = r.framed && !response.Close
}

// Read implements io.Reader over the body. Only io.EOF says that it is whole.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.ended = true
	}
	if err != nil && r.ctx.Err() != nil && !r.ended {
		err = context.Cause(r.ctx)
	}
	return n, err
}

// ReadAll reads the whole body of at most limit bytes. The endpoint has run
// the request by then, or may have.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "answer of endpoint at %s broke off: %w", r.connection.address, err)
	}
	if int64(len(body)) > limit {
		return nil, classifier.Ran(classifier.ReasonTooLarge, "answer of endpoint at %s: %w", r.connection.address, ErrTooLarge)
	}
	return body, nil
}

// Close gives the connection back or closes it.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	alive := r.stop()
	if alive && r.ended && r.reusable && r.connection.reader.Buffered() == 0 {
		if timeout := idleTimeout(r.Header, r.exchanger.options.IdleTimeout); timeout > 0 {
			r.exchanger.keep(r.connection, timeout)
			return
		}
	}
	if r.ended {
		r.connection.close()
		return
	}
	r.connection.abort()
}

// SetReadDeadline bounds the wait for more of the body.
func (r *Response) SetReadDeadline(t time.Time) error {
	return r.connection.raw.SetReadDeadline(t)
}
