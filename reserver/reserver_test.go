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
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
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
	h := &host{messenger: m, gossiper: g}
	h.reserver = reserver.New(reserver.Deps{
		Self: incarnation, Registry: registry, Engines: f.engines, Members: g, Links: m, Timer: t, Group: f.group,
		Exclusions: hostExclusions{engines: f.excluded, host: n},
		Placer:     placer.New(placer.Options{DataCenter: "a"}, uint64(n)), Log: zap.NewNop(), Seed: uint64(n),
	})
	h.reserver.Register(m)
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

func TestPlace(t *testing.T) {
	ctx := context.Background()
	for _, hosts := range []int{1, 3} {
		t.Run(fmt.Sprintf("fills the engines evenly, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			for n := range slots {
				p, err := f.place(ctx, n%hosts, time.Second)
				f.is.NoErr(err)
				f.is.Equal(p.Prefill.Name, identifier.Endpoint("f"))
				f.is.True(p.Reservation != "")
			}
			reserveCalls, held, _ := f.engines.count()
			f.is.Equal(held, slots)
			f.is.Equal(reserveCalls, slots) // every first attempt succeeded
		})
		t.Run(fmt.Sprintf("refuses when there is no capacity in time, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			for n := range slots {
				_, err := f.place(ctx, n%hosts, time.Second)
				f.is.NoErr(err)
			}
			_, err := f.place(ctx, 0, 100*time.Millisecond)
			f.is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
			f.is.True(classifier.Of(err).RetryAfter > 0)
		})
		t.Run(fmt.Sprintf("waits for released capacity, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			var plans []reserver.Plan
			for n := range slots {
				p, err := f.place(ctx, n%hosts, time.Second)
				f.is.NoErr(err)
				plans = append(plans, p)
			}
			f.group.Run(func(context.Context) {
				time.Sleep(100 * time.Millisecond)
				f.complete(0, plans[0])
			})
			began := time.Now()
			_, err := f.place(ctx, hosts-1, 2*time.Second)
			f.is.NoErr(err)
			f.is.True(time.Since(began) < time.Second)
		})
		t.Run(fmt.Sprintf("removes canceled requests from the queue, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			for n := range slots {
				_, err := f.place(ctx, n%hosts, time.Second)
				f.is.NoErr(err)
			}
			short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, err := f.place(short, hosts-1, 5*time.Second)
			f.is.True(err != nil)
			f.eventually("nobody waits", func() bool {
				for _, h := range f.hosts {
					if h.reserver.Waiting() > 0 {
						return false
					}
				}
				return true
			})
		})
	}
	t.Run("cancels the reservation of a released plan", func(t *testing.T) {
		f := newFleet(t, 1)
		p, err := f.place(ctx, 0, time.Second)
		f.is.NoErr(err)
		f.hosts[0].reserver.Release(p)
		f.eventually("reservation is canceled", func() bool {
			_, held, canceled := f.engines.count()
			return held == 0 && canceled == 1
		})
	})
	t.Run("makes no reservations while the prefill backlog is too long", func(t *testing.T) {
		// With one prefill engine in a burst, every prompt would be processed in
		// vain: none would be done before its reservation expires.
		f := newFleet(t, 1)
		f.prompt = 15_000
		p, err := f.place(ctx, 0, time.Second)
		f.is.NoErr(err)
		_, err = f.place(ctx, 0, time.Second)
		f.is.NoErr(err)
		_, err = f.place(ctx, 0, 100*time.Millisecond)
		f.is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
		reserveCalls, _, _ := f.engines.count()
		f.is.Equal(reserveCalls, 2)
		f.hosts[0].reserver.RecordPrefillOutcome(p, placer.Outcome{})
		_, err = f.place(ctx, 0, time.Second)
		f.is.NoErr(err)
	})
	t.Run("immediately refuses a prompt larger than an engine's memory", func(t *testing.T) {
		f := newFleet(t, 1)
		f.prompt = memory + 1
		began := time.Now()
		_, err := f.place(ctx, 0, 5*time.Second)
		f.is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
		f.is.Equal(classifier.Of(err).Reason, classifier.ReasonTooLarge)
		f.is.True(time.Since(began) < time.Second)
	})
	t.Run("searches a large pool concurrently, so that slow engines cause no queueing", func(t *testing.T) {
		// If a call takes 20 ms, placing 126 requests within 400 ms takes seven
		// searches at a time. The barrier checks that at any load of the machine.
		const (
			decodes    = 63
			requests   = 126
			concurrent = 7
		)
		f := newFleet(t, 1)
		f.engines.barrier = newBarrier(concurrent)
		endpoints := []*registrar.Endpoint{{Name: "f", Service: "notes", DataCenter: "a", Stage: registrar.StagePrefill}}
		for n := range decodes {
			name := identifier.Endpoint(fmt.Sprintf("d%d", n))
			endpoints = append(endpoints, &registrar.Endpoint{Name: name, Service: "notes", DataCenter: "a", Stage: registrar.StageDecode})
		}
		f.registry.SetEndpoints(endpoints)
		work := grouper.New(ctx)
		for range requests {
			work.Run(func(ctx context.Context) {
				_, err := f.place(ctx, 0, 30*time.Second)
				if err != nil {
					t.Error(err)
				}
			})
		}
		f.is.NoErr(work.Wait())
		f.is.True(!f.engines.barrier.timedOut.Load())
	})
	t.Run("gives no engine more than fits once all responses are complete", func(t *testing.T) {
		// An engine accepts a reservation while its running requests are still short.
		f := newFleet(t, 1)
		f.engines.acceptsAll = true
		for range slots {
			_, err := f.place(ctx, 0, time.Second)
			f.is.NoErr(err)
		}
		_, err := f.place(ctx, 0, 200*time.Millisecond)
		f.is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
		reserveCalls, _, _ := f.engines.count()
		f.is.Equal(reserveCalls, slots)
	})
	t.Run("skips an unresponsive engine", func(t *testing.T) {
		f := newFleet(t, 1)
		f.engines.unresponsive["d1"] = true
		for range slots / 2 {
			p, err := f.place(ctx, 0, 2*time.Second)
			f.is.NoErr(err)
			f.is.Equal(p.Decode.Name, identifier.Endpoint("d2"))
		}
	})
}

