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

// lockPlan returns a plan that gets a ticket from host 0, sends the call through
// host 3 and then resends it to every host.
func lockPlan() prover.LockPlan {
	return prover.LockPlan{
		Copies:      []int{3},
		Resends:     []int{0, 1, 2, 3, 4, 5},
		Timeout:     second,
		ResendDelay: 100 * time.Millisecond,
	}
}

// lockCase is one lock with faults before and during its call.
type lockCase struct {
	name    string
	copies  []int
	timeout time.Duration
	before  func(r *prover.Run)
	during  func(ctx context.Context, r *prover.Run)
	// want lists the allowed final results.
	want []checker.Result
}

const (
	answered   = checker.ResultAnswered
	notRun     = checker.ResultNotRun
	mayHaveRun = checker.ResultMayHaveRun
	ran        = checker.ResultRan
)

func setPlainFaults(f emulator.PlainFaults) func(*prover.Run) {
	return func(r *prover.Run) { r.SetPlainFaults(f) }
}

var slowPlain = setPlainFaults(emulator.PlainFaults{Slow: 300 * time.Millisecond})

func killIssuer(_ context.Context, r *prover.Run) { r.Kill(r.System.Hosts()[0]) }

func freezeIssuer(ctx context.Context, r *prover.Run) {
	r.Freeze(r.System.Hosts()[0])
	wait(ctx, 2*second)
	r.Unfreeze(r.System.Hosts()[0])
}

func partitionIssuer(r *prover.Run) { r.PartitionDataCenter(r.System.DataCenter(r.System.Hosts()[0])) }

var lockCases = []lockCase{
	{name: "no fault", want: []checker.Result{answered}},
	{name: "balancer duplicates the call", copies: []int{3, 4, 0}, before: slowPlain, want: []checker.Result{answered}},
	{name: "service refuses", before: setPlainFaults(emulator.PlainFaults{Refuse: 1}), want: []checker.Result{notRun}},
	{name: "reset before it runs", before: setPlainFaults(emulator.PlainFaults{ResetBefore: 1}), want: []checker.Result{mayHaveRun}},
	{name: "reset after it ran", before: setPlainFaults(emulator.PlainFaults{ResetAfter: 1}), want: []checker.Result{mayHaveRun}},
	{name: "caller times out", timeout: 200 * time.Millisecond, before: slowPlain, want: []checker.Result{answered}},
	{name: "issuer killed before the call", before: func(r *prover.Run) { r.Kill(r.System.Hosts()[0]) }, want: []checker.Result{mayHaveRun}},
	{name: "issuer killed while it runs", before: slowPlain, during: killIssuer, want: []checker.Result{mayHaveRun}},
	{name: "issuer frozen before the call", before: func(r *prover.Run) { r.Freeze(r.System.Hosts()[0]) }, during: freezeIssuer, want: []checker.Result{answered, ran}},
	{name: "issuer frozen while it runs", before: slowPlain, during: freezeIssuer, want: []checker.Result{answered, ran}},
	{name: "issuer's call is delayed", before: func(r *prover.Run) {
		r.SetPlainLinksBlocked(r.System.Hosts()[0], true)
	}, during: func(ctx context.Context, r *prover.Run) {
		wait(ctx, 10*second)
		r.SetPlainLinksBlocked(r.System.Hosts()[0], false)
	}, want: []checker.Result{mayHaveRun}},
	{name: "partition between host and issuer", before: partitionIssuer, want: []checker.Result{answered}},
	{name: "partition while it runs", before: slowPlain, during: func(_ context.Context, r *prover.Run) { partitionIssuer(r) }, want: []checker.Result{answered, ran}},
	{name: "caller's connection is reset", before: slowPlain, during: func(_ context.Context, r *prover.Run) {
		r.ResetCallerConnections(r.System.Hosts()[3])
	}, want: []checker.Result{answered}},
}

func TestLockUnderOneFault(t *testing.T) {
	for _, c := range lockCases {
		t.Run(c.name, func(t *testing.T) {
			withRun(t, 1, func(ctx context.Context, r *prover.Run) { c.run(ctx, t, r) })
		})
	}
}

func (c lockCase) run(ctx context.Context, t *testing.T, r *prover.Run) {
	t.Helper()
	p := lockPlan()
	if c.copies != nil {
		p.Copies = c.copies
	}
	if c.timeout > 0 {
		p.Timeout = c.timeout
	}
	ticketIssued := make(chan struct{})
	p.OnTicket = func() {
		if c.before != nil {
			c.before(r)
		}
		close(ticketIssued)
	}
	results := make(chan checker.Result, 1)
	r.Go(func(ctx context.Context) { results <- r.Lock(ctx, p) })
	<-ticketIssued
	if c.during != nil {
		wait(ctx, 100*time.Millisecond)
		c.during(ctx, r)
	}
	if got := <-results; !slices.Contains(c.want, got) {
		t.Errorf("caller got result %d, want one of %d", got, c.want)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func TestLocksUnderMixedFaults(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		withRun(t, seed, func(ctx context.Context, r *prover.Run) {
			const span = 10 * second
			for range 40 {
				p := r.RandomLockPlan(span)
				r.Go(func(ctx context.Context) { r.Lock(ctx, p) })
			}
			if err := r.InjectRandomFaults(ctx, span); err != nil {
				t.Error(err)
			}
		})
	})
}
