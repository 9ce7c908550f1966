package reserver_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
	"github.com/jackdawthread/jackdawthread/timer"
)

const (
	memory = 20_000
	tokens = 5_000
)

// fakeEngines implements reserver.Engines in memory.
type fakeEngines struct {
	mu           sync.Mutex
	used         map[identifier.Endpoint]identifier.Tokens
	held         map[reserver.Reservation]identifier.Tokens
	reserveCalls int
	cancelCalls  int
	unresponsive map[identifier.Endpoint]bool
	acceptsAll   bool // Reserve refuses nothing
	// barrier, if set, blocks Reserve calls until enough of them run at once.
	barrier *barrier
}

// barrierTimeout is far above the time that concurrent calls need to arrive.
const barrierTimeout = 10 * time.Second

// barrier blocks callers until count of them wait at the same time, and none
// after that.
type barrier struct {
	count    int64
	waiting  atomic.Int64
	open     chan struct{}
	timedOut atomic.Bool
}

func newBarrier(count int64) *barrier {
	return &barrier{count: count, open: make(chan struct{})}
}

func (b *barrier) wait() {
	if b.waiting.Add(1) == b.count {
		close(b.open)
	}
	select {
	case <-b.open:
	case <-time.After(barrierTimeout):
		b.timedOut.Store(true)
		b.waiting.Add(-1)
	}
}

func newEngines() *fakeEngines {
	return &fakeEngines{
		used:         map[identifier.Endpoint]identifier.Tokens{},
		held:         map[reserver.Reservation]identifier.Tokens{},
		unresponsive: map[identifier.Endpoint]bool{},
	}
}

func (g *fakeEngines) Reserve(ctx context.Context, e *registrar.Endpoint, n identifier.Tokens, _ time.Duration) (reserver.Reservation, error) {
	if g.barrier != nil {
		g.barrier.wait()
	}
	g.mu.Lock()
	g.reserveCalls++
	name := reserver.Reservation(fmt.Sprintf("r%d", g.reserveCalls))
	if g.unresponsive[e.Name] {
		g.mu.Unlock()
		<-ctx.Done()
		return "", classifier.NotRun(classifier.ReasonHostUnreachable, 0, "engine does not respond")
	}
	defer g.mu.Unlock()
	if g.used[e.Name]+n > memory && !g.acceptsAll {
		return "", classifier.NotRun(classifier.ReasonEndpointRefused, 0, "engine is full")
	}
	g.used[e.Name] += n
	g.held[name] = n
	return name, nil
}

func (g *fakeEngines) CancelReservation(_ context.Context, e *registrar.Endpoint, r reserver.Reservation) error {
	g.free(e.Name, r)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancelCalls++
	return nil
}

// free releases a reservation, as at the end of a response.
func (g *fakeEngines) free(e identifier.Endpoint, r reserver.Reservation) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n, ok := g.held[r]; ok {
		delete(g.held, r)
		g.used[e] -= n
	}
}

func (g *fakeEngines) count() (reserveCalls, held, cancelCalls int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reserveCalls, len(g.held), g.cancelCalls
}

// fleet is a set of hosts, each with a reserver, that share the same engines.
type fleet struct {
	t       *testing.T
	is      *is.I
	group   *grouper.Group
	engines *fakeEngines
	hosts   []*host
	// registry is shared by all hosts.
	registry *registrar.Registrar
	prompt   identifier.Tokens
	// excluded are the engines that asked a host for no calls.
	excluded *excludedEngines
}

// excludedEngines are the engines that asked each host for no calls.
type excludedEngines struct {
	mu     sync.Mutex
	byHost map[int][]identifier.Endpoint
}

func (x *excludedEngines) set(host int, engines ...identifier.Endpoint) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.byHost[host] = engines
}

// hostExclusions implements reserver.Exclusions for one host.
type hostExclusions struct {
	engines *excludedEngines
	host    int
}

func (x hostExclusions) Usable(all []*registrar.Endpoint) []*registrar.Endpoint {
	x.engines.mu.Lock()
	defer x.engines.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(all), func(e *registrar.Endpoint) bool {
		return slices.Contains(x.engines.byHost[x.host], e.Name)
	})
}

func (x hostExclusions) Staying(all []*registrar.Endpoint) []*registrar.Endpoint {
	return x.Usable(all)
}

// exclusionWait is the time that excludedEngines tells callers to wait.
const exclusionWait = 7 * time.Second

func (x hostExclusions) RetryAfter([]*registrar.Endpoint, time.Duration) time.Duration {
	return exclusionWait
}

type host struct {
	reserver  *reserver.Reserver
	messenger *messenger.Messenger
	gossiper  *gossiper.Gossiper
	placer    *placer.Placer
	address   identifier.Address
	// known is what the host knows of the store; nil for nothing.
	known atomic.Pointer[reserver.Knowledge]
	// gate is locked while the reserver's handlers are paused.
	gate sync.RWMutex
	// cut is set while the reserver's messages to other hosts are lost.
	cut atomic.Bool
	// pings counts the pings to placing hosts.
	pings atomic.Int32
	// lostSends counts the messages without a reply that were lost.
	lostSends atomic.Int32
}

func (h *host) knowledge() reserver.Knowledge {
	if k := h.known.Load(); k != nil {
		return *k
	}
	return reserver.Knowledge{}
}

