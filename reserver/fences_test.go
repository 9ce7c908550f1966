package reserver

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// TestFencesProperty checks that the tokens of hosts that know a later position of
// the store are higher, also after restores, which set the revision back, and that
// no two hosts share one.
func TestFencesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := identifier.Position{Revision: 1}
		holders := map[identifier.Host]*tenure{}
		used := map[Fence]identifier.Host{}
		last := Fence(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
				p.Era++
				p.Revision -= identifier.Revision(rapid.Uint64Range(0, uint64(p.Revision)-1).Draw(t, "lost"))
			} else {
				p.Revision += identifier.Revision(rapid.Uint64Range(1, 1_000_000).Draw(t, "writes"))
			}
			host := identifier.Host(fmt.Sprintf("host-%d", rapid.IntRange(0, 3).Draw(t, "host")))
			if holders[host] == nil {
				holders[host] = &tenure{}
			}
			f := holders[host].nextFence(host, p)
			if f <= last {
				t.Fatalf("token of %s at %v is %d, after %d", host, p, f, last)
			}
			if other, ok := used[f]; ok {
				t.Fatalf("%s and %s share token %d", host, other, f)
			}
			used[f], last = host, f
		}
	})
}
