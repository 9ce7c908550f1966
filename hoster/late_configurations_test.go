package hoster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/distributor"
	"github.com/jackdawthread/jackdawthread/emulator/linker"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/replicator"
	"github.com/jackdawthread/jackdawthread/timer"
)

const (
	// narrowLink is the rate of a host's link in bytes a second.
	narrowLink = 10e6 / 8
	// rigDelay is the time of a message between two hosts.
	rigDelay = time.Millisecond
	// storeDelay is the time that the store takes for an answer.
	storeDelay   = 4 * time.Millisecond
	storeAddress = identifier.Address("10.9.0.1:80")
	rigConfigKey = "config"
)

// rig is a fleet of hosts that replicate a store over links of given rates. Only the
// distribution of the store's items is real.
type rig struct {
	group   *grouper.Group
	network *linker.Network
	store   *rigStore
	hosts   []*rigHost

	mu sync.Mutex
	// silent are the hosts that nothing reaches, and that reach nothing.
	silent map[identifier.Address]bool
}

// silence cuts a host off until the rig's end.
func (r *rig) silence(h *rigHost) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[h.address] = true
}

func (r *rig) isSilent(a identifier.Address) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.silent[a]
}

// rigHost is a host of a rig.
type rigHost struct {
	name       identifier.Host
	address    identifier.Address
	dataCenter identifier.DataCenter
	node       *linker.Node
	view       *gossiper.View
	replicator *replicator.Replicator

	mu sync.Mutex
	// used has when each state of an item was used first.
	used map[string]time.Time
}

// rigStore holds items and the history of their changes.
type rigStore struct {
	mu       sync.Mutex
	revision identifier.Revision
	items    map[string]replicator.Item
	log      []replicator.Change
	changed  chan struct{}
	reads    int
}

func newRig(hosts, dataCenters int) *rig {
	r := &rig{
		group:  grouper.New(context.Background()),
		silent: map[identifier.Address]bool{},
		store:  &rigStore{items: map[string]replicator.Item{}, changed: make(chan struct{})},
	}
	r.network = linker.New(r.group, rigDelay, func(from, to identifier.Address) bool {
		if r.isSilent(from) || r.isSilent(to) {
			<-r.group.Context().Done() // no answer
		}
		return true
	})
	node := r.network.Node(storeAddress)
	node.Start(messenger.Peer{Host: "store", Incarnation: 1 << 40})
	node.Handle(peerwire.KindChanges, r.store.handle)
	for n := range hosts {
		h := &rigHost{
			name:       identifier.Host(fmt.Sprintf("host-%03d", n)),
			address:    identifier.Address(fmt.Sprintf("10.1.0.%d:7000", n)),
			dataCenter: identifier.DataCenter(fmt.Sprintf("dc-%d", n%dataCenters)),
			used:       map[string]time.Time{},
		}
		h.node = r.network.Node(h.address)
		h.node.Start(messenger.Peer{Host: h.name, Incarnation: h.incarnation()})
		h.node.SetLink(narrowLink)
		r.hosts = append(r.hosts, h)
	}
	return r
}

func (r *rig) start() {
	for _, h := range r.hosts {
		h.view = r.viewOf(h)
	}
	for _, h := range r.hosts {
		h.start(r)
	}
}

func (r *rig) stop() {
	r.group.Stop()
	_ = r.group.Wait() // its goroutines return no error
}

func (h *rigHost) incarnation() identifier.Incarnation {
	var n int
	_, _ = fmt.Sscanf(string(h.name), "host-%d", &n) // names have this form
	return identifier.Incarnation(n + 1)
}

// viewOf returns a host's view, in which all hosts are alive.
func (r *rig) viewOf(h *rigHost) *gossiper.View {
	all := &peerwire.Gossip{}
	for _, o := range r.hosts {
		if o != h {
			all.Updates = append(all.Updates, peerwire.Update{
				Host: o.name, Incarnation: o.incarnation(), Started: 1, Address: o.address,
				DataCenter: o.dataCenter, State: uint8(gossiper.StateAlive), Version: 1,
			})
		}
	}
	m := gossiper.NewMachine(gossiper.Member{
		Host: h.name, Incarnation: h.incarnation(), DataCenter: h.dataCenter, Address: h.address, Started: 1,
	}, gossiper.Options{Seed: 1}, time.Now())
	m.Step(time.Now(), gossiper.GossipArrived{Gossip: all})
	return m.View()
}

