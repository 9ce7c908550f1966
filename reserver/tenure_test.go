package reserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/estimator"
	"github.com/jackdawthread/jackdawthread/fencer"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/stager"
	"github.com/jackdawthread/jackdawthread/timer"
)

const testLease = time.Second

// holder is a host that may be the placing host of a service.
type holder struct {
	reserver  *Reserver
	gossiper  *gossiper.Gossiper
	messenger *messenger.Messenger
}

func (h *holder) queue() *serviceQueue { return h.reserver.serviceQueue("notes") }

// highest returns the highest claim that the host knows of.
func (h *holder) highest() fencer.Claim {
	q := h.queue()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.fencer.Highest()
}

// mayOrder lets the host check its tenure at time now, and returns its claim.
func (h *holder) mayOrder(now time.Time) (fencer.Claim, bool) {
	q := h.queue()
	q.mu.Lock()
	defer q.mu.Unlock()
	ok := q.mayOrder(now)
	return q.tenure.claim, ok
}

// startHolders starts hosts that know each other, and the same position of the store.
func startHolders(t *testing.T, count int) []*holder {
	t.Helper()
	g := grouper.New(context.Background())
	t.Cleanup(func() {
		g.Stop()
		_ = g.Wait() // its functions return no error
	})
	var all []*holder
	var seeds []identifier.Address
	for n := range count {
		h, address := startHolder(t, g, n)
		h.gossiper.Seed(seeds)
		seeds = append(seeds, address)
		all = append(all, h)
	}
	for _, h := range all {
		await(t, "hosts know each other", func() bool { return len(h.gossiper.View().Live("a")) == count })
	}
	return all
}

func startHolder(t *testing.T, g *grouper.Group, n int) (*holder, identifier.Address) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	self := gossiper.Member{
		Host: identifier.Host(fmt.Sprintf("host-%d", n)), Incarnation: identifier.NewIncarnation(),
		DataCenter: "a", Address: identifier.Address(ln.Addr().String()),
	}
	clock := timer.New(g)
	m := messenger.New(messenger.Peer{Host: self.Host, Incarnation: self.Incarnation, DataCenter: "a"}, messenger.Options{}, g)
	members := gossiper.New(self, gossiper.Options{SeedPeriod: 100 * time.Millisecond, ProbePeriod: 100 * time.Millisecond, ProbeTimeout: 50 * time.Millisecond}, m, clock, g)
	r := New(Deps{
		Self: self.Incarnation, Registry: registrar.New(), Members: members, Links: m, Timer: clock, Group: g, Log: zap.NewNop(),
		OrderOptions: OrderOptions{Enabled: true, Fenced: true, Holder: self.Host, Lease: testLease},
		Knowledge:    func() Knowledge { return Knowledge{Position: identifier.Position{Era: 1, Revision: 6}} },
	})
	r.Register(m)
	m.Serve(ln)
	return &holder{reserver: r, gossiper: members, messenger: m}, self.Address
}

func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never happened: %s", what)
		}
	}
}

// takeOver moves the time on until one of the hosts may give orders. It returns the
// host and its claim.
func takeOver(t *testing.T, hosts []*holder, now *time.Time) (*holder, fencer.Claim) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		*now = now.Add(rebalancePeriod)
		for _, h := range hosts {
			if c, ok := h.mayOrder(*now); ok {
				return h, c
			}
		}
	}
	t.Fatal("no host may give orders")
	return nil, fencer.Claim{}
}

