package forwarder

import "time"

const (
	// minMoveBackoff is how long a stream whose move was refused waits before it asks
	// again. The time doubles with each refusal, up to maxMoveBackoff.
	minMoveBackoff = 300 * time.Millisecond
	maxMoveBackoff = 2400 * time.Millisecond
)

// mover decides when a stream whose engine is silent is moved to another engine. It
// does no I/O and reads no clock.
//
// A silent engine may be sound and go on. The stream therefore stays there until a
// replacement is ready, which is not used if the engine goes on before. At most one
// replacement is prepared at a time.
type mover struct {
	state moverState
	// silentSince is when the engine last sent an event, or was called.
	silentSince time.Time
	// askAt is when a replacement is due.
	askAt time.Time
	// refusals counts the refused moves since silentSince.
	refusals int
}

// moverState is what happens with a stream's replacement.
type moverState uint8

const (
	// moverWatching means that no replacement is being prepared.
	moverWatching moverState = iota
	// moverPreparing means that one is being prepared, and the engine is silent.
	moverPreparing
	// moverCanceling means that the engine has gone on, and that the end of the
	// preparation is still outstanding.
	moverCanceling
	// moverFixed means that the stream can't be moved.
	moverFixed
)

// newMover returns the mover of a stream whose engine is called now. Its first event
// is overdue after limit.
func newMover(movable bool, now time.Time, limit time.Duration) *mover {
	m := &mover{silentSince: now, askAt: now.Add(limit)}
	if !movable {
		m.state = moverFixed
	}
	return m
}

// onEvent records an event of the engine; the next one is overdue after limit. It
// reports whether a preparation has to be canceled.
func (m *mover) onEvent(now time.Time, limit time.Duration) (cancel bool) {
	m.silentSince = now
	m.askAt = now.Add(limit)
	m.refusals = 0
	if m.state != moverPreparing {
		return false
	}
	m.state = moverCanceling
	return true
}

// due reports whether a replacement has to be prepared.
func (m *mover) due(now time.Time) bool {
	return m.state == moverWatching && !now.Before(m.askAt)
}

// wait returns the time until due may return true, or noTimeout.
func (m *mover) wait(now time.Time) time.Duration {
	if m.state != moverWatching {
		return noTimeout
	}
	return max(0, m.askAt.Sub(now))
}

// onStart records that a preparation was started.
func (m *mover) onStart() {
	m.state = moverPreparing
}

// canceling reports whether the engine has gone on while a replacement was being
// prepared.
func (m *mover) canceling() bool {
	return m.state == moverCanceling
}

// onRefusal records that no replacement could be prepared for a silent engine. The
// stream asks again later.
func (m *mover) onRefusal(now time.Time) {
	m.state = moverWatching
	m.askAt = now.Add(min(maxMoveBackoff, minMoveBackoff<<min(m.refusals, maxBackoffShift)))
	m.refusals++
}

// maxBackoffShift keeps the backoff from overflowing.
const maxBackoffShift = 10

// onReady records that a replacement is ready, or that its cancellation is complete.
// It reports whether the stream is moved there; if not, the engine has gone on.
func (m *mover) onReady() (move bool) {
	move = m.state == moverPreparing
	m.state = moverWatching
	return move
}

// silence returns how long the engine has been silent.
func (m *mover) silence(now time.Time) time.Duration {
	return now.Sub(m.silentSince)
}
