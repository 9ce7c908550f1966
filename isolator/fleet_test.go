package isolator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/emulator/linker"
	"github.com/jackdawthread/jackdawthread/fingerprinter"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/quarantiner"
	"github.com/jackdawthread/jackdawthread/timer"
)

const (
	// Traffic of a fleet: one request that ends what runs it every crashPeriod, each at a random
	// host, beside others every otherPeriod.
	crashPeriod   = 400 * time.Millisecond
	otherPeriod   = 20 * time.Millisecond
	fleetTraffic  = 24 * time.Second
	faultPeriod   = 3 * time.Second
	crashTime     = 50 * time.Millisecond
	fleetDowntime = 3 * time.Second
	linkDelay     = time.Millisecond
	// maxEnds is the aim: no further endpoint ends. With faults, further ones may: the operators
	// allow allowedArrivals from contactTime after the third end, by hosts in touch.
	maxEnds         = 3
	contactTime     = 3 * time.Second
	allowedArrivals = 3
)

// fleet is a set of hosts that send requests to the endpoints of one service. Time is virtual, and
// messages between hosts are function calls.
type fleet struct {
	group   *grouper.Group
	network *linker.Network
	hosts   []*fleetHost

	mu     sync.Mutex
	random *rand.Rand
	// side has the side of each host; hosts on different sides don't reach each other.
	side []int
	// starts has the number of the current process of each endpoint; downUntil when the
	// next one starts.
	starts    []int64
	downUntil []time.Time
	// ends and arrivals are those of the request that ends what runs it, and refused counts the
	// others that were not sent.
	ends, arrivals []time.Time
	refused        int
}

// fleetHost is a host of a fleet.
type fleetHost struct {
	fleet *fleet
	index int

	mu       sync.Mutex
	isolator *isolator.Isolator
	group    *grouper.Group
	view     *gossiper.View
}

func newFleet(hosts, endpoints int, seed uint64) *fleet {
	f := &fleet{
		group:     grouper.New(context.Background()),
		random:    rand.New(rand.NewPCG(seed, seed)),
		side:      make([]int, hosts),
		starts:    make([]int64, endpoints),
		downUntil: make([]time.Time, endpoints),
	}
	for n := range endpoints {
		f.starts[n] = 1
	}
	index := map[identifier.Address]int{}
	for n := range hosts {
		index[fleetAddress(n)] = n
		f.hosts = append(f.hosts, &fleetHost{fleet: f, index: n})
	}
	f.network = linker.New(f.group, linkDelay, func(from, to identifier.Address) bool {
		return f.linked(f.hosts[index[from]], f.hosts[index[to]])
	})
	for _, h := range f.hosts {
		h.start()
	}
	return f
}

// intN returns a random number in [0, n).
func (f *fleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.kill()
	}
	f.group.Stop()
	_ = f.group.Wait() // its goroutines return no error
}

func fleetAddress(index int) identifier.Address {
	return identifier.Address(fmt.Sprintf("10.1.0.%d:7000", index))
}

func (h *fleetHost) peer() messenger.Peer {
	return messenger.Peer{Host: identifier.Host(fmt.Sprintf("host-%03d", h.index)), Incarnation: identifier.Incarnation(h.index + 1)}
}

// start starts a process of the host, which knows nothing.
func (h *fleetHost) start() {
	h.mu.Lock()
	h.group = grouper.New(context.Background())
	h.mu.Unlock()
	h.updateView()
	node := h.fleet.network.Node(fleetAddress(h.index))
	node.Start(h.peer())
	i := isolator.New(isolator.Deps{
		Self: h.peer().Incarnation, Members: h, Links: node,
		Connect:      h.fleet.connect,
		Idle:         func(identifier.Address) int { return 0 },
		Registered:   func(isolator.Engine) bool { return true },
		Alternatives: func(isolator.Engine, quarantiner.Phase) []isolator.Engine { return h.fleet.registered() },
		Timer:        timer.New(h.group), Group: h.group, Log: zap.NewNop(),
	})
	i.Register(node)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isolator = i
}

