package connector

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/jackdawthread/jackdawthread/common/classifier"
)

// singleSender is a transport that sends no request again once a byte of its body may have been
// sent. net/http would do so, past all limits of attempts, if the endpoint refuses the HTTP/2 stream
// with REFUSED_STREAM or excludes it by GOAWAY. Both promise that the request has not run, so that
// it ends with the verdict not-run. This holds for connections with a resetFilter only.
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
			return nil, classifier.NotRun(classifier.ReasonEndpointRefused, 0, "endpoint refused the stream of the call")
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

// Frames of HTTP/2 have a head with their length in bytes, in lengthBytes, and then their type.
const (
	frameHeadBytes = 9
	lengthBytes    = 3
	// typeReset is RST_STREAM, whose payload is an error code.
	typeReset = 3
	// codeProtocol is PROTOCOL_ERROR, and codeInternal INTERNAL_ERROR.
	codeProtocol = 1
	codeInternal = 2
)

// resetFilter is a connection of HTTP/2 to an endpoint. It reads a stream's reset with PROTOCOL_ERROR
// as one with INTERNAL_ERROR: net/http takes the former as a refusal and sends the request again,
// though the endpoint may have run it.
type resetFilter struct {
	net.Conn
	// head is the current frame's head, of which headRead bytes were read.
	head     [frameHeadBytes]byte
	headRead int
	// left is what is missing of the frame's payload.
	left int
	// code is what was read of the error code of a reset.
	code uint32
}

// filterResets makes a dialer open connections with a resetFilter.
func filterResets(d Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetFilter{Conn: c}, nil
	}
}

// Read implements net.Conn.
func (f *resetFilter) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	for b := p[:n]; len(b) > 0; {
		b = b[f.filter(b):]
	}
	return n, err
}

// filter processes the next bytes, and returns how many of them.
func (f *resetFilter) filter(b []byte) int {
	if f.headRead < frameHeadBytes {
		return f.readHead(b)
	}
	n := min(f.left, len(b))
	if f.head[lengthBytes] == typeReset {
		f.filterCode(b[:n])
	}
	f.left -= n
	if f.left == 0 {
		f.headRead = 0
	}
	return n
}

// readHead processes bytes of a frame's head.
func (f *resetFilter) readHead(b []byte) int {
	n := copy(f.head[f.headRead:], b)
	f.headRead += n
	if f.headRead < frameHeadBytes {
		return n
	}
	f.code = 0
	f.left = int(f.head[0])<<16 | int(f.head[1])<<8 | int(f.head[2])
	if f.left == 0 {
		f.headRead = 0
	}
	return n
}

// filterCode processes bytes of a reset's error code.
func (f *resetFilter) filterCode(b []byte) {
	for i := range b {
		f.code = f.code<<8 | uint32(b[i])
		if last := f.left-i == 1; last && f.code == codeProtocol {
			b[i] = codeInternal
		}
	}
}
