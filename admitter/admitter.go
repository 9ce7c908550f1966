// Package admitter implements the queue of requests that wait for capacity at a
// service's model engines, with admission control. It holds policy only: it does
// no I/O, reads no clock and starts no goroutines.
//
// # Usage
//
//	q := admitter.New(admitter.Options{})
//	if retryAfter, ok := q.Push(entry, now); !ok { /* reject immediately */ }
//	for _, key := range q.RemoveExpired(now) { /* reject: too late to start */ }
//	if key, ok := q.Next(now); ok {
//		q.Take(key, now)
//		/* search for capacity */
//		q.RecordGrant(&entry, now) // or q.Requeue(entry)
//	}
//
// # Order
//
// During a burst, more requests wait than can be answered on time. In FIFO order
// every one of them would be slightly late and most of the responses' value
// would be lost. Requests that can still meet their objective therefore go first,
// by priority and then by arrival. Late requests follow, oldest first. They get a
// fixed share of the grants in any case, so that they don't starve while new
// requests keep arriving.
//
// Among on-time requests of one priority, sizes that are granted much less often
// than others go first: the memory that one completion frees is seldom enough for
// a large request, and small requests would take it each time.
//
// # Admission
//
// A request is rejected on arrival, or once it is late, if it isn't expected to
// start in time in that order. An on-time request waits only for the on-time
// requests ahead of it, a late one for the grants that late requests get. The
// retry times given to rejected callers are staggered: each falls after the
// current queue has drained and after the callers rejected earlier have retried.
package admitter

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// defaultLateShare gives every tenth grant to late requests.
	defaultLateShare = 0.1
	// intervalWeight is the weight of one sample in the moving average of the
	// interval between grants.
	intervalWeight = 0.15
	// maxGrantInterval caps a single sample of that average.
	maxGrantInterval = time.Second
	// burstHorizon is how long on-time requests are expected to take precedence
	// over late ones.
	burstHorizon = 2 * time.Second
	// minRetryAfter keeps rejected callers from retrying immediately.
	minRetryAfter = 100 * time.Millisecond
)

// Key identifies a queued request.
type Key uint64

// Entry is a request that waits for engine capacity.
type Entry struct {
	Key     Key
	Arrived time.Time
	// Priority orders requests; lower values go first.
	Priority int
	// Customer is who sent it; empty if customers aren't told apart.
	Customer identifier.Customer
	// Work is the endpoints' time that it is expected to take, and Spent what earlier
	// attempts at it have taken; 0 means unknown.
	Work, Spent time.Duration
	// Fingerprint is the same for repeats of a request by its caller; 0 means unknown.
	Fingerprint uint64
	// LatestOnTimeStart is the latest start that still meets the objective.
	LatestOnTimeStart time.Time
	// Tokens is the engine memory that it needs.
	Tokens identifier.Tokens
	// LatestStart is the latest start that is still useful.
	LatestStart time.Time
	// Earmarked is set while an engine is earmarked for it: it starts as soon as
	// that engine has enough free memory, regardless of the queue.
	Earmarked bool
	// EarmarkFailed is set once no engine could be earmarked for it in time.
	EarmarkFailed bool
}

// Options configures a Queue; zero fields get defaults.
type Options struct {
	// LateShare is the share of grants that late requests get while on-time
	// requests wait.
	LateShare float64
	// Seed seeds the jitter of retry times.
	Seed uint64
}

// Queue orders waiting requests. It is not safe for concurrent use.
type Queue struct {
	options     Options
	random      *rand.Rand
	waiting     []Entry
	lateCredit  float64 // grants owed to late requests
	grants      grantInterval
	lateGrants  grantInterval
	fairness    fairness
	lastRetryAt time.Time // latest retry time given to a rejected caller, without jitter
}

// grantInterval is a moving average of the time between grants while requests
// wait.
type grantInterval struct {
	mean    float64 // seconds; 0: unknown
	last    time.Time
	backlog bool // whether requests were still waiting after the last grant
}

// record adds a grant, after which the given number of requests still wait.
func (p *grantInterval) record(now time.Time, waiting int) {
	if p.backlog {
		elapsed := min(now.Sub(p.last), maxGrantInterval).Seconds()
		if p.mean == 0 {
			p.mean = elapsed
		}
		p.mean += intervalWeight * (elapsed - p.mean)
	}
	p.last = now
	p.backlog = waiting > 0
}

// wait returns the expected time for count grants.
func (p *grantInterval) wait(count int) time.Duration {
	return time.Duration(float64(count) * p.mean * float64(time.Second))
}

