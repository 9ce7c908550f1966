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
	cancelTimeout      = 2 * time.Second
	cancelFirstBackoff = 20 * time.Millisecond
	cancelMaxBackoff   = time.Second
	// cancelTries bounds the cancels of one attempt at one engine; beyond
	// that the allocator's check of the engine's attempts takes over.
	cancelTries = 30
)

// canceler tells engines to drop attempts and repeats it until they confirm.
type canceler struct {
	group     *grouper.Group
	endpoints Endpoints
	log       *zap.Logger
}

// cancel drops the attempt at the endpoint. It doesn't wait.
func (c *canceler) cancel(e *compiler.Endpoint, a identifier.Attempt) {
	c.group.Run(func(ctx context.Context) { c.repeat(ctx, e, a) })
}

func (c *canceler) repeat(ctx context.Context, e *compiler.Endpoint, a identifier.Attempt) {
	backoff := cancelFirstBackoff
	for range cancelTries {
		if c.once(ctx, e, a) == nil {
			return
		}
		if sleeper.Sleep(ctx, backoff) != nil {
			return
		}
		backoff = min(2*backoff, cancelMaxBackoff)
	}
	c.log.Warn("cancel-unconfirmed", zap.String("endpoint", string(e.Name)), zap.Stringer("attempt", a))
}

func (c *canceler) once(ctx context.Context, e *compiler.Endpoint, a identifier.Attempt) error {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	_, err := c.endpoints.Engine(e.Address).Cancel(ctx, connect.NewRequest(&enginewire.CancelRequest{Attempt: wireAttempt(a)}))
	return err
}

func wireAttempt(a identifier.Attempt) *enginewire.Attempt {
	return &enginewire.Attempt{Incarnation: uint64(a.Incarnation), Sequence: a.Sequence}
}
