package prover_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/jackdawthread/jackdawthread/checker"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/prover"
)

// plan sends a call through host 3, whose ticket host 0 issues, and then
// resends it to every host.
func plan() prover.LockPlan {
	return prover.LockPlan{
		Copies:  []int{3},
		Resends: []int{0, 1, 2, 3, 4, 5},
		Timeout: second,
		Pause:   100 * time.Millisecond,
	}
}

// lockCase is one lock with faults before and during its call.
type lockCase struct {
	name    string
	copies  []int
	timeout time.Duration
	before  func(r *prover.Run)
	during  func(ctx context.Context, r *prover.Run)
	// want is what the caller may be told in the end.
	want []checker.Result
}

const (
	answered   = checker.ResultAnswered
	notRun     = checker.ResultNotRun
	mayHaveRun = checker.ResultMayHaveRun
	ran        = checker.ResultRan
)

func faulty(f emulator.PlainFaults) func(*prover.Run) {
	return func(r *prover.Run) { r.SetPlainFaults(f) }
}

var slow = faulty(emulator.PlainFaults{Slow: 300 * time.Millisecond})

func issuerKilled(_ context.Context, r *prover.Run) { r.Kill(r.System.Hosts()[0]) }

func issuerFrozen(ctx context.Context, r *prover.Run) {
	r.Freeze(r.System.Hosts()[0])
	wait(ctx, 2*second)
	r.Thaw(r.System.Hosts()[0])
}

func issuerCutOff(r *prover.Run) { r.CutOff(r.System.DataCenter(r.System.Hosts()[0])) }

var lockCases = []lockCase{
	{name: "no fault", want: []checker.Result{answered}},
	{name: "balancer duplicates the call", copies: []int{3, 4, 0}, before: slow, want: []checker.Result{answered}},
	{name: "service refuses", before: faulty(emulator.PlainFaults{Refuse: 1}), want: []checker.Result{notRun}},
	{name: "reset before it runs", before: faulty(emulator.PlainFaults{ResetBefore: 1}), want: []checker.Result{mayHaveRun}},
	{name: "reset after it ran", before: faulty(emulator.PlainFaults{ResetAfter: 1}), want: []checker.Result{mayHaveRun}},
	{name: "caller times out", timeout: 200 * time.Millisecond, before: slow, want: []checker.Result{answered}},
	{name: "issuer killed before the call", before: func(r *prover.Run) { r.Kill(r.System.Hosts()[0]) }, want: []checker.Result{mayHaveRun}},
	{name: "issuer killed while it runs", before: slow, during: issuerKilled, want: []checker.Result{mayHaveRun}},
	{name: "issuer frozen before the call", before: func(r *prover.Run) { r.Freeze(r.System.Hosts()[0]) }, during: issuerFrozen, want: []checker.Result{answered, ran}},
	{name: "issuer frozen while it runs", before: slow, during: issuerFrozen, want: []checker.Result{answered, ran}},
	{name: "issuer's send is held and arrives late", before: func(r *prover.Run) {
		r.SetLinks(r.System.Hosts()[0], true)
	}, during: func(ctx context.Context, r *prover.Run) {
		wait(ctx, 10*second)
		r.SetLinks(r.System.Hosts()[0], false)
	}, want: []checker.Result{mayHaveRun}},
	{name: "cut between host and issuer", before: issuerCutOff, want: []checker.Result{answered}},
	{name: "cut while it runs", before: slow, during: func(_ context.Context, r *prover.Run) { issuerCutOff(r) }, want: []checker.Result{answered, ran}},
	{name: "caller's connection breaks", before: slow, during: func(_ context.Context, r *prover.Run) {
		r.Disconnect(r.System.Hosts()[3])
	}, want: []checker.Result{answered}},
}

func TestLockUnderOneFault(t *testing.T) {
	for _, c := range lockCases {
		t.Run(c.name, func(t *testing.T) {
			inRun(t, 1, func(ctx context.Context, r *prover.Run) { c.run(ctx, t, r) })
		})
	}
}

func (c lockCase) run(ctx context.Context, t *testing.T, r *prover.Run) {
	t.Helper()
	p := plan()
	if c.copies != nil {
		p.Copies = c.copies
	}
	if c.timeout > 0 {
		p.Timeout = c.timeout
	}
	issued := make(chan struct{})
	p.Issued = func() {
		if c.before != nil {
			c.before(r)
		}
		close(issued)
	}
	told := make(chan checker.Result, 1)
	r.Go(func(ctx context.Context) { told <- r.Lock(ctx, p) })
	<-issued
	if c.during != nil {
		wait(ctx, 100*time.Millisecond)
		c.during(ctx, r)
	}
	if got := <-told; !slices.Contains(c.want, got) {
		t.Errorf("caller was told %d, want one of %d", got, c.want)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func TestLocksUnderMixedFaults(t *testing.T) {
	overSeeds(t, func(t *testing.T, seed uint64) {
		inRun(t, seed, func(ctx context.Context, r *prover.Run) {
			const span = 10 * second
			for range 40 {
				p := r.DrawLock(span)
				r.Go(func(ctx context.Context) { r.Lock(ctx, p) })
			}
			if err := r.Mix(ctx, span); err != nil {
				t.Error(err)
			}
		})
	})
}
