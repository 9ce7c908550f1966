package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

const (
	// maxEventBytes is the maximum size of an event, which holds a few tokens. Its last line
	// end may exceed it.
	maxEventBytes = 256 << 10
	// maxEventBuffer is the largest buffer of an event.
	maxEventBuffer = maxEventBytes + 1
)

var (
	errEventTooLarge = errors.New("event is too large")
	// errInsideEvent indicates that a stream has ended inside an event, so that it is
	// not complete, however it was framed.
	errInsideEvent = errors.New("stream ended inside an event")
)

// eventReader splits a stream of server-sent events. The bytes of each event are
// preserved exactly. Lines end in LF, CRLF or CR.
type eventReader struct {
	reader *bufio.Reader
	event  []byte
	// grow returns a larger buffer with the content of b.
	grow func(b []byte) ([]byte, error)
	// id is the ID of the event that next has returned; empty if it has none.
	id string
	// hasData reports whether that event has data. Others, such as comments, are not
	// dispatched by callers.
	hasData bool
	// isComment reports whether it has comments only.
	isComment bool
}

const eventBufferBytes = 4 << 10

func newEventReader(r io.Reader, grow func(b []byte) ([]byte, error)) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes), grow: grow}
}

// lineEnd is how a line ends.
type lineEnd uint8

const (
	lineEndLF lineEnd = iota
	lineEndCRLF
	lineEndCR
)

// next returns the next complete event, which is valid until the next call.
// io.EOF means that the stream has ended after an event, or without one.
func (r *eventReader) next() (event []byte, err error) {
	r.event = r.event[:0]
	r.id = ""
	r.hasData = false
	r.isComment = true
	end := lineEndLF // of the line before
	for {
		start := len(r.event)
		last, err := r.readLine(end)
		if errors.Is(err, io.EOF) && len(r.event) > 0 {
			return nil, errInsideEvent
		}
		if err != nil {
			return nil, err
		}
		line := bytes.TrimRight(r.event[start:], "\r\n")
		if len(line) == 0 {
			return r.event, nil
		}
		r.parseLine(line)
		end = last
	}
}

// readLine appends a line with its end to the event. If the line before ended in CR, an
// empty line that ends in CR is returned without waiting for an LF.
func (r *eventReader) readLine(before lineEnd) (lineEnd, error) {
	for empty := true; ; empty = false {
		b, err := r.reader.ReadByte()
		if err != nil {
			return 0, err
		}
		if len(r.event) >= maxEventBytes {
			return 0, errEventTooLarge
		}
		if err := r.push(b); err != nil {
			return 0, err
		}
		switch {
		case b == '\n':
			return lineEndLF, nil
		case b == '\r' && empty && before == lineEndCR:
			return lineEndCR, nil
		case b == '\r':
			return r.readLineFeed()
		}
	}
}

// readLineFeed appends the LF of a CRLF, if there is one.
func (r *eventReader) readLineFeed() (lineEnd, error) {
	next, err := r.reader.Peek(1)
	if err != nil {
		return 0, err
	}
	if next[0] != '\n' {
		return lineEndCR, nil
	}
	_, _ = r.reader.Discard(1) // can't fail for peeked data
	return lineEndCRLF, r.push('\n')
}

// push appends a byte to the event.
func (r *eventReader) push(b byte) error {
	if len(r.event) == cap(r.event) {
		larger, err := r.grow(r.event)
		if err != nil {
			return err
		}
		r.event = larger
	}
	r.event = append(r.event, b)
	return nil
}

// parseLine takes from a line of an event what decides about forwarding.
func (r *eventReader) parseLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	r.isComment = r.isComment && line[0] == ':'
	switch string(name) {
	case "id":
		r.id = string(bytes.TrimSpace(value))
	case "data":
		r.hasData = true
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
	for _, end := range emptyLines {
		if bytes.Contains(b, end) {
			return true
		}
	}
	return false
}

// emptyLines are the ends of an event: the end of its last line, and an empty line.
var emptyLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

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
