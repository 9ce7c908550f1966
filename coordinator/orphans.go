package coordinator

import (
	"context"

	"connectrpc.com/connect"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// orphanCanceler cancels attempts that an allocator considers orphaned, after
// checking that their home is dead or no longer runs them. The allocator can't
// decide this alone: a fallback allocator, and one whose pool has moved to another
// host, receive no renewals for attempts that are still running.
type orphanCanceler struct {
	coordinator *Coordinator
	key         Key
}

// cancel cancels the attempt at its engine unless its home may still be running it.
// While the attempt remains at the engine, each load report that lists it triggers
// another check.
func (o *orphanCanceler) cancel(ctx context.Context, a allocator.CancelAt) {
	c := o.coordinator
	ctx, cancel := context.WithTimeout(ctx, c.deps.Options.ProbeTimeout)
	defer cancel()
	e := c.deps.Fleet().Endpoints[a.Endpoint]
	if e == nil || !c.owns(o.key) || c.mayBeActive(ctx, a.Attempt) {
		return
	}
	request := &enginewire.CancelRequest{
		Attempt: &enginewire.Attempt{Incarnation: uint64(a.Attempt.Incarnation), Sequence: a.Attempt.Sequence},
	}
	_, err := c.deps.Engines.Engine(e.Address).Cancel(ctx, connect.NewRequest(request))
	c.deps.Log.Info("orphan-canceled",
		zap.String("endpoint", string(a.Endpoint)),
		zap.Stringer("attempt", a.Attempt),
		zap.Error(err))
}

// mayBeActive reports whether the attempt's home is running it, or is alive but did
// not reply.
func (c *Coordinator) mayBeActive(ctx context.Context, a identifier.Attempt) bool {
	if a.Incarnation == c.deps.Self {
		return c.held.contains(a)
	}
	home, known := c.deps.Members.View().ByIncarnation(a.Incarnation)
	if !known || home.State == gossiper.StateDead {
		return false
	}
	message := peerwire.HoldsRequest{Attempt: encodeAttempt(a)}
	var reply peerwire.HoldsReply
	if err := c.deps.Links.Call(ctx, home.Address, peerwire.KindHolds, &message, &reply); err != nil {
		return true
	}
	return reply.Holds
}

func (c *Coordinator) handleHolds(_ context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.HoldsRequest
	if err := decode(&m, payload); err != nil {
		return nil, err
	}
	return &peerwire.HoldsReply{Holds: c.held.contains(decodeAttempt(m.Attempt))}, nil
}