// TestSuccessiveHolders guards against two hosts that give orders with one fencing token, or
// with a lower one, while the store's revision stands still.
func TestSuccessiveHolders(t *testing.T) {
	t.Run("a host that takes over exceeds the token of the one that was killed", func(t *testing.T) {
		i := is.New(t)
		hosts, now := startHolders(t, 5), time.Unix(1_000_000, 0)
		last := fencer.Claim{}
		for range 3 { // of 5 hosts, 3 are the majority
			h, c := takeOver(t, hosts, &now)
			i.True(c.Token > last.Token)
			last = c
			h.messenger.Close() // as if it were killed right after its order
			for n, other := range hosts {
				if other == h {
					hosts = append(hosts[:n:n], hosts[n+1:]...)
					break
				}
			}
			if len(hosts) < 3 {
				return
			}
		}
	})
	t.Run("all hosts know of a claim before the first order", func(t *testing.T) {
		hosts, now := startHolders(t, 3), time.Unix(1_000_000, 0)
		_, c := takeOver(t, hosts, &now)
		for _, h := range hosts {
			await(t, "host knows of the claim", func() bool { return h.highest() == c })
		}
	})
	t.Run("a claim exceeds one that only another host has heard of", func(t *testing.T) {
		i := is.New(t)
		hosts, now := startHolders(t, 3), time.Unix(1_000_000, 0)
		gone := fencer.Claim{Token: 2_000_010_000_900_123, Holder: "host-gone"}
		for _, h := range hosts {
			if _, owner := h.reserver.owner("notes"); owner { // another host is the owner
				h.queue().hearClaim(gone)
			}
		}
		var c fencer.Claim
		await(t, "the holder exceeds the claim", func() bool {
			_, c = takeOver(t, hosts, &now)
			return c.Token > gone.Token
		})
		i.True(c.Holder != gone.Holder)
	})
	t.Run("a holder that hears of a higher claim gives no orders until it has claimed anew", func(t *testing.T) {
		i := is.New(t)
		hosts, now := startHolders(t, 1), time.Unix(1_000_000, 0)
		h, c := takeOver(t, hosts, &now)
		h.queue().hearClaim(fencer.Claim{Token: c.Token + 1000, Holder: "host-9"})
		_, ok := h.mayOrder(now.Add(time.Millisecond))
		i.True(!ok)
		ended := now
		_, next := takeOver(t, hosts, &now)
		i.True(next.Token > c.Token+1000)
		i.True(now.Sub(ended) > 2*testLease)
	})
}

// TestOrderOutcomes guards against a service without orders for 30 s after any failure of
// one of them.
func TestOrderOutcomes(t *testing.T) {
	refusal := func(cause error) error {
		return classifier.NotRun(classifier.ReasonEndpointRefused, 0, "refused: %w", cause)
	}
	cases := []struct {
		name string
		err  error
		// inTransition, tenure and paused are what is expected after the outcome.
		inTransition, tenure, paused bool
	}{
		{"accepted", nil, true, true, false},
		{"no response: it may be under way", classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "timeout"), true, true, false},
		{"another order is under way", classifier.MayHaveRun(classifier.ReasonEndpointRefused, 0, "busy"), true, true, false},
		{"never sent", classifier.NotRun(classifier.ReasonEndpointFailed, 0, "connection refused"), false, true, false},
		{"engine is leaving", classifier.NotRun(classifier.ReasonEndpointExcluded, 0, "leaving"), true, true, false},
		{"refused", refusal(errors.New("status 503")), false, true, false},
		{"a higher token was seen", refusal(ErrOutranked), false, false, false},
		{"unknown order", refusal(ErrUnknownOrder), false, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			r := orderingReserver(registrar.New(), OrderOptions{Enabled: true, Fenced: true, Holder: "h", Lease: testLease}, Knowledge{}, nil)
			q := r.serviceQueue("notes")
			now := time.Now()
			engine := &registrar.Endpoint{Name: "e", Service: "notes", Stage: registrar.StagePrefill}
			o := lastEngineOrder(q.stager, engine, now)
			q.tenure = tenure{since: now, claim: q.fencer.Claim(identifier.Position{Revision: 6}, nil, now)}
			claim := q.tenure.claim
			q.settleOrder(o, claim, c.err)
			i.Equal(q.stager.InTransition(engine, now), c.inTransition)
			i.Equal(!q.tenure.since.IsZero(), c.tenure)
			i.Equal(q.tenure.pausedUntil.After(now), c.paused)
			next := q.fencer.Claim(identifier.Position{Revision: 6}, nil, now)
			i.Equal(next.Token > claim.Token+1000, errors.Is(c.err, ErrOutranked)) // far beyond what it knows
		})
	}
	t.Run("a refusal of an earlier tenure's order doesn't end this one", func(t *testing.T) {
		i := is.New(t)
		r := orderingReserver(registrar.New(), OrderOptions{Enabled: true, Lease: testLease}, Knowledge{}, nil)
		q := r.serviceQueue("notes")
		now := time.Now()
		earlier := q.fencer.Claim(identifier.Position{Revision: 6}, nil, now)
		q.tenure = tenure{since: now, claim: q.fencer.Claim(identifier.Position{Revision: 6}, nil, now)}
		q.settleOrder(stager.Order{Engine: &registrar.Endpoint{Name: "e"}}, earlier, refusal(ErrOutranked))
		i.True(!q.tenure.since.IsZero())
	})
}

// lastEngineOrder returns the order that a pool's only engine, which runs prefill, gets.
func lastEngineOrder(s *stager.Stager, e *registrar.Endpoint, now time.Time) stager.Order {
	all := []*registrar.Endpoint{e}
	s.NextOrders(all, stager.Workload{Model: estimator.New()}, now.Add(-time.Minute))
	return s.NextOrders(all, stager.Workload{Model: estimator.New()}, now)[0]
}
