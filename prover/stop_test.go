package prover_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackdawthread/jackdawthread/checker"
	"github.com/jackdawthread/jackdawthread/prover"
)

// TestRollingRestart stops each entry host as planned and restarts it while callers
// stream and lock. No call may fail because of a planned stop.
func TestRollingRestart(t *testing.T) {
	withRun(t, 1, func(ctx context.Context, r *prover.Run) {
		const span = 40 * second
		for n := range 60 {
			p := r.RandomGeneratePlan(span, n)
			p.CancelAfter, p.CancelAtToken = 0, 0
			p.Timeout = 2 * time.Minute
			p.NoResume = true
			r.Go(func(ctx context.Context) { r.Generate(ctx, p) })
			l := r.RandomLockPlan(span)
			l.Timeout = 10 * second
			l.Copies = l.Copies[:1]
			r.Go(func(ctx context.Context) { r.Lock(ctx, l) })
		}
		for _, name := range r.System.Hosts() {
			wait(ctx, 2*second)
			if err := r.StopAndRestart(ctx, name); err != nil {
				t.Error(err)
			}
		}
		r.WaitCallers()
		for _, send := range r.UnansweredSends() {
			t.Error("send neither answered nor refused: ", send)
		}
		for _, result := range []checker.Result{checker.ResultNotRun, checker.ResultMayHaveRun, checker.ResultUnfinished} {
			if n := r.ResultCounts()[result]; n > 0 {
				t.Errorf("%d calls ended with result %d", n, result)
			}
		}
	})
}
