package charger

import (
	"testing"

	"github.com/matryer/is"
)

// TestAccept answers returns that arrive out of order: each counts once.
func TestAccept(t *testing.T) {
	is := is.New(t)
	u := newUnused()
	for _, c := range []struct {
		sequence uint64
		fresh    bool
	}{{2, true}, {1, true}, {1, false}, {2, false}, {0, false}, {40, true}, {39, true}, {2, false}, {200, true}, {136, false}, {137, true}, {137, false}} {
		is.Equal(u.accept(1, c.sequence), c.fresh)
	}
	is.True(u.accept(2, 1))
}
