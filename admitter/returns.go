package admitter

import (
	"math"
	"time"
)

const (
	// maxRefusals is the number of refused requests that a queue remembers.
	maxRefusals = 4096
	// returnWindow is how long after the time that it was told a caller is expected.
	returnWindow = 10 * time.Second
	// patienceShare is the share of the time until its deadline that a caller waits at
	// most before it returns, whatever it was told.
	patienceShare = 1.0 / 3
	// maxPriorities is the number of priorities whose retry times are kept apart.
	maxPriorities = 64
)

// refusal is what a queue remembers of a refused request.
type refusal struct {
	arrived  time.Time // of the caller's first attempt
	returnAt time.Time
}

// refusals remembers refused requests by their fingerprint. The zero value is ready for
// use.
type refusals struct {
	all map[uint64]refusal
	// order has the fingerprints in the order of their refusal. One that was refused
	// again has several.
	order []uint64
}

// add remembers a request that was told to return at a time.
func (r *refusals) add(e *Entry, returnAt time.Time) {
	if e.Fingerprint == 0 {
		return
	}
	if r.all == nil {
		r.all = map[uint64]refusal{}
	}
	arrived := e.Arrived
	if f, ok := r.all[e.Fingerprint]; ok && f.arrived.Before(arrived) {
		arrived = f.arrived
	}
	r.all[e.Fingerprint] = refusal{arrived: arrived, returnAt: returnAt}
	r.order = append(r.order, e.Fingerprint)
	for len(r.order) > maxRefusals {
		delete(r.all, r.order[0])
		r.order = r.order[1:]
	}
}

// find returns the refusal after which a request has returned. It is false for a caller
// that returns earlier than it was told, and so gains nothing by that.
func (r *refusals) find(e *Entry, now time.Time) (refusal, bool) {
	f, ok := r.all[e.Fingerprint]
	if !ok || e.Fingerprint == 0 || now.Before(f.returnAt) || now.After(f.returnAt.Add(returnWindow)) {
		return refusal{}, false
	}
	return f, true
}

// patience returns the longest time that a caller waits before it returns.
func patience(e *Entry, now time.Time) time.Duration {
	if e.Deadline.IsZero() {
		return math.MaxInt64
	}
	return time.Duration(patienceShare * float64(e.Deadline.Sub(now)))
}

// retries staggers the retry times of rejected callers. The zero value is ready for use.
type retries struct {
	// last has the latest retry time that was given to a caller of each priority.
	last map[int]time.Time
}

// next returns the retry time of a caller whose priority is expected to have room from
// free on. The callers of its and higher priorities that were told earlier go first, each
// for an interval.
func (r *retries) next(priority int, free time.Time, interval time.Duration) time.Time {
	at := free
	for p, last := range r.last {
		if p <= priority {
			at = latest(at, last.Add(interval))
		}
	}
	if r.last == nil {
		r.last = map[int]time.Time{}
	}
	if _, ok := r.last[priority]; !ok && len(r.last) >= maxPriorities {
		priority = math.MaxInt
	}
	r.last[priority] = at
	return at
}
