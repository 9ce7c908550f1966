package reporter

import (
	"sync/atomic"
	"time"
)

const (
	// bucketLength is the time span of a bucket.
	bucketLength = time.Minute
	// bucketCount is the number of buckets in the longest window.
	bucketCount = int64(24 * time.Hour / bucketLength)
)

// ring is the ring buffer of a service's buckets. An expired bucket is replaced
// when the first sample arrives for the same slot.
type ring struct {
	buckets [bucketCount]atomic.Pointer[bucket]
}

// bucket counts the samples of one minute.
type bucket struct {
	minute int64 // since the Unix epoch
	good   [targetCount]atomic.Uint32
	total  [targetCount]atomic.Uint32
}

func minuteOf(t time.Time) int64 {
	return t.UnixNano() / int64(bucketLength)
}

// bucketAt returns the bucket for now, creating it if needed. It returns nil if
// a later bucket occupies the slot.
func (r *ring) bucketAt(now time.Time) *bucket {
	minute := minuteOf(now)
	slot := &r.buckets[minute%bucketCount]
	for {
		b := slot.Load()
		if b != nil && b.minute == minute {
			return b
		}
		if b != nil && b.minute > minute {
			return nil
		}
		slot.CompareAndSwap(b, &bucket{minute: minute})
	}
}

// sum adds up the buckets of the window that ends with the current bucket.
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

// count adds a sample to the counts of a target.
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
