package gossiper

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// parts of an update that are carried.
type parts uint8

const (
	partIdentity parts = 1 << iota
	partLiveness
	partPublished
	partDigest

	allParts = partIdentity | partLiveness | partPublished | partDigest
)

// record is what the machine knows of one host.
type record struct {
	peerwire.Update // with all parts
	// hash of the host's name.
	hash uint64
	// heardAt is when a message came from the host itself.
	heardAt time.Time
	// suspectUntil is when the host counts as dead; zero: not suspected.
	suspectUntil time.Time
	diedAt       time.Time
}

func (r *record) state() State {
	return State(r.State)
}

func (r *record) dead() bool {
	return r.state() == StateDead
}

// counted tells whether the host takes part: alive or suspect.
func (r *record) counted() bool {
	return r.state() == StateAlive || r.state() == StateSuspect
}

func (r *record) member(s State) Member {
	return Member{
		Host:        r.Host,
		Incarnation: r.Incarnation,
		Started:     r.Started,
		DataCenter:  r.DataCenter,
		Address:     r.Address,
		State:       s,
		Revision:    r.Revision,
		Readiness:   Readiness(r.Readiness),
		Digest:      r.Digest,
	}
}

// addParts copies parts of the record into u.
func (r *record) addParts(u *peerwire.Update, p parts) {
	u.Host, u.Incarnation, u.Started = r.Host, r.Incarnation, r.Started
	if p&partIdentity != 0 {
		u.Address, u.DataCenter = r.Address, r.DataCenter
	}
	if p&partLiveness != 0 {
		u.State, u.Refutation = r.State, r.Refutation
	}
	if p&partPublished != 0 {
		u.Version, u.Revision, u.Readiness = r.Version, r.Revision, r.Readiness
	}
	if p&partDigest != 0 {
		u.DigestVersion, u.Digest = r.DigestVersion, r.Digest
	}
}

// update gives parts of the record.
func (r *record) update(p parts) peerwire.Update {
	var u peerwire.Update
	r.addParts(&u, p)
	return u
}

// Sizes in bytes of an update's parts, without their strings and digest.
const (
	headBytes      = 25
	identityBytes  = 6
	livenessBytes  = 6
	publishedBytes = 10
	digestBytes    = 8
	markBytes      = 14
)

// size estimates the coded size of parts of the record.
func (r *record) size(p parts) int {
	n := headBytes + len(r.Host)
	if p&partIdentity != 0 {
		n += identityBytes + len(r.Address) + len(r.DataCenter)
	}
	if p&partLiveness != 0 {
		n += livenessBytes
	}
	if p&partPublished != 0 {
		n += publishedBytes
	}
	if p&partDigest != 0 {
		n += digestBytes + len(r.Digest)
	}
	return n
}

// newerProcess tells whether a names a later process of the same host than b.
func newerProcess(a, b *peerwire.Update) bool {
	if a.Started != b.Started {
		return a.Started > b.Started
	}
	return a.Incarnation > b.Incarnation
}

// overrides tells whether the liveness in u replaces that in r: a refutation
// replaces all before it, and at equal refutations the higher state wins.
func overrides(u, r *peerwire.Update) bool {
	if u.Refutation != r.Refutation {
		return u.Refutation > r.Refutation
	}
	return u.State > r.State
}

// overridesMark tells whether mark k replaces old: the higher revision wins,
// and at equal revisions the leaving one.
func overridesMark(k, old Mark) bool {
	if k.Revision != old.Revision {
		return k.Revision > old.Revision
	}
	return k.Leaving && !old.Leaving
}

// departed is a process that another one of its host replaced.
type departed struct {
	member Member
	at     time.Time
}

type incarnations map[identifier.Incarnation]*record
