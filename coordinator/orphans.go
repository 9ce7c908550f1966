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

// orphans cancels attempts that an allocator takes for orphaned, once that is
// certain. The allocator alone can't tell: one that a home asked while it could
// not reach the pool's owner, or that has lost the pool, gets no renewals for
// attempts that live.
type orphans struct {
	coordinator *Coordinator
	key         Key
}

// cancel drops the attempt at the engine unless its home may still lead it.
// The next load report that lists the attempt brings it here again.
func (o *orphans) cancel(ctx context.Context, a allocator.CancelAt) {
	c := o.coordinator
	ctx, cancel := context.WithTimeout(ctx, c.deps.Options.ProbeTimeout)
	defer cancel()
	e := c.deps.Fleet().Endpoints[a.Endpoint]
	if e == nil || !c.owns(o.key) || c.mayBeLed(ctx, a.Attempt) {
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

// mayBeLed tells whether the attempt's home leads it or can't be asked while
// it counts as live.
func (c *Coordinator) mayBeLed(ctx context.Context, a identifier.Attempt) bool {
	if a.Incarnation == c.deps.Self {
		return c.held.has(a)
	}
	home, known := c.deps.Members.View().ByIncarnation(a.Incarnation)
	if !known || home.State == gossiper.StateDead {
		return false
	}
	message := peerwire.Holds{Attempt: encodeAttempt(a)}
	var answer peerwire.Held
	if err := c.deps.Links.Call(ctx, home.Address, peerwire.KindHolds, &message, &answer); err != nil {
		return true
	}
	return answer.Holds
}

func (c *Coordinator) handleHolds(_ context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.Holds
	if err := decode(&m, payload); err != nil {
		return nil, err
	}
	return &peerwire.Held{Holds: c.held.has(decodeAttempt(m.Attempt))}, nil
}