// View implements members.
func (h *rigHost) View() *gossiper.View {
	return h.view
}

func (h *rigHost) start(r *rig) {
	d := distributor.New(distributor.Deps{
		Self: h.incarnation(), DataCenter: h.dataCenter, TreeKey: readersKey, Members: h, Links: h.node, Log: zap.NewNop(),
	})
	d.Register(h.node)
	p := &peers{links: h.node, members: h, values: d, self: h.incarnation(), dataCenter: h.dataCenter}
	started := make(chan struct{})
	p.answer = func(ctx context.Context, after identifier.Position, wait time.Duration) replicator.ChangeSet {
		<-started
		return h.replicator.WaitForChanges(ctx, after, wait)
	}
	h.node.Handle(peerwire.KindChanges, p.handleChanges)
	h.replicator = replicator.Start(replicator.Deps{
		Store: &rigStoreClient{node: h.node}, Peers: p, ReadsStore: p.ReadsStore,
		OnChange: h.use, Values: d, Timer: timer.New(r.group), Group: r.group, Log: zap.NewNop(),
	}, replicator.DefaultOptions())
	close(started)
}

// use notes which states of items are used.
func (h *rigHost) use(items []replicator.Item, _ identifier.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, i := range items {
		state := stateName(i.Key, i.Revision)
		if _, known := h.used[state]; !known {
			h.used[state] = now
		}
	}
}

func (h *rigHost) usedAt(state string) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.used[state]
	return at, ok
}

func stateName(key string, r identifier.Revision) string {
	return fmt.Sprintf("%s@%d", key, r)
}

// put writes an item and returns its state's name.
func (s *rigStore) put(key string, value []byte) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := replicator.Item{Key: key, Value: value, Revision: s.revision}
	s.items[key] = i
	s.log = append(s.log, replicator.Change{Item: i})
	close(s.changed)
	s.changed = make(chan struct{})
	return stateName(key, s.revision)
}

