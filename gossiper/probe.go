package gossiper

import (
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// purpose says what a probe's failure means.
type purpose uint8

const (
	// purposeJudge probes lead to suspicion.
	purposeJudge purpose = iota
	// purposeReach probes only carry news to another data center.
	purposeReach
	// purposeRevive probes try a dead member.
	purposeRevive
)

// probe is one that waits for its answer.
type probe struct {
	host        identifier.Host
	incarnation identifier.Incarnation
	address     identifier.Address
	purpose     purpose
	startedAt   time.Time
	relays      int // that haven't failed
	relayed     bool
}

// probeNext probes the next targets, and the next bridge of another data
// center.
func (m *Machine) probeNext() {
	t := &m.topology
	for range min(m.options.Probes, len(t.targets)) {
		t.nextTarget = (t.nextTarget + 1) % len(t.targets)
		m.startProbe(t.targets[t.nextTarget], purposeJudge)
	}
	if len(t.cross) > 0 {
		t.nextCross = (t.nextCross + 1) % len(t.cross)
		m.startProbe(t.cross[t.nextCross], purposeReach)
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
	n := m.news(m.audienceOf(r.Incarnation))
	m.tellAbout(r.Incarnation, n)
	n.Unknown = false
	m.act(SendProbe{Probe: m.lastProbe, To: r.Address, News: n, Timeout: m.options.ProbeTimeout})
}

func (m *Machine) probeAnswered(e ProbeAnswered) {
	p := m.probes[e.Probe]
	m.hear(e.News.From)
	m.merge(e.News)
	if p == nil {
		return
	}
	if e.News.From != p.incarnation {
		m.probeLost(e.Probe, p) // another process has the address
		return
	}
	delete(m.probes, e.Probe)
	if e.News.Unknown {
		m.introduce(p.address)
	}
	if p.purpose == purposeRevive {
		m.requestSync(p.address)
	}
}

func (m *Machine) probeFailed(e ProbeFailed) {
	if p := m.probes[e.Probe]; p != nil {
		m.probeLost(e.Probe, p)
	}
}

// probeLost asks others to probe, and suspects the host when they fail too.
func (m *Machine) probeLost(id ProbeID, p *probe) {
	if p.purpose != purposeJudge {
		delete(m.probes, id)
		return
	}
	if !p.relayed {
		p.relayed = true
		m.askRelays(id, p)
	} else {
		p.relays--
	}
	if p.relays > 0 {
		return
	}
	delete(m.probes, id)
	m.suspect(p)
}

func (m *Machine) askRelays(id ProbeID, p *probe) {
	n := &peerwire.News{}
	m.tellAbout(p.incarnation, n)
	n.Unknown = false
	ask := &peerwire.ProbeFor{Address: p.address, Incarnation: p.incarnation, News: *n}
	for _, r := range m.chooseRelays(p) {
		p.relays++
		m.act(SendProbeFor{Probe: id, Via: r.Address, Ask: ask, Timeout: 2 * m.options.ProbeTimeout})
	}
}

// chooseRelays gives random members, of the own data center if it has any.
func (m *Machine) chooseRelays(p *probe) []*record {
	var near, far []*record
	for _, r := range m.order {
		switch {
		case r == m.self || r.Host == p.host || r.state() != StateAlive:
		case r.DataCenter == m.self.DataCenter:
			near = append(near, r)
		default:
			far = append(far, r)
		}
	}
	if len(near) == 0 {
		near = far
	}
	m.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near[:min(m.options.Relays, len(near))]
}

// suspect gives the probed host time to refute, unless it was heard since.
func (m *Machine) suspect(p *probe) {
	r := m.byIncarnation[p.incarnation]
	if r == nil || r.heardAt.After(p.startedAt) {
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

// expireSuspects declares those dead that did not refute in time.
func (m *Machine) expireSuspects() {
	if m.nextExpiry.IsZero() || m.now.Before(m.nextExpiry) {
		return
	}
	m.nextExpiry = time.Time{}
	for _, r := range slices.Clone(m.order) { // a death may change the order
		switch {
		case r.suspectUntil.IsZero():
		case !m.now.Before(r.suspectUntil):
			m.setState(r, StateDead)
		case m.nextExpiry.IsZero() || r.suspectUntil.Before(m.nextExpiry):
			m.nextExpiry = r.suspectUntil
		}
	}
}

// renewLease notes that news of a data center came.
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

func (m *Machine) expireLeases() {
	for dc, heard := range m.leases {
		silence := m.now.Sub(heard)
		state := State(0)
		switch {
		case silence > m.options.Forget:
			state = StateDead
		case silence > m.options.Lease:
			state = StateSuspect
		}
		if state != 0 && m.unreachable[dc] != state {
			m.unreachable[dc] = state
			m.viewStale = true
		}
	}
}

// lonelySeeds is the number of seeds that a host tries at a time while it
// knows no live peer.
const lonelySeeds = 4

// alone tells whether this host knows no live peer.
func (m *Machine) alone() bool {
	for _, r := range m.order {
		if r != m.self && !r.dead() {
			return false
		}
	}
	return true
}

// seedPeriod is short while this host is alone.
func (m *Machine) seedPeriod() time.Duration {
	if m.alone() {
		return min(m.options.Period, m.options.SeedPeriod)
	}
	return m.options.SeedPeriod
}

// trySeeds tries one dead member and the next seeds that are no live member's
// address: several while this host is alone, else one.
func (m *Machine) trySeeds() {
	if r := m.randomDead(); r != nil && !m.superseded() {
		m.startProbe(r, purposeRevive)
	}
	count := 1
	if m.alone() {
		count = lonelySeeds
	}
	for _, a := range m.takeSeeds(count) {
		m.requestSync(a)
	}
}

// takeSeeds gives the next seeds in turn that are no live member's address, at
// most count.
func (m *Machine) takeSeeds(count int) []identifier.Address {
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

// setSeeds takes the addresses in a random order, so that hosts that start
// together don't all ask the same peer. Addresses that are tried already keep
// their turns.
func (m *Machine) setSeeds(addresses []identifier.Address) {
	if sameAddresses(m.seeds, addresses) {
		return
	}
	m.seeds = slices.Clone(addresses)
	m.random.Shuffle(len(m.seeds), func(i, j int) {
		m.seeds[i], m.seeds[j] = m.seeds[j], m.seeds[i]
	})
}

// sameAddresses tells whether both hold the same, in any order.
func sameAddresses(a, b []identifier.Address) bool {
	a = slices.Sorted(slices.Values(a))
	b = slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}

func (m *Machine) randomDead() *record {
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
