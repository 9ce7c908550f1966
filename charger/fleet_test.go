package charger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/charger"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/emulator/linker"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/timer"
)

const (
	// linkDelay is the time that a message between two hosts takes.
	linkDelay = time.Millisecond
	// dataCenters is the number of data centers.
	dataCenters = 3
	// warmUp is how long a host lends nothing after its start.
	warmUp = 2 * time.Second
	// window is the time for which quotas are checked, and overFactor what may be admitted in it
	// as a multiple of the quota.
	window     = 8 * time.Second
	overFactor = 1.05
	// meanCost is the usual cost of a request in tokens.
	meanCost = 5300
)

// fleet is a set of hosts that charge requests of one customer. Time is virtual, and messages
// between hosts are function calls.
type fleet struct {
	t        *testing.T
	group    *grouper.Group
	network  *linker.Network
	registry *registrar.Registrar
	customer *authenticator.Customer
	hosts    []*host
	view     *gossiper.View

	byAddress map[identifier.Address]*host
	bytes     atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
	// side has the side of each host; hosts on different sides don't reach each other.
	side []int
	// lost is the share of the messages that are lost.
	lost float64
	// asked are the requests that callers sent, in order of time.
	asked    []charge
	admitted []charge
	refused  []time.Time
}

// charge is a request that was admitted.
type charge struct {
	at   time.Time
	cost float64
}

// host is a host of a fleet and its current process.
type host struct {
	fleet *fleet
	index int

	mu          sync.Mutex
	charger     *charger.Charger
	group       *grouper.Group
	started     time.Time
	pausedUntil time.Time
	// strangerUntil is until when the process knows only itself.
	strangerUntil time.Time
}

func newFleet(t *testing.T, hosts int, q authenticator.Quota, seed uint64) *fleet {
	f := &fleet{
		t: t, group: grouper.New(context.Background()), registry: registrar.New(),
		random: rand.New(rand.NewPCG(seed, seed)), side: make([]int, hosts), byAddress: map[identifier.Address]*host{},
	}
	f.declare(1, q)
	for n := range hosts {
		h := &host{fleet: f, index: n}
		f.hosts = append(f.hosts, h)
		f.byAddress[h.address()] = h
	}
	f.view = f.newView()
	f.network = linker.New(f.group, linkDelay, f.reaches)
	for _, h := range f.hosts {
		h.start()
	}
	return f
}

// declare puts a version of the declarations in force at all hosts.
func (f *fleet) declare(version identifier.Revision, q authenticator.Quota) {
	i := is.New(f.t)
	index, err := authenticator.NewIndex([]authenticator.Holder{{Customer: authenticator.Customer{Name: "harbour-yard", Quota: q}}})
	i.NoErr(err)
	d := registrar.NewDeclarations(version, nil, nil, registrar.Limits{})
	d.Customers = index
	i.True(f.registry.SetDeclarations(d))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.customer = index.Customers()[0]
}

func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.kill()
	}
	f.group.Stop()
	_ = f.group.Wait() // its goroutines return no error
}

// newView returns a view in which all hosts are live.
func (f *fleet) newView() *gossiper.View {
	g := &peerwire.Gossip{}
	for _, h := range f.hosts[1:] {
		g.Updates = append(g.Updates, peerwire.Update{
			Host: h.name(), Incarnation: h.incarnation(), Started: 1, Address: h.address(),
			DataCenter: h.dataCenter(), State: uint8(gossiper.StateAlive), Version: 1,
		})
	}
	first := f.hosts[0]
	m := gossiper.NewMachine(gossiper.Member{
		Host: first.name(), Incarnation: first.incarnation(), DataCenter: first.dataCenter(), Address: first.address(), Started: 1,
	}, gossiper.Options{Seed: 1}, time.Now())
	m.Step(time.Now(), gossiper.GossipArrived{Gossip: g})
	return m.View()
}

// View implements announcer.Members.
func (f *fleet) View() *gossiper.View { return f.view }

