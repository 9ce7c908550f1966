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
		// Whether a replacement is being prepared, whether the engine has sent an event
		// since that began, and when it last sent one.
		preparing, wentOn, silent := false, false, now
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, 1500).Draw(t, "pause-ms")) * time.Millisecond)
			i.Equal(m.silence(now), now.Sub(silent))
			if m.due(now) {
				i.True(movable && !preparing)          // one at a time
				i.True(now.Sub(silent) >= limit)       // not before it is overdue
				i.Equal(m.wait(now), time.Duration(0)) // the shell was woken for it
				if rapid.Bool().Draw(t, "allowed") {
					m.onStart()
					preparing, wentOn = true, false
				} else {
					m.onRefusal(now)
				}
				continue
			}
			i.True(m.wait(now) > 0 || preparing)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				i.Equal(m.onEvent(now, limit), preparing && !wentOn) // cancels a preparation once
				wentOn = true
				silent = now
			case 1:
				if preparing {
					i.Equal(m.canceling(), wentOn)
					i.Equal(m.onReady(), !wentOn) // only a silent engine is left
					preparing = false
					if !wentOn {
						return // the next engine has a mover of its own
					}
				}
			case 2:
				if preparing && !wentOn {
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
