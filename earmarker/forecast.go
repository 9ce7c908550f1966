package earmarker

import (
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// overdueEnd is when answers are expected to end that should have ended already.
const overdueEnd = 300 * time.Millisecond

// Run is an answer that occupies an engine's memory.
type Run struct {
	Engine identifier.Endpoint
	Tokens identifier.Tokens
	// Ends is when it is expected to end.
	Ends time.Time
}

// Need is the room that a request waits for.
type Need struct {
	// Tokens that it takes, of Memory that each engine has.
	Tokens, Memory identifier.Tokens
}

// Soonest gives the engine that is expected to have room first, and when; "":
// none will.
func Soonest(engines []identifier.Endpoint, runs []Run, n Need, now time.Time) (identifier.Endpoint, time.Time) {
	byEngine := map[identifier.Endpoint][]Run{}
	for _, r := range runs {
		if r.Ends.Before(now) {
			r.Ends = now.Add(overdueEnd)
		}
		byEngine[r.Engine] = append(byEngine[r.Engine], r)
	}
	var best identifier.Endpoint
	var at time.Time
	for _, e := range engines {
		free, ok := roomAt(byEngine[e], n, now)
		if ok && (best == "" || free.Before(at)) {
			best, at = e, free
		}
	}
	return best, at
}

// roomAt gives when enough of an engine's answers have ended.
func roomAt(runs []Run, n Need, now time.Time) (time.Time, bool) {
	if n.Tokens > n.Memory {
		return time.Time{}, false
	}
	var taken identifier.Tokens
	for _, r := range runs {
		taken += r.Tokens
	}
	slices.SortFunc(runs, func(a, b Run) int { return a.Ends.Compare(b.Ends) })
	at := now
	for _, r := range runs {
		if taken+n.Tokens <= n.Memory {
			return at, true
		}
		taken -= r.Tokens
		at = r.Ends
	}
	return at, true
}
