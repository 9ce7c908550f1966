// Package sleeper provides a sleep that a context can interrupt.
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

// Sleep waits for d or until ctx is done, in which case it returns ctx.Err().
// It does so even if d is not positive.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
