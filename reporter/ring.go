package reporter

import (
	"sync/atomic"
	"time"
)

const (
	// bucketLength is the time that one bucket counts.
	bucketLength = time.Minute
	// bucketCount covers the longest window.
	bucketCount = int64(24 * time.Hour / bucketLength)
)

// ring holds the buckets of one service. A bucket whose time has passed is
// replaced by the first sample that needs its place.
type ring struct {
	buckets [bucketCount]atomic.Pointer[bucket]
}

// bucket counts the samples of one minute.
type bucket struct {
	minute int64 // since 1970
	good   [targetCount]atomic.Uint32
	total  [targetCount]atomic.Uint32
}

func minuteOf(t time.Time) int64 {
	return t.UnixNano() / int64(bucketLength)
}

// at gives the bucket for now; nil if its place is taken by a later one.
func (r *ring) at(now time.Time) *bucket {
	minute := minuteOf(now)
	place := &r.buckets[minute%bucketCount]
	for {
		b := place.Load()
		if b != nil && b.minute == minute {
			return b
		}
		if b != nil && b.minute > minute {
			return nil
		}
		place.CompareAndSwap(b, &bucket{minute: minute})
	}
}

// sum gives the counts of the last buckets, the current one included.
func (r *ring) sum(t Target, length time.Duration, now time.Time) (good, total uint64) {
	last := minuteOf(now)
	first := last - int64(length/bucketLength) + 1
	for minute := first; minute <= last; minute++ {
		b := r.buckets[minute%bucketCount].Load()
		if b == nil || b.minute != minute {
			continue
		}
		good += uint64(b.good[t].Load())
		total += uint64(b.total[t].Load())
	}
	return good, total
}

// count adds one sample to a target.
func (b *bucket) count(t Target, good bool) {
	if good {
		b.good[t].Add(1)
	}
	b.total[t].Add(1)
}

func (b *bucket) countLatency(t Target, measured, limit time.Duration) {
	if measured > 0 && limit > 0 {
		b.count(t, measured <= limit)
	}
}

func (b *bucket) countOutcome(o Outcome) {
	switch o {
	case OutcomeAnswered:
		b.count(TargetAvailability, true)
		b.count(TargetCompletion, true)
	case OutcomeRefused:
		b.count(TargetAvailability, false)
	case OutcomeFailed:
		b.count(TargetAvailability, false)
		b.count(TargetCompletion, false)
	}
}