// cuttableLinks loses a host's messages while it is cut off.
type cuttableLinks struct {
	*host
}

var errCut = classifier.NotRun(classifier.ReasonHostUnreachable, 0, "host is cut off")

func (l cuttableLinks) Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error {
	if kind == peerwire.KindReservationPing {
		l.pings.Add(1)
	}
	if l.cut.Load() {
		return errCut
	}
	return l.messenger.Call(ctx, to, kind, request, reply)
}

func (l cuttableLinks) Send(ctx context.Context, to identifier.Address, kind peerwire.Kind, message msgp.Marshaler) error {
	if l.cut.Load() {
		l.lostSends.Add(1)
		return errCut
	}
	return l.messenger.Send(ctx, to, kind, message)
}

// gatedRegistry registers handlers that wait for a host's gate.
type gatedRegistry struct {
	*host
}

func (g gatedRegistry) Handle(k peerwire.Kind, h messenger.Handler) {
	g.messenger.Handle(k, func(ctx context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
		g.gate.RLock()
		defer g.gate.RUnlock()
		return h(ctx, from, payload)
	})
}

func newFleet(t *testing.T, hosts int) *fleet {
	t.Helper()
	f := &fleet{t: t, is: is.New(t), group: grouper.New(context.Background()), engines: newEngines(), prompt: 100, excluded: &excludedEngines{byHost: map[int][]identifier.Endpoint{}}}
	t.Cleanup(func() {
		f.group.Stop()
		_ = f.group.Wait() // its goroutines return no errors
	})
	registry := registrar.New()
	registry.SetDeclarations(registrar.NewDeclarations(1, nil, []*registrar.Service{{
		Name: "notes", Engine: &registrar.EngineConfig{Slots: 8, Memory: memory, ReservationLimit: 2 * time.Second},
	}}, registrar.Limits{}))
	registry.SetEndpoints([]*registrar.Endpoint{
		{Name: "f", Service: "notes", DataCenter: "a", Stage: registrar.StagePrefill},
		{Name: "d1", Service: "notes", DataCenter: "a", Stage: registrar.StageDecode},
		{Name: "d2", Service: "notes", DataCenter: "a", Stage: registrar.StageDecode},
	})
	f.registry = registry
	var seeds []identifier.Address
	for n := range hosts {
		h, address := f.start(n, registry)
		h.gossiper.Seed(seeds)
		seeds = append(seeds, address)
		f.hosts = append(f.hosts, h)
	}
	f.eventually("hosts know each other", func() bool {
		for _, h := range f.hosts {
			if len(h.gossiper.View().Live("a")) != hosts {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fleet) start(n int, registry *registrar.Registrar) (*host, identifier.Address) {
	f.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	f.is.NoErr(err)
	address := identifier.Address(ln.Addr().String())
	name := identifier.Host(fmt.Sprintf("host-%d", n))
	incarnation := identifier.NewIncarnation()
	t := timer.New(f.group)
	m := messenger.New(messenger.Peer{Host: name, Incarnation: incarnation, DataCenter: "a"}, messenger.Options{}, f.group)
	g := gossiper.New(gossiper.Member{Host: name, Incarnation: incarnation, DataCenter: "a", Address: address},
		gossiper.Options{SeedPeriod: 100 * time.Millisecond, ProbePeriod: 100 * time.Millisecond, ProbeTimeout: 50 * time.Millisecond}, m, t, f.group)
	h := &host{messenger: m, gossiper: g, placer: placer.New(placer.Options{DataCenter: "a"}, uint64(n)), address: address}
	h.reserver = reserver.New(reserver.Deps{
		Self: incarnation, Registry: registry, Engines: f.engines, Members: g, Links: cuttableLinks{h}, Timer: t, Group: f.group,
		Exclusions: hostExclusions{engines: f.excluded, host: n},
		Placer:     h.placer, Log: zap.NewNop(), Seed: uint64(n),
		SharedSlots: 2, Knowledge: h.knowledge,
	})
	h.reserver.Register(gatedRegistry{h})
	m.Serve(ln)
	return h, address
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	end := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(end) {
			f.t.Fatalf("never happened: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// place places a request at host h that may wait for the given time.
func (f *fleet) place(ctx context.Context, h int, wait time.Duration) (reserver.Plan, error) {
	return f.placeSized(ctx, h, tokens, wait)
}

func (f *fleet) placeSized(ctx context.Context, h int, tokens identifier.Tokens, wait time.Duration) (reserver.Plan, error) {
	now := time.Now()
	return f.hosts[h].reserver.Place(ctx, reserver.PlacementRequest{
		Entry:   admitter.Entry{Arrived: now},
		Service: "notes", Request: "q", Prompt: f.prompt, Tokens: tokens,
		OnTimeBy: now.Add(wait), FirstEventBy: now.Add(wait), Deadline: now.Add(wait),
	})
}

// complete simulates the end of a response.
func (f *fleet) complete(h int, p reserver.Plan) {
	f.hosts[h].reserver.RecordPrefillOutcome(p, placer.Outcome{})
	f.engines.free(p.Decode.Name, p.Reservation)
	f.hosts[h].reserver.RecordOutcome(p, placer.Outcome{})
}

// slots is the number of requests that fit both decode engines.
const slots = 2 * memory / tokens