func (h *fleetHost) kill() {
	h.group.Stop()
	_ = h.group.Wait() // its goroutines return no error
}

// View implements announcer.Members.
func (h *fleetHost) View() *gossiper.View {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view
}

// updateView builds the host's view: it takes the hosts on other sides for dead.
func (h *fleetHost) updateView() {
	alive, dead := &peerwire.Gossip{}, &peerwire.Gossip{}
	for _, o := range h.fleet.hosts {
		if o == h {
			continue
		}
		u := peerwire.Update{
			Host: o.peer().Host, Incarnation: o.peer().Incarnation, Started: 1, Address: fleetAddress(o.index),
			DataCenter: "a", State: uint8(gossiper.StateAlive), Version: 1,
		}
		alive.Updates = append(alive.Updates, u)
		if !h.fleet.linked(h, o) {
			u.State = uint8(gossiper.StateDead)
			dead.Updates = append(dead.Updates, u)
		}
	}
	m := gossiper.NewMachine(gossiper.Member{
		Host: h.peer().Host, Incarnation: h.peer().Incarnation, DataCenter: "a", Address: fleetAddress(h.index), Started: 1,
	}, gossiper.Options{Seed: 1}, time.Now())
	m.Step(time.Now(), gossiper.GossipArrived{Gossip: alive})
	m.Step(time.Now(), gossiper.GossipArrived{Gossip: dead})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view = m.View()
}

func (f *fleet) linked(a, b *fleetHost) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.side[a.index] == f.side[b.index]
}

// endpoint returns the current process of an endpoint.
func (f *fleet) endpoint(n int) isolator.Engine {
	return isolator.Engine{
		Service: "desk", Name: identifier.Endpoint(fmt.Sprintf("e%d-%d", n, f.starts[n])),
		Address: identifier.Address(fmt.Sprint(n)), StartID: f.starts[n],
	}
}

// registered returns the processes of all endpoints.
func (f *fleet) registered() []isolator.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []isolator.Engine
	for n := range f.starts {
		all = append(all, f.endpoint(n))
	}
	return all
}

// connect opens a connection to an endpoint.
func (f *fleet) connect(_ context.Context, a identifier.Address) error {
	time.Sleep(linkDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, until := range f.downUntil {
		if fmt.Sprint(n) == string(a) && time.Now().Before(until) {
			return syscall.ECONNREFUSED
		}
	}
	return nil
}

// choose returns a random endpoint that isn't down.
func (f *fleet) choose() (n int, e isolator.Engine, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range 4 * len(f.starts) {
		n = f.random.IntN(len(f.starts))
		if time.Now().After(f.downUntil[n]) {
			return n, f.endpoint(n), true
		}
	}
	return 0, isolator.Engine{}, false
}

// end ends an endpoint's process, unless it has ended.
func (f *fleet) end(n int, startID int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.starts[n] != startID {
		return
	}
	f.ends = append(f.ends, time.Now())
	f.downUntil[n] = time.Now().Add(fleetDowntime)
	f.starts[n]++
}

// alive reports whether a process of an endpoint has not ended.
func (f *fleet) alive(n int, startID int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[n] == startID
}

// request sends a request to one endpoint and, if that breaks it off, to a second one.
func (h *fleetHost) request(id identifier.Request, crashes bool, traits []identifier.Trait) {
	h.mu.Lock()
	i, process := h.isolator, h.group.Context()
	h.mu.Unlock()
	for range 2 {
		n, e, ok := h.fleet.choose()
		if !ok {
			return
		}
		c, err := i.Enter(process, e, quarantiner.PhaseDecode, id, traits)
		if process.Err() != nil { // a process that was killed sends nothing
			return
		}
		if err != nil {
			h.fleet.countRefused(crashes)
			return
		}
		if crashes {
			h.fleet.countArrival()
		}
		time.Sleep(crashTime)
		if crashes {
			h.fleet.end(n, e.StartID)
		}
		if h.fleet.alive(n, e.StartID) {
			c.Settle(process, nil)
			return
		}
		c.Settle(process, errBrokenOff)
	}
}

func (f *fleet) countArrival() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arrivals = append(f.arrivals, time.Now())
}

