// Package soaker runs real processes of entry hosts on one machine, before
// stand-ins of the operators' platform, injects faults from outside them, and
// checks the promises by what callers got and runners did.
//
// # Usage
//
//	report, err := soaker.Run(ctx, soaker.Options{Binary: "target/entry-host", Seed: 7, Duration: time.Minute})
//	for _, broken := range report.Broken { ... }
//
// # Faults
//
// Processes are killed, paused, stopped as planned and told to reload by
// signals; the ways to runners and to the store lead through proxies that delay,
// silence, cut one way or reset; runners lose answers, break off, refuse and
// leave; configurations change. Faults come in series and overlap. Only
// processes that the soak started are ended, by their ids.
//
// # Promises
//
// A request that may not be repeated runs once; one that was refused never
// runs; a success is the runner's whole answer to this request; a stream that
// looks whole is whole; nothing is left running; after the faults every host
// has the newest configuration and serves.
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

// Options of a soak.
type Options struct {
	// Binary is the entry host's program.
	Binary string
	// Directory gets the processes' settings and logs.
	Directory string
	Seed      uint64
	// Duration of the faults; some seconds of calm follow.
	Duration time.Duration
	Hosts    int
}

// Report is what a soak found.
type Report struct {
	Sent, Served, Refused, Failed int
	Faults                        []string
	// Broken tells each broken promise.
	Broken []string
}

const (
	defaultHosts = 3
	plainRunners = 3
	decoders     = 3
	soakEvents   = 8
	soakMemory   = 20_000
	// calm is how long the soak waits for everything to recover.
	calm = 12 * time.Second
	// bootTime bounds the start of all hosts.
	bootTime = 15 * time.Second
)

// site is the running system.
type site struct {
	options  Options
	group    *grouper.Group
	random   *rand.Rand
	store    *standin.Store
	runners  []*standin.Runner
	ways     []*proxy // to the runners
	storeWay []*proxy // of each host
	hosts    []*process
	version  int
	ledger   *ledger
	report   Report
}

// Run plays one soak.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Hosts == 0 {
		o.Hosts = defaultHosts
	}
	s := &site{
		options: o,
		group:   grouper.New(ctx),
		random:  rand.New(rand.NewPCG(o.Seed, 1)),
		store:   standin.NewStore(),
		ledger:  newLedger(),
	}
	defer s.end()
	if err := s.build(); err != nil {
		return nil, err
	}
	if err := s.awaitReady(bootTime); err != nil {
		return nil, err
	}
	callers := grouper.New(s.group.Context())
	for n := range callersCount {
		callers.Run(func(ctx context.Context) { s.call(ctx, n) })
	}
	s.play()
	s.heal()
	time.Sleep(calm / 2)
	callers.Stop()
	_ = callers.Wait() // callers give no error
	s.judge()
	return &s.report, nil
}

func (s *site) end() {
	for _, p := range s.hosts {
		p.kill()
		p.release()
	}
	s.group.Stop()
	_ = s.group.Wait() // stand-ins give no error
}

// build starts the stand-ins, the proxies and the hosts.
func (s *site) build() error {
	s.configure()
	for n := range plainRunners {
		if err := s.runner(standin.RunnerOptions{ID: fmt.Sprintf("plain-%d", n), Service: "desk", Slots: 6, Work: 5 * time.Millisecond}); err != nil {
			return err
		}
	}
	for n := range decoders {
		o := standin.RunnerOptions{
			ID: fmt.Sprintf("decode-%d", n), Service: "notes", Stage: "decode",
			Slots: 16, Memory: soakMemory, Work: 20 * time.Millisecond, Events: soakEvents,
		}
		if err := s.runner(o); err != nil {
			return err
		}
	}
	if err := s.runner(standin.RunnerOptions{ID: "prefill-0", Service: "notes", Stage: "prefill", Slots: 16, Memory: soakMemory, Work: 20 * time.Millisecond}); err != nil {
		return err
	}
	if err := os.MkdirAll(s.options.Directory, 0o755); err != nil {
		return eris.Wrap(err, "directory of the soak")
	}
	for n := range s.options.Hosts {
		if err := s.host(n); err != nil {
			return err
		}
	}
	return nil
}

// runner starts a runner that hosts reach through a proxy.
func (s *site) runner(o standin.RunnerOptions) error {
	o.Zone = "a"
	r, err := standin.StartRunner(s.group, s.store, o)
	if err != nil {
		return err
	}
	way, err := startProxy(s.group, r.Address())
	if err != nil {
		return err
	}
	r.AdvertiseAddress(way.address)
	standin.ShareHandles(s.group.Context(), r)
	s.runners = append(s.runners, r)
	s.ways = append(s.ways, way)
	return nil
}

func (s *site) host(n int) error {
	address, err := s.store.Listen(s.group)
	if err != nil {
		return err
	}
	way, err := startProxy(s.group, address)
	if err != nil {
		return err
	}
	s.storeWay = append(s.storeWay, way)
	p, err := newProcess(s.group, s.options, n, way.address, s.seeds())
	if err != nil {
		return err
	}
	s.hosts = append(s.hosts, p)
	return p.start()
}

func (s *site) seeds() []identifier.Address {
	var seeds []identifier.Address
	for _, p := range s.hosts {
		seeds = append(seeds, p.peers)
	}
	return seeds
}

// configure publishes a new version.
func (s *site) configure() {
	s.version++
	s.store.PutConfig(standin.Config(s.version, soakMemory))
}

func (s *site) awaitReady(within time.Duration) error {
	end := time.Now().Add(within)
	for _, p := range s.hosts {
		for !p.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("host %d isn't ready after %v, see %s", p.number, within, filepath.Join(s.options.Directory, p.logName()))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// broken notes a broken promise.
func (s *site) broken(format string, args ...any) {
	s.report.Broken = append(s.report.Broken, fmt.Sprintf(format, args...))
}
