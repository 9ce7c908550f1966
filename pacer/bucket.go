package pacer

import "time"

const (
	// Granters is the number of hosts that grant permits for an endpoint.
	Granters = 3
	// MaxWait is the longest time for which a permit is granted ahead.
	MaxWait = 300 * time.Millisecond
	// usedShare is the share of a limit that the granting hosts use together.
	usedShare = 1.0
	// maxTotalShare is the share of a limit that they use at most if each takes the others
	// for dead.
	maxTotalShare = 1.2
	// extraCapacity is the time at the filling rate for which a bucket collects tokens beyond
	// the first.
	extraCapacity = 500 * time.Millisecond
	// noTokenWait is the wait told if a bucket isn't filled.
	noTokenWait = time.Minute
)

// Share returns the share of an endpoint's limit that a granting host uses, given the number of
// granting hosts and how many of them it takes for live, itself included. The others make up for
// a granting host that has failed, in part: all may take each other for dead.
func Share(granters, live int) float64 {
	if granters < 1 || live < 1 {
		return 0
	}
	return min(maxTotalShare/float64(granters), usedShare/float64(live))
}

// bucket is a token bucket. Its level is negative while tokens are granted ahead.
type bucket struct {
	level    float64
	filledAt time.Time
}

// fill adds the tokens since the last time, at a rate in tokens a second.
func (b *bucket) fill(rate float64, now time.Time) {
	elapsed := max(0, now.Sub(b.filledAt).Seconds())
	capacity := 1 + rate*extraCapacity.Seconds()
	b.level = min(capacity, b.level+rate*elapsed)
	b.filledAt = now
}

// take takes a token that is there within maxWait. It returns the time until then, or, if there
// is none, the time until the next one.
func (b *bucket) take(rate float64, maxWait time.Duration, now time.Time) (wait time.Duration, ok bool) {
	b.fill(rate, now)
	if b.level < 1 {
		if rate <= 0 {
			return noTokenWait, false
		}
		wait = min(noTokenWait, time.Duration((1-b.level)/rate*float64(time.Second)))
	}
	if wait > maxWait {
		return wait, false
	}
	b.level--
	return wait, true
}
