package keeper

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// Source identifies where a declarations file was received from.
type Source uint8

// Values of Source.
const (
	SourceService Source = iota + 1
	SourcePeer
)

// String returns the source in kebab case.
func (s Source) String() string {
	if s == SourcePeer {
		return "peer"
	}
	return "service"
}

// Event is an input of State: Offered, RevisionSeen, PeersQueried,
// FencesQueried or Ticked.
type Event interface{ event() }

// Offered reports a file received from the service or from a peer.
type Offered struct {
	Revision identifier.Revision
	File     []byte
	Source   Source
}

// RevisionSeen reports a revision that is or was in force somewhere: a peer has
// announced it, or an engine has recorded it as a fencing number.
type RevisionSeen struct {
	Revision identifier.Revision
}

// PeersQueried reports that the live peers were queried for their declarations
// and that the files received have been passed on as Offered.
type PeersQueried struct{}

// FencesQueried reports that the engines of a candidate were queried for their
// fencing numbers and that the highest was passed on as Known.
type FencesQueried struct {
	Candidate identifier.Revision
}

// Ticked makes State check its timeouts against the current time.
type Ticked struct{}

func (Offered) event()       {}
func (RevisionSeen) event()  {}
func (PeersQueried) event()  {}
func (FencesQueried) event() {}
func (Ticked) event()        {}

// Action is an output of State: Adopt, QueryFences or Refuse.
type Action interface{ action() }

// Adopt puts a fleet into force.
type Adopt struct {
	Fleet *compiler.Fleet
}

// QueryFences requests the fencing numbers of a candidate's engines. The results
// are passed back as RevisionSeen and FencesQueried.
type QueryFences struct {
	Candidate *compiler.Fleet
}

// Refuse reports a file that was not accepted.
type Refuse struct {
	Refusal Refusal
}

func (Adopt) action()       {}
func (QueryFences) action() {}
func (Refuse) action()      {}

// Refusal describes a refused file and the reason.
type Refusal struct {
	Revision identifier.Revision
	Digest   uint64
	Source   Source
	Time     time.Time
	// Err lists every problem in the file, or states that a different file has
	// already been accepted under the same revision.
	Err error
}
