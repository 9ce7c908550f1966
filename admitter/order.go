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
	oldestLateTurn = 10
	// lostSoonMargin is the time before its latest start from which a late request goes
	// before less urgent on-time ones, so that it isn't lost behind them.
	lostSoonMargin = 250 * time.Millisecond
	// minCost and maxCost bound how much a request's work counts against that of the
	// mean request.
	minCost = 0.25
	maxCost = 4
)

func (e *Entry) late(now time.Time) bool {
	return now.After(e.LatestOnTimeStart)
}

// candidate is a waiting request with what its order depends on beside itself.
type candidate struct {
	*Entry
	underserved bool
	shareLevel  int
	// startStep is the number of deadlineSteps until its latest on-time start.
	startStep int64
}

func (q *Queue) candidate(e *Entry) candidate {
	return candidate{
		Entry: e, underserved: q.Underserved(e), shareLevel: q.shares.level(e.Customer),
		startStep: e.LatestOnTimeStart.UnixNano() / int64(deadlineStep),
	}
}

// compareOnTime orders on-time requests: by priority, then sizes that are granted too
// seldom, then callers that have been refused before, then what has been spent on them,
// then customers that got the least, and then by what is lost if the request waits: its
// slack and its work.
func compareOnTime(a, b candidate) int {
	switch {
	case a.Priority != b.Priority:
		return cmp.Compare(a.Priority, b.Priority)
	case a.underserved != b.underserved:
		return compareTrueFirst(a.underserved, b.underserved)
	case a.Returning != b.Returning:
		return compareTrueFirst(a.Returning, b.Returning)
	case a.Spent != b.Spent:
		return cmp.Compare(b.Spent, a.Spent)
	case a.shareLevel != b.shareLevel:
		return cmp.Compare(a.shareLevel, b.shareLevel)
	case a.startStep != b.startStep:
		return cmp.Compare(a.startStep, b.startStep)
	}
	return cmp.Or(cmp.Compare(a.Work, b.Work), compareArrival(a, b))
}

// compareLate orders late requests, which no longer differ by their slack.
func compareLate(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		compareTrueFirst(a.Returning, b.Returning),
		cmp.Compare(b.Spent, a.Spent),
		compareArrival(a, b),
	)
}

func compareArrival(a, b candidate) int {
	return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.Key, b.Key))
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

// heads holds the requests that may be next. One without an Entry is none.
type heads struct {
	// onTime is the first on-time request, late the first late one, and oldest the
	// late one that arrived first.
	onTime, late, oldest candidate
}

func (q *Queue) heads(now time.Time) heads {
	var h heads
	for i := range q.waiting {
		c := q.candidate(&q.waiting[i])
		if !c.late(now) {
			h.onTime = first(h.onTime, c, compareOnTime)
			continue
		}
		h.late = first(h.late, c, compareLate)
		h.oldest = first(h.oldest, c, compareArrival)
	}
	return h
}

// first returns the candidate that compare puts first; a may be none.
func first(a, b candidate, compare func(a, b candidate) int) candidate {
	if a.Entry == nil || compare(b, a) < 0 {
		return b
	}
	return a
}

// next returns the request to serve next, or nil. A late request goes before an on-time
// one if late requests are owed a turn, or if it is more urgent and would be lost soon.
func (q *Queue) next(now time.Time) *Entry {
	h := q.heads(now)
	switch {
	case h.late.Entry == nil:
		return h.onTime.Entry
	case h.onTime.Entry == nil || q.lateCredit >= 1:
		if q.lateTurns%oldestLateTurn == oldestLateTurn-1 {
			return h.oldest.Entry
		}
		return h.late.Entry
	case h.late.Priority < h.onTime.Priority && h.late.LatestStart.Sub(now) < lostSoonMargin:
		return h.late.Entry
	default:
		return h.onTime.Entry
	}
}