// countRefused counts the other requests that are refused.
func (f *fleet) countRefused(crashes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !crashes {
		f.refused++
	}
}

// run sends requests at random hosts, with a fault every faultPeriod.
func (f *fleet) run(faults []func(*fleet)) {
	began := time.Now()
	var requests sync.WaitGroup
	crash := quarantiner.RequestTraits(fingerprinter.Fingerprints{Request: "crash", Caller: "crash"})
	for n := 0; time.Since(began) < fleetTraffic; n++ {
		time.Sleep(otherPeriod)
		id := identifier.Request(fmt.Sprint("q", n))
		h := f.hosts[f.intN(len(f.hosts))]
		if n%int(crashPeriod/otherPeriod) == 0 {
			requests.Go(func() { h.request(id, true, crash) })
		} else {
			own := identifier.Fingerprint(id)
			requests.Go(func() {
				h.request(id, false, quarantiner.RequestTraits(fingerprinter.Fingerprints{Request: own, Caller: own}))
			})
		}
		if len(faults) > 0 && n > 0 && n%int(faultPeriod/otherPeriod) == 0 {
			faults[f.intN(len(faults))](f)
		}
	}
	requests.Wait()
}

// divide cuts the hosts into two sides, which take each other for dead.
func divide(f *fleet) {
	f.mu.Lock()
	for n := range f.side {
		f.side[n] = f.random.IntN(2)
	}
	f.mu.Unlock()
	f.updateViews()
}

// unite connects all hosts again.
func unite(f *fleet) {
	f.mu.Lock()
	clear(f.side)
	f.mu.Unlock()
	f.updateViews()
}

func (f *fleet) updateViews() {
	for _, h := range f.hosts {
		h.updateView()
	}
}

// restartSome restarts a third of the hosts at most.
func restartSome(f *fleet) {
	for range 1 + f.intN(max(1, len(f.hosts)/3)) {
		h := f.hosts[f.intN(len(f.hosts))]
		h.kill()
		h.start()
	}
}

// arrivalsAfter returns the number of arrivals after a time.
func (f *fleet) arrivalsAfter(after time.Time) int {
	n := 0
	for _, at := range f.arrivals {
		if at.After(after) {
			n++
		}
	}
	return n
}

// TestFleet guards against hosts that together send a request on to endpoints that it ends,
// whatever happens to the hosts.
func TestFleet(t *testing.T) {
	cases := []struct {
		name   string
		faults []func(*fleet)
		// maxEnds is the number of ends that are allowed: on each of two sides three, if hosts
		// are cut off from each other.
		maxEnds int
	}{
		{"without faults", nil, maxEnds},
		{"restarts", []func(*fleet){restartSome}, maxEnds},
		{"partitions", []func(*fleet){divide, unite}, 2 * maxEnds},
		{"all faults", []func(*fleet){divide, unite, restartSome}, 2 * maxEnds},
	}
	for hosts, seeds := range map[int]uint64{9: 4, 300: 1} {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%d hosts, %s", hosts, c.name), func(t *testing.T) {
				for seed := range seeds {
					runFleet(t, hosts, seed, c.faults, c.maxEnds)
				}
			})
		}
	}
}

func runFleet(t *testing.T, hosts int, seed uint64, faults []func(*fleet), most int) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		f := newFleet(hosts, 8, seed)
		time.Sleep(5 * time.Second) // the hosts have joined
		f.run(faults)
		f.stop()
		t.Logf("seed %d: %d endpoints ended, the request arrived %d times, %d others refused", seed, len(f.ends), len(f.arrivals), f.refused)
		i.True(len(f.ends) <= most)
		i.True(f.arrivalsAfter(f.ends[min(len(f.ends), most)-1].Add(contactTime)) <= allowedArrivals)
	})
}
