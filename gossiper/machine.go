package gossiper

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// digestTransmitLimit is the number of times that each host sends a digest.
const digestTransmitLimit = 3

// bulkUpdateThreshold is the number of updates from which news is treated as a
// whole table, which most hosts already have. Such updates are sent as seldom as
// digests and never as urgent news, because that would overload all hosts.
const bulkUpdateThreshold = 64

// viewPeriodPerHost, times the number of hosts, is the least time between views
// that differ in digests only, because views of a large fleet take longer to
// build.
const viewPeriodPerHost = time.Millisecond

// pauseThresholdTicks is the number of missed ticks from which the machine
// assumes that its process was paused.
const pauseThresholdTicks = 8

// Machine is the membership state machine. It is deterministic: its actions and
// views depend only on its seed and events. It is not safe for concurrent use.
type Machine struct {
	options Options
	random  *rand.Rand
	now     time.Time
	actions []Action

	self          *record
	table         map[identifier.Host]*record
	byIncarnation incarnations
	order         []*record // records of table, sorted by host
	departed      map[identifier.Incarnation]departedProcess
	marks         map[identifier.Endpoint]Mark
	queue         *queue
	urgentPending bool // urgent news is queued
	topology      topology
	leases        map[identifier.DataCenter]time.Time // time of the latest news
	unreachable   map[identifier.DataCenter]State     // StateSuspect or StateDead

	probes    map[ProbeID]*probe
	lastProbe ProbeID
	seeds     []identifier.Address

	lastTick        time.Time
	nextProbe       time.Time
	nextHeartbeat   time.Time
	nextSync        time.Time
	syncPeriod      time.Duration // doubles up to Options.SyncPeriod
	nextSeedAttempt time.Time
	nextDigest      time.Time
	nextPrune       time.Time
	nextExpiry      time.Time // lower bound of all suspectUntil; zero if there is none

	digest          []byte
	digestChanged   bool
	revisionPending bool // a changed revision waits for the next digest

	bulkMerge bool // the news being merged is a whole table

	view        *View
	viewStale   bool
	digestStale bool // only digests have changed since the view was built
	nextView    time.Time
}

// NewMachine returns a machine that knows only its own host. Only the identity
// and Started of self are used.
func NewMachine(self Member, o Options, now time.Time) *Machine {
	o = o.withDefaults()
	if o.Seed == 0 {
		o.Seed = uint64(self.Incarnation)
	}
	m := &Machine{
		options:       o,
		random:        rand.New(rand.NewPCG(o.Seed, uint64(self.Incarnation))),
		now:           now,
		table:         map[identifier.Host]*record{},
		byIncarnation: incarnations{},
		departed:      map[identifier.Incarnation]departedProcess{},
		marks:         map[identifier.Endpoint]Mark{},
		queue:         newQueue(),
		leases:        map[identifier.DataCenter]time.Time{},
		unreachable:   map[identifier.DataCenter]State{},
		probes:        map[ProbeID]*probe{},
	}
	m.self = &record{Update: peerwire.Update{
		Host:        self.Host,
		Incarnation: self.Incarnation,
		Started:     self.Started,
		Address:     self.Address,
		DataCenter:  self.DataCenter,
		State:       uint8(StateAlive),
		Version:     1,
	}}
	m.insert(m.self)
	m.initTimers(now)
	return m
}

// initTimers sets the timers to random first times, so that hosts that start
// together don't act in step.
func (m *Machine) initTimers(now time.Time) {
	o := &m.options
	m.lastTick = now
	m.nextProbe = now.Add(m.jitter(o.ProbePeriod))
	m.nextHeartbeat = now.Add(m.jitter(o.HeartbeatPeriod))
	m.accelerateSync()
	m.nextSeedAttempt = now
	m.nextDigest = now
	m.nextPrune = now.Add(o.Retention / 8)
}

// jitter returns a random duration less than d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}

// Step processes one event and returns the resulting actions. Now must not be
// earlier than in the previous call.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.now = now
	m.actions = nil
	m.allowForPause()
	switch e := e.(type) {
	case Ticked:
		m.tick()
	case GossipArrived:
		m.gossipArrived(e)
	case ProbeAnswered:
		m.probeAnswered(e)
	case ProbeFailed:
		m.probeFailed(e)
	case ProbeUndecided:
		delete(m.probes, e.Probe)
	case SyncArrived:
		m.syncArrived(e)
	case SyncAnswered:
		m.syncAnswered(e)
	case Published:
		m.publish(e.Payload)
	case Marked:
		m.mergeMark(e.Endpoint, e.Mark)
	case Seeded:
		m.setSeeds(e.Addresses)
	case LeaveStarted:
		m.leave()
	}
	return m.actions
}

// View returns the current view, which is the same pointer while nothing
// changes. In a large fleet, changes of digests alone may be delayed by a second
// or two.
func (m *Machine) View() *View {
	digestsDue := m.digestStale && !m.now.Before(m.nextView)
	if m.view == nil || m.viewStale || digestsDue {
		m.view = m.buildView()
		m.viewStale = false
		m.digestStale = false
		m.nextView = m.now.Add(time.Duration(len(m.order)) * viewPeriodPerHost)
	}
	return m.view
}

// Mark returns the newest mark of e, without building a view.
func (m *Machine) Mark(e identifier.Endpoint) (Mark, bool) {
	k, ok := m.marks[e]
	return k, ok
}

func (m *Machine) emit(a Action) {
	m.actions = append(m.actions, a)
}

