package admitter

import (
	"slices"
	"time"
)

// sorted returns the late or the on-time requests in their order.
func (q *Queue) sorted(now time.Time, late bool) []candidate {
	all := make([]candidate, 0, len(q.waiting))
	for i := range q.waiting {
		if q.waiting[i].late(now) == late {
			all = append(all, q.candidate(&q.waiting[i]))
		}
	}
	if late {
		slices.SortFunc(all, compareLate)
	} else {
		slices.SortFunc(all, compareOnTime)
	}
	return all
}

// grantTime returns the time that the room for a request is expected to take to
// become free.
func (q *Queue) grantTime(e *Entry) time.Duration {
	return time.Duration(q.cost(e) * float64(q.grants.wait(1)))
}

// cost returns a request's work as a multiple of that of the mean request; 1 if one of
// them is unknown.
func (q *Queue) cost(e *Entry) float64 {
	if e.Work <= 0 || q.meanWork == 0 {
		return 1
	}
	return min(maxCost, max(minCost, float64(e.Work)/q.meanWork))
}

// plan returns the expected start of every waiting request. One that can't start on
// time is late from then on. Earmarked requests wait for no turn. Before grants have been
// measured, all requests are expected to start at once.
func (q *Queue) plan(now time.Time) map[Key]time.Time {
	starts := make(map[Key]time.Time, len(q.waiting))
	late := q.sorted(now, true)
	share := 1.0
	if len(late) > 0 {
		share -= q.options.LateShare
	}
	turn := now
	for _, e := range q.sorted(now, false) {
		starts[e.Key] = turn
		if turn.After(e.LatestOnTimeStart) {
			late = append(late, e)
		}
		turn = turn.Add(time.Duration(float64(q.grantTime(e.Entry)) / share))
	}
	ahead := 0
	for _, e := range late {
		switch _, hasTurn := starts[e.Key]; {
		case e.Earmarked:
			starts[e.Key] = now
		case hasTurn && q.lateGrants.mean == 0:
			// What late requests get has not been measured, so it keeps its turn.
		default:
			starts[e.Key] = latest(e.LatestOnTimeStart, now).Add(q.lateWait(ahead))
			ahead++
		}
	}
	return starts
}

// Rank returns the number of queued requests that go before a request.
func (q *Queue) Rank(e *Entry, now time.Time) int {
	c := q.candidate(e)
	ahead := 0
	for i := range q.waiting {
		if o := &q.waiting[i]; o.Key != e.Key && precedes(q.candidate(o), c, now) {
			ahead++
		}
	}
	return ahead
}

// precedes reports whether a goes before b unless late requests are owed a turn.
func precedes(a, b candidate, now time.Time) bool {
	if late := a.late(now); late != b.late(now) {
		return !late
	} else if late {
		return compareLate(a, b) < 0
	}
	return compareOnTime(a, b) < 0
}
