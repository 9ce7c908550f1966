package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes is the maximum size of an event.
const maxEventBytes = 1 << 20

var (
	errEventTooLarge = errors.New("event is too large")
	// errInsideEvent indicates that a stream has ended inside an event, so that it is
	// not complete, however it was framed.
	errInsideEvent = errors.New("stream ended inside an event")
)

// eventReader splits a stream of server-sent events. The bytes of each event are
// preserved exactly.
type eventReader struct {
	reader *bufio.Reader
	event  []byte
	id     string
}

const eventBufferBytes = 4 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the next complete event, which is valid until the next call.
// io.EOF means that the stream has ended after an event, or without one.
func (r *eventReader) next() (event []byte, err error) {
	r.event = r.event[:0]
	r.id = ""
	start := 0 // of the current line
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(r.event) > maxEventBytes {
				return nil, errEventTooLarge
			}
			continue
		}
		if errors.Is(err, io.EOF) && len(r.event) > 0 {
			return nil, errInsideEvent
		}
		if err != nil {
			return nil, err
		}
		if len(r.event) > maxEventBytes {
			return nil, errEventTooLarge
		}
		trimmed := bytes.TrimRight(r.event[start:], "\r\n")
		if len(trimmed) == 0 {
			return r.event, nil
		}
		if value, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			r.id = string(bytes.TrimSpace(value))
		}
		start = len(r.event)
	}
}

// partialBytes returns the number of bytes after the last complete event once next
// has returned an error.
func (r *eventReader) partialBytes() int64 {
	return int64(len(r.event))
}

// buffered reports whether another complete event is available without blocking.
func (r *eventReader) buffered() bool {
	b, _ := r.reader.Peek(r.reader.Buffered()) // can't fail for buffered data
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}

// alreadyDelivered reports whether the event with the given ID was already
// forwarded. Only decimal IDs are compared.
func alreadyDelivered(id, last string) bool {
	if id == "" || last == "" {
		return false
	}
	a, aErr := strconv.ParseUint(id, 10, 64)
	b, bErr := strconv.ParseUint(last, 10, 64)
	return aErr == nil && bErr == nil && a <= b
}
