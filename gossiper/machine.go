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

// digestSends is how often each host hands on a digest.
const digestSends = 3

// bulkUpdates is the number of updates in news from which it counts as a
// table that most hosts have. It is handed on like digests, since floods of it
// would keep all hosts busy.
const bulkUpdates = 64

// viewPeriodPerHost makes views with new digests rarer in a large fleet, whose
// views take longer to build.
const viewPeriodPerHost = time.Millisecond

// pauseTicks is the number of missed ticks after which the machine takes it
// that its process was paused.
const pauseTicks = 8

// Machine decides on membership. It is deterministic: all that it does follows
// from its seed and its events. It is not safe for concurrent use.
type Machine struct {
	options Options
	random  *rand.Rand
	now     time.Time
	actions []Action

	self          *record
	table         map[identifier.Host]*record
	byIncarnation incarnations
	order         []*record // of the table, sorted by host
	gone          map[identifier.Incarnation]departed
	marks         map[identifier.Endpoint]Mark
	queue         *queue
	urgent        bool // fresh news waits to be sent without a probe
	topology      topology
	leases        map[identifier.DataCenter]time.Time // when news last came
	unreachable   map[identifier.DataCenter]State     // StateSuspect or StateDead

	probes    map[ProbeID]*probe
	lastProbe ProbeID
	seeds     []identifier.Address

	lastTick   time.Time
	nextProbe  time.Time
	nextBeat   time.Time
	nextSync   time.Time
	syncPeriod time.Duration // doubles up to Options.Sync
	nextSeed   time.Time
	nextDigest time.Time
	nextPrune  time.Time
	nextExpiry time.Time // no suspicion passes before it; zero: none does

	digest        []byte
	digestChanged bool
	revised       bool // the revision has changed since it was told

	bulk bool // the news that is merged is a whole table

	view        *View
	viewStale   bool
	digestStale bool // the view lacks digests only
	nextView    time.Time
}

// NewMachine gives a machine that knows only its own host. Of self, the
// identity and Started count.
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
		gone:          map[identifier.Incarnation]departed{},
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
	m.schedule(now)
	return m
}

// schedule spreads the first times at random, so that hosts that start
// together don't act together.
func (m *Machine) schedule(now time.Time) {
	o := &m.options
	m.lastTick = now
	m.nextProbe = now.Add(m.spread(o.Period))
	m.nextBeat = now.Add(m.spread(o.Beat))
	m.hurrySync()
	m.nextSeed = now
	m.nextDigest = now
	m.nextPrune = now.Add(o.Retention / 8)
}

// spread gives a random time up to d.
func (m *Machine) spread(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}

// Step takes one event at time now, which never goes back, and gives the
// actions that follow.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.now = now
	m.actions = nil
	m.allowForPause()
	switch e := e.(type) {
	case Ticked:
		m.tick()
	case NewsArrived:
		m.newsArrived(e)
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
		m.mark(e.Endpoint, e.Mark)
	case Seeded:
		m.setSeeds(e.Addresses)
	case LeaveStarted:
		m.leave()
	}
	return m.actions
}

// View gives what the machine knows now; the same value while nothing
// changes. Changes of digests alone show up to a second or two late in a large
// fleet.
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

// Mark gives the newest mark of e, without building a view.
func (m *Machine) Mark(e identifier.Endpoint) (Mark, bool) {
	k, ok := m.marks[e]
	return k, ok
}

func (m *Machine) act(a Action) {
	m.actions = append(m.actions, a)
}

