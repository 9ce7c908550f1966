package admitter

import (
	"cmp"
	"time"
)

const (
	// deadlineStep is the difference between two latest on-time starts below which
	// the smaller work decides.
	deadlineStep = 100 * time.Millisecond
	// oldestLateTurn is the turn of late requests, of so many, that the oldest one
	// gets regardless of its priority.
	oldestLateTurn = 4
	// lastCall is the time before its latest start at which a late request goes
	// before less urgent on-time ones, so that it isn't lost behind them.
	lastCall = 250 * time.Millisecond
	// minCost and maxCost bound how much a request's work counts against that of the
	// mean request.
	minCost = 0.25
	maxCost = 4
)

func (e *Entry) late(now time.Time) bool {
	return now.After(e.LatestOnTimeStart)
}

// compareOnTime orders on-time requests: by priority, then sizes that are granted too
// seldom, then callers that have been refused before, then what has been spent on them,
// then customers that got the least, and then by what is lost if the request waits: its
// slack and its work.
func (q *Queue) compareOnTime(a, b *Entry) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if c := compareTrueFirst(q.Underserved(a), q.Underserved(b)); c != 0 {
		return c
	}
	if c := compareTrueFirst(a.Returning, b.Returning); c != 0 {
		return c
	}
	if c := cmp.Compare(b.Spent, a.Spent); c != 0 {
		return c
	}
	if c := q.shares.compare(a.Customer, b.Customer); c != 0 {
		return c
	}
	if c := a.LatestOnTimeStart.Truncate(deadlineStep).Compare(b.LatestOnTimeStart.Truncate(deadlineStep)); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Work, b.Work); c != 0 {
		return c
	}
	return compareArrival(a, b)
}

// compareLate orders late requests, which no longer differ by their slack.
func (q *Queue) compareLate(a, b *Entry) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	if c := compareTrueFirst(a.Returning, b.Returning); c != 0 {
		return c
	}
	if c := cmp.Compare(b.Spent, a.Spent); c != 0 {
		return c
	}
	return compareArrival(a, b)
}

func compareArrival(a, b *Entry) int {
	if c := a.Arrived.Compare(b.Arrived); c != 0 {
		return c
	}
	return cmp.Compare(a.Key, b.Key)
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// heads holds the indexes of the requests that may be next; -1 for none.
type heads struct {
	// onTime is the first on-time request, late the first late one, and oldest the
	// late one that arrived first.
	onTime, late, oldest int
}

func (q *Queue) heads(now time.Time) heads {
	h := heads{onTime: -1, late: -1, oldest: -1}
	for i := range q.waiting {
		e := &q.waiting[i]
		if !e.late(now) {
			h.onTime = q.first(h.onTime, i, q.compareOnTime)
			continue
		}
		h.late = q.first(h.late, i, q.compareLate)
		h.oldest = q.first(h.oldest, i, compareArrival)
	}
	return h
}

// first returns the index of the request that compare puts first; a may be -1.
func (q *Queue) first(a, b int, compare func(a, b *Entry) int) int {
	if a < 0 || compare(&q.waiting[b], &q.waiting[a]) < 0 {
		return b
	}
	return a
}

// next returns the index of the request to serve next, or -1. A late request goes
// before an on-time one if late requests are owed a turn, or if it is more urgent
// and the on-time ones lose nothing by it or it would be lost itself.
func (q *Queue) next(now time.Time) int {
	h := q.heads(now)
	switch {
	case h.onTime < 0 && h.late < 0:
		return -1
	case h.late < 0:
		return h.onTime
	case h.onTime < 0 || q.lateCredit >= 1:
		if q.lateTurns%oldestLateTurn == oldestLateTurn-1 {
			return h.oldest
		}
		return h.late
	case q.waiting[h.late].Priority < q.waiting[h.onTime].Priority && q.lateGoesFirst(&q.waiting[h.late], now):
		return h.late
	default:
		return h.onTime
	}
}

// lateGoesFirst reports whether a late request goes before the on-time ones, which
// are all less urgent.
func (q *Queue) lateGoesFirst(late *Entry, now time.Time) bool {
	return late.LatestStart.Sub(now) < lastCall
}

// onTimeCanWait reports whether all on-time requests are expected to start on time if
// another request goes before them.
func (q *Queue) onTimeCanWait(now time.Time) bool {
	before := q.grants.wait(1)
	for _, e := range q.sorted(now, false) {
		if now.Add(before).After(e.LatestOnTimeStart) {
			return false
		}
		before += q.grantTime(e)
	}
	return true
}
