package gossiper

import (
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// purpose determines how the outcome of a probe is handled.
type purpose uint8

const (
	// purposeMonitor probes detect failures; if one fails, relays probe the host
	// before it becomes suspect.
	purposeMonitor purpose = iota
	// purposeExchange probes carry news to another data center; failures are
	// ignored.
	purposeExchange
	// purposeRejoin probes check whether a dead member is back; failures are
	// ignored.
	purposeRejoin
)

// probe is a probe in flight.
type probe struct {
	host          identifier.Host
	incarnation   identifier.Incarnation
	address       identifier.Address
	purpose       purpose
	startedAt     time.Time
	pendingRelays int // relayed probes that haven't failed
	relayed       bool
}

// probeNext probes the next targets in turn, and the next remote bridge.
func (m *Machine) probeNext() {
	t := &m.topology
	for range min(m.options.ProbesPerPeriod, len(t.probeTargets)) {
		t.nextTarget = (t.nextTarget + 1) % len(t.probeTargets)
		m.startProbe(t.probeTargets[t.nextTarget], purposeMonitor)
	}
	if len(t.remoteBridges) > 0 {
		t.nextRemoteBridge = (t.nextRemoteBridge + 1) % len(t.remoteBridges)
		m.startProbe(t.remoteBridges[t.nextRemoteBridge], purposeExchange)
	}
}

func (m *Machine) startProbe(r *record, p purpose) {
	m.lastProbe++
	m.probes[m.lastProbe] = &probe{
		host:        r.Host,
		incarnation: r.Incarnation,
		address:     r.Address,
		purpose:     p,
		startedAt:   m.now,
	}
	n := m.buildGossip(m.scopeOf(r.Incarnation))
	m.addStatusOf(r.Incarnation, n)
	n.Unknown = false
	m.emit(SendProbe{Probe: m.lastProbe, To: r.Address, Gossip: n, Timeout: m.options.ProbeTimeout})
}

func (m *Machine) probeAnswered(e ProbeAnswered) {
	p := m.probes[e.Probe]
	m.recordContact(e.Gossip.From)
	m.merge(e.Gossip)
	if p == nil {
		return
	}
	if e.Gossip.From != p.incarnation {
		m.escalateProbe(e.Probe, p) // another process uses the address
		return
	}
	delete(m.probes, e.Probe)
	if e.Gossip.Unknown {
		m.sendSelf(p.address)
	}
	if p.purpose == purposeRejoin {
		m.requestSync(p.address)
	}
}

func (m *Machine) probeFailed(e ProbeFailed) {
	if p := m.probes[e.Probe]; p != nil {
		m.escalateProbe(e.Probe, p)
	}
}

// escalateProbe handles a failed direct or relayed probe. After a direct one, it
// asks relays to probe the host; after the last relayed one, it suspects it.
func (m *Machine) escalateProbe(id ProbeID, p *probe) {
	if p.purpose != purposeMonitor {
		delete(m.probes, id)
		return
	}
	if !p.relayed {
		p.relayed = true
		m.sendRelayedProbes(id, p)
	} else {
		p.pendingRelays--
	}
	if p.pendingRelays > 0 {
		return
	}
	delete(m.probes, id)
	m.suspect(p)
}

func (m *Machine) sendRelayedProbes(id ProbeID, p *probe) {
	n := &peerwire.Gossip{}
	m.addStatusOf(p.incarnation, n)
	n.Unknown = false
	request := &peerwire.IndirectProbe{Address: p.address, Incarnation: p.incarnation, Gossip: *n}
	for _, r := range m.chooseRelays(p) {
		p.pendingRelays++
		m.emit(SendProbeFor{Probe: id, Via: r.Address, Request: request, Timeout: 2 * m.options.ProbeTimeout})
	}
}

// chooseRelays returns random alive members other than the target, from the
// local data center if it has any.
func (m *Machine) chooseRelays(p *probe) []*record {
	var candidates, remote []*record
	for _, r := range m.order {
		switch {
		case r == m.self || r.Host == p.host || r.state() != StateAlive:
		case r.DataCenter == m.self.DataCenter:
			candidates = append(candidates, r)
		default:
			remote = append(remote, r)
		}
	}
	if len(candidates) == 0 {
		candidates = remote
	}
	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(m.options.Relays, len(candidates))]
}

// suspect starts a suspicion of the probed host, unless it has sent a message
// since the probe began.
func (m *Machine) suspect(p *probe) {
	r := m.byIncarnation[p.incarnation]
	if r == nil || r.lastContact.After(p.startedAt) {
		return
	}
	switch r.state() {
	case StateAlive:
		m.setState(r, StateSuspect)
	case StateLeaving:
		if r.suspectUntil.IsZero() {
			m.startSuspicion(r)
		}
	default:
	}
}

