package gossiper

import (
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// State is the membership state of a host.
type State uint8

// States. At equal refutation numbers, a later one overrides an earlier one.
const (
	// StateAlive members answer probes.
	StateAlive State = iota + 1
	// StateSuspect members failed a probe and may still refute the suspicion, or
	// belong to a data center whose lease has expired. They count as live.
	StateSuspect
	// StateLeaving members are in a planned stop and take no new work.
	StateLeaving
	// StateDead members didn't refute a suspicion in time.
	StateDead
)

// String returns the state in kebab case.
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

// Readiness tells whether a member serves requests, as published by itself.
type Readiness uint8

// Values of Readiness.
const (
	// ReadinessStarting members have no declarations in force yet.
	ReadinessStarting Readiness = iota
	// ReadinessReady members serve requests.
	ReadinessReady
	// ReadinessDraining members finish their running requests.
	ReadinessDraining
)

// String returns the readiness in kebab case.
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

// Payload is the information that a host publishes to all others.
type Payload struct {
	// Revision is that of the declarations in force.
	Revision  identifier.Revision
	Readiness Readiness
	// Digest describes the host's load; its encoding is opaque to this package.
	// Digests are sent at a limited rate, and in fleets that aren't small only
	// those of bridges are sent to other data centers.
	Digest []byte
}

// Member is the state of an entry host, as known to this host.
type Member struct {
	Host        identifier.Host
	Incarnation identifier.Incarnation
	// Started is when the process started, in milliseconds since 1970. It
	// decides which of two processes with the same host name keeps the name. A
	// process may raise its own value to take its name back.
	Started    uint64
	DataCenter identifier.DataCenter
	Address    identifier.Address
	State      State
	Revision   identifier.Revision
	Readiness  Readiness
	// Digest is read-only.
	Digest []byte
}
