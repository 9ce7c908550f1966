package keeper

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// Options configures a State.
type Options struct {
	// Name identifies the declarations in error messages.
	Name string
	// Firm is the only firm whose declarations are accepted; empty accepts any.
	Firm identifier.Firm
	// PeersTimeout is how long a host with nothing in force waits for its peers
	// before it accepts a file from the service.
	PeersTimeout time.Duration
	// FencesTimeout is how long such a host waits for the engines' fencing numbers.
	FencesTimeout time.Duration
	// AllowOlder lets a host with nothing in force accept a file although a newer
	// revision is known to have been in force. It is meant for an operator who
	// has rolled the platform back on purpose.
	AllowOlder bool
}

// DefaultOptions returns the options used when nothing is configured.
func DefaultOptions() Options {
	return Options{
		Name:          "declarations",
		PeersTimeout:  2 * time.Second,
		FencesTimeout: time.Second,
	}
}

// State decides which declarations are in force on one host. It performs no
// I/O; it compiles the files that it is offered.
type State struct {
	options      Options
	start        time.Time
	current      *compiler.Fleet
	highestKnown identifier.Revision

	// Used only while nothing is in force: the newest file offered and the
	// progress of the queries that must complete before it is accepted.
	candidate      *compiler.Fleet
	peersAsked     bool
	fencesAsked    identifier.Revision // candidate whose engines were queried
	fencesDeadline time.Time

	refusal *Refusal // most recent one; nil: none
}

// NewState returns the state of a host that starts at time now.
func NewState(o Options, now time.Time) *State {
	return &State{options: o, start: now}
}

// Current returns the fleet in force, or nil.
func (s *State) Current() *compiler.Fleet {
	return s.current
}

// Apply processes an event at time now and returns the resulting actions.
func (s *State) Apply(e Event, now time.Time) []Action {
	var actions []Action
	switch e := e.(type) {
	case Offered:
		actions = s.handleOffer(e, now)
	case RevisionSeen:
		s.highestKnown = max(s.highestKnown, e.Revision)
	case PeersQueried:
		s.peersAsked = true
	case FencesQueried:
		s.fencesAsked = e.Candidate
	case Ticked:
	}
	return append(actions, s.decide(now)...)
}

// newest returns the fleet in force, else the candidate, else nil.
func (s *State) newest() *compiler.Fleet {
	if s.current != nil {
		return s.current
	}
	return s.candidate
}

// handleOffer compiles a file with a higher revision than the newest fleet. The
// fleet is adopted, or becomes the candidate if nothing is in force.
func (s *State) handleOffer(e Offered, now time.Time) []Action {
	if newest := s.newest(); newest != nil && e.Revision <= newest.Revision {
		return s.checkSameRevision(e, newest, now)
	}
	digest := xxhash.Sum64(e.File)
	if s.alreadyRefused(e.Revision, digest) {
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
	s.fencesDeadline = now.Add(s.options.FencesTimeout)
	return []Action{QueryFences{Candidate: fleet}}
}

func (s *State) compile(e Offered) (*compiler.Fleet, error) {
	if e.Revision == 0 {
		return nil, fmt.Errorf("%s: revision 0 is not a valid declarations revision", s.options.Name)
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

// checkSameRevision refuses a file that has the newest fleet's revision but
// different content. Older revisions are ignored.
func (s *State) checkSameRevision(e Offered, newest *compiler.Fleet, now time.Time) []Action {
	if e.Revision < newest.Revision {
		return nil
	}
	digest := xxhash.Sum64(e.File)
	if digest == newest.Digest || s.alreadyRefused(e.Revision, digest) {
		return nil
	}
	err := fmt.Errorf("%s: revision %d has digest %016x, but was already accepted with digest %016x", s.options.Name, e.Revision, digest, newest.Digest)
	return s.refuse(e, digest, err, now)
}

func (s *State) alreadyRefused(r identifier.Revision, digest uint64) bool {
	return s.refusal != nil && s.refusal.Revision == r && s.refusal.Digest == digest
}

func (s *State) refuse(e Offered, digest uint64, err error, now time.Time) []Action {
	s.refusal = &Refusal{Revision: e.Revision, Digest: digest, Source: e.Source, Time: now, Err: err}
	return []Action{Refuse{Refusal: *s.refusal}}
}

// decide adopts the candidate once peers and engines have been queried, unless
// a newer revision is known.
func (s *State) decide(now time.Time) []Action {
	if s.current != nil || s.candidate == nil || !s.checksComplete(now) || s.candidateOutdated() {
		return nil
	}
	return s.adopt(s.candidate)
}

// checksComplete reports whether the queries of peers and engines have both
// completed or timed out.
func (s *State) checksComplete(now time.Time) bool {
	peers := s.peersAsked || !now.Before(s.start.Add(s.options.PeersTimeout))
	fences := s.fencesAsked == s.candidate.Revision || !now.Before(s.fencesDeadline)
	return peers && fences
}

// candidateOutdated reports whether the candidate must be held back because a
// newer revision is known to have been in force.
func (s *State) candidateOutdated() bool {
	return s.candidate.Revision < s.highestKnown && !s.options.AllowOlder
}

func (s *State) adopt(f *compiler.Fleet) []Action {
	s.current = f
	s.candidate = nil
	s.highestKnown = max(s.highestKnown, f.Revision)
	if s.refusal != nil && s.refusal.Revision < f.Revision {
		s.refusal = nil
	}
	return []Action{Adopt{Fleet: f}}
}
