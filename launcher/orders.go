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
	orderTimeout = 2 * time.Second
	fenceTimeout = time.Second
	// maxFencesAsked bounds the engines that are asked for their fencing
	// numbers. Each engine sees each revision's order, so a sample will do.
	maxFencesAsked = 32
)

// orders keeps the engines that this host allocates in the state that the
// declarations in force say.
type orders struct {
	host *Host

	mu      sync.Mutex
	machine *orderer.Machine
}

func newOrders(h *Host) *orders {
	return &orders{host: h, machine: orderer.New(h.settings.Firm, orderer.DefaultOptions())}
}

func (o *orders) adopt(f *compiler.Fleet) {
	o.step(orderer.Adopted{Fleet: f})
}

// observe takes an engine's load report.
func (o *orders) observe(r coordinator.LoadObservation) {
	if r.Load != nil {
		o.step(orderer.Observed{Observation: orderer.Observe(r.Load, time.Now())})
	}
}

func (o *orders) step(e orderer.Event) {
	o.mu.Lock()
	actions := o.machine.Step(e, time.Now())
	o.mu.Unlock()
	for _, a := range actions {
		switch a := a.(type) {
		case orderer.Send:
			o.host.group.Run(func(ctx context.Context) { o.send(ctx, a.Order) })
		case orderer.Overtaken:
			o.host.config.keeper.Handle(keeper.Known{Revision: a.Fence}, time.Now())
		}
	}
}

func (o *orders) send(ctx context.Context, order orderer.Order) {
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

// fences implements watcher.Fences.
type fences struct {
	host *Host
}

// Highest implements watcher.Fences.
func (f *fences) Highest(ctx context.Context, fleet *compiler.Fleet) (fence identifier.Revision, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	answers := make(chan identifier.Revision, len(fleet.Endpoints))
	asked := 0
	for _, e := range fleet.Endpoints {
		if e.Role == compiler.RolePlain || e.Owner != "" && e.Owner != fleet.Firm {
			continue
		}
		if asked == maxFencesAsked {
			break
		}
		asked++
		f.host.group.Run(func(context.Context) { f.ask(ctx, e, answers) })
	}
	for range asked {
		select {
		case n := <-answers:
			if n != unanswered {
				fence, answered = max(fence, n), true
			}
		case <-ctx.Done():
			return fence, answered
		}
	}
	return fence, answered
}

// unanswered stands for the fence of an engine that did not answer.
const unanswered = ^identifier.Revision(0)

func (f *fences) ask(ctx context.Context, e *compiler.Endpoint, answers chan<- identifier.Revision) {
	r, err := f.host.connector.Engine(e.Address).Load(ctx, connect.NewRequest(&enginewire.LoadRequest{}))
	if err != nil {
		answers <- unanswered
		return
	}
	answers <- identifier.Revision(r.Msg.GetFence())
}
