// Package coordinator is the shell around the allocators: it finds the entry
// host that allocates a pool (the endpoints of one service in one data
// centre), carries asks and releases there, keeps the leases of this host's
// grants, and runs the allocators that fall to this host.
//
// # Usage
//
//	c := coordinator.New(coordinator.Deps{...})
//	c.Register(messenger)
//	grant, err := c.Ask(ctx, coordinator.Ask{Service: service, Ask: allocator.Ask{...}})
//	defer c.Release(grant, allocator.Outcome{Ending: allocator.EndingDone})
//
// Every host of a data center agrees on a pool's allocator as far as they see
// the same live hosts. A home that can't reach the allocator runs one of its
// own for as long as that lasts: two allocators cost efficiency, while the
// engines' own admission keeps their memory from being handed out twice.
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

// Key names a pool.
type Key struct {
	Service    identifier.Service
	DataCenter identifier.DataCenter
}

// Ask asks for slots at the endpoints of a service.
type Ask struct {
	Service *compiler.Service
	allocator.Ask
}

// Grant gives an attempt slots until it is released.
type Grant struct {
	Key     Key
	Attempt identifier.Attempt
	Prefill *compiler.Endpoint
	// Decode is nil until Bind where the engine is named after the prefill.
	Decode *compiler.Endpoint
	// Wait is the time before the prefill may start.
	Wait   time.Duration
	Pieces identifier.Pieces

	// by is the host whose allocator gave the grant.
	by    identifier.Incarnation
	ask   allocator.Ask
	phase allocator.Phase
}

// Links carries messages between entry hosts.
type Links interface {
	Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error
	Send(ctx context.Context, to identifier.Address, kind peerwire.Kind, message msgp.Marshaler) error
}

// Registry takes the handlers of messages from other entry hosts.
type Registry interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Membership knows the live entry hosts.
type Membership interface {
	View() *gossiper.View
	Subscribe(f func(*gossiper.View))
}

// Engines gives clients of model engines.
type Engines interface {
	Engine(a identifier.Address) enginewireconnect.EngineServiceClient
}

// Deps is what a Coordinator works with.
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
	// Observe is told of every load report; it may be nil.
	Observe func(Observed)
}

// Options are the periods that a Coordinator keeps.
type Options struct {
	// Lease is how long grants outlive the last renewal by their home.
	Lease time.Duration
	// RenewPeriod is the time between renewals of the grants' leases.
	RenewPeriod time.Duration
	// ProbePeriod is the time between two load reports of an endpoint, and
	// ProbeTimeout how long one may take.
	ProbePeriod  time.Duration
	ProbeTimeout time.Duration
	// BindTimeout bounds the wait for a decode engine after the prefill: its
	// result is not kept for longer.
	BindTimeout time.Duration
	// FallbackLinger is how long an unused allocator of a pool that another
	// host allocates is kept.
	FallbackLinger time.Duration
	// SpillWait is the expected wait in the own data center from which a
	// request asks in another one where it is expected to wait less than half
	// as long; 0: requests spill only when they are refused.
	SpillWait time.Duration
	// Seed starts the random choices.
	Seed uint64
}

// DefaultOptions suit data centers whose hosts are some milliseconds apart.
func DefaultOptions() Options {
	return Options{
		Lease:          3 * time.Second,
		RenewPeriod:    time.Second,
		ProbePeriod:    200 * time.Millisecond,
		ProbeTimeout:   2 * time.Second,
		BindTimeout:    800 * time.Millisecond,
		FallbackLinger: 30 * time.Second,
		SpillWait:      100 * time.Millisecond,
		Seed:           1,
	}
}

// Coordinator asks for slots and allocates those that fall to this host. It
// is safe for use by several goroutines.
type Coordinator struct {
	deps  Deps
	held  heldGrants
	loads atomic.Pointer[loadTable]

	mu    sync.Mutex
	pools map[Key]*pool
}

// New gives a Coordinator and starts its periodic work.
func New(d Deps) *Coordinator {
	c := &Coordinator{deps: d, pools: make(map[Key]*pool)}
	c.held.grants = make(map[Key]map[identifier.Attempt]*Grant)
	d.Timer.Every(d.Options.RenewPeriod, func(time.Time) { c.renewAll() })
	d.Members.Subscribe(func(v *gossiper.View) { c.viewChanged(v) })
	return c
}

// Reconfigure hands a new revision of the declarations to all pools.
func (c *Coordinator) Reconfigure(f *compiler.Fleet) {
	for _, p := range c.allPools() {
		p.configure(f)
	}
	c.claim(c.deps.Members.View())
}

// Waiting counts the asks that wait at this host's allocators.
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
