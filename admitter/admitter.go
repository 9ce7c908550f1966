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
// by priority. Late requests follow, also by priority. A late request goes before
// less urgent on-time ones shortly before its latest start, since it would be lost
// behind them. Late requests get a fixed share of the grants in any case, and the
// oldest of them a fixed part of that, so that none starve while new requests keep
// arriving.
//
// Among on-time requests of one priority, sizes that are granted much less often
// than others go first: the memory that one completion frees is seldom enough for
// a large request, and small requests would take it each time. Callers that return
// after a rejection, at the time that they were told, follow. Then come the customers
// that were granted the least work lately, and last the requests that have to start
// soonest.
//
// # Admission
//
// A request is rejected on arrival, or once its turn is out of reach, if it isn't
// expected to start in time in that order. An on-time request waits only for the
// on-time requests ahead of it, a late one for the grants that late requests get.
// A more urgent request thus displaces the last ones of the queue, which are told
// at once. The retry times given to rejected callers are staggered: each falls after
// the requests of the same or a higher priority have drained and after the callers
// of such priorities that were rejected earlier have retried.
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
	// workWeight is the weight of one sample in the moving average of the work.
	workWeight = 0.05
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
	// Deadline is when the caller gives up; zero if unknown.
	Deadline time.Time
	// Earmarked is set while an engine is earmarked for it: it starts as soon as
	// that engine has enough free memory, regardless of the queue.
	Earmarked bool
	// EarmarkFailed is set once no engine could be earmarked for it in time.
	EarmarkFailed bool
	// Returning is set by the queue if the caller was rejected before and has returned
	// when it was told to.
	Returning bool
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
	options    Options
	random     *rand.Rand
	waiting    []Entry
	lateCredit float64 // grants owed to late requests
	lateTurns  int     // grants that late requests were owed
	grants     grantInterval
	lateGrants grantInterval
	meanWork   float64 // moving average of the work of grants; 0: unknown
	fairness   fairness
	shares     shares
	refusals   refusals
	retries    retries
	statistics statistics
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
	if len(q.waiting) == 0 {
		q.Admit(e)
		return 0, true
	}
	q.Recognize(&e, now)
	q.waiting = append(q.waiting, e)
	start := q.plan(now)[e.Key]
	if !start.After(e.LatestStart) {
		return 0, true
	}
	q.waiting = q.waiting[:len(q.waiting)-1]
	return q.reject(&e, start, now), false
}

// Admit queues a request without admission control.
func (q *Queue) Admit(e Entry) {
	q.Recognize(&e, e.Arrived)
	q.waiting = append(q.waiting, e)
}

// Recognize marks a request whose caller was rejected before. Its objective counts
// from the caller's first attempt. Push and Admit do so for their copy.
func (q *Queue) Recognize(e *Entry, now time.Time) {
	if e.Returning {
		return
	}
	if f, ok := q.refusals.find(e, now); ok {
		e.Returning = true
		e.LatestOnTimeStart = e.LatestOnTimeStart.Add(f.arrived.Sub(e.Arrived))
	}
}

// reject records the rejection of a request that was expected to start at a time, and
// returns the delay before a retry.
func (q *Queue) reject(e *Entry, start, now time.Time) time.Duration {
	retryAfter := max(minRetryAfter, min(q.retryAfter(e.Priority, start, now), patience(e, now)))
	q.refusals.add(e, now.Add(retryAfter))
	q.fairness.add(e.Tokens, false)
	q.statistics.reject(e)
	return retryAfter
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
	return q.retryAfter(math.MaxInt, now, now)
}

