// Package prover runs callers against a whole system in one process, injects faults
// while they run, and checks the recorded history against the system's promises.
//
// # Usage
//
// In a test, inside a synctest bubble, so that time is virtual:
//
//	run, err := prover.Start(ctx, prover.Options{Source: source, HostsPerDataCenter: 2, Seed: seed, Log: log})
//	defer run.Close()
//	run.Go(func(ctx context.Context) { run.Lock(ctx, run.RandomLockPlan(10*time.Second)) })
//	err = run.InjectRandomFaults(ctx, 10*time.Second)
//	violations := run.Finish()
//
// Faults are injected by one goroutine; callers run in their own group. All random
// choices depend on the seed. The scheduling of goroutines does not, so two runs
// with the same seed may have different histories.
package prover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/checker"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
)

const (
	readyTimeout = time.Minute
	// quiescenceDelay is longer than any lease or grace period in a run, so that
	// no work may be in progress and no memory held after it.
	quiescenceDelay = 12 * time.Second
)

// Options configures a Run.
type Options struct {
	// Source is the declarations file.
	Source             []byte
	HostsPerDataCenter int
	Seed               uint64
	Customer           identifier.Customer
	Engine             emulator.EngineSettings
	Plain              emulator.PlainSettings
	Log                *zap.Logger
}

// Run is a system and its callers, whose history is recorded.
type Run struct {
	System   *assembler.System
	Recorder *checker.Recorder
	customer identifier.Customer
	http     *http.Client
	callers  *grouper.Group
	// hosts holds the caller listener addresses of the entry hosts, in the order
	// of System.Hosts. The fault injector replaces it when a host restarts.
	hosts atomic.Pointer[[]identifier.Address]

	revisions revisionHistory // accessed only by the goroutine that injects faults

	mu              sync.Mutex
	rng             *rand.Rand
	prompts         map[emulator.Seed]checker.Key
	resultCounts    map[checker.Result]int
	unansweredSends []string
}

// Start starts the system and waits until all of its hosts are ready.
func Start(ctx context.Context, o Options) (*Run, error) {
	system, err := assembler.Start(ctx, assembler.Options{
		Source:             o.Source,
		HostsPerDataCenter: o.HostsPerDataCenter,
		Engine:             o.Engine,
		Plain:              o.Plain,
		MemoryNetwork:      true,
		Seed:               o.Seed,
		Log:                o.Log,
	})
	if err != nil {
		return nil, err
	}
	r := &Run{
		System:       system,
		Recorder:     checker.NewRecorder(),
		customer:     o.Customer,
		http:         system.HTTPClient(),
		callers:      grouper.New(ctx),
		rng:          rand.New(rand.NewPCG(o.Seed, 1)),
		prompts:      make(map[emulator.Seed]checker.Key),
		resultCounts: make(map[checker.Result]int),
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := system.WaitReady(ready); err != nil {
		r.Close()
		return nil, err
	}
	r.refreshHosts()
	return r, nil
}

// refreshHosts updates the caller listener addresses.
func (r *Run) refreshHosts() {
	hosts := r.System.CallerAddresses()
	r.hosts.Store(&hosts)
}

// Go runs a caller in its own goroutine.
func (r *Run) Go(caller func(context.Context)) {
	r.callers.Run(caller)
}

// hostClient returns a client of the n-th entry host, modulo their number.
func (r *Run) hostClient(n int) callerwireconnect.CallerServiceClient {
	hosts := *r.hosts.Load()
	return callerwireconnect.NewCallerServiceClient(r.http, "http://"+string(hosts[n%len(hosts)]))
}

// Finish ends all faults, waits for the callers and for quiescence, and returns the
// violations.
func (r *Run) Finish() []checker.Violation {
	r.clearFaults()
	r.WaitCallers()
	time.Sleep(quiescenceDelay)
	r.recordExecutions()
	violations := append(checker.Check(r.Recorder.History()), r.checkRevisions()...)
	return append(violations, checker.CheckMemory(r.engineMemory(), nil)...)
}

// WaitCallers waits until all callers have returned.
func (r *Run) WaitCallers() {
	_ = r.callers.Wait() // callers return no errors
}

// recordExecutions records the executions at the endpoints.
func (r *Run) recordExecutions() {
	for _, p := range r.System.Site.Plains() {
		for _, x := range p.RecordedExecutions() {
			r.Recorder.RecordExecution(checker.Execution{Key: checker.Key(x.Key), At: x.At})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.System.Site.Engines() {
		for _, a := range e.Admissions() {
			if a.Kind == emulator.AdmissionPrefill {
				r.Recorder.RecordExecution(checker.Execution{Key: r.prompts[a.Seed], At: a.At})
			}
		}
	}
}

// engineMemory returns the memory that the engines hold.
func (r *Run) engineMemory() []checker.EngineMemory {
	var all []checker.EngineMemory
	for _, e := range r.System.Site.Engines() {
		stats := e.Stats()
		all = append(all, checker.EngineMemory{Endpoint: e.Name(), Pieces: stats.PiecesHeld, Attempts: stats.AttemptsHeld})
	}
	return all
}

// countResult counts the final result of a caller.
func (r *Run) countResult(result checker.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resultCounts[result]++
}

// ResultCounts returns the number of callers with each final result.
func (r *Run) ResultCounts() map[checker.Result]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resultCounts
}

// recordUnansweredSend records a send that a host accepted but neither answered nor
// refused.
func (r *Run) recordUnansweredSend(name string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unansweredSends = append(r.unansweredSends, fmt.Sprintf("%s: %v", name, err))
}

// UnansweredSends lists the sends that a host accepted but neither answered nor
// refused. It covers locks and the callers that don't resume.
func (r *Run) UnansweredSends() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.unansweredSends)
}

// Close stops the callers and the system.
func (r *Run) Close() {
	r.callers.Stop()
	_ = r.callers.Wait() // callers return no errors
	r.http.CloseIdleConnections()
	r.System.Close()
}
