package gossiper

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// merge takes all news of a peer in.
func (m *Machine) merge(n *peerwire.News) {
	m.bulk = len(n.Updates) >= bulkUpdates
	defer func() { m.bulk = false }()
	for i := range n.Updates {
		m.mergeUpdate(&n.Updates[i])
	}
	for _, k := range n.Marks {
		m.mark(k.Endpoint, Mark{Revision: k.Revision, Leaving: k.Leaving})
	}
}

func (m *Machine) mergeUpdate(u *peerwire.Update) {
	if u.Host == "" || u.Incarnation == 0 || u.State > uint8(StateDead) {
		return
	}
	if u.Incarnation == m.self.Incarnation {
		m.refute(u)
		return
	}
	if u.Host == m.self.Host && !m.contest(u) {
		return
	}
	r := m.table[u.Host]
	switch {
	case r != nil && r.Incarnation == u.Incarnation:
		m.mergeSame(r, u)
	case r == nil || newerProcess(u, &r.Update):
		m.mergeNew(u)
	default:
		// An older process; m.about tells it so.
	}
}

// refute answers news of this process that isn't good, also when it was
// refuted before: its sender has missed that.
func (m *Machine) refute(u *peerwire.Update) {
	bad := u.State == uint8(StateSuspect) || u.State == uint8(StateDead)
	if !bad || m.superseded() {
		return
	}
	if overrides(u, &m.self.Update) {
		m.self.Refutation = u.Refutation + 1
	}
	m.tell(m.self, itemLiveness)
}

// contest settles news of another process with this host's name. A process at
// this one's own address, or a dead one, is gone, so its start is outbid. Of
// two that live the later one keeps the name. It gives true when the other
// one does.
func (m *Machine) contest(u *peerwire.Update) bool {
	if m.superseded() {
		return true
	}
	if !newerProcess(u, &m.self.Update) {
		return false
	}
	if u.Address == m.self.Address || u.State == uint8(StateDead) {
		m.outbid(u)
		return false
	}
	return u.Address != ""
}

func (m *Machine) outbid(u *peerwire.Update) {
	m.self.Started = u.Started + 1
	m.tell(m.self, itemMember)
	m.viewStale = true
}

// mergeNew takes in a process that wasn't known.
func (m *Machine) mergeNew(u *peerwire.Update) {
	complete := u.Address != "" && u.DataCenter != "" && u.State != 0
	if !complete || m.table[u.Host] == nil && u.State == uint8(StateDead) {
		return
	}
	r := &record{Update: *u}
	m.insert(r)
	m.act(Changed{Host: u.Host, Incarnation: u.Incarnation, To: r.state()})
	m.enterState(r)
	m.tell(r, itemMember)
	if u.DigestVersion != 0 {
		m.tell(r, itemDigest)
	}
	m.renewLease(r.DataCenter)
}

// mergeSame takes in those parts that are newer than what is known.
func (m *Machine) mergeSame(r *record, u *peerwire.Update) {
	fresh := false
	if u.Started > r.Started {
		r.Started = u.Started
		m.tell(r, itemMember)
		fresh = true
	}
	if u.State != 0 && overrides(u, &r.Update) {
		r.Refutation = u.Refutation
		m.setState(r, State(u.State))
		fresh = true
	}
	if u.Version > r.Version {
		if u.Readiness != r.Readiness || u.DigestVersion <= r.DigestVersion {
			m.tell(r, itemPublished)
		}
		r.Version, r.Revision, r.Readiness = u.Version, u.Revision, u.Readiness
		fresh = true
	}
	if u.DigestVersion > r.DigestVersion {
		r.DigestVersion, r.Digest = u.DigestVersion, u.Digest
		m.tell(r, itemDigest)
		m.digestStale = true
		m.renewLease(r.DataCenter)
	}
	if fresh {
		m.viewStale = true
		m.renewLease(r.DataCenter)
	}
}

// setState changes a record's state and tells others.
func (m *Machine) setState(r *record, s State) {
	old := r.state()
	r.State = uint8(s)
	if old == StateDead && s != old {
		m.hurrySync() // a cut has healed, or this host was paused
	}
	if old != s {
		m.act(Changed{Host: r.Host, Incarnation: r.Incarnation, From: old, To: s})
		m.topology.stale = true
	}
	m.enterState(r)
	m.viewStale = true
	m.tell(r, itemLiveness)
	if s == StateDead && r.Host == m.self.Host {
		m.reclaim(r)
	}
}

// enterState sets the timers of the record's state.
func (m *Machine) enterState(r *record) {
	switch r.state() {
	case StateSuspect:
		m.startSuspicion(r)
	case StateDead:
		r.diedAt = m.now
		r.suspectUntil = time.Time{}
	default:
		r.suspectUntil = time.Time{}
	}
}

// reclaim takes this host's name back from a process that has died.
func (m *Machine) reclaim(other *record) {
	started := other.Started
	m.insert(m.self)
	m.self.Started = started + 1
	m.tell(m.self, itemMember)
}

// mark takes in a mark of an endpoint unless a newer one is known.
func (m *Machine) mark(e identifier.Endpoint, k Mark) {
	old, known := m.marks[e]
	if known && !overridesMark(k, old) {
		return
	}
	m.marks[e] = k
	m.viewStale = true
	m.urgent = true
	m.queue.add(itemKey{kind: itemMark, name: string(e)}, m.sends())
}

// publish takes in what this host publishes. A changed readiness is urgent, and
// so is a changed revision in a small fleet, or one that this host is the first
// to have. In a larger fleet all others change to it at about the same time,
// and say so with their next digests.
func (m *Machine) publish(p Payload) {
	s := m.self
	revised := s.Revision != p.Revision
	first := p.Revision > m.newestRevision()
	urgent := s.Readiness != uint8(p.Readiness) || revised && (first || m.smallFleet())
	s.Revision, s.Readiness = p.Revision, uint8(p.Readiness)
	if urgent {
		s.Version++
		m.tell(s, itemPublished)
	}
	m.revised = revised && !urgent || m.revised && !urgent
	m.viewStale = m.viewStale || urgent || revised
	if string(p.Digest) != string(m.digest) {
		m.digest = append([]byte(nil), p.Digest...)
		m.digestChanged = true
	}
}

// newestRevision gives the newest revision that any host has in force.
func (m *Machine) newestRevision() identifier.Revision {
	newest := identifier.Revision(0)
	for _, r := range m.order {
		newest = max(newest, r.Revision)
	}
	return newest
}

func (m *Machine) smallFleet() bool {
	return len(m.order) <= m.options.SmallFleet
}

func (m *Machine) leave() {
	if m.self.state() == StateLeaving {
		return
	}
	m.self.Refutation++
	m.self.State = uint8(StateLeaving)
	m.viewStale = true
	m.topology.stale = true
	m.tell(m.self, itemLiveness)
	m.refreshTopology()
	m.flood()
}
