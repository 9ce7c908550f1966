package reserver

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// soleMembership is the membership of a host that knows no other hosts.
type soleMembership struct{}

func (soleMembership) View() *gossiper.View { return &gossiper.View{} }

func (soleMembership) Subscribe(func(*gossiper.View)) {}

// TestRebalance guards against a stability period that only begins with the first
// request: the engines of declared services are checked before any traffic.
func TestRebalance(t *testing.T) {
	registry := registrar.New()
	registry.SetDeclarations(registrar.NewDeclarations(1, nil, []*registrar.Service{
		{Name: "notes", Engine: &registrar.EngineConfig{Slots: 8, Memory: 20_000}},
		{Name: "desk"},
	}, registrar.Limits{}))
	newReserver := func(enabled bool) *Reserver {
		return &Reserver{
			deps: Deps{
				Registry: registry, Members: soleMembership{}, Log: zap.NewNop(),
				OrderOptions: OrderOptions{Enabled: enabled, Lease: time.Second},
			},
			serviceQueues: map[identifier.Service]*serviceQueue{},
		}
	}
	t.Run("covers services with engines before the first request", func(t *testing.T) {
		i := is.New(t)
		r := newReserver(true)
		r.rebalance(time.Unix(1_000_000, 0))
		i.Equal(len(r.serviceQueues), 1)
		i.True(r.serviceQueues["notes"] != nil)
	})
	t.Run("does nothing if engines check no fencing tokens", func(t *testing.T) {
		r := newReserver(false)
		r.rebalance(time.Unix(1_000_000, 0))
		is.New(t).Equal(len(r.serviceQueues), 0)
	})
}
