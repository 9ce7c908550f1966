package replicator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestConnectivity(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := start.Add
	inOutage := func(t *testing.T) *connectivity {
		t.Helper()
		i := is.New(t)
		c := &connectivity{options: DefaultOptions()}
		i.True(!c.readFailed(at(time.Second), time.Second))
		i.True(c.readFailed(at(3*time.Second), 3*time.Second))
		i.True(!c.readFailed(at(4*time.Second), 4*time.Second)) // reported once
		return c
	}
	t.Run("deletions during an outage and right after it are deferred", func(t *testing.T) {
		i := is.New(t)
		c := inOutage(t)
		i.True(c.deletionGraceEnd(at(5 * time.Second)).After(at(5 * time.Second)))
		outage, recovered := c.readSucceeded(at(6 * time.Second))
		i.True(recovered)
		i.Equal(outage, 6*time.Second)
		i.Equal(c.deletionGraceEnd(at(7*time.Second)), at(8*time.Second))
		i.True(!c.deletionGraceEnd(at(9 * time.Second)).After(at(9 * time.Second)))
	})
	t.Run("an outage ends when another host reaches the store", func(t *testing.T) {
		i := is.New(t)
		c := inOutage(t)
		_, recovered := c.confirmed(at(6 * time.Second))
		i.True(recovered)
		// This host's own later read doesn't end the outage a second time.
		_, recovered = c.readSucceeded(at(20 * time.Second))
		i.True(!recovered)
		i.True(!c.deletionGraceEnd(at(20 * time.Second)).After(at(20 * time.Second)))
	})
	t.Run("a store that fails for this host alone is no outage", func(t *testing.T) {
		i := is.New(t)
		c := &connectivity{options: DefaultOptions()}
		for n := range 20 {
			now := at(time.Duration(n) * time.Second)
			i.True(!c.readFailed(now, 300*time.Millisecond)) // peers keep confirming
		}
		i.True(!c.deletionGraceEnd(at(time.Minute)).After(at(time.Minute)))
	})
}
