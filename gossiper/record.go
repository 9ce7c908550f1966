package gossiper

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// parts is a set of the parts of an update.
type parts uint8

const (
	partIdentity parts = 1 << iota
	partLiveness
	partPublished
	partDigest

	allParts = partIdentity | partLiveness | partPublished | partDigest
)

// record is the entry of one host in the membership table.
type record struct {
	peerwire.Update // with all parts
	// hash is that of the host's name.
	hash uint64
	// lastContact is when a message from the host itself last arrived.
	lastContact time.Time
	// suspectUntil is when the suspicion expires; zero if there is none.
	suspectUntil time.Time
	diedAt       time.Time
}

func (r *record) state() State {
	return State(r.State)
}

func (r *record) dead() bool {
	return r.state() == StateDead
}

// live reports whether the host counts as live, which is alive or suspect.
func (r *record) live() bool {
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

// update returns an update with parts of the record.
func (r *record) update(p parts) peerwire.Update {
	var u peerwire.Update
	r.addParts(&u, p)
	return u
}

// Encoded sizes in bytes of an update's parts, without their strings and digest.
const (
	headBytes      = 25
	identityBytes  = 6
	livenessBytes  = 6
	publishedBytes = 10
	digestBytes    = 8
	markBytes      = 14
)

// size estimates the encoded size in bytes of parts of the record.
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

// newerProcess reports whether a is of a later process of the same host than b.
func newerProcess(a, b *peerwire.Update) bool {
	if a.Started != b.Started {
		return a.Started > b.Started
	}
	return a.Incarnation > b.Incarnation
}

// overrides reports whether the liveness in u replaces that in r: the higher
// refutation number wins, and at equal numbers the higher state.
func overrides(u, r *peerwire.Update) bool {
	if u.Refutation != r.Refutation {
		return u.Refutation > r.Refutation
	}
	return u.State > r.State
}

// overridesMark reports whether mark k replaces old: the higher revision wins,
// and at equal revisions the leaving one.
func overridesMark(k, old Mark) bool {
	if k.Revision != old.Revision {
		return k.Revision > old.Revision
	}
	return k.Leaving && !old.Leaving
}

// departedProcess is a process that was replaced by another one of its host, or
// removed.
type departedProcess struct {
	member Member
	at     time.Time
}

// incarnations indexes the records of the table by incarnation.
type incarnations map[identifier.Incarnation]*record