func TestPlacingHostFailure(t *testing.T) {
	ctx := context.Background()
	t.Run("delays requests by less than a second", func(t *testing.T) {
		f := newFleet(t, 3)
		owner := f.placingHost()
		f.hosts[owner].messenger.Close()
		began := time.Now()
		for n := range f.hosts {
			if n == owner {
				continue
			}
			_, err := f.place(ctx, n, 2*time.Second)
			f.is.NoErr(err)
		}
		f.is.True(time.Since(began) < time.Second)
	})
}

// placingHost returns the index of the placing host. It fills the engines, and
// finds the host whose queue holds the requests of all hosts.
func (f *fleet) placingHost() int {
	f.t.Helper()
	plans := make([]reserver.Plan, slots)
	for n := range plans {
		p, err := f.place(context.Background(), n%len(f.hosts), time.Second)
		f.is.NoErr(err)
		plans[n] = p
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n := range f.hosts {
		f.group.Run(func(context.Context) { _, _ = f.place(ctx, n, time.Minute) }) // waits until canceled
	}
	found := -1
	f.eventually("all requests wait at one host", func() bool {
		for n, h := range f.hosts {
			if h.reserver.Waiting() == len(f.hosts) {
				found = n
				return true
			}
		}
		return false
	})
	cancel()
	f.eventually("waiting requests are canceled", func() bool { return f.waiting() == 0 })
	for n, p := range plans {
		f.complete(n%len(f.hosts), p)
	}
	return found
}

func TestExclusions(t *testing.T) {
	ctx := context.Background()
	for _, hosts := range []int{1, 3} {
		t.Run(fmt.Sprintf("of a host apply to its own requests only, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			placing := f.placingHost()
			home := (placing + 1) % hosts
			f.excluded.set(home, "d1")
			for range slots / 2 {
				p, err := f.place(ctx, home, time.Second)
				f.is.NoErr(err)
				f.is.Equal(p.Decode.Name, identifier.Endpoint("d2"))
			}
			if hosts > 1 {
				p, err := f.place(ctx, placing, time.Second)
				f.is.NoErr(err)
				f.is.Equal(p.Decode.Name, identifier.Endpoint("d1"))
			}
		})
		t.Run(fmt.Sprintf("of all engines refuse at once, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			placing := f.placingHost()
			home := (placing + 1) % hosts
			f.excluded.set(home, "d1", "d2")
			before, _, _ := f.engines.count()
			began := time.Now()
			_, err := f.place(ctx, home, 5*time.Second)
			f.is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
			f.is.Equal(classifier.Of(err).RetryAfter, exclusionWait)
			f.is.True(time.Since(began) < time.Second)
			after, _, _ := f.engines.count()
			f.is.Equal(after, before)
		})
		t.Run(fmt.Sprintf("of the prefill engine leave the prefill to the decode engine, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			placing := f.placingHost()
			home := (placing + 1) % hosts
			f.excluded.set(home, "f")
			p, err := f.place(ctx, home, time.Second)
			f.is.NoErr(err)
			f.is.True(p.Prefill == nil)
		})
	}
}
