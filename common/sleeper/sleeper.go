// Package sleeper waits for a time that a context may cut short.
//
// # Usage
//
//	if err := sleeper.Sleep(ctx, backoff); err != nil {
//		return err
//	}
package sleeper

import (
	"context"
	"time"
)

// Sleep waits for d, or until ctx ends, whose error it then gives. It gives
// the error of a ctx that has ended even if d is not positive.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	alarm := time.NewTimer(d)
	defer alarm.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-alarm.C:
		return nil
	}
}
