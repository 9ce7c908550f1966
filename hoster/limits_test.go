package hoster_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/hoster"
)

func TestMaxBuffered(t *testing.T) {
	i := is.New(t)
	i.Equal(hoster.Limits{MemoryBytes: 100 << 20}.MaxBuffered(), int64(20<<20))
	i.Equal(hoster.Limits{}.MaxBuffered(), int64(0)) // unknown
}
