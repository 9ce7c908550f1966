package reserver

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/estimator"
	"github.com/jackdawthread/jackdawthread/fencer"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/timer"
)

// soleMembership is the membership of a host that knows no other hosts.
type soleMembership struct{}

func (soleMembership) View() *gossiper.View { return &gossiper.View{} }

func (soleMembership) Subscribe(func(*gossiper.View)) {}

// newLoneMember returns the membership of the only host of a fleet.
func newLoneMember(g *grouper.Group) *gossiper.Gossiper {
	self := gossiper.Member{Host: "h", Incarnation: identifier.NewIncarnation(), DataCenter: "a", Address: "127.0.0.1:1"}
	m := messenger.New(messenger.Peer{Host: self.Host, Incarnation: self.Incarnation, DataCenter: self.DataCenter}, messenger.Options{}, g)
	return gossiper.New(self, gossiper.Options{}, m, timer.New(g), g)
}

// recordedOrders implements Orders and keeps the orders.
type recordedOrders chan fencer.Claim

func (o recordedOrders) Order(_ context.Context, _ *registrar.Endpoint, _ registrar.Stage, c fencer.Claim) error {
	o <- c
	return nil
}

// allLeaving implements Exclusions; all engines are leaving.
type allLeaving struct{}

func (allLeaving) Usable([]*registrar.Endpoint) []*registrar.Endpoint  { return nil }
func (allLeaving) Staying([]*registrar.Endpoint) []*registrar.Endpoint { return nil }

func (allLeaving) RetryAfter(_ []*registrar.Endpoint, d time.Duration) time.Duration { return d }

// orderingReserver returns a reserver that only switches stages.
func orderingReserver(registry *registrar.Registrar, options OrderOptions, known Knowledge, orders Orders) *Reserver {
	return &Reserver{
		deps: Deps{
			Registry: registry, Members: soleMembership{}, Log: zap.NewNop(),
			Orders: orders, OrderOptions: options, Knowledge: func() Knowledge { return known },
			Group: grouper.New(context.Background()),
		},
		serviceQueues: map[identifier.Service]*serviceQueue{},
	}
}

// TestOrdersWithoutFencing guards against a host that orders engines although
// another one has replaced it, where engines can't tell.
func TestOrdersWithoutFencing(t *testing.T) {
	registry := registrar.New()
	registry.SetDeclarations(registrar.NewDeclarations(1, nil, []*registrar.Service{
		{Name: "notes", Engine: &registrar.EngineConfig{Slots: 8, Memory: 20_000}},
	}, registrar.Limits{}))
	var engines []*registrar.Endpoint
	for n := range 10 {
		engines = append(engines, &registrar.Endpoint{Name: identifier.Endpoint(fmt.Sprintf("e%d", n)), Service: "notes", Stage: registrar.StagePrefill})
	}
	engines[9].Stage = registrar.StageDecode
	registry.SetEndpoints(engines)
	cases := []struct {
		name      string
		fenced    bool
		age       time.Duration
		leaving   bool // all engines have announced that they are leaving
		wantOrder bool
	}{
		{"current knowledge, fenced", true, 0, false, true},
		{"old knowledge, fenced", true, time.Minute, false, true},
		{"current knowledge, not fenced", false, maxKnowledgeAge / 2, false, true},
		{"old knowledge, not fenced", false, 2 * maxKnowledgeAge, false, false},
		{"leaving engines", true, 0, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			orders := make(recordedOrders, 100)
			r := orderingReserver(registry, OrderOptions{Enabled: true, Fenced: c.fenced, Lease: time.Second},
				Knowledge{Position: identifier.Position{Revision: 40}, Age: c.age}, orders)
			if c.leaving {
				r.deps.Exclusions = allLeaving{}
			}
			members := newLoneMember(r.deps.Group)
			r.deps.Self, r.deps.Members = members.View().Members()[0].Incarnation, members
			m := r.serviceQueue("notes").model
			for n := range 40 {
				prompt := identifier.Tokens(3000 + 100*n)
				m.RecordPlacement(prompt)
				m.RecordPrefill(estimator.Prefill{Prompt: prompt, Work: prompt, Delay: time.Duration(prompt) * 20 * time.Microsecond})
				m.RecordResponse(estimator.Response{Prompt: prompt, Output: 500, Occupied: 5 * time.Second})
			}
			start := time.Unix(1_000_000, 0)
			for at := time.Duration(0); at < 20*time.Second; at += rebalancePeriod {
				r.rebalance(start.Add(at))
			}
			r.deps.Group.Stop()
			is.New(t).NoErr(r.deps.Group.Wait())
			is.New(t).Equal(len(orders) > 0, c.wantOrder)
		})
	}
}

// TestRebalance guards against a stability period that only begins with the first
// request: the engines of declared services are checked before any traffic.
func TestRebalance(t *testing.T) {
	registry := registrar.New()
	registry.SetDeclarations(registrar.NewDeclarations(1, nil, []*registrar.Service{
		{Name: "notes", Engine: &registrar.EngineConfig{Slots: 8, Memory: 20_000}},
		{Name: "desk"},
	}, registrar.Limits{}))
	newReserver := func(enabled bool) *Reserver {
		return orderingReserver(registry, OrderOptions{Enabled: enabled, Lease: time.Second}, Knowledge{Position: identifier.Position{Revision: 1}}, nil)
	}
	t.Run("covers services with engines before the first request", func(t *testing.T) {
		i := is.New(t)
		r := newReserver(true)
		r.rebalance(time.Unix(1_000_000, 0))
		i.Equal(len(r.serviceQueues), 1)
		i.True(r.serviceQueues["notes"] != nil)
	})
	t.Run("does nothing if orders are disabled", func(t *testing.T) {
		r := newReserver(false)
		r.rebalance(time.Unix(1_000_000, 0))
		is.New(t).Equal(len(r.serviceQueues), 0)
	})
}
