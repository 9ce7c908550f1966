package hoster

import (
	"testing"

	"github.com/matryer/is"
)

func TestMaxBuffered(t *testing.T) {
	i := is.New(t)
	i.Equal(Limits{MemoryBytes: 100 << 20}.MaxBuffered(), int64(20<<20))
	i.Equal(Limits{}.MaxBuffered(), int64(0)) // unknown
}
