package dispatcher

import (
	"context"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// waiter waits until no other host answers the request any more.
type waiter func(ctx context.Context) error

func noWait(context.Context) error { return nil }

// hold makes this host the request's home while f serves it. When the caller
// sends the request again, f's context ends.
func (d *Dispatcher) hold(ctx context.Context, r identifier.Request, resendable bool, f func(ctx context.Context, ready waiter) error) error {
	if !resendable {
		return f(ctx, noWait)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	held := d.deps.Homes.Hold(r, cancel)
	defer held.End()
	return f(ctx, held.Wait)
}

// firstWaiting gives a sink that waits before it passes the first chunk on.
func firstWaiting(ctx context.Context, ready waiter, sink Sink) Sink {
	first := true
	return func(c Chunk) error {
		if first {
			if err := ready(ctx); err != nil {
				return err
			}
			first = false
		}
		return sink(c)
	}
}
