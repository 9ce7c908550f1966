package keeper

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// Options of a State.
type Options struct {
	// Name of the declarations in the texts of faults.
	Name string
	// Firm whose declarations are taken; empty: those of any.
	Firm identifier.Firm
	// PeersTimeout is how long a host that has nothing in force waits for
	// its peers before it takes a file from the service.
	PeersTimeout time.Duration
	// FencesTimeout is how long it waits for the engines' fencing numbers.
	FencesTimeout time.Duration
	// AllowOlder lets a host that has nothing in force take a file although
	// a newer revision is known to have been in force. It is for the
	// operator who has set the platform back on purpose.
	AllowOlder bool
}

// DefaultOptions gives the options of a host for which nothing is set.
func DefaultOptions() Options {
	return Options{
		Name:          "declarations",
		PeersTimeout:  2 * time.Second,
		FencesTimeout: time.Second,
	}
}

// State decides which declarations are in force at one host. It does no
// input or output; it compiles the files that it is offered.
type State struct {
	options Options
	start   time.Time
	current *compiler.Fleet
	known   identifier.Revision

	// While nothing is in force: the newest file offered, and what is still
	// to be learnt before it may be taken.
	candidate   *compiler.Fleet
	peersAsked  bool
	fencesAsked identifier.Revision // the candidate whose engines answered
	fencesUntil time.Time

	refusal *Refusal // the last
}

// NewState gives the state of a host that starts at now.
func NewState(o Options, now time.Time) *State {
	return &State{options: o, start: now}
}

// Current gives the fleet in force, or nil.
func (s *State) Current() *compiler.Fleet {
	return s.current
}

// Apply tells the state of an event at time now and gives what is to be done.
func (s *State) Apply(e Event, now time.Time) []Action {
	var actions []Action
	switch e := e.(type) {
	case Offered:
		actions = s.offered(e, now)
	case Known:
		s.known = max(s.known, e.Revision)
	case PeersAsked:
		s.peersAsked = true
	case FencesAsked:
		s.fencesAsked = e.Candidate
	case Ticked:
	}
	return append(actions, s.decide(now)...)
}

// newest gives the newest fleet that is in force or a candidate, or nil.
func (s *State) newest() *compiler.Fleet {
	if s.current != nil {
		return s.current
	}
	return s.candidate
}

// offered compiles a file that is newer than the newest.
func (s *State) offered(e Offered, now time.Time) []Action {
	if newest := s.newest(); newest != nil && e.Revision <= newest.Revision {
		return s.compareEqual(e, newest, now)
	}
	digest := xxhash.Sum64(e.File)
	if s.refusedBefore(e.Revision, digest) {
		return nil
	}
	fleet, err := s.compile(e)
	if err != nil {
		return s.refuse(e, digest, err, now)
	}
	if s.current != nil {
		return s.adopt(fleet)
	}
	s.candidate = fleet
	s.fencesUntil = now.Add(s.options.FencesTimeout)
	return []Action{AskFences{Candidate: fleet}}
}

func (s *State) compile(e Offered) (*compiler.Fleet, error) {
	if e.Revision == 0 {
		return nil, fmt.Errorf("%s: revision 0 names no declarations", s.options.Name)
	}
	fleet, err := compiler.FromBytes(s.options.Name, e.File, e.Revision)
	if err != nil {
		return nil, err
	}
	if s.options.Firm != "" && fleet.Firm != s.options.Firm {
		return nil, fmt.Errorf("%s: firm: expected %q, got %q", s.options.Name, s.options.Firm, fleet.Firm)
	}
	return fleet, nil
}

// compareEqual refuses another file under the revision of the newest.
func (s *State) compareEqual(e Offered, newest *compiler.Fleet, now time.Time) []Action {
	if e.Revision < newest.Revision {
		return nil
	}
	digest := xxhash.Sum64(e.File)
	if digest == newest.Digest || s.refusedBefore(e.Revision, digest) {
		return nil
	}
	err := fmt.Errorf("%s: revision %d has digest %016x, but was taken with digest %016x", s.options.Name, e.Revision, digest, newest.Digest)
	return s.refuse(e, digest, err, now)
}

func (s *State) refusedBefore(r identifier.Revision, digest uint64) bool {
	return s.refusal != nil && s.refusal.Revision == r && s.refusal.Digest == digest
}

func (s *State) refuse(e Offered, digest uint64, err error, now time.Time) []Action {
	s.refusal = &Refusal{Revision: e.Revision, Digest: digest, Source: e.Source, Time: now, Err: err}
	return []Action{Refuse{Refusal: *s.refusal}}
}

// decide takes the candidate once nothing more can be learnt about it.
func (s *State) decide(now time.Time) []Action {
	if s.current != nil || s.candidate == nil || !s.learnt(now) || s.held() {
		return nil
	}
	return s.adopt(s.candidate)
}

// learnt tells whether peers and engines were asked, or for long enough.
func (s *State) learnt(now time.Time) bool {
	peers := s.peersAsked || !now.Before(s.start.Add(s.options.PeersTimeout))
	fences := s.fencesAsked == s.candidate.Revision || !now.Before(s.fencesUntil)
	return peers && fences
}

// held tells whether the candidate is older than what was in force.
func (s *State) held() bool {
	return s.candidate.Revision < s.known && !s.options.AllowOlder
}

func (s *State) adopt(f *compiler.Fleet) []Action {
	s.current = f
	s.candidate = nil
	s.known = max(s.known, f.Revision)
	if s.refusal != nil && s.refusal.Revision < f.Revision {
		s.refusal = nil
	}
	return []Action{Adopt{Fleet: f}}
}
