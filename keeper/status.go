package keeper

import "github.com/jackdawthread/jackdawthread/common/identifier"

// Phase says how far a host is with its declarations.
type Phase string

// Phases.
const (
	// PhaseEmpty: no file was offered yet.
	PhaseEmpty Phase = "empty"
	// PhaseAsking: a file is at hand; peers and engines are asked whether a
	// newer one is in force.
	PhaseAsking Phase = "asking"
	// PhaseHeld: the file at hand is older than what was in force.
	PhaseHeld Phase = "held"
	// PhaseInForce: a file is in force.
	PhaseInForce Phase = "in-force"
	// PhaseBehind: a file is in force, and a newer revision is known.
	PhaseBehind Phase = "behind"
)

// Status is what operators are shown.
type Status struct {
	Phase Phase
	// Revision and Digest in force; 0: none.
	Revision identifier.Revision
	Digest   uint64
	// Candidate is the revision at hand while nothing is in force; 0: none.
	Candidate identifier.Revision
	// Known is the highest revision of which the host knows that it was in
	// force somewhere.
	Known identifier.Revision
	// Refusal is the last refused file, or nil.
	Refusal *Refusal
}

// Status tells how far the host is.
func (s *State) Status() Status {
	status := Status{Phase: PhaseEmpty, Known: s.known, Refusal: s.refusal}
	switch {
	case s.current != nil:
		status.Phase = PhaseInForce
		status.Revision = s.current.Revision
		status.Digest = s.current.Digest
		if s.known > s.current.Revision {
			status.Phase = PhaseBehind
		}
	case s.candidate != nil:
		status.Candidate = s.candidate.Revision
		status.Phase = PhaseAsking
		if s.held() {
			status.Phase = PhaseHeld
		}
	}
	return status
}