func (s *rigStore) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// handle answers a host's listing or watch.
func (s *rigStore) handle(ctx context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var request peerwire.ChangesRequest
	if _, err := request.UnmarshalMsg(payload); err != nil {
		return nil, err
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	s.reads++
	changed, current := s.changed, s.revision
	s.mu.Unlock()
	if request.After > 0 && request.After >= current {
		select {
		case <-changed:
		case <-time.After(time.Duration(request.WaitMs) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return s.answer(request.After), nil
}

func (s *rigStore) answer(after identifier.Revision) *peerwire.ChangesReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := replicator.ChangeSet{Position: identifier.Position{Revision: s.revision}, Complete: after == 0}
	if after == 0 {
		for _, i := range s.items {
			c.Changes = append(c.Changes, replicator.Change{Item: i})
		}
	}
	for _, change := range s.log {
		if after > 0 && change.Revision > after {
			c.Changes = append(c.Changes, change)
		}
	}
	return encodeChanges(c)
}

// rigStoreClient implements replicator.Store over a host's link.
type rigStoreClient struct {
	node *linker.Node
}

func (s *rigStoreClient) List(ctx context.Context) (replicator.ChangeSet, error) {
	return s.call(ctx, &peerwire.ChangesRequest{})
}

func (s *rigStoreClient) Watch(ctx context.Context, after identifier.Position, wait time.Duration) (replicator.ChangeSet, error) {
	return s.call(ctx, &peerwire.ChangesRequest{After: after.Revision, WaitMs: uint32(wait.Milliseconds())})
}

func (s *rigStoreClient) call(ctx context.Context, q *peerwire.ChangesRequest) (replicator.ChangeSet, error) {
	reply := &peerwire.ChangesReply{}
	if err := s.node.Call(ctx, storeAddress, peerwire.KindChanges, q, reply); err != nil {
		return replicator.ChangeSet{}, err
	}
	return decodeChanges(reply), nil
}

// configuration returns declarations with a number of routes, in the form of a store's value.
func configuration(version, routes int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	value := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
	for n := range routes {
		value = fmt.Appendf(value, `{"name":"r-%08x","host":"%06x.example","prefix":"/%08x/","kind":"idempotent",`+
			`"timeoutMs":800,"goalMs":300,"priority":2,"attempts":2,"public":false,"service":"desk-%d"},`,
			random.Uint32(), random.Uint32N(1<<24), random.Uint32(), n%2)
	}
	return append(value, `{}]}`...)
}

// delays returns how long after a change each host used it, the longest last.
func (r *rig) delays(state string, from time.Time) []time.Duration {
	var all []time.Duration
	for _, h := range r.hosts {
		if r.isSilent(h.address) {
			continue
		}
		at, ok := h.usedAt(state)
		if !ok {
			at = from.Add(time.Hour)
		}
		all = append(all, at.Sub(from))
	}
	slices.Sort(all)
	return all
}

func (r *rig) slowest(state string, from time.Time) time.Duration {
	all := r.delays(state, from)
	return all[len(all)-1]
}

// busiestSecond samples what the hosts send until the context ends, and returns the most bytes that
// one of them sent in a second.
func (r *rig) busiestSecond(ctx context.Context) (most func() int) {
	const period = 100 * time.Millisecond
	var mu sync.Mutex
	highest := 0
	r.group.Run(func(context.Context) {
		sent := make([][]int, len(r.hosts))
		for ; ctx.Err() == nil; time.Sleep(period) {
			for n, h := range r.hosts {
				sent[n] = append(sent[n], h.node.SentBytes())
				if last := len(sent[n]) - 1; last >= int(time.Second/period) {
					mu.Lock()
					highest = max(highest, sent[n][last]-sent[n][last-int(time.Second/period)])
					mu.Unlock()
				}
			}
		}
	})
	return func() int {
		mu.Lock()
		defer mu.Unlock()
		return highest
	}
}

// A configuration with 1,400 routes more was late by seconds at the hosts that had read it from the
// store for others, as their links were full of it, and so was the leaving of an endpoint.
func TestLateConfigurations(t *testing.T) {
	const (
		// configurationBound and leavingBound are the longest times until a change is
		// used at the last host.
		configurationBound = 1500 * time.Millisecond
		leavingBound       = time.Second
		routes             = 1400
	)
	for _, c := range []struct{ hosts, versions int }{{24, 20}, {72, 20}, {300, 2}} {
		t.Run(fmt.Sprintf("%d hosts in 3 data centers", c.hosts), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				i := is.New(t)
				r := newRig(c.hosts, 3)
				defer r.stop()
				r.store.put(rigConfigKey, configuration(1, 12))
				r.store.put("e-0", []byte("serving"))
				r.start()
				time.Sleep(5 * time.Second)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				most := r.busiestSecond(ctx)
				slowest, slowestLeaving := time.Duration(0), time.Duration(0)
				for version := range c.versions {
					sent := time.Now()
					state := r.store.put(rigConfigKey, configuration(version+2, routes))
					time.Sleep(50 * time.Millisecond)
					leaving := r.store.put("e-0", fmt.Appendf(nil, "leaving %d", version))
					time.Sleep(2 * time.Second)
					slowest = max(slowest, r.slowest(state, sent))
					slowestLeaving = max(slowestLeaving, r.slowest(leaving, sent.Add(50*time.Millisecond)))
				}
				t.Logf("used everywhere after %v, a leaving after %v; %d bytes in a second at the busiest host; %d reads of the store",
					slowest, slowestLeaving, most(), r.store.readCount())
				i.True(slowest <= configurationBound)   // a configuration is used everywhere in time
				i.True(slowestLeaving <= leavingBound)  // a leaving is known everywhere in time
				i.True(float64(most()) <= narrowLink/2) // no host sends more than half of what its link carries
				time.Sleep(10 * time.Second)
				for _, h := range r.hosts {
					i.Equal(h.replicator.Replica().Position().Revision, identifier.Revision(2+2*c.versions))
				}
			})
		})
	}
}

// While hosts fail that others fetch from, a storm of configurations still ends everywhere.
func TestLateConfigurationsAroundFailures(t *testing.T) {
	const (
		hosts, versions, routes = 36, 12, 1400
		// bound is the longest time until the last version is used at the last host that can be reached.
		bound = 3 * time.Second
	)
	for seed := range uint64(4) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, seed))
				r := newRig(hosts, 3)
				defer r.stop()
				r.store.put(rigConfigKey, configuration(1, 12))
				r.start()
				time.Sleep(5 * time.Second)
				var state string
				var sent time.Time
				for version := range versions {
					sent = time.Now()
					state = r.store.put(rigConfigKey, configuration(version+2, routes+version))
					if version < 8 {
						r.silence(r.hosts[random.IntN(hosts)])
					}
					time.Sleep(330 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				took := r.slowest(state, sent)
				t.Logf("the last version is used everywhere after %v", took)
				is.New(t).True(took <= bound)
			})
		})
	}
}
