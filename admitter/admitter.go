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
//		q.Granted(&wish, now) // or q.Return(wish)
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
//
// Among those that can be on time, requests of a size that is given room much less
// often than others go before the rest of their priority: room that becomes free is
// seldom enough for a large request, and small ones would take it each time.
//
// # Who is refused
//
// A request is refused when it comes, or once it is late, if it can't be
// expected to start in time in that order: a fresh one waits only for those that
// can be on time before it, a late one for the turns that late ones get. Callers
// that are refused are told to come back one after another, once what waits has
// been served and those have returned who were refused before.
package admitter

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// defaultLateShare gives every tenth turn to requests that are late.
	defaultLateShare = 0.1
	// intervalWeight is the weight of one grant in the mean time between
	// grants.
	intervalWeight = 0.15
	// longestInterval bounds what one pause counts for in that mean.
	longestInterval = time.Second
	// burstHorizon is how long fresh requests are expected to go before late ones.
	burstHorizon = 2 * time.Second
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
	// Tokens are the memory that it takes.
	Tokens identifier.Tokens
	// StartBy is when it has to start to be answered at all.
	StartBy time.Time
	// Kept is set while an engine is kept for it: it starts once there is room,
	// whoever else waits.
	Kept bool
	// Unkept is set once no engine could be kept for it in time.
	Unkept bool
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
	all      pace    // of all grants
	late     pace    // of grants to late requests
	fairness fairness
	returned time.Time // when the last of the callers that were refused returns
}

// pace is the mean time between grants while requests wait.
type pace struct {
	interval float64 // seconds; 0: unknown
	last     time.Time
	backlog  bool // requests waited at the last grant
}

// granted notes a grant; waiting are the requests that go on waiting.
func (p *pace) granted(now time.Time, waiting int) {
	if p.backlog {
		passed := min(now.Sub(p.last), longestInterval).Seconds()
		if p.interval == 0 {
			p.interval = passed
		}
		p.interval += intervalWeight * (passed - p.interval)
	}
	p.last = now
	p.backlog = waiting > 0
}

