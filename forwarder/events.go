package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("event is too large")

// eventReader splits an event stream into whole events. Events are kept as
// they came, byte for byte.
type eventReader struct {
	reader *bufio.Reader
	event  []byte
	id     string
}

const eventBufferBytes = 4 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next gives the next whole event, valid until the next call. io.EOF says that
// the stream is whole; rest then holds what follows the last event.
func (r *eventReader) next() (event []byte, err error) {
	r.event = r.event[:0]
	r.id = ""
	start := 0 // of the present line
	for {
		line, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(r.event) > maxEventBytes {
				return nil, errEventTooLarge
			}
			continue
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

// rest gives what came behind the last whole event.
func (r *eventReader) rest() []byte {
	return r.event
}

// buffered tells whether more bytes have arrived already.
func (r *eventReader) buffered() bool {
	return r.reader.Buffered() > 0
}

// notAfter tells whether an event was passed on already, going by its id.
func notAfter(id, last string) bool {
	if id == "" || last == "" {
		return false
	}
	a, aErr := strconv.ParseUint(id, 10, 64)
	b, bErr := strconv.ParseUint(last, 10, 64)
	return aErr == nil && bErr == nil && a <= b
}
