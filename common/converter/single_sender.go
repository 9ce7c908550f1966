package converter

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// ErrSentBefore is the error of a call that the transport would have sent again though an
// endpoint may have received it.
var ErrSentBefore = errors.New("stream or connection was reset after the call was sent")

// singleSender is a transport that sends no request again once a byte of its body may have been
// sent. net/http resends a request by itself if its HTTP/2 stream was reset with REFUSED_STREAM or
// PROTOCOL_ERROR, or if the endpoint announced that it won't process it. Only the first and the
// last promise that the request has not run, and the transport's error doesn't tell which it was.
type singleSender struct {
	transport http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (s singleSender) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.GetBody == nil || r.Body == nil || r.Body == http.NoBody {
		return s.transport.RoundTrip(r)
	}
	sent := new(atomic.Bool)
	guarded := r.WithContext(r.Context())
	guarded.Body = &watchedBody{ReadCloser: r.Body, read: sent}
	guarded.GetBody = func() (io.ReadCloser, error) {
		if sent.Load() {
			return nil, ErrSentBefore
		}
		b, err := r.GetBody()
		if err != nil {
			return nil, err
		}
		return &watchedBody{ReadCloser: b, read: sent}, nil
	}
	return s.transport.RoundTrip(guarded)
}

// watchedBody is a body that records whether it has been read.
type watchedBody struct {
	io.ReadCloser
	read *atomic.Bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	b.read.Store(true)
	return b.ReadCloser.Read(p)
}
