package inspector

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/textproto"
)

// Reader reads responses from a connection. It isn't safe for concurrent use.
type Reader struct {
	*bufio.Reader
	source *source
}

// NewReader returns a Reader with a buffer of size bytes.
func NewReader(r io.Reader, size int) *Reader {
	s := &source{Reader: r}
	return &Reader{Reader: bufio.NewReaderSize(s, size), source: s}
}

// ReadResponse reads the head of the response to a request with a method: that of an informational
// response or of the final one. The error is an [*Error] if the head is broken, as soon as the
// broken part has arrived.
func (r *Reader) ReadResponse(method string) (*http.Response, error) {
	h := &head{}
	arrived, _ := r.Peek(r.Buffered()) // can't fail
	if err := h.check(arrived); err != nil {
		return nil, err
	}
	r.source.head = h
	defer func() { r.source.head = nil }()
	response, err := http.ReadResponse(r.Reader, &http.Request{Method: method})
	if h.err != nil { // net/http takes a line before an error for whole
		return nil, h.err
	}
	if err != nil {
		return nil, explain(h, err)
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &body{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// explain returns the error of a head that could not be read. If the whole head has arrived, what
// is wrong is the framing: net/http checks nothing else that the head doesn't.
func explain(h *head, err error) error {
	if h.place != afterHead {
		return err
	}
	return broken(PartFraming, "%v", err)
}

// source passes what is read from a connection on, and lets the current head check it.
type source struct {
	io.Reader
	head *head // nil while no head is read
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	if s.head != nil {
		if broken := s.head.check(p[:n]); broken != nil {
			return 0, broken
		}
	}
	return n, err
}

// body is a body whose trailer is checked at its end.
type body struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if broken := checkTrailer(b.response.Trailer); broken != nil {
			return n, broken
		}
	}
	if malformed, ok := errors.AsType[textproto.ProtocolError](err); ok { // the chunks are read without textproto
		return n, broken(PartTrailer, "%v", malformed)
	}
	return n, err
}
