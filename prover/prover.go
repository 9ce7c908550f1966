// Package prover runs callers on a whole system inside one process, injects
// faults while they run, and has the recorded history checked against the
// promises.
//
// # Usage
//
// In a test, inside a synctest bubble, so that time is virtual:
//
//	run, err := prover.Start(ctx, prover.Options{Source: source, HostsPerDataCenter: 2, Seed: seed, Log: log})
//	defer run.Close()
//	run.Go(func(ctx context.Context) { run.Lock(ctx, run.DrawLock()) })
//	run.Mix(ctx, 10*time.Second)
//	violations := run.Finish(ctx)
//
// Faults are injected by one goroutine; callers run in a group of their own.
// Everything that is drawn at random follows from the seed. The order in which
// goroutines meet does not, so two runs of a seed may differ in their history.
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
	// settleTime is longer than any lease or grace of a run, so
	// that nothing may be in progress or held after it.
	settleTime = 12 * time.Second
)

// Options of a Run.
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

// Run is a system with callers whose history is recorded.
type Run struct {
	System   *assembler.System
	Recorder *checker.Recorder
	customer identifier.Customer
	http     *http.Client
	callers  *grouper.Group
	// hosts holds the callers' addresses of the entry hosts, in the order of
	// their names; the fault injector replaces it when a host restarts.
	hosts atomic.Pointer[[]identifier.Address]

	declarations declarations // of the fault injector

	mu      sync.Mutex
	random  *rand.Rand
	prompts map[emulator.Seed]checker.Key
	finals  map[checker.Result]int
	cuts    []string
}

// Start starts the system and waits until all of it is ready.
func Start(ctx context.Context, o Options) (*Run, error) {
	system, err := assembler.Start(ctx, assembler.Options{
		Source:             o.Source,
		HostsPerDataCenter: o.HostsPerDataCenter,
		Engine:             o.Engine,
		Plain:              o.Plain,
		Memory:             true,
		Seed:               o.Seed,
		Log:                o.Log,
	})
	if err != nil {
		return nil, err
	}
	r := &Run{
		System:   system,
		Recorder: checker.NewRecorder(),
		customer: o.Customer,
		http:     system.HTTPClient(),
		callers:  grouper.New(ctx),
		random:   rand.New(rand.NewPCG(o.Seed, 1)),
		prompts:  make(map[emulator.Seed]checker.Key),
		finals:   make(map[checker.Result]int),
	}
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := system.WaitReady(ready); err != nil {
		r.Close()
		return nil, err
	}
	r.learnHosts()
	return r, nil
}

// learnHosts takes the callers' addresses anew.
func (r *Run) learnHosts() {
	hosts := r.System.Callers()
	r.hosts.Store(&hosts)
}

// Go runs a caller.
func (r *Run) Go(caller func(context.Context)) {
	r.callers.Run(caller)
}

// host gives a client of the n-th entry host.
func (r *Run) host(n int) callerwireconnect.CallerServiceClient {
	hosts := *r.hosts.Load()
	return callerwireconnect.NewCallerServiceClient(r.http, "http://"+string(hosts[n%len(hosts)]))
}

// Finish ends all faults, waits for the callers and for quiescence, and gives
// the violations.
func (r *Run) Finish() []checker.Violation {
	r.healAll()
	r.Settle()
	time.Sleep(settleTime)
	r.collect()
	violations := append(checker.Check(r.Recorder.History()), r.checkDeclarations()...)
	return append(violations, checker.CheckMemory(r.memory(), nil)...)
}

// Settle waits for the callers.
func (r *Run) Settle() {
	_ = r.callers.Wait() // callers give no error
}

// collect records what the endpoints ran.
func (r *Run) collect() {
	for _, p := range r.System.Site.Plains() {
		for _, x := range p.RecordedExecutions() {
			r.Recorder.Execute(checker.Execution{Key: checker.Key(x.Key), At: x.At})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.System.Site.Engines() {
		for _, a := range e.Admissions() {
			if a.Kind == emulator.AdmissionPrefill {
				r.Recorder.Execute(checker.Execution{Key: r.prompts[a.Seed], At: a.At})
			}
		}
	}
}

// memory gives what the engines hold.
func (r *Run) memory() []checker.Memory {
	var all []checker.Memory
	for _, e := range r.System.Site.Engines() {
		stats := e.Stats()
		all = append(all, checker.Memory{Endpoint: e.Name(), Pieces: stats.PiecesHeld, Attempts: stats.AttemptsHeld})
	}
	return all
}

// final counts what a caller was told in the end.
func (r *Run) final(result checker.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finals[result]++
}

// Finals gives how many callers were told each result in the end.
func (r *Run) Finals() map[checker.Result]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finals
}

// noteCut notes a send that a host took and neither answered nor refused.
func (r *Run) noteCut(name string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = append(r.cuts, fmt.Sprintf("%s: %v", name, err))
}

// Cuts lists the sends that a host took and neither answered nor refused: the
// locks' and those of callers that don't resume.
func (r *Run) Cuts() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.cuts)
}

// Close ends the callers and the system.
func (r *Run) Close() {
	r.callers.Stop()
	_ = r.callers.Wait() // callers give no error
	r.http.CloseIdleConnections()
	r.System.Close()
}
