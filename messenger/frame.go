package messenger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/peerwire"
)

// lengthBytes is the size of the length that comes before each frame.
const lengthBytes = 4

// readStep is how much is allocated ahead of the bytes that really come, so
// that a length alone takes no memory. A larger buffer isn't kept.
const readStep = 64 << 10

// AppendFrame appends the frame of envelope and payload to b. The payload may
// be nil. The error is that of the payload's codec, or a *SizeError for a
// frame larger than maxBytes; b is then given back as it was.
func AppendFrame(b []byte, envelope *peerwire.Envelope, payload msgp.Marshaler, maxBytes int) ([]byte, error) {
	var length [lengthBytes]byte
	start := len(b)
	framed, err := envelope.MarshalMsg(append(b, length[:]...))
	if err != nil {
		return b, err
	}
	if payload != nil {
		framed, err = payload.MarshalMsg(framed)
	}
	if err != nil {
		return b, err
	}
	size := len(framed) - start - lengthBytes
	if size > maxBytes {
		return b, &SizeError{Size: size, Limit: maxBytes}
	}
	binary.BigEndian.PutUint32(framed[start:], uint32(size))
	return framed, nil
}

// FrameReader reads frames from a stream.
type FrameReader struct {
	source   io.Reader
	maxBytes int
	length   [lengthBytes]byte
	body     []byte
}

// NewFrameReader reads frames of up to maxBytes from source.
func NewFrameReader(source io.Reader, maxBytes int) *FrameReader {
	return &FrameReader{source: source, maxBytes: maxBytes}
}

// Read fills envelope and gives the payload, which is valid until the next
// Read. The error is a *SizeError, a *MalformedError or the stream's; io.EOF
// comes only between two frames.
func (r *FrameReader) Read(envelope *peerwire.Envelope) (payload []byte, err error) {
	if _, err = io.ReadFull(r.source, r.length[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(r.length[:])
	if uint64(size) > uint64(r.maxBytes) {
		return nil, &SizeError{Size: int(size), Limit: r.maxBytes}
	}
	if err = r.readBody(int(size)); err != nil {
		return nil, err
	}
	*envelope = peerwire.Envelope{}
	if _, err = checkShape(r.body, 0); err != nil {
		return nil, &MalformedError{Cause: err}
	}
	payload, err = envelope.UnmarshalMsg(r.body)
	if err == nil && len(payload) > 0 {
		_, err = checkShape(payload, 0)
	}
	if err != nil {
		return nil, &MalformedError{Cause: err}
	}
	return payload, nil
}

func (r *FrameReader) readBody(size int) error {
	if cap(r.body) > readStep {
		r.body = nil
	}
	r.body = r.body[:0]
	for len(r.body) < size {
		have := len(r.body)
		step := min(size-have, max(have, readStep))
		r.grow(step)
		if _, err := io.ReadFull(r.source, r.body[have:]); err != nil {
			return cutShort(err)
		}
	}
	return nil
}

// grow makes the body n bytes longer.
func (r *FrameReader) grow(n int) {
	size := len(r.body) + n
	if size <= cap(r.body) {
		r.body = r.body[:size]
		return
	}
	grown := make([]byte, size)
	copy(grown, r.body)
	r.body = grown
}

func cutShort(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// SizeError says that a frame is larger than allowed.
type SizeError struct {
	// Size and Limit in bytes.
	Size, Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}

// MalformedError says that a frame can't be decoded.
type MalformedError struct {
	Cause error
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed frame: %v", e.Cause)
}

// Unwrap gives the codec's error.
func (e *MalformedError) Unwrap() error {
	return e.Cause
}
