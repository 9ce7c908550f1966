package emulator

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestStepDuration(t *testing.T) {
	t.Run("the duration of a step grows with its requests", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			for i := range uint64(20) {
				b.prefillAndImport(i+1, 100)
			}
			var last *streamReader
			for i := range uint64(20) {
				last = b.startDecode(b.t.Context(), i+1, 0)
			}
			b.advance(10 * time.Second)
			gap := last.snapshot().receivedAt[50].Sub(last.snapshot().receivedAt[49])
			b.is.Equal(gap, 32*time.Millisecond) // 20 ms plus 20 times 0.6 ms
		})
	})
	t.Run("a prefill shares steps with a decode", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			b.prefillAndImport(1, 100)
			r := b.startDecode(b.t.Context(), 1, 0)
			b.advance(100 * time.Millisecond)
			start := time.Now()
			_, err := b.prefill(b.t.Context(), 2, 1280, 0)
			b.is.NoErr(err)
			// Ten chunks of 128 tokens take 16 ms each, and the decode in each
			// of these steps takes 20.6 ms. A step may be running when the
			// prefill arrives.
			elapsed := time.Since(start)
			synctest.Wait()
			b.is.True(elapsed >= 366*time.Millisecond && elapsed <= 387*time.Millisecond)
			b.is.True(r.snapshot().tokens > 10)
		})
	})
	t.Run("a slow engine takes longer", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			b.SetFaults(Faults{SlowFactor: 3})
			start := time.Now()
			_, err := b.prefill(b.t.Context(), 1, 800, 0)
			b.is.NoErr(err)
			elapsed := time.Since(start)
			b.is.True(elapsed >= 299*time.Millisecond && elapsed <= 301*time.Millisecond)
		})
	})
}
