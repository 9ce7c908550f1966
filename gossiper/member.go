package gossiper

import (
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// State says what is thought of a member.
type State uint8

// States, in the order in which one overrides another at equal refutations.
const (
	// StateAlive members answer probes.
	StateAlive State = iota + 1
	// StateSuspect members failed a probe and may refute it; they still count
	// as live. So do members of a data center that isn't heard from.
	StateSuspect
	// StateLeaving members stop as planned and take no new work.
	StateLeaving
	// StateDead members let their suspicion pass without refuting it.
	StateDead
)

// String gives the state in kebab case.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateLeaving:
		return "leaving"
	case StateDead:
		return "dead"
	default:
		return "unknown"
	}
}

// Readiness is what a member publishes of itself.
type Readiness uint8

// Readinesses.
const (
	// ReadinessStarting members have no declarations in force yet.
	ReadinessStarting Readiness = iota
	// ReadinessReady members serve.
	ReadinessReady
	// ReadinessDraining members finish what they have.
	ReadinessDraining
)

// String gives the readiness in kebab case.
func (r Readiness) String() string {
	switch r {
	case ReadinessReady:
		return "ready"
	case ReadinessDraining:
		return "draining"
	default:
		return "starting"
	}
}

// Payload is what a host publishes of itself to all others.
type Payload struct {
	// Revision of the declarations in force.
	Revision  identifier.Revision
	Readiness Readiness
	// Digest is the host's load in the publisher's own coding. It travels at
	// a limited rate, and to other data centers in small fleets only.
	Digest []byte
}

// Member is an entry host as this host knows it.
type Member struct {
	Host        identifier.Host
	Incarnation identifier.Incarnation
	// Started is when the process started, in milliseconds since 1970. Of two
	// processes with one host name the later one counts.
	Started    uint64
	DataCenter identifier.DataCenter
	Address    identifier.Address
	State      State
	Revision   identifier.Revision
	Readiness  Readiness
	// Digest is read-only.
	Digest []byte
}
