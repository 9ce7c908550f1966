// Package admitter orders the requests that wait for room at a service's model
// engines, and says which of them can't be served in time. It decides only: it
// has no I/O, no clock and no goroutines.
//
// # Usage
//
//	q := admitter.New(admitter.Options{})
//	if retryAfter, ok := q.Push(wish, now); !ok { /* refuse at once */ }
//	for _, key := range q.Expired(now) { /* refuse: it can't end in time */ }
//	if key, ok := q.Next(now); ok {
//		q.Take(key, now)
//		/* look for room */
//		q.Granted(now) // or q.Return(wish)
//	}
//
// # Who goes first
//
// A burst makes more requests wait than can be answered on time. Served in the
// order of arrival, each would come a little late, and the answers of all lose
// most of their worth. So those that can still be on time go first, the more
// urgent before the less urgent and the earlier before the later; those that
// can't be on time any more follow, the oldest first. They get a share of the
// turns in any case, so that none starves while fresh requests keep coming.
package admitter

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// defaultLateShare gives every tenth turn to requests that are late.
	defaultLateShare = 0.1
	// intervalWeight is the weight of one grant in the mean time between
	// grants.
	intervalWeight = 0.15
	// longestInterval bounds what one pause counts for in that mean.
	longestInterval = time.Second
	// minRetryAfter keeps callers that were refused from coming straight back.
	minRetryAfter = 100 * time.Millisecond
)

// Key names a waiting request.
type Key uint64

// Wish is a request that waits for room.
type Wish struct {
	Key     Key
	Arrived time.Time
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// OnTimeBy is when it has to start to be on time.
	OnTimeBy time.Time
	// StartBy is when it has to start to be answered at all.
	StartBy time.Time
}

// Options of a Queue; zero fields get defaults.
type Options struct {
	// LateShare is the share of turns that late requests get while others can
	// still be on time.
	LateShare float64
	// Seed starts the draws that spread returns.
	Seed uint64
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	options  Options
	random   *rand.Rand
	waiting  []Wish
	credit   float64 // turns that late requests are owed
	interval float64 // mean seconds between grants while requests wait; 0: unknown
	granted  time.Time
	backlog  bool // requests waited at the last grant
}

// New gives an empty queue.
func New(o Options) *Queue {
	if o.LateShare <= 0 {
		o.LateShare = defaultLateShare
	}
	return &Queue{options: o, random: rand.New(rand.NewPCG(o.Seed, 1))}
}

// Len gives the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.waiting)
}

// Push lets a request wait. ok is false if it can't be expected to start in
// time; retryAfter says then when the queue should have drained.
func (q *Queue) Push(w Wish, now time.Time) (retryAfter time.Duration, ok bool) {
	wait := q.ExpectedWait(len(q.waiting))
	if len(q.waiting) > 0 && now.Add(wait).After(w.StartBy) {
		return q.spread(wait), false
	}
	q.waiting = append(q.waiting, w)
	return 0, true
}

// ExpectedWait gives how long a request with count others before it waits.
func (q *Queue) ExpectedWait(count int) time.Duration {
	return time.Duration(float64(count) * q.interval * float64(time.Second))
}

// RetryAfter gives when a caller should come back that has been refused now.
func (q *Queue) RetryAfter() time.Duration {
	return q.spread(q.ExpectedWait(len(q.waiting)))
}

// spread draws a time around d, so that callers don't return together.
func (q *Queue) spread(d time.Duration) time.Duration {
	d = max(d, minRetryAfter)
	return d/2 + time.Duration(q.random.Float64()*float64(d))
}

// Remove forgets a request; false: it doesn't wait.
func (q *Queue) Remove(k Key) bool {
	at := slices.IndexFunc(q.waiting, func(w Wish) bool { return w.Key == k })
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Expired takes out the requests that can't start in time any more.
func (q *Queue) Expired(now time.Time) []Key {
	var expired []Key
	q.waiting = slices.DeleteFunc(q.waiting, func(w Wish) bool {
		if now.Before(w.StartBy) {
			return false
		}
		expired = append(expired, w.Key)
		return true
	})
	return expired
}

// Next gives the request whose turn it is, without taking it out.
func (q *Queue) Next(now time.Time) (Key, bool) {
	onTime, late := q.first(now)
	switch {
	case onTime < 0 && late < 0:
		return 0, false
	case onTime < 0 || late >= 0 && q.credit >= 1:
		return q.waiting[late].Key, true
	default:
		return q.waiting[onTime].Key, true
	}
}

// first gives the index of the first request that can be on time and of the
// first one that can't; -1: there is none.
func (q *Queue) first(now time.Time) (onTime, late int) {
	onTime, late = -1, -1
	for i := range q.waiting {
		w := &q.waiting[i]
		if now.After(w.OnTimeBy) {
			if late < 0 || w.Arrived.Before(q.waiting[late].Arrived) {
				late = i
			}
			continue
		}
		if onTime < 0 || before(w, &q.waiting[onTime]) {
			onTime = i
		}
	}
	return onTime, late
}

// before orders requests that can be on time.
func before(a, b *Wish) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.Arrived.Before(b.Arrived)
}

// Take takes out a request for which room is looked for.
func (q *Queue) Take(k Key, now time.Time) {
	at := slices.IndexFunc(q.waiting, func(w Wish) bool { return w.Key == k })
	if at < 0 {
		return
	}
	q.account(&q.waiting[at], now)
	q.waiting = slices.Delete(q.waiting, at, at+1)
}

// Granted notes that a request that was taken out has been given room.
func (q *Queue) Granted(now time.Time) {
	q.learn(now)
}

// account keeps what late requests are owed.
func (q *Queue) account(w *Wish, now time.Time) {
	onTime, late := q.first(now)
	if onTime < 0 || late < 0 {
		q.credit = 0
		return
	}
	if now.After(w.OnTimeBy) {
		q.credit = max(0, q.credit-1)
		return
	}
	q.credit += q.options.LateShare
}

// Return lets a request wait on that was taken out but found no room.
func (q *Queue) Return(w Wish) {
	q.waiting = append(q.waiting, w)
}

// learn measures the time between grants while requests wait.
func (q *Queue) learn(now time.Time) {
	if q.backlog {
		passed := min(now.Sub(q.granted), longestInterval).Seconds()
		if q.interval == 0 {
			q.interval = passed
		}
		q.interval += intervalWeight * (passed - q.interval)
	}
	q.granted = now
	q.backlog = len(q.waiting) > 0
}
