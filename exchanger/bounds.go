package exchanger

import (
	"errors"
	"io"
	"math"
)

const (
	// maxHeadBytes limits the status line and headers of a response, together with
	// those of the informational responses before it.
	maxHeadBytes = 16 << 10
	// maxInformational is the number of informational responses that may precede a
	// response.
	maxInformational = 5
)

// ErrHeadTooLarge indicates that a response's status line and headers, or the
// informational responses before them, exceed their limit.
var ErrHeadTooLarge = errors.New("response head is too large")

// unlimited is the limit of a limitedReader that allows all bytes.
const unlimited = math.MaxInt64

// limitedReader reads no more than left bytes from a connection. Chunks and trailers
// need no limit, since net/http limits those to the buffer of the connection's reader.
type limitedReader struct {
	source io.Reader
	left   int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	if int64(len(p)) > l.left {
		p = p[:l.left]
	}
	n, err := l.source.Read(p)
	if l.left != unlimited {
		l.left -= int64(n)
	}
	return n, err
}
