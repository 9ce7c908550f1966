package earmarker

import (
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// overdueGrace is the remaining time assumed for requests that are past their
// expected end.
const overdueGrace = 300 * time.Millisecond

// RunningRequest is a request that occupies memory of an engine.
type RunningRequest struct {
	Engine identifier.Endpoint
	Tokens identifier.Tokens
	// ExpectedEnd is the predicted completion time.
	ExpectedEnd time.Time
}

// Demand is the memory that a waiting request needs.
type Demand struct {
	// Tokens is the memory the request needs, Memory what each engine has.
	Tokens, Memory identifier.Tokens
}

// EarliestEngine returns the engine that is predicted to have enough free memory
// first, and when. The name is empty if no engine is large enough.
func EarliestEngine(engines []identifier.Endpoint, runs []RunningRequest, d Demand, now time.Time) (identifier.Endpoint, time.Time) {
	byEngine := map[identifier.Endpoint][]RunningRequest{}
	for _, r := range runs {
		if r.ExpectedEnd.Before(now) {
			r.ExpectedEnd = now.Add(overdueGrace)
		}
		byEngine[r.Engine] = append(byEngine[r.Engine], r)
	}
	var best identifier.Endpoint
	var at time.Time
	for _, e := range engines {
		free, ok := capacityAvailableAt(byEngine[e], d, now)
		if ok && (best == "" || free.Before(at)) {
			best, at = e, free
		}
	}
	return best, at
}

// capacityAvailableAt returns when enough of an engine's running requests will
// have completed. It is false if the engine is too small.
func capacityAvailableAt(runs []RunningRequest, d Demand, now time.Time) (time.Time, bool) {
	if d.Tokens > d.Memory {
		return time.Time{}, false
	}
	var used identifier.Tokens
	for _, r := range runs {
		used += r.Tokens
	}
	slices.SortFunc(runs, func(a, b RunningRequest) int { return a.ExpectedEnd.Compare(b.ExpectedEnd) })
	at := now
	for _, r := range runs {
		if used+d.Tokens <= d.Memory {
			return at, true
		}
		used -= r.Tokens
		at = r.ExpectedEnd
	}
	return at, true
}
