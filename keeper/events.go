package keeper

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// Source says where a file came from.
type Source uint8

// Sources of files.
const (
	SourceService Source = iota + 1
	SourcePeer
)

// String gives the source in kebab case.
func (s Source) String() string {
	if s == SourcePeer {
		return "peer"
	}
	return "service"
}

// Event is what a State is told: Offered, Known, PeersAsked, FencesAsked or
// Ticked.
type Event interface{ event() }

// Offered tells of a file that the service or a peer gave.
type Offered struct {
	Revision identifier.Revision
	File     []byte
	Source   Source
}

// Known tells that a revision was in force somewhere: a peer says so, or an
// engine remembers it as a fencing number.
type Known struct {
	Revision identifier.Revision
}

// PeersAsked tells that the live peers were asked for their declarations and
// that those which answered have been offered.
type PeersAsked struct{}

// FencesAsked tells that the engines of a candidate were asked for their
// fencing numbers and that the highest was told as Known.
type FencesAsked struct {
	Candidate identifier.Revision
}

// Ticked tells the time.
type Ticked struct{}

func (Offered) event()     {}
func (Known) event()       {}
func (PeersAsked) event()  {}
func (FencesAsked) event() {}
func (Ticked) event()      {}

// Action is what a State wants done: Adopt, AskFences or Refuse.
type Action interface{ action() }

// Adopt puts a fleet into force.
type Adopt struct {
	Fleet *compiler.Fleet
}

// AskFences asks the engines of a candidate for their fencing numbers, to be
// told by Known and FencesAsked.
type AskFences struct {
	Candidate *compiler.Fleet
}

// Refuse reports a file that was not taken.
type Refuse struct {
	Refusal Refusal
}

func (Adopt) action()     {}
func (AskFences) action() {}
func (Refuse) action()    {}

// Refusal says which file was refused and why.
type Refusal struct {
	Revision identifier.Revision
	Digest   uint64
	Source   Source
	Time     time.Time
	// Err holds every fault of the file, or tells that another file has the
	// same revision.
	Err error
}
