package deduper_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/deduper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// TestAccept guards against messages that count twice, or not at all as they arrive out of order.
func TestAccept(t *testing.T) {
	is := is.New(t)
	d := deduper.New()
	for _, c := range []struct {
		sequence uint64
		fresh    bool
	}{{2, true}, {1, true}, {1, false}, {2, false}, {0, false}, {40, true}, {39, true}, {2, false}, {200, true}, {136, false}, {137, true}, {137, false}} {
		is.Equal(d.Accept(1, c.sequence), c.fresh)
	}
	is.True(d.Accept(2, 1))
	d.Prune(func(i identifier.Incarnation) bool { return i == 1 })
	is.True(!d.Accept(1, 137))
	is.True(d.Accept(2, 1))
}
