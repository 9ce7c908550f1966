package messenger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/peerwire"
)

// lengthPrefixBytes is the size of the length prefix of each frame.
const lengthPrefixBytes = 4

// readChunkBytes limits how far allocation runs ahead of the bytes received, so
// that a peer cannot exhaust memory by sending only a length prefix. Larger
// buffers are not reused.
const readChunkBytes = 64 << 10

// AppendFrame appends a frame with the envelope and payload to b. The payload
// may be nil. It returns the codec's error, or a *SizeError if the frame is
// larger than maxBytes; on error, b is returned unchanged.
func AppendFrame(b []byte, envelope *peerwire.Envelope, payload msgp.Marshaler, maxBytes int) ([]byte, error) {
	var length [lengthPrefixBytes]byte
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
	size := len(framed) - start - lengthPrefixBytes
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
	length   [lengthPrefixBytes]byte
	body     []byte
}

// NewFrameReader returns a reader of frames of up to maxBytes from source.
func NewFrameReader(source io.Reader, maxBytes int) *FrameReader {
	return &FrameReader{source: source, maxBytes: maxBytes}
}

// Read decodes the next frame into envelope and returns its payload, which is
// valid until the next Read. The error is a *SizeError, a *MalformedError or an
// error of the source. io.EOF is returned only at a frame boundary.
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
	if _, err = validateValue(r.body, 0); err != nil {
		return nil, &MalformedError{Cause: err}
	}
	payload, err = envelope.UnmarshalMsg(r.body)
	if err == nil && len(payload) > 0 {
		_, err = validateValue(payload, 0)
	}
	if err != nil {
		return nil, &MalformedError{Cause: err}
	}
	return payload, nil
}

func (r *FrameReader) readBody(size int) error {
	if cap(r.body) > readChunkBytes {
		r.body = nil
	}
	r.body = r.body[:0]
	for len(r.body) < size {
		have := len(r.body)
		chunk := min(size-have, max(have, readChunkBytes))
		r.grow(chunk)
		if _, err := io.ReadFull(r.source, r.body[have:]); err != nil {
			return toUnexpectedEOF(err)
		}
	}
	return nil
}

// grow extends the body by n bytes.
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

func toUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// SizeError reports a frame that exceeds the size limit.
type SizeError struct {
	// Size and Limit are in bytes.
	Size, Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}

// MalformedError reports a frame that cannot be decoded.
type MalformedError struct {
	Cause error
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed frame: %v", e.Cause)
}

// Unwrap returns the decoding error.
func (e *MalformedError) Unwrap() error {
	return e.Cause
}
