package quarantiner

import (
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Phase is what an engine does with a request.
type Phase uint8

// Phases.
const (
	// PhaseDecode is the generation of the response, PhasePrefill the processing of
	// the prompt on another engine.
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

// Call is a call that an engine had not begun to answer.
type Call struct {
	Request identifier.Request
	// Traits are those that other requests may share, in the order of the prompt.
	Traits []identifier.Trait
}

// End is the end of one incarnation of an engine.
type End struct {
	Engine identifier.Endpoint
	// StartID identifies the incarnation.
	StartID int64
	Phase   Phase
	At      time.Time
	// Calls are those that the engine had not begun to answer, as far as known.
	Calls []Call
}

// sameEngine reports whether two ends are of one incarnation.
func (e *End) sameEngine(o *End) bool {
	return e.Engine == o.Engine && e.StartID == o.StartID && e.Phase == o.Phase
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
