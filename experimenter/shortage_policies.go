package experimenter

import (
	"cmp"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/admitter"
)

const (
	oraclePolicy     = "oracle"
	productionPolicy = "admitter"
	// listRetryAfter is the retry time of the baselines, which know no other.
	listRetryAfter = 250 * time.Millisecond
	// previousLateShare is the share of grants of late requests in the previous order.
	previousLateShare = 0.1
	// oracleStep is the step in which the oracle books slots.
	oracleStep = 20 * time.Millisecond
)

// shortageQueue is a queue for a shortage.
type shortageQueue interface {
	Push(e admitter.Entry, now time.Time) (retryAfter time.Duration, ok bool)
	Reject(now time.Time) []admitter.Rejection
	Next(now time.Time) (admitter.Key, bool)
	Take(k admitter.Key, now time.Time) (admitter.Entry, bool)
	RecordGrant(e *admitter.Entry, now time.Time)
}

func shortagePolicies() []string {
	return []string{"first come", "priority", "earliest deadline", "least work", "previous", productionPolicy, oraclePolicy}
}

func newShortageQueue(policy string) shortageQueue {
	byArrival := func(a, b *admitter.Entry) int { return a.Arrived.Compare(b.Arrived) }
	byPriority := func(a, b *admitter.Entry) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), byArrival(a, b))
	}
	switch policy {
	case "first come":
		return &listQueue{compare: byArrival}
	case "priority":
		return &listQueue{compare: byPriority}
	case "earliest deadline":
		return &listQueue{compare: func(a, b *admitter.Entry) int { return a.LatestOnTimeStart.Compare(b.LatestOnTimeStart) }}
	case "least work":
		return &listQueue{compare: func(a, b *admitter.Entry) int { return cmp.Compare(a.Work, b.Work) }}
	case "previous":
		return &listQueue{compare: byPriority, compareLate: byArrival}
	default:
		return admitter.New(admitter.Options{})
	}
}

// listQueue serves requests in a fixed order until they expire.
type listQueue struct {
	compare func(a, b *admitter.Entry) int
	// compareLate orders late requests, which follow the others but for a share of the
	// grants; nil if they aren't set apart.
	compareLate func(a, b *admitter.Entry) int
	waiting     []admitter.Entry
	lateCredit  float64
}

// Push implements shortageQueue.
func (q *listQueue) Push(e admitter.Entry, _ time.Time) (time.Duration, bool) {
	q.waiting = append(q.waiting, e)
	return 0, true
}

// Reject implements shortageQueue.
func (q *listQueue) Reject(now time.Time) []admitter.Rejection {
	var expired []admitter.Rejection
	q.waiting = slices.DeleteFunc(q.waiting, func(e admitter.Entry) bool {
		if now.Before(e.LatestStart) {
			return false
		}
		expired = append(expired, admitter.Rejection{Entry: e, RetryAfter: listRetryAfter})
		return true
	})
	return expired
}

// Next implements shortageQueue.
func (q *listQueue) Next(now time.Time) (admitter.Key, bool) {
	var onTime, late *admitter.Entry
	for i := range q.waiting {
		e := &q.waiting[i]
		if q.compareLate != nil && now.After(e.LatestOnTimeStart) {
			if late == nil || q.compareLate(e, late) < 0 {
				late = e
			}
		} else if onTime == nil || q.compare(e, onTime) < 0 {
			onTime = e
		}
	}
	switch {
	case onTime == nil && late == nil:
		return 0, false
	case onTime == nil || late != nil && q.lateCredit >= 1:
		q.lateCredit = max(0, q.lateCredit-1)
		return late.Key, true
	case late != nil:
		q.lateCredit += previousLateShare
	}
	return onTime.Key, true
}

// Take implements shortageQueue.
func (q *listQueue) Take(k admitter.Key, _ time.Time) (admitter.Entry, bool) {
	at := slices.IndexFunc(q.waiting, func(e admitter.Entry) bool { return e.Key == k })
	if at < 0 {
		return admitter.Entry{}, false
	}
	e := q.waiting[at]
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return e, true
}

// RecordGrant implements shortageQueue.
func (q *listQueue) RecordGrant(*admitter.Entry, time.Time) {}

// scheduleByOracle serves requests with knowledge of all that will arrive. It books slots
// in several orders and keeps the best result: the requests that can be on time first, and
// then the others late.
func scheduleByOracle(kinds []shortageKind, requests []shortageRequest) {
	density := func(r *shortageRequest) float64 { return r.worth(&kinds[r.kind], true) / r.work.Seconds() }
	byDensity := func(a, b *shortageRequest) int { return cmp.Compare(density(b), density(a)) }
	byArrival := func(a, b *shortageRequest) int { return cmp.Compare(a.arrived, b.arrived) }
	byWorth := func(a, b *shortageRequest) int { return cmp.Compare(kinds[b.kind].Worth, kinds[a.kind].Worth) }
	drawn := slices.Clone(requests)
	best := -1.0
	for _, compare := range []func(a, b *shortageRequest) int{
		byArrival,
		byDensity,
		func(a, b *shortageRequest) int { return cmp.Or(byWorth(a, b), byArrival(a, b)) },
		func(a, b *shortageRequest) int { return cmp.Or(byWorth(a, b), byDensity(a, b)) },
	} {
		booked := slices.Clone(drawn)
		bookAll(kinds, booked, compare)
		if m := shortageMetrics(kinds, booked); m.Worth > best {
			best = m.Worth
			copy(requests, booked)
		}
	}
}

// bookAll books slots for requests in an order.
func bookAll(kinds []shortageKind, requests []shortageRequest, compare func(a, b *shortageRequest) int) {
	order := make([]*shortageRequest, len(requests))
	for i := range requests {
		order[i] = &requests[i]
	}
	slices.SortStableFunc(order, compare)
	used := make([]int, int((shortageDuration+3*callerDeadline)/oracleStep)+1)
	for _, onTime := range []bool{true, false} {
		for _, r := range order {
			within := callerDeadline
			if onTime {
				within = kinds[r.kind].Objective
			}
			if !r.started && book(used, r, within) {
				r.started, r.onTime = true, onTime
			}
		}
	}
}

// book occupies a slot for a request that starts within a time of its arrival.
func book(used []int, r *shortageRequest, within time.Duration) bool {
	steps := max(1, int((r.work+oracleStep/2)/oracleStep))
	for at := int(r.arrived / oracleStep); at <= int((r.arrived+within)/oracleStep) && at+steps <= len(used); at++ {
		if slices.Max(used[at:at+steps]) >= shortageSlots {
			continue
		}
		for i := range steps {
			used[at+i]++
		}
		return true
	}
	return false
}