// retryAfter returns the retry delay for a caller of a priority whose request was
// expected to start at a time.
func (q *Queue) retryAfter(priority int, start, now time.Time) time.Duration {
	ahead := 0
	for i := range q.waiting {
		if q.waiting[i].Priority <= priority {
			ahead++
		}
	}
	at := q.retries.next(priority, latest(start, now.Add(q.grants.wait(ahead))), q.grants.wait(1))
	return q.jitter(at.Sub(now))
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

// Rejection is a request that was removed from the queue since it can't start in time.
type Rejection struct {
	Entry      Entry
	RetryAfter time.Duration
	// DisplacedBy is the latest more urgent request that arrived after it; 0 if there is
	// none.
	DisplacedBy Key
}

// RemoveExpired removes and returns the requests that can no longer start in
// time: their LatestStart has passed, or too many others are before them.
func (q *Queue) RemoveExpired(now time.Time) []Key {
	var expired []Key
	for _, r := range q.Reject(now) {
		expired = append(expired, r.Entry.Key)
	}
	return expired
}

// Reject is RemoveExpired with what to tell the callers. The most urgent are first.
func (q *Queue) Reject(now time.Time) []Rejection {
	if len(q.waiting) == 0 {
		return nil
	}
	starts := q.plan(now)
	rejected := q.removeIf(func(e *Entry) bool { return !now.Before(e.LatestStart) })
	rejected = append(rejected, q.removeIf(func(e *Entry) bool { // the ones before displace nobody
		return !starts[e.Key].Before(e.LatestStart) && !q.keepsTurn(e, now)
	})...)
	slices.SortFunc(rejected, func(a, b Rejection) int { return compareLate(candidate{Entry: &a.Entry}, candidate{Entry: &b.Entry}) })
	for i := range rejected {
		r := &rejected[i]
		r.DisplacedBy = q.displacer(&r.Entry)
		r.RetryAfter = q.reject(&r.Entry, starts[r.Entry.Key], now)
		q.statistics.displace(r)
	}
	return rejected
}

// removeIf removes and returns the requests for which reject returns true. It is called for
// all of them before any is removed.
func (q *Queue) removeIf(reject func(*Entry) bool) []Rejection {
	var rejected []Rejection
	kept := make([]Entry, 0, len(q.waiting))
	for i := range q.waiting {
		if e := &q.waiting[i]; reject(e) {
			rejected = append(rejected, Rejection{Entry: *e})
			continue
		}
		kept = append(kept, q.waiting[i])
	}
	q.waiting = kept
	return rejected
}

// keepsTurn reports whether a request that was admitted keeps its turn, whatever the
// expected time of that is: it is on time, and no more urgent request has come since or its
// size is granted too seldom already.
func (q *Queue) keepsTurn(e *Entry, now time.Time) bool {
	return !e.late(now) && (q.Underserved(e) || q.displacer(e) == 0)
}

// displacer returns the latest more urgent request that arrived after e.
func (q *Queue) displacer(e *Entry) Key {
	var last *Entry
	for i := range q.waiting {
		o := &q.waiting[i]
		if o.Priority < e.Priority && o.Arrived.After(e.Arrived) && (last == nil || o.Arrived.After(last.Arrived)) {
			last = o
		}
	}
	if last == nil {
		return 0
	}
	return last.Key
}

// countLate returns the number of late requests. Earmarked requests don't count as
// late, since they don't wait for a turn.
func (q *Queue) countLate(now time.Time) int {
	n := 0
	for i := range q.waiting {
		if e := &q.waiting[i]; e.late(now) && !e.Earmarked {
			n++
		}
	}
	return n
}

// Contains reports whether a request is queued. One that was removed by Take is
// not.
func (q *Queue) Contains(k Key) bool {
	return slices.ContainsFunc(q.waiting, func(e Entry) bool { return e.Key == k })
}

// Next returns the request to serve next, without removing it.
func (q *Queue) Next(now time.Time) (Key, bool) {
	e := q.next(now)
	if e == nil {
		return 0, false
	}
	return e.Key, true
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
	q.shares.add(e.Customer, q.cost(e), now)
	q.recordWork(e.Work)
	q.statistics.grant(e, now)
	q.grants.record(now, len(q.waiting))
	late := q.countLate(now)
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

// recordWork adds the work of a grant to the moving average.
func (q *Queue) recordWork(work time.Duration) {
	switch {
	case work <= 0:
	case q.meanWork == 0:
		q.meanWork = float64(work)
	default:
		q.meanWork += workWeight * (float64(work) - q.meanWork)
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
	h := q.heads(now)
	if h.onTime.Entry == nil || h.late.Entry == nil {
		q.lateCredit = 0
		return
	}
	if e.late(now) {
		q.lateTurns++
		q.lateCredit = max(0, q.lateCredit-1)
		return
	}
	q.lateCredit += q.options.LateShare
}

// Requeue returns a request to the queue after an unsuccessful search.
func (q *Queue) Requeue(e Entry) {
	q.waiting = append(q.waiting, e)
}