// KnownHosts implements charger.Hosts.
func (h *host) KnownHosts(time.Time) []gossiper.Member {
	if h.Acquainted() {
		return h.fleet.view.Members()
	}
	self, _ := h.fleet.view.ByHost(h.name())
	return []gossiper.Member{self}
}

// Acquainted implements charger.Hosts.
func (h *host) Acquainted() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !time.Now().Before(h.strangerUntil)
}

// Ready implements charger.Hosts.
func (h *host) Ready(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.started) >= warmUp
}

func (h *host) name() identifier.Host { return identifier.Host(fmt.Sprintf("host-%03d", h.index)) }
func (h *host) incarnation() identifier.Incarnation {
	return identifier.Incarnation(h.index + 1)
}

func (h *host) address() identifier.Address {
	return identifier.Address(fmt.Sprintf("10.1.0.%d:7000", h.index))
}

func (h *host) dataCenter() identifier.DataCenter {
	return identifier.DataCenter(fmt.Sprintf("dc-%d", h.index%dataCenters))
}

// start starts a process of the host, which has borrowed and lent nothing.
func (h *host) start() {
	f := h.fleet
	h.mu.Lock()
	h.group = grouper.New(context.Background())
	h.started = time.Now()
	h.mu.Unlock()
	node := f.network.Node(h.address())
	node.Start(messenger.Peer{Host: h.name(), Incarnation: h.incarnation()})
	c := charger.New(charger.Deps{
		Host: h.name(), DataCenter: h.dataCenter(), Registry: f.registry, Hosts: h, Members: f, Links: countedLinks{node, &f.bytes},
		Timer: timer.New(h.group), Group: h.group, Log: zap.NewNop(),
	})
	c.Register(node)
	h.mu.Lock()
	h.charger = c
	h.mu.Unlock()
}

// restart replaces the host's process by one that knows only itself for a time.
func (h *host) restart(stranger time.Duration) {
	h.kill()
	h.mu.Lock()
	h.strangerUntil = time.Now().Add(stranger)
	h.mu.Unlock()
	h.start()
}

func (h *host) kill() {
	h.group.Stop()
	_ = h.group.Wait() // its goroutines return no error
}

// cutTime is the time after which a message that can't arrive fails. Its sender hears nothing
// before.
const cutTime = 10 * time.Second

// reaches reports whether a message arrives. It waits while the receiver is paused.
func (f *fleet) reaches(from, to identifier.Address) bool {
	a, b := f.byAddress[from], f.byAddress[to]
	f.mu.Lock()
	ok := f.side[a.index] == f.side[b.index] && f.random.Float64() >= f.lost
	f.mu.Unlock()
	if !ok {
		time.Sleep(cutTime)
		return false
	}
	b.awaitResume()
	return true
}

// awaitResume waits until the host isn't paused.
func (h *host) awaitResume() {
	h.mu.Lock()
	left := time.Until(h.pausedUntil)
	h.mu.Unlock()
	time.Sleep(left)
}

// uneven returns weights of hosts as callers hash to them: a few get many times the mean.
func (f *fleet) uneven() []float64 {
	weights := make([]float64, len(f.hosts))
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range weights {
		weights[n] = f.random.ExpFloat64()
	}
	return weights
}

// oneHost returns weights with all callers at one host.
func (f *fleet) oneHost(n int) []float64 {
	weights := make([]float64, len(f.hosts))
	weights[n] = 1
	return weights
}

// load sends requests of about meanCost at a rate in tokens a second, in Poisson intervals.
func (f *fleet) load(rate float64, weights []float64, during time.Duration) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	for until := time.Now().Add(during); time.Now().Before(until); {
		f.mu.Lock()
		gap := f.random.ExpFloat64() * meanCost / rate
		draw := f.random.Float64() * sum
		cost := meanCost * (0.5 + f.random.Float64())
		f.mu.Unlock()
		at := slices.IndexFunc(weights, func(w float64) bool { draw -= w; return draw <= 0 })
		h := f.hosts[max(0, at)]
		f.group.Run(func(ctx context.Context) { h.request(ctx, cost) })
		time.Sleep(time.Duration(gap * float64(time.Second)))
	}
}

