package launcher

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/coordinator"
	"github.com/jackdawthread/jackdawthread/keeper"
	"github.com/jackdawthread/jackdawthread/orderer"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

const (
	orderTimeout      = 2 * time.Second
	fenceQueryTimeout = time.Second
	// maxFenceQueries bounds the number of engines queried for their fencing
	// numbers. Every engine receives an order for every revision, so a sample
	// is sufficient.
	maxFenceQueries = 32
)

// orderController sends orders to the engines that this host allocates, so that
// their state matches the declarations in force.
type orderController struct {
	host *Host

	mu      sync.Mutex
	machine *orderer.Machine
}

func newOrderController(h *Host) *orderController {
	return &orderController{host: h, machine: orderer.New(h.settings.Firm, orderer.DefaultOptions())}
}

func (o *orderController) applyFleet(f *compiler.Fleet) {
	o.step(orderer.Adopted{Fleet: f})
}

// observe processes an engine's load report.
func (o *orderController) observe(r coordinator.LoadObservation) {
	if r.Load != nil {
		o.step(orderer.Observed{Observation: orderer.Observe(r.Load, time.Now())})
	}
}

func (o *orderController) step(e orderer.Event) {
	o.mu.Lock()
	actions := o.machine.Step(e, time.Now())
	o.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case orderer.Send:
			o.host.group.Run(func(ctx context.Context) { o.send(ctx, a.Order) })
		case orderer.Superseded:
			o.host.config.keeper.Handle(keeper.RevisionSeen{Revision: a.Fence}, time.Now())
		}
	}
}

func (o *orderController) send(ctx context.Context, order orderer.Order) {
	if !order.Fresh(o.host.Fleet(), time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := o.host.connector.Engine(order.Address).Order(ctx, connect.NewRequest(order.Request()))
	o.host.log.Info("order-sent",
		zap.String("endpoint", string(order.Endpoint)),
		zap.Uint64("fence", uint64(order.Fence)),
		zap.Error(err))
}

// fenceReader queries engines for their fencing numbers. It implements
// watcher.Fences.
type fenceReader struct {
	host *Host
}

// HighestFence implements watcher.Fences.
func (f *fenceReader) HighestFence(ctx context.Context, fleet *compiler.Fleet) (fence identifier.Revision, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, fenceQueryTimeout)
	defer cancel()
	fences := make(chan identifier.Revision, len(fleet.Endpoints))
	queried := 0
	for _, e := range fleet.Endpoints {
		if e.Role == compiler.RolePlain || e.Owner != "" && e.Owner != fleet.Firm {
			continue
		}
		if queried == maxFenceQueries {
			break
		}
		queried++
		f.host.group.Run(func(context.Context) { f.queryFence(ctx, e, fences) })
	}
	for range queried {
		select {
		case n := <-fences:
			if n != noFence {
				fence, answered = max(fence, n), true
			}
		case <-ctx.Done():
			return fence, answered
		}
	}
	return fence, answered
}

// noFence represents the missing fencing number of an engine that did not
// respond.
const noFence = ^identifier.Revision(0)

func (f *fenceReader) queryFence(ctx context.Context, e *compiler.Endpoint, fences chan<- identifier.Revision) {
	r, err := f.host.connector.Engine(e.Address).Load(ctx, connect.NewRequest(&enginewire.LoadRequest{}))
	if err != nil {
		fences <- noFence
		return
	}
	fences <- identifier.Revision(r.Msg.GetFence())
}
