// Package measurer measures membership: the machines of many hosts run in one
// process on virtual time, over a fake transport that counts the bytes of the
// real codec. Tests and the measuring command use it; the product does not.
//
// # Usage
//
//	fleet := measurer.NewFleet(measurer.FleetConfig{Hosts: 9, DataCenters: 3, Seed: 1})
//	fleet.Run(30 * time.Second)
//	fleet.Lose(4)
//	fleet.Run(10 * time.Second)
//	view := fleet.View(0)
//
// A run depends on its configuration and seed only.
package measurer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
)

// FleetConfig says what hosts there are.
type FleetConfig struct {
	Hosts       int
	DataCenters int // hosts go to them in turn
	Options     gossiper.Options
	// Latency is the time of a message one way.
	Latency time.Duration
	Seed    uint64
	// Cold fleets find each other through seeds; others start with full views
	// and without seeds. A restarted host always has seeds.
	Cold bool
}

// defaultLatency is that between data centers of a region.
const defaultLatency = time.Millisecond

// epoch is when virtual time starts.
var epoch = time.Unix(1_700_000_000, 0)

// Fleet runs machines on virtual time.
type Fleet struct {
	config    FleetConfig
	random    *rand.Rand
	now       time.Time
	events    eventQueue
	sequence  uint64
	hosts     []*host
	byAddress map[identifier.Address]*host
	blocked   func(from, to int) bool
	changes   func(at int, c gossiper.Changed)
	traffic   []Traffic
	used      map[[2]int]time.Time // when a connection was last used
}

// host is one process.
type host struct {
	index   int
	self    gossiper.Member
	machine *gossiper.Machine
	// gone processes answer nothing; lost ones don't even refuse.
	gone, lost  bool
	frozenUntil time.Time
}

// NewFleet starts all hosts, at slightly different times.
func NewFleet(c FleetConfig) *Fleet {
	if c.Latency <= 0 {
		c.Latency = defaultLatency
	}
	if c.Options.Tick <= 0 {
		c.Options.Tick = 100 * time.Millisecond
	}
	f := &Fleet{
		config:    c,
		random:    rand.New(rand.NewPCG(c.Seed, c.Seed)),
		now:       epoch,
		byAddress: map[identifier.Address]*host{},
		blocked:   func(int, int) bool { return false },
		changes:   func(int, gossiper.Changed) {},
		traffic:   make([]Traffic, c.Hosts),
		used:      map[[2]int]time.Time{},
	}
	for i := range c.Hosts {
		f.hosts = append(f.hosts, nil)
		f.start(i, c.Cold)
	}
	if !c.Cold {
		f.introduceAll()
	}
	return f
}

// Address gives the address of a host.
func (f *Fleet) Address(i int) identifier.Address {
	return identifier.Address(fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250+1))
}

// Name gives the name of a host.
func (f *Fleet) Name(i int) identifier.Host {
	return identifier.Host(fmt.Sprintf("entry-%04d", i))
}

// DataCenter gives the data center of a host.
func (f *Fleet) DataCenter(i int) identifier.DataCenter {
	return identifier.DataCenter(fmt.Sprintf("tw-north-%d", i%f.config.DataCenters+1))
}

// start gives host i a new process, that knows two seeds or nobody.
func (f *Fleet) start(i int, seeded bool) {
	h := &host{index: i, self: gossiper.Member{
		Host:        f.Name(i),
		Incarnation: identifier.Incarnation(f.random.Uint64() | 1),
		Started:     uint64(f.now.UnixMilli()),
		DataCenter:  f.DataCenter(i),
		Address:     f.Address(i),
	}}
	o := f.config.Options
	o.Seed = f.random.Uint64()
	h.machine = gossiper.NewMachine(h.self, o, f.now)
	if seeded {
		h.machine.Step(f.now, gossiper.Seeded{Addresses: []identifier.Address{f.Address(0), f.Address(f.config.Hosts - 1)}})
	}
	f.hosts[i] = h
	f.byAddress[h.self.Address] = h
	f.after(time.Duration(f.random.Int64N(int64(o.Tick))), func() { f.tick(h) })
}

func (f *Fleet) tick(h *host) {
	if h.gone {
		return
	}
	f.deliver(h, func() { f.step(h, gossiper.Ticked{}) })
	f.after(max(f.config.Options.Tick, h.frozenUntil.Sub(f.now)), func() { f.tick(h) })
}

// Now gives the virtual time.
func (f *Fleet) Now() time.Time {
	return f.now
}

// Run lets d pass.
func (f *Fleet) Run(d time.Duration) {
	f.RunUntil(d, func() bool { return false })
}

// RunUntil lets time pass until done holds, checked once per tick, or d is
// over. It gives the time that passed, and whether done held.
func (f *Fleet) RunUntil(d time.Duration, done func() bool) (time.Duration, bool) {
	start := f.now
	end := start.Add(d)
	check := start
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(*event)
		f.now = e.at
		e.run()
		if !f.now.Before(check) {
			check = f.now.Add(f.config.Options.Tick / 2)
			if done() {
				return f.now.Sub(start), true
			}
		}
	}
	f.now = end
	return d, done()
}

// Stop ends host i's process; its address refuses from then on.
func (f *Fleet) Stop(i int) {
	f.hosts[i].gone = true
}

// Lose makes host i vanish; its address is silent from then on.
func (f *Fleet) Lose(i int) {
	f.hosts[i].gone = true
	f.hosts[i].lost = true
}

// Restart gives host i a new process at the old address.
func (f *Fleet) Restart(i int) {
	f.hosts[i].gone = true
	f.start(i, true)
}

// Freeze pauses host i for d. What is sent to it meanwhile waits.
func (f *Fleet) Freeze(i int, d time.Duration) {
	f.hosts[i].frozenUntil = f.now.Add(d)
}

// Cut drops all messages for which blocked holds, until the next Cut.
func (f *Fleet) Cut(blocked func(from, to int) bool) {
	f.blocked = blocked
}

// Heal ends a Cut.
func (f *Fleet) Heal() {
	f.Cut(func(int, int) bool { return false })
}

// OnChange has c called with each change of a member's state at host at.
func (f *Fleet) OnChange(c func(at int, c gossiper.Changed)) {
	f.changes = c
}

// View gives host i's view.
func (f *Fleet) View(i int) *gossiper.View {
	return f.hosts[i].machine.View()
}

// Running tells whether host i has a process.
func (f *Fleet) Running(i int) bool {
	return !f.hosts[i].gone
}

// Incarnation gives that of host i's newest process.
func (f *Fleet) Incarnation(i int) identifier.Incarnation {
	return f.hosts[i].self.Incarnation
}

// Do feeds host i an event of its own.
func (f *Fleet) Do(i int, e gossiper.Event) {
	f.step(f.hosts[i], e)
}

func (f *Fleet) step(h *host, e gossiper.Event) []gossiper.Action {
	actions := h.machine.Step(f.now, e)
	f.perform(h, actions)
	return actions
}
