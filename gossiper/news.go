package gossiper

import (
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// gossipScope selects the items that a message carries.
type gossipScope uint8

const (
	// scopeLocal is for this host's data center and includes all digests.
	scopeLocal gossipScope = iota
	// scopeRemote is for other data centers. In fleets that aren't small it
	// includes only the digests of bridges.
	scopeRemote
	// scopeUrgent is for urgent news and excludes digests.
	scopeUrgent
)

// buildGossip returns queued news of the scope, as much as fits into a message.
func (m *Machine) buildGossip(scope gossipScope) *peerwire.Gossip {
	n := &peerwire.Gossip{}
	keys := m.queue.pick(m.options.MaxGossipBytes, func(k itemKey) int { return m.itemSize(k, scope) })
	for _, k := range keys {
		m.addItem(n, k)
	}
	return n
}

// itemSize returns the size of an item in bytes: 0 if the scope excludes it,
// negative if it is obsolete.
func (m *Machine) itemSize(k itemKey, scope gossipScope) int {
	if k.kind == itemMark {
		mark, ok := m.marks[identifier.Endpoint(k.name)]
		if !ok {
			return -1
		}
		return markBytes + len(k.name) + len(mark.Source)
	}
	r := m.table[identifier.Host(k.name)]
	if r == nil {
		return -1
	}
	if k.kind == itemDigest && !m.includesDigest(r, scope) {
		return 0
	}
	return r.size(k.kind.parts())
}

func (m *Machine) includesDigest(r *record, scope gossipScope) bool {
	switch scope {
	case scopeLocal:
		return true
	case scopeRemote:
		return m.smallFleet() || m.isBridge(r)
	default:
		return false
	}
}

func (m *Machine) addItem(n *peerwire.Gossip, k itemKey) {
	if k.kind == itemMark {
		e := identifier.Endpoint(k.name)
		n.Marks = append(n.Marks, m.wireMark(e))
		return
	}
	r := m.table[identifier.Host(k.name)]
	addUpdate(n, r, k.kind.parts())
}

func (m *Machine) wireMark(e identifier.Endpoint) peerwire.Mark {
	k := m.marks[e]
	mark := peerwire.Mark{Endpoint: e, Revision: k.Revision, Leaving: k.Leaving}
	if k.Source != "" {
		mark.Source = k.Source
		mark.AgeMs = m.now.Sub(k.At).Milliseconds()
	}
	return mark
}

// addUpdate adds parts of a record to n. It extends the update of the same
// process if n has one.
func addUpdate(n *peerwire.Gossip, r *record, p parts) {
	i := slices.IndexFunc(n.Updates, func(u peerwire.Update) bool { return u.Incarnation == r.Incarnation })
	if i < 0 {
		n.Updates = append(n.Updates, r.update(p))
		return
	}
	r.addParts(&n.Updates[i], p)
}

// addStatusOf tells the recipient, process i, if it is suspect, dead, replaced
// or unknown here, so that it can refute that or introduce itself.
func (m *Machine) addStatusOf(i identifier.Incarnation, n *peerwire.Gossip) {
	if r := m.byIncarnation[i]; r != nil {
		if r.state() == StateSuspect || r.dead() {
			addUpdate(n, r, partIdentity|partLiveness)
		}
		return
	}
	if d, ok := m.departed[i]; ok {
		if r := m.table[d.member.Host]; r != nil {
			addUpdate(n, r, allParts)
			return
		}
	}
	n.Unknown = true
}

// recordContact records that a message from process i itself arrived.
func (m *Machine) recordContact(i identifier.Incarnation) {
	r := m.byIncarnation[i]
	if r == nil {
		return
	}
	r.lastContact = m.now
	if r.state() == StateLeaving {
		r.suspectUntil = time.Time{}
	}
	m.renewLease(r.DataCenter)
}

func (m *Machine) gossipArrived(e GossipArrived) {
	m.recordContact(e.From)
	m.merge(e.Gossip)
	if !e.Reply {
		return
	}
	n := m.buildGossip(m.scopeOf(e.From))
	m.addStatusOf(e.From, n)
	n.From = m.self.Incarnation
	m.emit(Reply{Gossip: n})
}

func (m *Machine) scopeOf(i identifier.Incarnation) gossipScope {
	r := m.byIncarnation[i]
	if r != nil && r.DataCenter == m.self.DataCenter {
		return scopeLocal
	}
	return scopeRemote
}

// sendUrgent sends urgent news to all probe targets and remote bridges.
func (m *Machine) sendUrgent() {
	if len(m.topology.probeTargets)+len(m.topology.remoteBridges) == 0 {
		return
	}
	n := m.buildGossip(scopeUrgent)
	if len(n.Updates) == 0 && len(n.Marks) == 0 {
		m.urgentPending = false
		return
	}
	for _, r := range m.topology.probeTargets {
		m.emit(SendGossip{To: r.Address, Gossip: n})
	}
	for _, r := range m.topology.remoteBridges {
		m.emit(SendGossip{To: r.Address, Gossip: n})
	}
	m.urgentPending = m.queue.hasUnsentUrgent()
}

// sendSelf sends this host's own record to a peer that doesn't have it.
func (m *Machine) sendSelf(to identifier.Address) {
	if m.superseded() {
		return
	}
	n := &peerwire.Gossip{}
	addUpdate(n, m.self, allParts)
	m.emit(SendGossip{To: to, Gossip: n})
}

// refreshDigest queues a changed digest, or a bridge's heartbeat, for
// distribution.
func (m *Machine) refreshDigest() {
	heartbeat := due(m.now, &m.nextHeartbeat, m.options.HeartbeatPeriod) && m.isBridge(m.self)
	changed := (m.digestChanged || m.revisionPending) && !m.now.Before(m.nextDigest)
	if !heartbeat && !changed {
		return
	}
	m.digestChanged = false
	if m.revisionPending {
		m.revisionPending = false
		m.self.Version++
	}
	m.self.Digest = m.digest
	m.self.DigestVersion++
	m.nextDigest = m.now.Add(m.digestPeriod())
	m.enqueue(m.self, itemDigest)
	m.digestStale = true
}

// digestPeriod is the time between two digests of a host. It grows with the
// fleet, so that the digests that each host sends, including those that it
// passes on for others, stay within the limit of bytes per second.
func (m *Machine) digestPeriod() time.Duration {
	hosts, rate := len(m.order), m.options.DigestBytesPerSecond
	if !m.smallFleet() {
		rate = m.options.LargeDigestBytesPerSecond
		hosts = 0
		for _, r := range m.order {
			if r.DataCenter == m.self.DataCenter {
				hosts++
			}
		}
	}
	roundBytes := hosts * digestTransmitLimit * m.self.size(itemDigest.parts())
	period := time.Duration(roundBytes) * time.Second / time.Duration(rate)
	return max(period, m.options.DigestPeriod)
}
