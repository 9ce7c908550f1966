package connector

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// piecewiseConn is a connection on which data arrives in pieces of a size.
type piecewiseConn struct {
	net.Conn
	data io.Reader
	size int
}

func (c *piecewiseConn) Read(p []byte) (int, error) {
	return c.data.Read(p[:min(c.size, len(p))])
}

// TestResetFilter guards against a reset with PROTOCOL_ERROR that is overlooked, and against other
// bytes that are changed, however frames are split.
func TestResetFilter(t *testing.T) {
	reset := func(code byte) []byte { return []byte{0, 0, 4, typeReset, 0, 0, 0, 0, 1, 0, 0, 0, code} }
	join := func(resetCode byte) []byte {
		return bytes.Join([][]byte{
			// SETTINGS without a payload, and DATA that looks like a code, or like resets.
			{0, 0, 0, 4, 0, 0, 0, 0, 0},
			{0, 0, 5, 0, 0, 0, 0, 0, 1, 0, 0, 0, 1, 1},
			append([]byte{0, 1, 4, 0, 0, 0, 0, 0, 1}, bytes.Repeat(reset(codeProtocol), 20)...),
			reset(resetCode),
			// WINDOW_UPDATE by 1, and a reset with REFUSED_STREAM.
			{0, 0, 4, 8, 0, 0, 0, 0, 1, 0, 0, 0, 1},
			reset(7),
			reset(resetCode),
		}, nil)
	}
	for size := 1; size < 60; size++ {
		t.Run(fmt.Sprintf("in pieces of %d bytes", size), func(t *testing.T) {
			i := is.New(t)
			got, err := io.ReadAll(&resetFilter{Conn: &piecewiseConn{data: bytes.NewReader(join(codeProtocol)), size: size}})
			i.NoErr(err)
			i.Equal(got, join(codeInternal))
		})
	}
}