// allowForPause moves all timers on by the time that the process did not run:
// what peers failed to do meanwhile proves nothing.
func (m *Machine) allowForPause() {
	gap := m.now.Sub(m.lastTick)
	if gap <= pauseTicks*m.options.Tick {
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
	m.hurrySync()
}

func (m *Machine) tick() {
	m.lastTick = m.now
	m.expireSuspects()
	m.expireLeases()
	m.refreshTopology()
	if due(m.now, &m.nextPrune, m.options.Retention/8) {
		m.prune()
	}
	if period := m.seedPeriod(); due(m.now, &m.nextSeed, period/2+m.spread(period)) {
		m.trySeeds()
	}
	if due(m.now, &m.nextSync, m.syncPeriod) {
		m.syncPeriod = min(2*m.syncPeriod, m.options.Sync)
		m.sync()
	}
	if m.superseded() {
		return
	}
	m.publishDigest()
	if due(m.now, &m.nextProbe, m.options.Period) {
		m.probeNext()
	}
	if m.urgent {
		m.flood()
	}
}

// due tells whether at has come and moves it on by period.
func due(now time.Time, at *time.Time, period time.Duration) bool {
	if now.Before(*at) {
		return false
	}
	*at = at.Add(period)
	if !at.After(now) {
		*at = now.Add(period)
	}
	return true
}

// superseded tells whether another process has this host's name.
func (m *Machine) superseded() bool {
	return m.table[m.self.Host] != m.self
}

// insert puts a record in place of any other of its host.
func (m *Machine) insert(r *record) {
	r.hash = xxhash.Sum64String(string(r.Host))
	i, known := m.position(r.Host)
	if known {
		m.depart(&m.order[i].Update)
		m.order[i] = r
	} else {
		m.order = slices.Insert(m.order, i, r)
	}
	m.table[r.Host] = r
	m.byIncarnation[r.Incarnation] = r
	delete(m.gone, r.Incarnation)
	m.tableChanged()
}

func (m *Machine) remove(r *record) {
	delete(m.table, r.Host)
	m.depart(&r.Update)
	i, _ := m.position(r.Host)
	m.order = slices.Delete(m.order, i, i+1)
	m.tableChanged()
}

// depart keeps a process that was replaced for View.ByIncarnation.
func (m *Machine) depart(u *peerwire.Update) {
	delete(m.byIncarnation, u.Incarnation)
	r := record{Update: *u}
	m.gone[u.Incarnation] = departed{member: r.member(StateDead), at: m.now}
}

// position gives the place of a host in the order.
func (m *Machine) position(host identifier.Host) (int, bool) {
	return slices.BinarySearchFunc(m.order, host, func(r *record, host identifier.Host) int {
		return cmp.Compare(r.Host, host)
	})
}

func (m *Machine) tableChanged() {
	m.topology.stale = true
	m.viewStale = true
}

// prune forgets what is older than the retention.
func (m *Machine) prune() {
	before := m.now.Add(-m.options.Retention)
	for i, d := range m.gone {
		if d.at.Before(before) {
			delete(m.gone, i)
			m.viewStale = true
		}
	}
	for _, r := range slices.Clone(m.order) {
		if r != m.self && r.dead() && r.diedAt.Before(before) {
			m.remove(r)
			delete(m.gone, r.Incarnation)
		}
	}
}

// tell queues news of a host.
func (m *Machine) tell(r *record, kind itemKind) {
	limit := digestSends
	if kind != itemDigest && !m.bulk {
		limit = m.sends()
		m.urgent = true
	}
	m.queue.add(itemKey{kind: kind, name: string(r.Host)}, limit)
}

// sends is how often each host hands on news that everyone has to get.
func (m *Machine) sends() int {
	return bits.Len(uint(len(m.order))) + 2
}

func (m *Machine) buildView() *View {
	members := make([]Member, 0, len(m.order))
	for _, r := range m.order {
		members = append(members, r.member(m.seenState(r)))
	}
	gone := make([]Member, 0, len(m.gone))
	for _, d := range m.gone {
		gone = append(gone, d.member)
	}
	unreachable := map[identifier.DataCenter]bool{}
	for dc := range m.unreachable {
		unreachable[dc] = true
	}
	v := newView(members, gone, maps.Clone(m.marks), unreachable)
	v.superseded = m.superseded()
	return v
}

// seenState is the record's state, or what the silence of its data center
// makes of it.
func (m *Machine) seenState(r *record) State {
	return max(r.state(), m.unreachable[r.DataCenter])
}