// New returns an empty queue.
func New(o Options) *Queue {
	if o.LateShare <= 0 {
		o.LateShare = defaultLateShare
	}
	return &Queue{options: o, random: rand.New(rand.NewPCG(o.Seed, 1))}
}

// Len returns the number of queued requests.
func (q *Queue) Len() int {
	return len(q.waiting)
}

// Push queues a request. If the request isn't expected to start in time, it is
// rejected: ok is false, and retryAfter is the delay before a retry.
func (q *Queue) Push(e Entry, now time.Time) (retryAfter time.Duration, ok bool) {
	if len(q.waiting) > 0 && q.cannotStartInTime(&e, now) {
		q.fairness.add(e.Tokens, false)
		return q.RetryAfter(now), false
	}
	q.Admit(e)
	return 0, true
}

// Admit queues a request without admission control.
func (q *Queue) Admit(e Entry) {
	q.waiting = append(q.waiting, e)
}

// cannotStartInTime reports whether a new request is expected to start neither
// while it is on time nor, once it is late, before its LatestStart.
func (q *Queue) cannotStartInTime(e *Entry, now time.Time) bool {
	ahead, late := 0, 0
	for i := range q.waiting {
		o := &q.waiting[i]
		switch {
		case now.After(o.LatestOnTimeStart):
			late++
		case !q.precedes(e, o):
			ahead++
		}
	}
	starts := q.onTimeStarts(e.LatestOnTimeStart.Sub(now), late > 0)
	if ahead <= starts {
		return false
	}
	late += ahead - starts // these will be late too, and go before e
	return latest(now, e.LatestOnTimeStart).Add(q.lateWait(late)).After(e.LatestStart)
}

// onTimeStarts returns how many on-time requests are expected to start within d.
// late says whether late requests take their share of the grants.
func (q *Queue) onTimeStarts(d time.Duration, late bool) int {
	if q.grants.mean == 0 {
		return math.MaxInt
	}
	starts := max(0, d.Seconds()) / q.grants.mean
	if late {
		starts *= 1 - q.options.LateShare
	}
	return int(starts)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ExpectedWait returns the expected time until the current queue has drained.
func (q *Queue) ExpectedWait() time.Duration {
	return q.grants.wait(len(q.waiting))
}

// RetryAfter returns the retry delay for a caller that is rejected now: after the
// queue has drained and after the callers rejected earlier have retried.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	drained := now.Add(q.ExpectedWait())
	q.lastRetryAt = latest(drained, q.lastRetryAt.Add(q.grants.wait(1)))
	return q.jitter(q.lastRetryAt.Sub(now))
}

// jitter returns a random delay around d, so that callers don't retry
// simultaneously.
func (q *Queue) jitter(d time.Duration) time.Duration {
	d = max(d, minRetryAfter)
	return d/2 + time.Duration(q.random.Float64()*float64(d))
}

// Remove removes a request and reports whether it was queued.
func (q *Queue) Remove(k Key) bool {
	at := slices.IndexFunc(q.waiting, func(e Entry) bool { return e.Key == k })
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// RemoveExpired removes and returns the requests that can no longer start in
// time: their LatestStart has passed, or they are late behind too many other
// late requests.
func (q *Queue) RemoveExpired(now time.Time) []Key {
	var expired []Key
	late := q.lateRanks(now)
	q.waiting = slices.DeleteFunc(q.waiting, func(e Entry) bool {
		starts := now
		if n, ok := late[e.Key]; ok {
			starts = now.Add(q.lateWait(n))
		}
		if starts.Before(e.LatestStart) {
			return false
		}
		expired = append(expired, e.Key)
		q.fairness.add(e.Tokens, false)
		return true
	})
	return expired
}

// lateRanks returns each late request's position among the late requests.
// Earmarked requests don't count as late, since they don't wait for a turn.
func (q *Queue) lateRanks(now time.Time) map[Key]int {
	var late []Entry
	for _, e := range q.waiting {
		if now.After(e.LatestOnTimeStart) && !e.Earmarked {
			late = append(late, e)
		}
	}
	slices.SortFunc(late, func(a, b Entry) int { return a.Arrived.Compare(b.Arrived) })
	ranks := make(map[Key]int, len(late))
	for n, e := range late {
		ranks[e.Key] = n
	}
	return ranks
}

// Contains reports whether a request is queued. One that was removed by Take is
// not.
func (q *Queue) Contains(k Key) bool {
	return slices.ContainsFunc(q.waiting, func(e Entry) bool { return e.Key == k })
}

// Next returns the request to serve next, without removing it.
func (q *Queue) Next(now time.Time) (Key, bool) {
	onTime, late := q.heads(now)
	switch {
	case onTime < 0 && late < 0:
		return 0, false
	case onTime < 0 || late >= 0 && q.lateCredit >= 1:
		return q.waiting[late].Key, true
	default:
		return q.waiting[onTime].Key, true
	}
}

// heads returns the indexes of the first on-time and of the first late request,
// or -1 if there is none.
func (q *Queue) heads(now time.Time) (onTime, late int) {
	onTime, late = -1, -1
	for i := range q.waiting {
		e := &q.waiting[i]
		if now.After(e.LatestOnTimeStart) {
			if late < 0 || e.Arrived.Before(q.waiting[late].Arrived) {
				late = i
			}
			continue
		}
		if onTime < 0 || q.precedes(e, &q.waiting[onTime]) {
			onTime = i
		}
	}
	return onTime, late
}

// precedes reports whether on-time request a is served before b.
func (q *Queue) precedes(a, b *Entry) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if u := q.Underserved(a); u != q.Underserved(b) {
		return u
	}
	return a.Arrived.Before(b.Arrived)
}

