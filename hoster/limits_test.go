package hoster

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/replicator"
)

func TestMaxBuffered(t *testing.T) {
	i := is.New(t)
	i.Equal(Limits{MemoryBytes: 100 << 20}.MaxBuffered(), int64(20<<20))
	i.Equal(Limits{}.MaxBuffered(), int64(0)) // unknown
}

func TestMaxStoreLog(t *testing.T) {
	i := is.New(t)
	i.Equal(Limits{MemoryBytes: 50_000_000}.MaxStoreLog(), int64(1_000_000))
	i.Equal(Limits{MemoryBytes: 1 << 40}.MaxStoreLog(), int64(replicator.DefaultMaxLogBytes))
	i.Equal(Limits{}.MaxStoreLog(), int64(replicator.DefaultMaxLogBytes)) // unknown
}

func TestSharesOfTheMachine(t *testing.T) {
	i := is.New(t)
	l := Limits{MemoryBytes: 100 << 20, MaxDescriptors: 4100}
	i.Equal(l.memory().Limit, int64(40<<20))
	i.Equal(l.memory().Reserved, int64(8<<20))
	i.Equal(l.maxConnections(), 1845)
	i.Equal(l.maxOperators(), 164)
	i.Equal(Limits{}.memory().Limit, int64(0)) // unknown
	i.Equal(Limits{}.maxConnections(), 0)
	i.Equal(Limits{}.maxOperators(), 0)
}
