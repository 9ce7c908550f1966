package connector

import (
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"strings"
)

// ErrTooLarge indicates that a response, or a message of a stream, exceeds its limit.
var ErrTooLarge = errors.New("message is too large")

const (
	// streamTypePrefix begins the content types of streams in the Connect protocol.
	streamTypePrefix = "application/connect+"
	// messageHeadBytes is the size of the head of each message in a stream: a byte of flags and
	// the message's size.
	messageHeadBytes = 5
	// compressionBytes is how much larger than its content a compressed response may be.
	compressionBytes = 64 << 10
)

// boundedTransport ends the bodies of responses that exceed the limit of a message. Connect
// refuses those too, but only after it has read them to their end.
type boundedTransport struct {
	http.RoundTripper
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t *boundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	b := &boundedBody{ReadCloser: response.Body, left: t.maxBytes + compressionBytes, maxBytes: t.maxBytes}
	if strings.HasPrefix(response.Header.Get("Content-Type"), streamTypePrefix) {
		b.isStream, b.left = true, 0
	}
	response.Body = b
	return response, nil
}

// boundedBody is a body that fails after the limit of a message.
type boundedBody struct {
	io.ReadCloser
	maxBytes int64
	// left is what remains of the message, or of the limit if the body isn't a stream.
	left     int64
	isStream bool
	head     []byte // of the next message in a stream, as far as it was read
	err      error
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if b.isStream {
		b.followMessages(p[:n])
	} else if b.left -= int64(n); b.left < 0 {
		b.err = ErrTooLarge
	}
	return n, err
}

// followMessages finds the sizes of the messages that begin in a part of a stream.
func (b *boundedBody) followMessages(part []byte) {
	for len(part) > 0 && b.err == nil {
		skipped := min(b.left, int64(len(part)))
		b.left -= skipped
		part = part[skipped:]
		taken := min(messageHeadBytes-len(b.head), len(part))
		b.head = append(b.head, part[:taken]...)
		part = part[taken:]
		if len(b.head) < messageHeadBytes {
			continue
		}
		b.left = int64(binary.BigEndian.Uint32(b.head[1:]))
		b.head = b.head[:0]
		if b.left > b.maxBytes {
			b.err = ErrTooLarge
		}
	}
}
