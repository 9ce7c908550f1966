package dispatcher

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

const (
	cancelTimeout        = 2 * time.Second
	cancelInitialBackoff = 20 * time.Millisecond
	cancelMaxBackoff     = time.Second
	// cancelMaxAttempts limits the cancel calls for one attempt at one engine.
	// After that, the attempt is left to the allocator, which cancels orphaned
	// attempts that it finds in the engine's load reports.
	cancelMaxAttempts = 30
)

// canceler cancels attempts at engines and retries until they confirm.
type canceler struct {
	group     *grouper.Group
	endpoints Endpoints
	log       *zap.Logger
}

// cancel cancels the attempt at the endpoint in the background.
func (c *canceler) cancel(e *compiler.Endpoint, a identifier.Attempt) {
	c.group.Run(func(ctx context.Context) { c.cancelUntilConfirmed(ctx, e, a) })
}

func (c *canceler) cancelUntilConfirmed(ctx context.Context, e *compiler.Endpoint, a identifier.Attempt) {
	backoff := cancelInitialBackoff
	for range cancelMaxAttempts {
		if c.cancelOnce(ctx, e, a) == nil {
			return
		}
		if sleeper.Sleep(ctx, backoff) != nil {
			return
		}
		backoff = min(2*backoff, cancelMaxBackoff)
	}
	c.log.Warn("cancel-unconfirmed", zap.String("endpoint", string(e.Name)), zap.Stringer("attempt", a))
}

func (c *canceler) cancelOnce(ctx context.Context, e *compiler.Endpoint, a identifier.Attempt) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	_, err := c.endpoints.Engine(e.Address).Cancel(ctx, connect.NewRequest(&enginewire.CancelRequest{Attempt: wireAttempt(a)}))
	return err
}

func wireAttempt(a identifier.Attempt) *enginewire.Attempt {
	return &enginewire.Attempt{Incarnation: uint64(a.Incarnation), Sequence: a.Sequence}
}