// allowForPause extends all deadlines by the time that the process was paused,
// and drops the probes in flight: missing replies and news of that time are no
// evidence against peers.
func (m *Machine) allowForPause() {
	gap := m.now.Sub(m.lastTick)
	if gap <= pauseThresholdTicks*m.options.Tick {
		return
	}
	m.lastTick = m.now
	for _, r := range m.order {
		if !r.suspectUntil.IsZero() {
			r.suspectUntil = r.suspectUntil.Add(gap)
		}
	}
	if !m.nextExpiry.IsZero() {
		m.nextExpiry = m.nextExpiry.Add(gap)
	}
	for dc, at := range m.leases {
		m.leases[dc] = at.Add(gap)
	}
	clear(m.probes)
	m.accelerateSync()
}

func (m *Machine) tick() {
	m.lastTick = m.now
	m.expireSuspects()
	m.expireLeases()
	m.refreshTopology()
	if due(m.now, &m.nextPrune, m.options.Retention/8) {
		m.prune()
	}
	if period := m.seedPeriod(); due(m.now, &m.nextSeedAttempt, period/2+m.jitter(period)) {
		m.contactSeeds()
	}
	if due(m.now, &m.nextSync, m.syncPeriod) {
		m.syncPeriod = min(2*m.syncPeriod, m.options.SyncPeriod)
		m.sync()
	}
	if m.superseded() {
		return
	}
	m.refreshDigest()
	if due(m.now, &m.nextProbe, m.options.ProbePeriod) {
		m.probeNext()
	}
	if m.urgentPending {
		m.sendUrgent()
	}
}

// due reports whether the time in next has come, and if so, advances it by
// period.
func due(now time.Time, next *time.Time, period time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = next.Add(period)
	if !next.After(now) {
		*next = now.Add(period)
	}
	return true
}

// superseded reports whether another process has this host's name.
func (m *Machine) superseded() bool {
	return m.table[m.self.Host] != m.self
}

// insert adds a record, replacing any other of its host.
func (m *Machine) insert(r *record) {
	r.hash = xxhash.Sum64String(string(r.Host))
	i, known := m.position(r.Host)
	if known {
		m.keepDeparted(&m.order[i].Update)
		m.order[i] = r
	} else {
		m.order = slices.Insert(m.order, i, r)
	}
	m.table[r.Host] = r
	m.byIncarnation[r.Incarnation] = r
	delete(m.departed, r.Incarnation)
	m.invalidateTopologyAndView()
}

func (m *Machine) remove(r *record) {
	delete(m.table, r.Host)
	m.keepDeparted(&r.Update)
	i, _ := m.position(r.Host)
	m.order = slices.Delete(m.order, i, i+1)
	m.invalidateTopologyAndView()
}

// keepDeparted remembers a replaced or removed process as dead, so that
// View.ByIncarnation still finds it.
func (m *Machine) keepDeparted(u *peerwire.Update) {
	delete(m.byIncarnation, u.Incarnation)
	r := record{Update: *u}
	m.departed[u.Incarnation] = departedProcess{member: r.member(StateDead), at: m.now}
}

// position returns the index of a host in m.order, or where to insert it.
func (m *Machine) position(host identifier.Host) (int, bool) {
	return slices.BinarySearchFunc(m.order, host, func(r *record, host identifier.Host) int {
		return cmp.Compare(r.Host, host)
	})
}

func (m *Machine) invalidateTopologyAndView() {
	m.topology.stale = true
	m.viewStale = true
}

// prune removes dead and replaced processes, and marks that came from endpoints,
// after the retention time.
func (m *Machine) prune() {
	before := m.now.Add(-m.options.Retention)
	for i, d := range m.departed {
		if d.at.Before(before) {
			delete(m.departed, i)
			m.viewStale = true
		}
	}
	for e, k := range m.marks {
		if k.Source != "" && k.At.Before(before) {
			delete(m.marks, e)
			m.viewStale = true
		}
	}
	for _, r := range slices.Clone(m.order) {
		if r != m.self && r.dead() && r.diedAt.Before(before) {
			m.remove(r)
			delete(m.departed, r.Incarnation)
		}
	}
}

// enqueue queues an item of news about a host. Digests, and updates out of a
// whole table, aren't urgent and are sent less often.
func (m *Machine) enqueue(r *record, kind itemKind) {
	limit := digestTransmitLimit
	if kind != itemDigest && !m.bulkMerge {
		limit = m.transmitLimit()
		m.urgentPending = true
	}
	m.queue.add(itemKey{kind: kind, name: string(r.Host)}, limit)
}

// transmitLimit is the number of times that each host sends news that must reach
// all hosts. It grows with the logarithm of their number.
func (m *Machine) transmitLimit() int {
	return bits.Len(uint(len(m.order))) + 2
}

func (m *Machine) buildView() *View {
	members := make([]Member, 0, len(m.order))
	for _, r := range m.order {
		members = append(members, r.member(m.effectiveState(r)))
	}
	departed := make([]Member, 0, len(m.departed))
	for _, d := range m.departed {
		departed = append(departed, d.member)
	}
	unreachable := map[identifier.DataCenter]bool{}
	for dc := range m.unreachable {
		unreachable[dc] = true
	}
	v := newView(members, departed, maps.Clone(m.marks), unreachable)
	v.superseded = m.superseded()
	return v
}

// effectiveState is the record's state, or that of its data center if the lease
// has expired, whichever is higher.
func (m *Machine) effectiveState(r *record) State {
	return max(r.state(), m.unreachable[r.DataCenter])
}
