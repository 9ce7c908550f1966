package watcher

import (
	"math/rand/v2"
	"time"
)

const (
	// minBackoff is the longest wait after a first failure.
	minBackoff = 200 * time.Millisecond
	// maxBackoff is the longest wait after many.
	maxBackoff = 5 * time.Second
)

// backoff gives waits that double with each failure, drawn between half of
// the wait and the whole.
type backoff struct {
	random *rand.Rand
	wait   time.Duration
}

// next gives the wait after one more failure.
func (b *backoff) next() time.Duration {
	b.wait = min(max(2*b.wait, minBackoff), maxBackoff)
	return jitter(b.random, b.wait)
}

// reset starts anew after a success.
func (b *backoff) reset() {
	b.wait = 0
}

// jitter gives a duration between d/2 and d.
func jitter(random *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(random.Int64N(int64(d/2)+1))
}