// wait gives how long count grants take.
func (p *pace) wait(count int) time.Duration {
	return time.Duration(float64(count) * p.interval * float64(time.Second))
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
// time; retryAfter says then when to come back.
func (q *Queue) Push(w Wish, now time.Time) (retryAfter time.Duration, ok bool) {
	if len(q.waiting) > 0 && q.hopeless(&w, now) {
		q.fairness.add(w.Tokens, false)
		return q.RetryAfter(now), false
	}
	q.Admit(w)
	return 0, true
}

// Admit lets a request wait whatever waits before it.
func (q *Queue) Admit(w Wish) {
	q.waiting = append(q.waiting, w)
}

// hopeless tells whether a request that comes now can't be expected to start in
// time: neither while it can be on time nor, once it is late, in its turn.
func (q *Queue) hopeless(w *Wish, now time.Time) bool {
	ahead, late := 0, 0
	for i := range q.waiting {
		o := &q.waiting[i]
		switch {
		case now.After(o.OnTimeBy):
			late++
		case !q.before(w, o):
			ahead++
		}
	}
	turns := q.freshTurns(w.OnTimeBy.Sub(now), late > 0)
	if ahead <= turns {
		return false
	}
	late += ahead - turns // they will be late before it
	return later(now, w.OnTimeBy).Add(q.lateWait(late)).After(w.StartBy)
}

// freshTurns gives how many requests that can be on time start within d.
func (q *Queue) freshTurns(d time.Duration, late bool) int {
	if q.all.interval == 0 {
		return math.MaxInt
	}
	turns := max(0, d.Seconds()) / q.all.interval
	if late {
		turns *= 1 - q.options.LateShare
	}
	return int(turns)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ExpectedWait gives how long it takes until all that waits has been served.
func (q *Queue) ExpectedWait() time.Duration {
	return q.all.wait(len(q.waiting))
}

// RetryAfter gives when a caller should come back that is refused now: after
// those that wait, and after those that were refused before it.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	drained := now.Add(q.ExpectedWait())
	q.returned = later(drained, q.returned.Add(q.all.wait(1)))
	return q.spread(q.returned.Sub(now))
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

// Expired takes out the requests that can't start in time any more: their time
// has passed, or they are late and too many late ones go before them.
func (q *Queue) Expired(now time.Time) []Key {
	var expired []Key
	late := q.lateRanks(now)
	q.waiting = slices.DeleteFunc(q.waiting, func(w Wish) bool {
		starts := now
		if n, ok := late[w.Key]; ok {
			starts = now.Add(q.lateWait(n))
		}
		if starts.Before(w.StartBy) {
			return false
		}
		expired = append(expired, w.Key)
		q.fairness.add(w.Tokens, false)
		return true
	})
	return expired
}

// lateRanks gives how many late requests go before each of them.
func (q *Queue) lateRanks(now time.Time) map[Key]int {
	var late []Wish
	for _, w := range q.waiting {
		if now.After(w.OnTimeBy) && !w.Kept {
			late = append(late, w)
		}
	}
	slices.SortFunc(late, func(a, b Wish) int { return a.Arrived.Compare(b.Arrived) })
	ranks := make(map[Key]int, len(late))
	for n, w := range late {
		ranks[w.Key] = n
	}
	return ranks
}

// Waits tells whether a request waits and isn't taken out.
func (q *Queue) Waits(k Key) bool {
	return slices.ContainsFunc(q.waiting, func(w Wish) bool { return w.Key == k })
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
		if onTime < 0 || q.before(w, &q.waiting[onTime]) {
			onTime = i
		}
	}
	return onTime, late
}

// before orders requests that can be on time.
func (q *Queue) before(a, b *Wish) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if u := q.Underserved(a); u != q.Underserved(b) {
		return u
	}
	return a.Arrived.Before(b.Arrived)
}

// Underserved tells whether requests of about this size are given room much less
// often than others.
func (q *Queue) Underserved(w *Wish) bool {
	return q.fairness.underserved(w.Tokens)
}

// MostUnderserved gives the waiting request whose size is served least, of those
// that are underserved and for which an engine may be kept.
func (q *Queue) MostUnderserved() (Key, bool) {
	first, least := -1, 0.0
	for i := range q.waiting {
		w := &q.waiting[i]
		if w.Kept || w.Unkept || !q.Underserved(w) {
			continue
		}
		share := q.fairness.share(w.Tokens)
		if first < 0 || share < least {
			first, least = i, share
		}
	}
	if first < 0 {
		return 0, false
	}
	return q.waiting[first].Key, true
}

// Take takes out a request for which room is looked for; false: it doesn't wait.
func (q *Queue) Take(k Key, now time.Time) (Wish, bool) {
	at := slices.IndexFunc(q.waiting, func(w Wish) bool { return w.Key == k })
	if at < 0 {
		return Wish{}, false
	}
	w := q.waiting[at]
	q.account(&w, now)
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return w, true
}

// Granted notes that a request that was taken out has been given room.
func (q *Queue) Granted(w *Wish, now time.Time) {
	q.fairness.add(w.Tokens, true)
	q.all.granted(now, len(q.waiting))
	late := len(q.lateRanks(now))
	switch {
	case now.After(w.OnTimeBy):
		q.late.granted(now, late)
	case late == 0:
		q.late.backlog = false
	case !q.late.backlog:
		q.late.last = now
		q.late.backlog = true
	}
}

// lateWait gives how long a late request waits that has count late ones before
// it: at the pace of late requests while the burst goes on, then at that of all.
func (q *Queue) lateWait(count int) time.Duration {
	wait := q.late.wait(count)
	if wait <= burstHorizon {
		return wait
	}
	inBurst := int(burstHorizon.Seconds() / q.late.interval)
	return min(wait, burstHorizon+q.all.wait(count-inBurst))
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
