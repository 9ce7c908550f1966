package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMoverProperty drives a mover with arbitrary events, and checks that a stream
// has at most one preparation, leaves its engine only if that has been silent since
// the preparation began, and asks again after a refusal.
func TestMoverProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := is.New(t)
		now := time.Unix(0, 0)
		limit := time.Duration(rapid.Int64Range(1, 3000).Draw(t, "limit-ms")) * time.Millisecond
		movable := rapid.Bool().Draw(t, "movable")
		m := newMover(movable, now, limit)
		preparing, silent := false, now
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, 1500).Draw(t, "pause-ms")) * time.Millisecond)
			i.Equal(m.silence(now), now.Sub(silent))
			if m.due(now) {
				i.True(movable && !preparing)          // one at a time
				i.True(now.Sub(silent) >= limit)       // not before it is overdue
				i.Equal(m.wait(now), time.Duration(0)) // the shell was woken for it
				if rapid.Bool().Draw(t, "allowed") {
					m.onStart()
					preparing = true
					silent = m.silentSince
				} else {
					m.onRefusal(now)
				}
				continue
			}
			i.True(m.wait(now) > 0 || preparing)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				wasPreparing := m.state == moverPreparing
				i.Equal(m.onEvent(now, limit), wasPreparing)
				silent = now
			case 1:
				if preparing {
					went := m.canceling()
					i.Equal(m.onReady(), !went) // only a silent engine is left
					preparing = false
					if !went {
						return // the next engine has a mover of its own
					}
				}
			case 2:
				if preparing && !m.canceling() {
					m.onRefusal(now)
					preparing = false
				}
			}
			if movable && !preparing {
				i.True(m.wait(now) <= max(limit, maxMoveBackoff)) // asks again in bounded time
			}
		}
	})
}