func (m *Machine) startSuspicion(r *record) {
	r.suspectUntil = m.now.Add(m.options.SuspicionTimeout)
	if m.nextExpiry.IsZero() || r.suspectUntil.Before(m.nextExpiry) {
		m.nextExpiry = r.suspectUntil
	}
}

// expireSuspects declares hosts dead that didn't refute in time.
func (m *Machine) expireSuspects() {
	if m.nextExpiry.IsZero() || m.now.Before(m.nextExpiry) {
		return
	}
	m.nextExpiry = time.Time{}
	for _, r := range slices.Clone(m.order) { // setState may modify m.order
		switch {
		case r.suspectUntil.IsZero():
		case !m.now.Before(r.suspectUntil):
			m.setState(r, StateDead)
		case m.nextExpiry.IsZero() || r.suspectUntil.Before(m.nextExpiry):
			m.nextExpiry = r.suspectUntil
		}
	}
}

// renewLease records that news of a remote data center arrived.
func (m *Machine) renewLease(dc identifier.DataCenter) {
	if dc == m.self.DataCenter {
		return
	}
	m.leases[dc] = m.now
	if _, ok := m.unreachable[dc]; ok {
		delete(m.unreachable, dc)
		m.viewStale = true
	}
}

// expireLeases updates the states of data centers without recent news.
func (m *Machine) expireLeases() {
	for dc, lastNews := range m.leases {
		silence := m.now.Sub(lastNews)
		state := State(0)
		switch {
		case silence > m.options.DataCenterDeadTimeout:
			state = StateDead
		case silence > m.options.DataCenterLease:
			state = StateSuspect
		}
		if state != 0 && m.unreachable[dc] != state {
			m.unreachable[dc] = state
			m.viewStale = true
		}
	}
}

// isolatedSeedCount is the number of seeds that a host contacts at a time while
// it knows no live peer.
const isolatedSeedCount = 4

// isolated reports whether this host knows no peer that isn't dead.
func (m *Machine) isolated() bool {
	for _, r := range m.order {
		if r != m.self && !r.dead() {
			return false
		}
	}
	return true
}

// seedPeriod is the mean time between attempts to contact seeds, which is
// shorter while this host is isolated.
func (m *Machine) seedPeriod() time.Duration {
	if m.isolated() {
		return min(m.options.ProbePeriod, m.options.SeedPeriod)
	}
	return m.options.SeedPeriod
}

// contactSeeds probes one dead member and sends a sync request to the next seed
// that isn't the address of a live member, or to several if this host is
// isolated.
func (m *Machine) contactSeeds() {
	if r := m.randomDeadMember(); r != nil && !m.superseded() {
		m.startProbe(r, purposeRejoin)
	}
	count := 1
	if m.isolated() {
		count = isolatedSeedCount
	}
	for _, a := range m.nextSeeds(count) {
		m.requestSync(a)
	}
}

// nextSeeds returns up to count seeds, in turn, that aren't addresses of live
// members.
func (m *Machine) nextSeeds(count int) []identifier.Address {
	known := map[identifier.Address]bool{m.self.Address: true}
	for _, r := range m.order {
		known[r.Address] = !r.dead()
	}
	var taken []identifier.Address
	for range m.seeds {
		a := m.seeds[0]
		m.seeds = append(m.seeds[1:], a)
		if !known[a] {
			taken = append(taken, a)
		}
		if len(taken) == count {
			break
		}
	}
	return taken
}

// setSeeds replaces the seeds. It shuffles them, so that hosts that start
// together don't all contact the same peer. If the addresses are the same as
// before, their order stays.
func (m *Machine) setSeeds(addresses []identifier.Address) {
	if sameAddresses(m.seeds, addresses) {
		return
	}
	m.seeds = slices.Clone(addresses)
	m.random.Shuffle(len(m.seeds), func(i, j int) {
		m.seeds[i], m.seeds[j] = m.seeds[j], m.seeds[i]
	})
}

// sameAddresses reports whether a and b hold the same addresses, in any order.
func sameAddresses(a, b []identifier.Address) bool {
	a = slices.Sorted(slices.Values(a))
	b = slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}

func (m *Machine) randomDeadMember() *record {
	var dead []*record
	for _, r := range m.order {
		if r != m.self && r.dead() {
			dead = append(dead, r)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return dead[m.random.IntN(len(dead))]
}
