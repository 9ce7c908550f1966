package allocator

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDrainRate checks the expected wait after grants at a steady pace. A pause
// of the whole host, here 8 s, must not count as a slow queue: the expected
// waits would stay too long after it.
func TestDrainRate(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	play := func(d *drainRate, from time.Time, pace time.Duration, count int) time.Time {
		now := from
		for range count {
			now = now.Add(pace)
			d.recordGrant(now)
			d.setBusy(true, now)
		}
		return now
	}
	t.Run("a host pause does not count as a slow queue", func(t *testing.T) {
		i := is.New(t)
		d := &drainRate{}
		d.setBusy(true, start)
		now := play(d, start, 20*time.Millisecond, 100)
		play(d, now.Add(8*time.Second), 20*time.Millisecond, 1) // the host paused for 8 s
		i.True(d.expectedWait(10) < 400*time.Millisecond)       // 200 ms before the pause
	})
	t.Run("a host pause before the first interval does not either", func(t *testing.T) {
		i := is.New(t)
		d := &drainRate{}
		d.setBusy(true, start)
		now := play(d, start.Add(8*time.Second), 20*time.Millisecond, 1)
		i.True(d.expectedWait(10) < 2*time.Second)
		play(d, now, 20*time.Millisecond, 100)
		i.True(d.expectedWait(10) < 400*time.Millisecond)
	})
	t.Run("the rate follows a pool that becomes slow", func(t *testing.T) {
		i := is.New(t)
		d := &drainRate{}
		d.setBusy(true, start)
		now := play(d, start, 20*time.Millisecond, 100)
		play(d, now, 2*time.Second, 60)
		i.True(d.expectedWait(1) > 1500*time.Millisecond)
	})
}
