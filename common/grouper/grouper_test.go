package grouper_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/grouper"
)

func TestGroup(t *testing.T) {
	t.Run("returns the first error and cancels the others", func(t *testing.T) {
		i := is.New(t)
		g := grouper.New(t.Context())
		failure := errors.New("goroutine failed")
		g.Run(func(ctx context.Context) { <-ctx.Done() })
		g.Go(func(context.Context) error { return failure })
		i.Equal(g.Wait(), failure)
	})
	t.Run("waits for nested goroutines", func(t *testing.T) {
		i := is.New(t)
		var ran atomic.Bool
		g := grouper.New(t.Context())
		g.Run(func(context.Context) {
			g.Run(func(context.Context) { ran.Store(true) })
		})
		i.NoErr(g.Wait())
		i.True(ran.Load())
	})
	t.Run("runs nothing once done", func(t *testing.T) {
		i := is.New(t)
		g := grouper.New(t.Context())
		i.NoErr(g.Wait())
		g.Run(func(context.Context) { t.Error("goroutine ran after Wait") })
		i.NoErr(g.Wait())
	})
	t.Run("accepts goroutines from outside during Wait", func(t *testing.T) {
		i := is.New(t)
		outside, g := grouper.New(t.Context()), grouper.New(t.Context())
		for range 8 {
			outside.Run(func(context.Context) {
				for range 100 {
					g.Run(func(context.Context) {})
				}
			})
		}
		i.NoErr(g.Wait())
		i.NoErr(outside.Wait())
	})
	t.Run("accepts Run concurrently with the return of Wait", func(t *testing.T) {
		i := is.New(t)
		g := grouper.New(t.Context())
		release := make(chan struct{})
		g.Run(func(context.Context) { <-release })
		others := grouper.New(t.Context())
		others.Go(func(context.Context) error { return g.Wait() })
		time.Sleep(settleTime) // a channel would synchronize the goroutines and hide a race from the detector
		close(release)
		time.Sleep(settleTime)
		g.Run(func(context.Context) {})
		i.NoErr(others.Wait())
		i.NoErr(g.Wait())
	})
}

// settleTime is long enough for a goroutine to reach its Wait call.
const settleTime = 10 * time.Millisecond
