package forwarder

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// split reads a stream to its end, and gives its events, the last id and what
// came behind the last event.
func split(text string) (events []string, id, rest string, err error) {
	r := newEventReader(strings.NewReader(text))
	for {
		event, err := r.next()
		if err != nil {
			return events, id, string(r.rest()), err
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
		{"whole events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, "2", ""},
		{"lines that end in two bytes", "id: 1\r\ndata: a\r\n\r\n", 1, "1", ""},
		{"several lines of data", "id:7\ndata: a\ndata: b\n\n", 1, "7", ""},
		{"an event without an id", "data: a\n\n", 1, "", ""},
		{"half of an event", "id: 1\ndata: a\n\nid: 2\nda", 1, "1", "id: 2\nda"},
		{"a comment", ": ping\n\n", 1, "", ""},
		{"nothing", "", 0, "", ""},
		{"an event longer than the buffer", long, 1, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			events, id, rest, err := split(c.text)
			i.True(errors.Is(err, io.EOF))
			i.Equal(len(events), c.events)
			i.Equal(id, c.id)
			i.Equal(rest, c.rest)
			i.Equal(strings.Join(events, "")+rest, c.text)
		})
	}
	t.Run("an event without an end is refused", func(t *testing.T) {
		_, _, _, err := split("data: " + strings.Repeat("x", 2*maxEventBytes))
		is.New(t).True(errors.Is(err, errEventTooLarge))
	})
}

func TestNotAfter(t *testing.T) {
	i := is.New(t)
	i.True(notAfter("3", "3"))
	i.True(notAfter("3", "10"))
	i.True(!notAfter("11", "10"))
	i.True(!notAfter("x", "10"))
	i.True(!notAfter("1", ""))
}

// FuzzEvents checks that a stream is never changed on its way.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Add("\n\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, _, rest, err := split(text)
		if errors.Is(err, io.EOF) {
			is.New(t).Equal(strings.Join(events, "")+rest, text)
		}
	})
}
