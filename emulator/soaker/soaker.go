// Package soaker runs real entry host processes on one machine against an
// emulated operator platform, injects external faults, and checks the system's
// guarantees by comparing the responses of callers with the executions at
// runners.
//
// # Usage
//
//	report, err := soaker.Run(ctx, soaker.Options{Binary: "target/entry-host", Seed: 7, Duration: time.Minute})
//	for _, violation := range report.Broken { ... }
//
// # Faults
//
// Signals kill, pause, gracefully stop and reload processes. Connections to
// runners and to the store pass through proxies that delay, drop (in one or
// both directions) or reset them. Runners lose responses, break off, refuse and
// leave. Configurations change. Faults are injected in series and overlap. Only
// processes started by the soak are terminated, by their process ids.
//
// # Guarantees
//
// A request that may not be repeated runs at most once. A refused request never
// runs. A successful response is the runner's complete response to that
// request. A stream that appears complete is complete. No request is left
// running. After the faults end, every host has the newest configuration and
// serves requests.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/platform/standin"
)

// Options configures a soak.
type Options struct {
	// Binary is the path of the entry host executable.
	Binary string
	// Directory receives the settings and logs of the processes.
	Directory string
	Seed      uint64
	// Duration is how long faults are injected; a recovery time of some seconds
	// follows.
	Duration time.Duration
	Hosts    int
}

// Report is the result of a soak.
type Report struct {
	Sent, Served, Refused, Failed int
	Faults                        []string
	// Violations describes each violated guarantee.
	Violations []string
}

const (
	defaultHosts  = 3
	plainRunners  = 3
	decodeRunners = 3
	streamEvents  = 8
	runnerMemory  = 20_000
	// recoveryTime bounds how long the system may take to recover after the
	// faults end.
	recoveryTime = 12 * time.Second
	// startupTimeout bounds how long all hosts may take to become ready.
	startupTimeout = 15 * time.Second
)

// system is the system under test with its emulated platform.
type system struct {
	options       Options
	group         *grouper.Group
	random        *rand.Rand
	store         *standin.Store
	runners       []*standin.Runner
	runnerProxies []*proxy // one per runner
	storeProxies  []*proxy // one per host
	hosts         []*process
	version       int
	outcomeLog    *outcomeLog
	report        Report
}

// Run runs one soak.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Hosts == 0 {
		o.Hosts = defaultHosts
	}
	s := &system{
		options:    o,
		group:      grouper.New(ctx),
		random:     rand.New(rand.NewPCG(o.Seed, 1)),
		store:      standin.NewStore(),
		outcomeLog: newOutcomeLog(),
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.awaitReady(startupTimeout); err != nil {
		return nil, err
	}
	callers := grouper.New(s.group.Context())
	for n := range callerCount {
		callers.Run(func(ctx context.Context) { s.runCaller(ctx, n) })
	}
	s.injectFaults()
	s.endFaults()
	time.Sleep(recoveryTime / 2)
	callers.Stop()
	_ = callers.Wait() // callers return no errors
	s.checkGuarantees()
	return &s.report, nil
}

func (s *system) stop() {
	for _, p := range s.hosts {
		p.kill()
		p.release()
	}
	s.group.Stop()
	_ = s.group.Wait() // the group's goroutines return no errors
}

// start starts the runners, the proxies and the hosts.
func (s *system) start() error {
	s.publishNextVersion()
	for n := range plainRunners {
		if err := s.startRunner(standin.RunnerOptions{ID: fmt.Sprintf("plain-%d", n), Service: "desk", Slots: 6, Work: 5 * time.Millisecond}); err != nil {
			return err
		}
	}
	for n := range decodeRunners {
		o := standin.RunnerOptions{
			ID: fmt.Sprintf("decode-%d", n), Service: "notes", Stage: "decode",
			Slots: 16, Memory: runnerMemory, Work: 20 * time.Millisecond, Events: streamEvents,
		}
		if err := s.startRunner(o); err != nil {
			return err
		}
	}
	if err := s.startRunner(standin.RunnerOptions{ID: "prefill-0", Service: "notes", Stage: "prefill", Slots: 16, Memory: runnerMemory, Work: 20 * time.Millisecond}); err != nil {
		return err
	}
	if err := os.MkdirAll(s.options.Directory, 0o755); err != nil {
		return eris.Wrap(err, "create directory of the soak")
	}
	for n := range s.options.Hosts {
		if err := s.startHost(n); err != nil {
			return err
		}
	}
	return nil
}

// startRunner starts a runner that hosts reach through a proxy.
func (s *system) startRunner(o standin.RunnerOptions) error {
	o.Zone = "a"
	r, err := standin.StartRunner(s.group, s.store, o)
	if err != nil {
		return err
	}
	p, err := startProxy(s.group, r.Address())
	if err != nil {
		return err
	}
	r.AdvertiseAddress(p.address)
	standin.ShareHandles(s.group.Context(), r)
	s.runners = append(s.runners, r)
	s.runnerProxies = append(s.runnerProxies, p)
	return nil
}

func (s *system) startHost(n int) error {
	address, err := s.store.Listen(s.group)
	if err != nil {
		return err
	}
	storeProxy, err := startProxy(s.group, address)
	if err != nil {
		return err
	}
	s.storeProxies = append(s.storeProxies, storeProxy)
	p, err := newProcess(s.group, s.options, n, storeProxy.address, s.seeds())
	if err != nil {
		return err
	}
	s.hosts = append(s.hosts, p)
	return p.start()
}

func (s *system) seeds() []identifier.Address {
	var seeds []identifier.Address
	for _, p := range s.hosts {
		seeds = append(seeds, p.peers)
	}
	return seeds
}

// publishNextVersion publishes a new version of the configuration.
func (s *system) publishNextVersion() {
	s.version++
	s.store.PutConfig(standin.Config(s.version, runnerMemory))
}

func (s *system) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, p := range s.hosts {
		for !p.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("host %d is not ready after %v, see %s", p.number, timeout, filepath.Join(s.options.Directory, p.logName()))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// reportViolation records a violated guarantee.
func (s *system) reportViolation(format string, args ...any) {
	s.report.Violations = append(s.report.Violations, fmt.Sprintf(format, args...))
}
