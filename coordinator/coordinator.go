// Package coordinator connects requests to the allocators of the pools. A pool is
// the endpoints of one service in one data center, and one entry host, its owner,
// allocates it. The coordinator finds the owner, sends slot requests and releases
// to it, renews the leases of this host's grants, and runs the allocators of the
// pools that this host owns.
//
// # Usage
//
//	c := coordinator.New(coordinator.Deps{...})
//	c.Register(messenger)
//	grant, err := c.Ask(ctx, coordinator.SlotRequest{Service: service, SlotRequest: allocator.SlotRequest{...}})
//	defer c.Release(grant, allocator.Outcome{Ending: allocator.EndingDone})
//
// Hosts that have the same view of the live hosts agree on a pool's owner. A home,
// the entry host that received a request, falls back to an allocator of its own
// while it can't reach the owner. Two allocators for one pool reduce efficiency but
// are safe, because the engines' own admission control prevents them from
// allocating the same memory twice.
package coordinator

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/timer"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

// Key identifies a pool.
type Key struct {
	Service    identifier.Service
	DataCenter identifier.DataCenter
}

// SlotRequest is a request for slots at the endpoints of a service.
type SlotRequest struct {
	Service *compiler.Service
	allocator.SlotRequest
}

// Grant holds the slots of an attempt until it is released.
type Grant struct {
	Key     Key
	Attempt identifier.Attempt
	Prefill *compiler.Endpoint
	// Decode is nil until Bind if the decode engine is assigned after the prefill.
	Decode *compiler.Endpoint
	// PrefillDelay is the delay before the prefill may start.
	PrefillDelay time.Duration
	Pieces       identifier.Pieces

	// grantedBy is the host whose allocator issued the grant.
	grantedBy identifier.Incarnation
	ask       allocator.SlotRequest
	phase     allocator.Phase
}

// Links carries messages between entry hosts.
type Links interface {
	Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error
	Send(ctx context.Context, to identifier.Address, kind peerwire.Kind, message msgp.Marshaler) error
}

// Registry registers handlers for messages from other entry hosts.
type Registry interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Membership provides the current view of the entry hosts and its changes.
type Membership interface {
	View() *gossiper.View
	Subscribe(f func(*gossiper.View))
}

// Engines provides clients for model engines.
type Engines interface {
	Engine(a identifier.Address) enginewireconnect.EngineServiceClient
}

// Deps are the dependencies and options of a Coordinator.
type Deps struct {
	Self       identifier.Incarnation
	DataCenter identifier.DataCenter
	Fleet      func() *compiler.Fleet
	Members    Membership
	Links      Links
	Engines    Engines
	Timer      *timer.Service
	Group      *grouper.Group
	Log        *zap.Logger
	Options    Options
	// Observe is called with every load report. It may be nil.
	Observe func(LoadObservation)
}

// Options are the timeouts, periods and thresholds of a Coordinator.
type Options struct {
	// Lease is how long grants remain valid after the last renewal by their home.
	Lease time.Duration
	// RenewPeriod is the interval between renewals of the grants' leases.
	RenewPeriod time.Duration
	// ProbePeriod is the interval between load probes of an endpoint, and
	// ProbeTimeout limits the duration of one probe.
	ProbePeriod  time.Duration
	ProbeTimeout time.Duration
	// BindTimeout limits the wait for a decode engine after the prefill. The
	// prefill's result is not kept for longer.
	BindTimeout time.Duration
	// FallbackIdleTimeout is how long this host keeps an unused allocator of a
	// pool that another host owns.
	FallbackIdleTimeout time.Duration
	// SpillWait is the expected wait in this host's data center from which a
	// request first tries another data center, provided that its expected wait is
	// less than half as long. If it is 0, requests spill over only after a refusal.
	SpillWait time.Duration
	// Seed seeds the allocators' random number generators.
	Seed uint64
}

// DefaultOptions returns options for data centers with a network latency of a few
// milliseconds between hosts.
func DefaultOptions() Options {
	return Options{
		Lease:               3 * time.Second,
		RenewPeriod:         time.Second,
		ProbePeriod:         200 * time.Millisecond,
		ProbeTimeout:        2 * time.Second,
		BindTimeout:         800 * time.Millisecond,
		FallbackIdleTimeout: 30 * time.Second,
		SpillWait:           100 * time.Millisecond,
		Seed:                1,
	}
}

// Coordinator requests slots for this host's requests and runs the allocators of
// the pools that this host owns. It is safe for concurrent use.
type Coordinator struct {
	deps  Deps
	held  heldGrants
	loads atomic.Pointer[loadTable]

	mu    sync.Mutex
	pools map[Key]*pool
}

// New returns a Coordinator and starts its periodic lease renewals.
func New(d Deps) *Coordinator {
	c := &Coordinator{deps: d, pools: make(map[Key]*pool)}
	c.held.grants = make(map[Key]map[identifier.Attempt]*Grant)
	d.Timer.Every(d.Options.RenewPeriod, func(time.Time) { c.renewAll() })
	d.Members.Subscribe(func(v *gossiper.View) { c.onViewChange(v) })
	return c
}

// Reconfigure applies a new revision of the declarations to all pools.
func (c *Coordinator) Reconfigure(f *compiler.Fleet) {
	for _, p := range c.allPools() {
		p.configure(f)
	}
	c.startOwnedPools(c.deps.Members.View())
}

// Waiting returns the number of slot requests that wait at this host's allocators.
func (c *Coordinator) Waiting() int {
	n := 0
	for _, p := range c.allPools() {
		n += p.waitingCount()
	}
	return n
}

func (c *Coordinator) allPools() []*pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]*pool, 0, len(c.pools))
	for _, p := range c.pools {
		all = append(all, p)
	}
	return all
}
