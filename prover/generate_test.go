package prover_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jackdawthread/jackdawthread/checker"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/prover"
)

// memoryReleaseTimeout bounds the time until engines free the memory of a request
// whose caller is gone.
const memoryReleaseTimeout = 10 * second

// generateCase is one request with faults before and during it.
type generateCase struct {
	name   string
	hosts  int // entry hosts per data center; 0 means 2
	change func(p *prover.GeneratePlan)
	before func(r *prover.Run)
	// during runs after delay, while the request is in progress.
	delay  time.Duration
	during func(ctx context.Context, r *prover.Run)
	want   []checker.Result
}

func setEngineFaults(f emulator.Faults) func(*prover.Run) {
	return func(r *prover.Run) { r.SetEngineFaults(f) }
}

func cancelAfter(d time.Duration) func(*prover.GeneratePlan) {
	return func(p *prover.GeneratePlan) { p.CancelAfter = d }
}

func cancelAtToken(p *prover.GeneratePlan) { p.CancelAtToken = 20 }

func killHosts(n int) func(context.Context, *prover.Run) {
	return func(_ context.Context, r *prover.Run) {
		for _, name := range r.System.Hosts()[:n] {
			r.Kill(name)
		}
	}
}

var generateCases = []generateCase{
	{name: "no fault", want: []checker.Result{answered}},
	{name: "caller cancels in prefill", change: cancelAfter(60 * time.Millisecond), want: []checker.Result{mayHaveRun}},
	{name: "caller cancels in transfer", change: cancelAfter(500 * time.Millisecond), before: setEngineFaults(emulator.Faults{StallExports: true}), want: []checker.Result{mayHaveRun}},
	{name: "caller cancels in decode", change: cancelAtToken, want: []checker.Result{mayHaveRun}},
	{name: "caller cancels while it waits", change: cancelAfter(500 * time.Millisecond), before: setEngineFaults(emulator.Faults{RefuseAll: true}), want: []checker.Result{notRun, mayHaveRun}},
	{name: "caller cancels and cancels are lost", change: cancelAtToken, before: setEngineFaults(emulator.Faults{DropCancels: true}), delay: 5 * second, during: func(_ context.Context, r *prover.Run) {
		setEngineFaults(emulator.Faults{})(r)
	}, want: []checker.Result{mayHaveRun}},
	{name: "no engine takes work until the deadline", change: func(p *prover.GeneratePlan) { p.Timeout = 2 * second }, before: setEngineFaults(emulator.Faults{RefuseAll: true}), want: []checker.Result{notRun, mayHaveRun}},
	{name: "engines reset every stream", before: setEngineFaults(emulator.Faults{FailAfterTokens: 40}), want: []checker.Result{answered}},
	{name: "engines repeat chunks", before: setEngineFaults(emulator.Faults{RepeatEvery: 3}), want: []checker.Result{answered}},
	{name: "engines send chunks out of order", before: setEngineFaults(emulator.Faults{SwapEvery: 60}), want: []checker.Result{answered}},
	{name: "host killed in prefill", delay: 60 * time.Millisecond, during: killHosts(1), want: []checker.Result{answered}},
	{name: "host killed in decode", delay: second, during: killHosts(1), want: []checker.Result{answered}},
	{name: "host and one more of three killed", hosts: 3, delay: second, during: killHosts(2), want: []checker.Result{answered}},
	{name: "all hosts of the data center killed, one restarted", delay: second, during: func(ctx context.Context, r *prover.Run) {
		killHosts(2)(ctx, r)
		wait(ctx, 5*second)
		if err := r.Restart(r.System.Hosts()[1]); err != nil {
			panic(err)
		}
	}, want: []checker.Result{answered}},
	{name: "host frozen and unfrozen", delay: second, during: func(ctx context.Context, r *prover.Run) {
		r.Freeze(r.System.Hosts()[0])
		wait(ctx, 8*second)
		r.Unfreeze(r.System.Hosts()[0])
	}, want: []checker.Result{answered}},
	{name: "data center partitioned", delay: second, during: func(_ context.Context, r *prover.Run) {
		r.PartitionDataCenter(r.System.DataCenter(r.System.Hosts()[0]))
	}, want: []checker.Result{answered}},
	{name: "caller's connection is reset", delay: second, during: func(_ context.Context, r *prover.Run) {
		r.ResetCallerConnections(r.System.Hosts()[0])
	}, want: []checker.Result{answered}},
}

func TestGenerateUnderOneFault(t *testing.T) {
	for _, c := range generateCases {
		t.Run(c.name, func(t *testing.T) {
			withRunOfHosts(t, max(c.hosts, 2), 1, func(ctx context.Context, r *prover.Run) { c.run(ctx, t, r) })
		})
	}
}

func (c generateCase) run(ctx context.Context, t *testing.T, r *prover.Run) {
	t.Helper()
	p := prover.GeneratePlan{Service: "note-writer", PromptWords: 1000, Tokens: 100, Timeout: 60 * second, Name: "note"}
	if c.change != nil {
		c.change(&p)
	}
	if c.before != nil {
		c.before(r)
	}
	results := make(chan checker.Result, 1)
	r.Go(func(ctx context.Context) { results <- r.Generate(ctx, p) })
	if c.during != nil {
		wait(ctx, c.delay)
		c.during(ctx, r)
	}
	if got := <-results; !slices.Contains(c.want, got) {
		t.Errorf("caller got result %d, want one of %d", got, c.want)
	}
	wait(ctx, memoryReleaseTimeout)
	assertNoViolations(t, r.CheckEngineMemory())
}

func TestGenerateUnderMixedFaults(t *testing.T) {
	forEachSeed(t, func(t *testing.T, seed uint64) {
		withRun(t, seed, func(ctx context.Context, r *prover.Run) {
			const span = 10 * second
			for n := range 40 {
				p := r.RandomGeneratePlan(span, n)
				r.Go(func(ctx context.Context) { r.Generate(ctx, p) })
			}
			if err := r.InjectRandomFaults(ctx, span); err != nil {
				t.Error(err)
			}
		})
	})
}

// TestSameRequestAtTwoHosts sends one request to two hosts, as a load balancer that
// duplicates it or a caller that resends it would.
func TestSameRequestAtTwoHosts(t *testing.T) {
	withRun(t, 1, func(_ context.Context, r *prover.Run) {
		for _, delay := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond} {
			for _, host := range []int{0, 1, 3} {
				p := prover.GeneratePlan{Service: "dealer-desk", PromptWords: 100, Tokens: 100, Timeout: 20 * second}
				p.Name = fmt.Sprintf("%s apart at host %d", delay, host)
				other := p
				other.Host = host
				other.Start = delay
				r.Go(func(ctx context.Context) { r.Generate(ctx, p) })
				r.Go(func(ctx context.Context) { r.Generate(ctx, other) })
			}
		}
	})
}
