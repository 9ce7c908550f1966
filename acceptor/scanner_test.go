package acceptor

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestHeadScanner(t *testing.T) {
	cases := []struct {
		name, text   string
		lines, bytes int64
		done         bool
	}{
		{"a whole head", "GET / HTTP/1.1\r\na: b\r\n\r\n", 3, 24, true},
		{"a body after it", "GET / HTTP/1.1\r\n\r\na\nb\nc\n", 2, 18, true},
		{"bare line feeds", "GET /\na:\n\n", 3, 10, true},
		{"a carriage return inside a line", "GET /\r\na\r:\r\n\r\n", 3, 14, true},
		{"an unfinished line", "GET / HTT", 0, 9, false},
		{"an unfinished empty line", "GET /\r\n\r", 1, 8, false},
		{"an empty line first", "\r\nGET /", 1, 2, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			var s headScanner
			s.scan([]byte(c.text))
			i.Equal(s.lines, c.lines)
			i.Equal(s.bytes, c.bytes)
			i.Equal(s.done, c.done)
		})
	}
}

// FuzzHeadScanner checks that the count doesn't depend on how the bytes arrive, and that it
// is that of the lines up to the first empty one.
func FuzzHeadScanner(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\na: b\r\n\r\nbody"), 3)
	f.Add([]byte("\r\r\n\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, step int) {
		i := is.New(t)
		var whole, parts headScanner
		whole.scan(text)
		step = max(1, step)
		for rest := text; len(rest) > 0; {
			n := min(step, len(rest))
			parts.scan(rest[:n])
			rest = rest[n:]
		}
		i.Equal(parts.lines, whole.lines)
		i.Equal(parts.bytes, whole.bytes)
		i.Equal(parts.done, whole.done)
		var want headScanner
		for line := range bytes.Lines(text) {
			want.bytes += int64(len(line))
			if line[len(line)-1] != '\n' {
				break
			}
			want.lines++
			if len(bytes.Trim(line, "\r\n")) == 0 {
				want.done = true
				break
			}
		}
		i.Equal(whole.lines, want.lines)
		i.Equal(whole.bytes, want.bytes)
		i.Equal(whole.done, want.done)
	})
}

func BenchmarkHeadScanner(b *testing.B) {
	head := []byte("GET / HTTP/1.1\r\n" + strings.Repeat("name: some value of a header\r\n", 20) + "\r\n")
	b.SetBytes(int64(len(head)))
	for b.Loop() {
		var s headScanner
		s.scan(head)
	}
}