// request charges one request.
func (h *host) request(ctx context.Context, cost float64) {
	h.awaitResume()
	f := h.fleet
	h.mu.Lock()
	c, started := h.charger, h.started
	h.mu.Unlock()
	f.mu.Lock()
	customer := f.customer
	f.asked = append(f.asked, charge{at: time.Now(), cost: cost})
	f.mu.Unlock()
	began := time.Now()
	_, ok := c.Charge(ctx, customer, cost)
	if took := time.Since(began); took > maxWait && time.Since(started) > maxStartWait+maxWait {
		f.t.Errorf("a request waited for %v, %v after its host's start", took, began.Sub(started))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if ok {
		f.admitted = append(f.admitted, charge{at: time.Now(), cost: cost})
	} else {
		f.refused = append(f.refused, time.Now())
	}
}

const (
	// maxWait is the longest time for which a request may wait for its charge.
	maxWait = 101 * time.Millisecond
	// maxStartWait is how long after its start a host's requests may wait longer, while no host
	// lends yet.
	maxStartWait = time.Second
)

// units returns what was admitted from a time until another one.
func (f *fleet) units(from, to time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := 0.0
	for _, c := range f.admitted {
		if !c.at.Before(from) && c.at.Before(to) {
			sum += c.cost
		}
	}
	return sum
}

// ideal returns what one bucket for all hosts, full at the start, would have admitted from a time
// on.
func (f *fleet) ideal(q authenticator.Quota, from time.Time) float64 {
	sum := 0.0
	f.forEachIdeal(q, func(c charge, admitted bool) {
		if admitted && !c.at.Before(from) {
			sum += c.cost
		}
	})
	return sum
}

// idealRefusals returns how many requests that bucket would have refused.
func (f *fleet) idealRefusals(q authenticator.Quota) int {
	refused := 0
	f.forEachIdeal(q, func(_ charge, admitted bool) {
		if !admitted {
			refused++
		}
	})
	return refused
}

func (f *fleet) forEachIdeal(q authenticator.Quota, do func(c charge, admitted bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	level, filled := q.Burst, f.asked[0].at
	for _, c := range f.asked {
		level = min(q.Burst, level+q.Rate*c.at.Sub(filled).Seconds())
		filled = c.at
		admitted := level >= c.cost
		if admitted {
			level -= c.cost
		}
		do(c, admitted)
	}
}

// borrowing returns a host that lends nothing, if there is one.
func (f *fleet) borrowing() *host {
	lending := f.hosts[0].charger.Granters(f.customer.Name)
	n := slices.IndexFunc(f.hosts, func(h *host) bool { return !slices.Contains(lending, h.name()) })
	return f.hosts[max(0, n)]
}

// most returns the largest number of units that were admitted in any window.
func (f *fleet) most() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.SortFunc(f.admitted, func(a, b charge) int { return a.at.Compare(b.at) })
	highest, sum, first := 0.0, 0.0, 0
	for _, c := range f.admitted {
		sum += c.cost
		for c.at.Sub(f.admitted[first].at) >= window {
			sum -= f.admitted[first].cost
			first++
		}
		highest = max(highest, sum)
	}
	return highest
}

// requests returns the number of requests that callers have sent so far.
func (f *fleet) requests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.asked)
}

func (f *fleet) refusals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.refused)
}

// assertWithinQuota checks that no window has more than the quota allows.
func assertWithinQuota(t *testing.T, f *fleet, q authenticator.Quota) {
	t.Helper()
	is := is.New(t)
	is.Helper()
	allowed := q.Rate*window.Seconds() + q.Burst
	got := f.most()
	t.Logf("at most %.3f of the quota in any window", got/allowed)
	is.True(got <= overFactor*allowed)
}
