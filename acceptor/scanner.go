package acceptor

import "bytes"

const (
	// lineBytes is what a line of a head takes beside its text: in the maps of the request
	// and of what is sent to an endpoint.
	lineBytes = 256
	// textCopies is how often the text of a head is in memory.
	textCopies = 3
)

// headCost returns the memory that a head takes, in bytes.
func headCost(lines, size int64) int64 {
	return lines*lineBytes + size*textCopies
}

// headScanner counts the lines and bytes of a request's head as they arrive, up to the
// empty line at its end.
type headScanner struct {
	lines, bytes int64
	// text is set if the current line has a byte other than CR.
	text bool
	done bool
}

func (s *headScanner) cost() int64 {
	return headCost(s.lines, s.bytes)
}

// scan counts what belongs to the head in b.
func (s *headScanner) scan(b []byte) {
	for !s.done && len(b) > 0 {
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			s.bytes += int64(len(b))
			s.text = s.text || hasText(b)
			return
		}
		s.bytes += int64(end) + 1
		s.lines++
		s.done = !s.text && !hasText(b[:end])
		s.text = false
		b = b[end+1:]
	}
}

// hasText reports whether a part of a line has a byte other than CR.
func hasText(b []byte) bool {
	for _, c := range b {
		if c != '\r' {
			return true
		}
	}
	return false
}
