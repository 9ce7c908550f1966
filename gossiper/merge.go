package gossiper

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// merge applies all news of a peer.
func (m *Machine) merge(n *peerwire.Gossip) {
	m.bulkMerge = len(n.Updates) >= bulkUpdateThreshold
	defer func() { m.bulkMerge = false }()
	for i := range n.Updates {
		m.mergeUpdate(&n.Updates[i])
	}
	for _, k := range n.Marks {
		m.mergeWireMark(&k)
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
	if u.Host == m.self.Host && !m.resolveNameConflict(u) {
		return
	}
	r := m.table[u.Host]
	switch {
	case r != nil && r.Incarnation == u.Incarnation:
		m.mergeKnownProcess(r, u)
	case r == nil || newerProcess(u, &r.Update):
		m.mergeNewProcess(u)
	default:
		// An earlier process of the host; addStatusOf tells it that it was replaced.
	}
}

// refute answers news that this process is suspect or dead. It queues the
// refutation again if there was one already, because the sender has missed it.
func (m *Machine) refute(u *peerwire.Update) {
	accused := u.State == uint8(StateSuspect) || u.State == uint8(StateDead)
	if !accused || m.superseded() {
		return
	}
	if overrides(u, &m.self.Update) {
		m.self.Refutation = u.Refutation + 1
	}
	m.enqueue(m.self, itemLiveness)
}

// resolveNameConflict handles news of another process with this host's name,
// and returns whether the other one keeps the name. Of two live processes, the
// later one does. A process that is dead, or had this process's own address, no
// longer runs, so this process raises its Started above that one's.
func (m *Machine) resolveNameConflict(u *peerwire.Update) bool {
	if m.superseded() {
		return true
	}
	if !newerProcess(u, &m.self.Update) {
		return false
	}
	if u.Address == m.self.Address || u.State == uint8(StateDead) {
		m.raiseStarted(u)
		return false
	}
	return u.Address != ""
}

// raiseStarted makes this process count as later than the one in u.
func (m *Machine) raiseStarted(u *peerwire.Update) {
	m.self.Started = u.Started + 1
	m.enqueue(m.self, itemMember)
	m.viewStale = true
}

// mergeNewProcess adds a process that isn't in the table, and replaces an
// earlier one of its host.
func (m *Machine) mergeNewProcess(u *peerwire.Update) {
	complete := u.Address != "" && u.DataCenter != "" && u.State != 0
	if !complete || m.table[u.Host] == nil && u.State == uint8(StateDead) {
		return
	}
	r := &record{Update: *u}
	m.insert(r)
	m.emit(MemberChanged{Host: u.Host, Incarnation: u.Incarnation, To: r.state()})
	m.resetStateTimers(r)
	m.enqueue(r, itemMember)
	if u.DigestVersion != 0 {
		m.enqueue(r, itemDigest)
	}
	m.renewLease(r.DataCenter)
}

// mergeKnownProcess applies the parts of u that are newer than the record.
func (m *Machine) mergeKnownProcess(r *record, u *peerwire.Update) {
	changed := false
	if u.Started > r.Started {
		r.Started = u.Started
		m.enqueue(r, itemMember)
		changed = true
	}
	if u.State != 0 && overrides(u, &r.Update) {
		r.Refutation = u.Refutation
		m.setState(r, State(u.State))
		changed = true
	}
	if u.Version > r.Version {
		if u.Readiness != r.Readiness || u.DigestVersion <= r.DigestVersion {
			m.enqueue(r, itemPublished)
		}
		r.Version, r.Revision, r.Readiness = u.Version, u.Revision, u.Readiness
		changed = true
	}
	if u.DigestVersion > r.DigestVersion {
		r.DigestVersion, r.Digest = u.DigestVersion, u.Digest
		m.enqueue(r, itemDigest)
		m.digestStale = true
		m.renewLease(r.DataCenter)
	}
	if changed {
		m.viewStale = true
		m.renewLease(r.DataCenter)
	}
}

// setState changes a record's state and queues the change for distribution.
func (m *Machine) setState(r *record, s State) {
	old := r.state()
	r.State = uint8(s)
	if old == StateDead && s != old {
		m.accelerateSync() // a partition healed, or this host was paused
	}
	if old != s {
		m.emit(MemberChanged{Host: r.Host, Incarnation: r.Incarnation, From: old, To: s})
		m.topology.stale = true
	}
	m.resetStateTimers(r)
	m.viewStale = true
	m.enqueue(r, itemLiveness)
	if s == StateDead && r.Host == m.self.Host {
		m.reclaimName(r)
	}
}

// resetStateTimers sets the timers that apply in the record's state and clears
// the others.
func (m *Machine) resetStateTimers(r *record) {
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

// reclaimName takes this host's name back from a dead process.
func (m *Machine) reclaimName(other *record) {
	started := other.Started
	m.insert(m.self)
	m.self.Started = started + 1
	m.enqueue(m.self, itemMember)
}

// mergeWireMark applies a mark from another host. Marks that came from endpoints
// are kept for Options.Retention only.
func (m *Machine) mergeWireMark(k *peerwire.Mark) {
	mark := Mark{Revision: k.Revision, Leaving: k.Leaving}
	if k.Source != "" {
		if k.AgeMs >= m.options.Retention.Milliseconds() {
			return
		}
		mark.Source = k.Source
		mark.At = m.now.Add(-time.Duration(max(0, k.AgeMs)) * time.Millisecond)
	}
	m.mergeMark(k.Endpoint, mark)
}

// mergeMark applies a mark of an endpoint unless a newer one is known.
func (m *Machine) mergeMark(e identifier.Endpoint, k Mark) {
	old, known := m.marks[e]
	if known && !overridesMark(k, old) {
		return
	}
	m.marks[e] = k
	m.viewStale = true
	m.urgentPending = true
	m.queue.add(itemKey{kind: itemMark, name: string(e)}, m.transmitLimit())
}

// publish sets the payload of this host. A changed readiness is urgent, and so
// is a changed revision if the fleet is small or this host is the first to have
// it. In a larger fleet, all other hosts adopt the revision at about the same
// time, so each announces it with its next digest.
func (m *Machine) publish(p Payload) {
	s := m.self
	revisionChanged := s.Revision != p.Revision
	firstHolder := p.Revision > m.newestRevision()
	urgent := s.Readiness != uint8(p.Readiness) || revisionChanged && (firstHolder || m.smallFleet())
	s.Revision, s.Readiness = p.Revision, uint8(p.Readiness)
	if urgent {
		s.Version++
		m.enqueue(s, itemPublished)
	}
	m.revisionPending = revisionChanged && !urgent || m.revisionPending && !urgent
	m.viewStale = m.viewStale || urgent || revisionChanged
	if string(p.Digest) != string(m.digest) {
		m.digest = append([]byte(nil), p.Digest...)
		m.digestChanged = true
	}
}

// newestRevision returns the newest revision that any host has in force.
func (m *Machine) newestRevision() identifier.Revision {
	newest := identifier.Revision(0)
	for _, r := range m.order {
		newest = max(newest, r.Revision)
	}
	return newest
}

func (m *Machine) smallFleet() bool {
	return len(m.order) <= m.options.SmallFleetSize
}

func (m *Machine) leave() {
	if m.self.state() == StateLeaving {
		return
	}
	m.self.Refutation++
	m.self.State = uint8(StateLeaving)
	m.viewStale = true
	m.topology.stale = true
	m.enqueue(m.self, itemLiveness)
	m.refreshTopology()
	m.sendUrgent()
}