// Underserved reports whether requests of e's size class are granted much less
// often than others.
func (q *Queue) Underserved(e *Entry) bool {
	return q.fairness.underserved(e.Tokens)
}

// MostUnderserved returns the queued request whose size class has the lowest
// grant rate, among the underserved ones that are still eligible for an earmark.
func (q *Queue) MostUnderserved() (Key, bool) {
	first, least := -1, 0.0
	for i := range q.waiting {
		e := &q.waiting[i]
		if e.Earmarked || e.EarmarkFailed || !q.Underserved(e) {
			continue
		}
		rate := q.fairness.grantRateOf(e.Tokens)
		if first < 0 || rate < least {
			first, least = i, rate
		}
	}
	if first < 0 {
		return 0, false
	}
	return q.waiting[first].Key, true
}

// Take removes and returns a request for a capacity search. It returns false if
// the request isn't queued.
func (q *Queue) Take(k Key, now time.Time) (Entry, bool) {
	at := slices.IndexFunc(q.waiting, func(e Entry) bool { return e.Key == k })
	if at < 0 {
		return Entry{}, false
	}
	e := q.waiting[at]
	q.updateLateCredit(&e, now)
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return e, true
}

// SetAside removes and returns a request that is passed over for now, until Requeue.
// Unlike Take, it doesn't count as a turn. It returns false if the request isn't queued.
func (q *Queue) SetAside(k Key) (Entry, bool) {
	at := slices.IndexFunc(q.waiting, func(e Entry) bool { return e.Key == k })
	if at < 0 {
		return Entry{}, false
	}
	e := q.waiting[at]
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return e, true
}

// RecordGrant records that a request removed by Take was given capacity.
func (q *Queue) RecordGrant(e *Entry, now time.Time) {
	q.fairness.add(e.Tokens, true)
	q.grants.record(now, len(q.waiting))
	late := len(q.lateRanks(now))
	switch {
	case now.After(e.LatestOnTimeStart):
		q.lateGrants.record(now, late)
	case late == 0:
		q.lateGrants.backlog = false
	case !q.lateGrants.backlog:
		q.lateGrants.last = now
		q.lateGrants.backlog = true
	}
}

// lateWait returns the expected wait of a late request with count late requests
// ahead of it: at the rate of late grants up to burstHorizon, and at the rate of
// all grants after that.
func (q *Queue) lateWait(count int) time.Duration {
	wait := q.lateGrants.wait(count)
	if wait <= burstHorizon {
		return wait
	}
	inBurst := int(burstHorizon.Seconds() / q.lateGrants.mean)
	return min(wait, burstHorizon+q.grants.wait(count-inBurst))
}

// updateLateCredit updates the number of grants owed to late requests when e is
// taken.
func (q *Queue) updateLateCredit(e *Entry, now time.Time) {
	onTime, late := q.heads(now)
	if onTime < 0 || late < 0 {
		q.lateCredit = 0
		return
	}
	if now.After(e.LatestOnTimeStart) {
		q.lateCredit = max(0, q.lateCredit-1)
		return
	}
	q.lateCredit += q.options.LateShare
}

// Requeue returns a request to the queue after an unsuccessful search.
func (q *Queue) Requeue(e Entry) {
	q.waiting = append(q.waiting, e)
}
