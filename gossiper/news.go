package gossiper

import (
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// audience says for whom news is picked.
type audience uint8

const (
	// audienceNear is the own data center.
	audienceNear audience = iota
	// audienceFar is another data center, which gets few digests.
	audienceFar
	// audienceUrgent gets no digests.
	audienceUrgent
)

// news gives queued news, as much as fits into a message.
func (m *Machine) news(a audience) *peerwire.News {
	n := &peerwire.News{}
	keys := m.queue.pick(m.options.MaxNewsBytes, func(k itemKey) int { return m.itemSize(k, a) })
	for _, k := range keys {
		m.addItem(n, k)
	}
	return n
}

// itemSize gives the bytes of an item; 0: not for this audience, negative: it
// is void.
func (m *Machine) itemSize(k itemKey, a audience) int {
	if k.kind == itemMark {
		return markBytes + len(k.name)
	}
	r := m.table[identifier.Host(k.name)]
	if r == nil {
		return -1
	}
	if k.kind == itemDigest && !m.digestGoesTo(r, a) {
		return 0
	}
	return r.size(k.kind.parts())
}

func (m *Machine) digestGoesTo(r *record, a audience) bool {
	switch a {
	case audienceNear:
		return true
	case audienceFar:
		return m.smallFleet() || m.isBridge(r)
	default:
		return false
	}
}

func (m *Machine) addItem(n *peerwire.News, k itemKey) {
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
	return peerwire.Mark{Endpoint: e, Revision: k.Revision, Leaving: k.Leaving}
}

// addUpdate adds parts of a record to n, in one update for each host.
func addUpdate(n *peerwire.News, r *record, p parts) {
	i := slices.IndexFunc(n.Updates, func(u peerwire.Update) bool { return u.Incarnation == r.Incarnation })
	if i < 0 {
		n.Updates = append(n.Updates, r.update(p))
		return
	}
	r.addParts(&n.Updates[i], p)
}

// tellAbout adds what the process called i has to hear of itself: that it is
// suspected, counted as dead, replaced or not known.
func (m *Machine) tellAbout(i identifier.Incarnation, n *peerwire.News) {
	if r := m.byIncarnation[i]; r != nil {
		if r.state() == StateSuspect || r.dead() {
			addUpdate(n, r, partIdentity|partLiveness)
		}
		return
	}
	if d, ok := m.gone[i]; ok {
		if r := m.table[d.member.Host]; r != nil {
			addUpdate(n, r, allParts)
			return
		}
	}
	n.Unknown = true
}

// hear notes that a message came from the process itself.
func (m *Machine) hear(i identifier.Incarnation) {
	r := m.byIncarnation[i]
	if r == nil {
		return
	}
	r.heardAt = m.now
	if r.state() == StateLeaving {
		r.suspectUntil = time.Time{}
	}
	m.renewLease(r.DataCenter)
}

func (m *Machine) newsArrived(e NewsArrived) {
	m.hear(e.From)
	m.merge(e.News)
	if !e.Reply {
		return
	}
	n := m.news(m.audienceOf(e.From))
	m.tellAbout(e.From, n)
	n.From = m.self.Incarnation
	m.act(Reply{News: n})
}

func (m *Machine) audienceOf(i identifier.Incarnation) audience {
	r := m.byIncarnation[i]
	if r != nil && r.DataCenter == m.self.DataCenter {
		return audienceNear
	}
	return audienceFar
}

// flood hands urgent news on at once.
func (m *Machine) flood() {
	if len(m.topology.targets)+len(m.topology.cross) == 0 {
		return
	}
	n := m.news(audienceUrgent)
	if len(n.Updates) == 0 && len(n.Marks) == 0 {
		m.urgent = false
		return
	}
	for _, r := range m.topology.targets {
		m.act(SendNews{To: r.Address, News: n})
	}
	for _, r := range m.topology.cross {
		m.act(SendNews{To: r.Address, News: n})
	}
	m.urgent = m.queue.hasFresh()
}

// introduce sends this host's own record to a peer that doesn't know it.
func (m *Machine) introduce(to identifier.Address) {
	if m.superseded() {
		return
	}
	n := &peerwire.News{}
	addUpdate(n, m.self, allParts)
	m.act(SendNews{To: to, News: n})
}

// publishDigest makes a changed digest, or a bridge's sign of life, news.
func (m *Machine) publishDigest() {
	beat := due(m.now, &m.nextBeat, m.options.Beat) && m.isBridge(m.self)
	changed := (m.digestChanged || m.revised) && !m.now.Before(m.nextDigest)
	if !beat && !changed {
		return
	}
	m.digestChanged = false
	if m.revised {
		m.revised = false
		m.self.Version++
	}
	m.self.Digest = m.digest
	m.self.DigestVersion++
	m.nextDigest = m.now.Add(m.digestPeriod())
	m.tell(m.self, itemDigest)
	m.digestStale = true
}

// digestPeriod is the time between two digests of each host at which all
// digests together keep to their bytes per second.
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
	round := hosts * digestSends * m.self.size(itemDigest.parts())
	period := time.Duration(round) * time.Second / time.Duration(rate)
	return max(period, m.options.DigestPeriod)
}
