// Package measurer simulates the membership protocol. It runs the state machines
// of many hosts in one process on virtual time, over a fake transport that
// counts the bytes of the real codec. Only tests and cmd/measurer use it.
//
// # Usage
//
//	fleet := measurer.NewFleet(measurer.FleetConfig{Hosts: 9, DataCenters: 3, Seed: 1})
//	fleet.Run(30 * time.Second)
//	fleet.PowerOff(4)
//	fleet.Run(10 * time.Second)
//	view := fleet.View(0)
//
// A run depends only on its configuration and seed.
package measurer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
)

// FleetConfig configures a Fleet.
type FleetConfig struct {
	Hosts       int
	DataCenters int // hosts are assigned round-robin
	Options     gossiper.Options
	// Latency is the one-way latency of a message.
	Latency time.Duration
	Seed    uint64
	// Cold makes the hosts discover each other through seed addresses.
	// Otherwise they start with full views and without seeds. A restarted host
	// always has seeds.
	Cold bool
}

// defaultLatency is a typical latency between data centers of a region.
const defaultLatency = time.Millisecond

// epoch is the virtual start time.
var epoch = time.Unix(1_700_000_000, 0)

// Fleet simulates the hosts of a cluster on virtual time.
type Fleet struct {
	config    FleetConfig
	random    *rand.Rand
	now       time.Time
	events    eventQueue
	sequence  uint64
	hosts     []*host
	byAddress map[identifier.Address]*host
	blocked   func(from, to int) bool
	onChange  func(at int, c gossiper.MemberChanged)
	traffic   []Traffic
	lastUsed  map[[2]int]time.Time // last use of a connection, by sender and receiver
}

// host is one process of a host; a restart replaces it.
type host struct {
	index   int
	self    gossiper.Member
	machine *gossiper.Machine
	// stopped processes refuse connections. If unresponsive is set as well, their
	// address drops all messages instead.
	stopped, unresponsive bool
	frozenUntil           time.Time
}

// NewFleet starts all hosts. The phases of their ticks are random.
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
		onChange:  func(int, gossiper.MemberChanged) {},
		traffic:   make([]Traffic, c.Hosts),
		lastUsed:  map[[2]int]time.Time{},
	}
	for i := range c.Hosts {
		f.hosts = append(f.hosts, nil)
		f.startProcess(i, c.Cold)
	}
	if !c.Cold {
		f.fillViews()
	}
	return f
}

// Address returns the address of host i.
func (f *Fleet) Address(i int) identifier.Address {
	return identifier.Address(fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250+1))
}

// Name returns the name of host i.
func (f *Fleet) Name(i int) identifier.Host {
	return identifier.Host(fmt.Sprintf("entry-%04d", i))
}

// DataCenter returns the data center of host i.
func (f *Fleet) DataCenter(i int) identifier.DataCenter {
	return identifier.DataCenter(fmt.Sprintf("tw-north-%d", i%f.config.DataCenters+1))
}

// startProcess starts a new process of host i, with two seed addresses or none.
func (f *Fleet) startProcess(i int, seeded bool) {
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
	if h.stopped {
		return
	}
	f.deliver(h, func() { f.step(h, gossiper.Ticked{}) })
	f.after(max(f.config.Options.Tick, h.frozenUntil.Sub(f.now)), func() { f.tick(h) })
}

// Now returns the virtual time.
func (f *Fleet) Now() time.Time {
	return f.now
}

// Run advances virtual time by d.
func (f *Fleet) Run(d time.Duration) {
	f.RunUntil(d, func() bool { return false })
}

// RunUntil advances virtual time until done returns true, which it checks about
// twice per tick, or until d has passed. It returns the elapsed time and whether
// done returned true.
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

// Stop ends host i's process. Its address then refuses connections.
func (f *Fleet) Stop(i int) {
	f.hosts[i].stopped = true
}

// PowerOff makes host i fail silently. Messages to its address are dropped,
// whereas the address of a stopped process refuses connections.
func (f *Fleet) PowerOff(i int) {
	f.hosts[i].stopped = true
	f.hosts[i].unresponsive = true
}

// Restart replaces host i's process by a new one at the same address.
func (f *Fleet) Restart(i int) {
	f.hosts[i].stopped = true
	f.startProcess(i, true)
}

// Freeze pauses host i for d. Messages to it are delivered after the pause.
func (f *Fleet) Freeze(i int, d time.Duration) {
	f.hosts[i].frozenUntil = f.now.Add(d)
}

// Partition drops all messages for which blocked returns true, until the next
// Partition.
func (f *Fleet) Partition(blocked func(from, to int) bool) {
	f.blocked = blocked
}

// Heal ends the effect of Cut.
func (f *Fleet) Heal() {
	f.Partition(func(int, int) bool { return false })
}

// OnChange sets the function to call when a member's state changes in the view of
// host at. It replaces the previous one.
func (f *Fleet) OnChange(c func(at int, c gossiper.MemberChanged)) {
	f.onChange = c
}

// View returns host i's view of the membership.
func (f *Fleet) View(i int) *gossiper.View {
	return f.hosts[i].machine.View()
}

// Running reports whether host i has a running process.
func (f *Fleet) Running(i int) bool {
	return !f.hosts[i].stopped
}

// Incarnation returns the incarnation of host i's latest process.
func (f *Fleet) Incarnation(i int) identifier.Incarnation {
	return f.hosts[i].self.Incarnation
}

// Apply applies a local event at host i.
func (f *Fleet) Apply(i int, e gossiper.Event) {
	f.step(f.hosts[i], e)
}

func (f *Fleet) step(h *host, e gossiper.Event) []gossiper.Action {
	actions := h.machine.Step(f.now, e)
	f.perform(h, actions)
	return actions
}
