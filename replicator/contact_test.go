package replicator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestContact(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := start.Add
	lost := func(t *testing.T) *contact {
		t.Helper()
		i := is.New(t)
		c := &contact{options: DefaultOptions()}
		i.True(!c.failed(at(time.Second), time.Second))
		i.True(c.failed(at(3*time.Second), 3*time.Second))
		i.True(!c.failed(at(4*time.Second), 4*time.Second)) // told once
		return c
	}
	t.Run("deletions in an outage and right after it are doubted", func(t *testing.T) {
		i := is.New(t)
		c := lost(t)
		i.True(c.doubtUntil(at(5 * time.Second)).After(at(5 * time.Second)))
		outage, back := c.succeeded(at(6 * time.Second))
		i.True(back)
		i.Equal(outage, 6*time.Second)
		i.Equal(c.doubtUntil(at(7*time.Second)), at(8*time.Second))
		i.True(!c.doubtUntil(at(9 * time.Second)).After(at(9 * time.Second)))
	})
	t.Run("an outage ends when another host is in touch with the store", func(t *testing.T) {
		i := is.New(t)
		c := lost(t)
		_, back := c.confirmed(at(6 * time.Second))
		i.True(back)
		// This host reads for itself only later, which is no end of an outage.
		_, back = c.succeeded(at(20 * time.Second))
		i.True(!back)
		i.True(!c.doubtUntil(at(20 * time.Second)).After(at(20 * time.Second)))
	})
	t.Run("a store that refuses this host alone is no outage", func(t *testing.T) {
		i := is.New(t)
		c := &contact{options: DefaultOptions()}
		for n := range 20 {
			now := at(time.Duration(n) * time.Second)
			i.True(!c.failed(now, 300*time.Millisecond)) // peers confirm all the while
		}
		i.True(!c.doubtUntil(at(time.Minute)).After(at(time.Minute)))
	})
}
