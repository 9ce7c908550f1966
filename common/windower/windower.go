// Package windower counts events in sliding windows of time.
//
// # Usage
//
//	n := windower.Most(times, 4*time.Second)      // in the window that has most
//	n := windower.CountBetween(times, from, to)   // in one interval
//
// The times have to be sorted in ascending order. A window contains its beginning but not
// its end.
package windower

import (
	"slices"
	"time"
)

// Most returns the highest number of sorted times in any window of a length.
func Most(sorted []time.Time, length time.Duration) int {
	most := 0
	for n, from := range sorted {
		most = max(most, CountBetween(sorted[n:], from, from.Add(length)))
	}
	return most
}

// CountBetween returns the number of sorted times from a time until before another one.
func CountBetween(sorted []time.Time, from, to time.Time) int {
	end, _ := slices.BinarySearchFunc(sorted, to, time.Time.Compare)
	return max(0, end-firstFrom(sorted, from))
}

// From returns the sorted times from a time on.
func From(sorted []time.Time, from time.Time) []time.Time {
	return sorted[firstFrom(sorted, from):]
}

func firstFrom(sorted []time.Time, from time.Time) int {
	n, _ := slices.BinarySearchFunc(sorted, from, time.Time.Compare)
	return n
}
