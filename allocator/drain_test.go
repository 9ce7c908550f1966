package allocator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDrainRate plays grants at a steady pace while asks wait.
func TestDrainRate(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	play := func(d *drainRate, from time.Time, pace time.Duration, count int) time.Time {
		now := from
		for range count {
			now = now.Add(pace)
			d.served(now)
			d.waiting(true, now)
		}
		return now
	}
	t.Run("a standstill of the host is no pace of the pool", func(t *testing.T) {
		i := is.New(t)
		d := &drainRate{}
		d.waiting(true, start)
		now := play(d, start, 20*time.Millisecond, 100)
		play(d, now.Add(8*time.Second), 20*time.Millisecond, 1) // it stood still for 8 s
		i.True(d.expected(10) < 400*time.Millisecond)           // 200 ms before
	})
	t.Run("nor is it when nothing was measured before", func(t *testing.T) {
		i := is.New(t)
		d := &drainRate{}
		d.waiting(true, start)
		now := play(d, start.Add(8*time.Second), 20*time.Millisecond, 1)
		i.True(d.expected(10) < 2*time.Second)
		play(d, now, 20*time.Millisecond, 100)
		i.True(d.expected(10) < 400*time.Millisecond)
	})
	t.Run("a pool that becomes slow is followed", func(t *testing.T) {
		i := is.New(t)
		d := &drainRate{}
		d.waiting(true, start)
		now := play(d, start, 20*time.Millisecond, 100)
		play(d, now, 2*time.Second, 60)
		i.True(d.expected(1) > 1500*time.Millisecond)
	})
}
