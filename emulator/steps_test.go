package emulator

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestPace(t *testing.T) {
	t.Run("a step's time grows with its requests", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			for i := range uint64(20) {
				b.ready(i+1, 100)
			}
			var last *reader
			for i := range uint64(20) {
				last = b.decode(b.t.Context(), i+1, 0)
			}
			b.pass(10 * time.Second)
			gap := last.got().at[50].Sub(last.got().at[49])
			b.is.Equal(gap, 32*time.Millisecond) // 20 ms, and 20 times 0.6 ms
		})
	})
	t.Run("a prefill shares the steps of a decode", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			b.ready(1, 100)
			r := b.decode(b.t.Context(), 1, 0)
			b.pass(100 * time.Millisecond)
			began := time.Now()
			_, err := b.prefill(b.t.Context(), 2, 1280, 0)
			b.is.NoErr(err)
			// Ten chunks of 128 tokens take 16 ms each beside a decode of
			// 20.6 ms; a step may be under way when the prefill comes.
			took := time.Since(began)
			synctest.Wait()
			b.is.True(took >= 366*time.Millisecond && took <= 387*time.Millisecond)
			b.is.True(r.got().tokens > 10)
		})
	})
	t.Run("a slow engine takes longer", func(t *testing.T) {
		inBubble(t, EngineSettings{}, func(b *bubble) {
			b.SetFaults(Faults{SlowFactor: 3})
			began := time.Now()
			_, err := b.prefill(b.t.Context(), 1, 800, 0)
			b.is.NoErr(err)
			took := time.Since(began)
			b.is.True(took >= 299*time.Millisecond && took <= 301*time.Millisecond)
		})
	})
}
