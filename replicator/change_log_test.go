package replicator

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// largeConfiguration is a value of the size of a large configuration.
var largeConfiguration = strings.Repeat("r", 743_000)

// Hosts kept 512 whole configurations for their peers, and ran out of memory.
func TestChangesKeptForPeers(t *testing.T) {
	const bound = 4 << 20
	large := func(r identifier.Revision) Change { return Change{Item: item("config", largeConfiguration, r)} }
	t.Run("many large values stay under the bound", func(t *testing.T) {
		i := is.New(t)
		r := NewReplica(bound)
		r.Apply(listing(1, 1))
		for n := identifier.Revision(2); n < 600; n++ {
			r.Apply(update(1, n, large(n)))
			i.True(r.LogBytes() <= bound)
		}
		i.True(r.LogBytes() > bound/2)
		i.True(!r.Since(identifier.Position{Era: 1, Revision: 597}).Complete)
		i.True(r.Since(identifier.Position{Era: 1, Revision: 500}).Complete) // one copy in place of 99
	})
	t.Run("a value over the bound isn't kept, and a peer gets a whole copy", func(t *testing.T) {
		i := is.New(t)
		r := NewReplica(1000)
		r.Apply(listing(1, 1))
		r.Apply(update(1, 2, large(2)))
		i.Equal(r.LogBytes(), int64(0))
		i.True(r.Since(identifier.Position{Era: 1, Revision: 1}).Complete)
	})
	t.Run("many small changes are bounded in number", func(t *testing.T) {
		i := is.New(t)
		r := NewReplica(bound)
		r.Apply(listing(1, 1))
		for n := identifier.Revision(2); n < 1000; n++ {
			r.Apply(update(1, n, Change{Item: item("a", "1", n)}))
		}
		i.True(!r.Since(identifier.Position{Era: 1, Revision: 999 - maxLogEntries}).Complete)
		i.True(r.Since(identifier.Position{Era: 1, Revision: 998 - maxLogEntries}).Complete)
	})
	t.Run("a dropped change that a listing had early isn't left out", func(t *testing.T) {
		i := is.New(t)
		r := NewReplica(3 * entryBytes)
		r.Apply(listing(1, 5, item("a", "1", 9), item("b", "1", 7)))
		r.Apply(update(1, 8, Change{Item: item("c", "1", 8)}))
		r.Apply(update(1, 10, Change{Item: item("c", "2", 10)}))
		i.True(r.Since(identifier.Position{Era: 1, Revision: 8}).Complete)
	})
	t.Run("a restored store's items are told from new ones without the values", func(t *testing.T) {
		i := is.New(t)
		r := NewReplica(bound)
		r.Apply(listing(1, 1))
		for n := identifier.Revision(2); n < 200; n++ {
			value := fmt.Sprint(n, largeConfiguration)
			r.Apply(update(1, n, Change{Item: item("config", value, n)}))
		}
		applied := r.Apply(listing(2, 20, item("config", fmt.Sprint(20, largeConfiguration), 20)))
		i.Equal(len(applied.Outdated), 1)
		i.True(applied.Outdated[0].Certain)
	})
}
