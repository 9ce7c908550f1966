package dispatcher

import (
	"context"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// waitFunc blocks until no other host answers the request.
type waitFunc func(ctx context.Context) error

func noWait(context.Context) error { return nil }

// serveAsHome makes this host the request's home while f runs. f's context is
// canceled when the caller resends the request.
func (d *Dispatcher) serveAsHome(ctx context.Context, r identifier.Request, resendable bool, f func(ctx context.Context, wait waitFunc) error) error {
	if !resendable {
		return f(ctx, noWait)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	held := d.deps.HomeRegistry.Hold(r, cancel)
	defer held.End()
	return f(ctx, held.Wait)
}

// delayFirstChunk returns a sink that calls wait before it forwards the first
// chunk.
func delayFirstChunk(ctx context.Context, wait waitFunc, sink Sink) Sink {
	first := true
	return func(c Chunk) error {
		if first {
			if err := wait(ctx); err != nil {
				return err
			}
			first = false
		}
		return sink(c)
	}
}
