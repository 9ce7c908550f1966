package forwarder

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// readEvents reads a stream to its end and returns its events, the last ID and the
// bytes after the last event.
func readEvents(text string) (events []string, id, rest string, err error) {
	r := newEventReader(strings.NewReader(text), growFreely)
	for {
		event, err := r.next()
		if err != nil {
			return events, id, string(r.event), err
		}
		events = append(events, string(event))
		if r.id != "" {
			id = r.id
		}
	}
}

func TestEventReader(t *testing.T) {
	long := "data: " + strings.Repeat("x", 3*eventBufferBytes) + "\n\n"
	cases := []struct {
		name, text string
		events     int
		id, rest   string
	}{
		{"complete events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, "2", ""},
		{"lines that end in CRLF", "id: 1\r\ndata: a\r\n\r\n", 1, "1", ""},
		{"lines that end in CR", "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", 2, "2", ""},
		{"an empty line that lacks its LF", "id: 1\r\ndata: a\r\n\r", 0, "", "id: 1\r\ndata: a\r\n\r"},
		{"a line that lacks its LF", "id: 1\r\ndata: a\r", 0, "", "id: 1\r\ndata: a\r"},
		{"an empty line after a line that ends in CR", "data: a\r\r\n", 2, "", ""},
		{"several lines of data", "id:7\ndata: a\ndata: b\n\n", 1, "7", ""},
		{"an event without an id", "data: a\n\n", 1, "", ""},
		{"an incomplete event", "id: 1\ndata: a\n\nid: 2\nda", 1, "1", "id: 2\nda"},
		{"a comment", ": ping\n\n", 1, "", ""},
		{"an empty stream", "", 0, "", ""},
		{"an event longer than the buffer", long, 1, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			events, id, rest, err := readEvents(c.text)
			i.True(errors.Is(err, endOf(c.rest)))
			i.Equal(len(events), c.events)
			i.Equal(id, c.id)
			i.Equal(rest, c.rest)
			i.Equal(strings.Join(events, "")+rest, c.text)
		})
	}
	t.Run("an event over the size limit is rejected", func(t *testing.T) {
		_, _, _, err := readEvents("data: " + strings.Repeat("x", 2*maxEventBytes))
		is.New(t).True(errors.Is(err, errEventTooLarge))
	})
}

func TestAlreadyDelivered(t *testing.T) {
	i := is.New(t)
	i.True(alreadyDelivered("3", "3"))
	i.True(alreadyDelivered("3", "10"))
	i.True(!alreadyDelivered("11", "10"))
	i.True(!alreadyDelivered("x", "10"))
	i.True(!alreadyDelivered("1", ""))
}

// endOf returns the error with which a stream ends that has these bytes after its last
// complete event.
func endOf(rest string) error {
	if rest == "" {
		return io.EOF
	}
	return errInsideEvent
}

// FuzzEvents checks that splitting a stream preserves its bytes.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Add("\n\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, _, rest, err := readEvents(text)
		if errors.Is(err, errEventTooLarge) {
			return
		}
		i := is.New(t)
		i.True(errors.Is(err, endOf(rest)))
		i.Equal(strings.Join(events, "")+rest, text)
	})
}

// growFreely returns a larger buffer with the content of b.
func growFreely(b []byte) ([]byte, error) {
	return slices.Grow(b, 1), nil
}
