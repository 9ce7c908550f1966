package quarantiner

import (
	"iter"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Phase is what an endpoint does with a request.
type Phase uint8

// Phases.
const (
	// PhaseDecode is the generation of the response, by a plain endpoint too; PhasePrefill
	// the processing of the prompt on another engine.
	PhaseDecode Phase = iota
	PhasePrefill
)

// String returns the phase in kebab case.
func (p Phase) String() string {
	if p == PhasePrefill {
		return "prefill"
	}
	return "decode"
}

// Call is a call that was under way when its endpoint ended.
type Call struct {
	Request identifier.Request
	// Traits are those that may be the cause: the parts of the prompt that other requests
	// may share, in their order, unless the engine had begun to answer; then RequestTraits.
	Traits []identifier.Trait
}

// End is the end of one incarnation of an endpoint.
type End struct {
	Service identifier.Service
	Engine  identifier.Endpoint
	// StartID identifies the incarnation; 0 if unknown.
	StartID int64
	Phase   Phase
	At      time.Time
	// Calls are those that were under way there, as far as known.
	Calls []Call
}

// restartTime is the time between two ends from which on they aren't those of one incarnation, if
// nothing else tells that.
const restartTime = time.Second

// sameIncarnation reports whether two reports are of the end of one incarnation.
func (e *End) sameIncarnation(o *End) bool {
	if e.Engine != o.Engine || e.StartID != o.StartID {
		return false
	}
	return e.StartID != 0 || e.At.Sub(o.At).Abs() < restartTime
}

// includes reports whether another report is of the same end. A report without calls, of an
// endpoint that couldn't be reached, doesn't tell when the endpoint ended.
func (e *End) includes(o *End) bool {
	if len(o.Calls) == 0 {
		return e.Engine == o.Engine && e.StartID == o.StartID
	}
	return e.Phase == o.Phase && e.sameIncarnation(o)
}

// requests returns the whole requests that are suspect for an end, with repetitions.
func (e *End) requests() iter.Seq[suspect] {
	return func(yield func(suspect) bool) {
		for _, c := range e.Calls {
			for _, g := range c.Traits {
				if IsRequest(g) && !yield(suspectOf(g, e.Phase)) {
					return
				}
			}
		}
	}
}

// merge adds the calls of another report of the same end, and reports whether there
// were new ones.
func (e *End) merge(o *End) bool {
	changed := false
	for _, c := range o.Calls {
		known := slices.ContainsFunc(e.Calls, func(k Call) bool { return k.Request == c.Request })
		if known || len(e.Calls) >= maxCallsPerEnd {
			continue
		}
		e.Calls = append(e.Calls, c)
		changed = true
	}
	return changed
}
