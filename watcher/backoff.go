package watcher

import (
	"math/rand/v2"
	"time"
)

const (
	// minBackoff is the upper bound of the wait after the first failure.
	minBackoff = 200 * time.Millisecond
	// maxBackoff is the upper bound of the wait after repeated failures.
	maxBackoff = 5 * time.Second
)

// backoff implements exponential backoff. The upper bound of the wait doubles
// with each failure; the wait is drawn from its upper half.
type backoff struct {
	random *rand.Rand
	wait   time.Duration
}

// next returns the wait after another failure.
func (b *backoff) next() time.Duration {
	b.wait = min(max(2*b.wait, minBackoff), maxBackoff)
	return jitter(b.random, b.wait)
}

// reset restarts the backoff after a success.
func (b *backoff) reset() {
	b.wait = 0
}

// jitter returns a random duration between d/2 and d.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(random.Int64N(int64(d/2)+1))
}
