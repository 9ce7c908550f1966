package keeper

import "github.com/jackdawthread/jackdawthread/common/identifier"

// Phase is the state of a host's declarations.
type Phase string

// Values of Phase.
const (
	// PhaseEmpty means that no usable file has been offered yet.
	PhaseEmpty Phase = "empty"
	// PhaseAsking means that there is a candidate file, and that peers and
	// engines are being queried for a newer revision.
	PhaseAsking Phase = "asking"
	// PhaseHeld means that the candidate is held back because it is older than a
	// revision that was in force.
	PhaseHeld Phase = "held"
	// PhaseInForce means that a file is in force.
	PhaseInForce Phase = "in-force"
	// PhaseBehind means that a file is in force and a newer revision is known.
	PhaseBehind Phase = "behind"
)

// Status describes the host's declarations for operators.
type Status struct {
	Phase Phase
	// Revision and Digest identify the file in force; 0: none.
	Revision identifier.Revision
	Digest   uint64
	// Candidate is the revision waiting to be accepted while nothing is in
	// force; 0: none.
	Candidate identifier.Revision
	// Known is the highest revision known to be or to have been in force
	// anywhere.
	Known identifier.Revision
	// Refusal describes the most recently refused file. It is nil if there is
	// none or if a newer file has been accepted since.
	Refusal *Refusal
}

// Status returns the state of the host's declarations.
func (s *State) Status() Status {
	status := Status{Phase: PhaseEmpty, Known: s.highestKnown, Refusal: s.refusal}
	switch {
	case s.current != nil:
		status.Phase = PhaseInForce
		status.Revision = s.current.Revision
		status.Digest = s.current.Digest
		if s.highestKnown > s.current.Revision {
			status.Phase = PhaseBehind
		}
	case s.candidate != nil:
		status.Candidate = s.candidate.Revision
		status.Phase = PhaseAsking
		if s.candidateOutdated() {
			status.Phase = PhaseHeld
		}
	}
	return status
}
