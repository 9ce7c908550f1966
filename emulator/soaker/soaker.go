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
// Signals kill, pause, gracefully stop and reload processes, and slow them down
// by pausing them in short turns. Connections to runners and to the store pass
// through proxies that delay, drop (in one or both directions) or reset them.
// Runners lose responses, break off, send broken answers, answer before they have read a body,
// refuse, write copies of refusals, slow down, fall silent and go on, ask for pauses, name limits,
// change their stage, announce that they leave, and leave. The store is restored from an older
// copy. Configurations change in idle timeout, body limit and routes.
// Faults are injected in series and overlap. Only processes started by the soak
// are terminated, by their process ids. Options.OtherBinary mixes two builds.
//
// # Guarantees
//
// Each guarantee is a constant; checker compares what callers saw with what
// runners saw. Callers use their connections until these end, and state no
// preference among hosts. Some send a refused request again, with its ID, to the same
// host. Runners record the IDs that each of their connections has carried: none may
// arrive twice. A request that was sent completely must end with a
// complete answer, unless its host was killed or paused or a runner broke it off.
//
// # Replays
//
// A seed determines the faults, their times and the requests. The interleaving
// with the processes differs from run to run.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/platform/standin"
)

// Options configures a soak.
type Options struct {
	// Binary is the path of the entry host executable.
	Binary string
	// OtherBinary is the path of another build's executable, if hosts of two
	// builds are to be mixed.
	OtherBinary string
	// Directory receives the settings and logs of the processes.
	Directory string
	Seed      uint64
	// Duration is how long faults are injected; a recovery time of some seconds
	// follows.
	Duration time.Duration
	Hosts    int
	// MaxMemory is the number of bytes of resident memory of all hosts above
	// which the soak is ended; 0 means no limit.
	MaxMemory int64
	// MaxHostMemory is the number of bytes of resident memory that each host has; 0
	// means no limit.
	MaxHostMemory int64
}

// Report is the result of a soak.
type Report struct {
	// Sent counts requests that were sent completely; one that is sent again counts once, by
	// its last outcome. Failed ones got no answer
	// or a failure.
	Sent, Served, Refused, Failed int
	// Statuses counts the sent requests by status; 0 is a connection that ended.
	Statuses map[int]int
	// Starts counts the starts of processes.
	Starts int
	// PeakMemory is the highest resident memory of all hosts together, in bytes.
	PeakMemory int64
	// PeakHostMemory is the highest resident memory of a host, in bytes.
	PeakHostMemory int64
	Began          time.Time
	Faults         []Fault
	// Violations are the broken guarantees.
	Violations []Violation
}

const (
	defaultHosts  = 3
	decodeRunners = 3
	runnerSlots   = 16
	streamEvents  = 8
	runnerMemory  = 20_000
	// recoveryTime bounds how long the system may take to recover after the
	// faults end.
	recoveryTime = 12 * time.Second
	// startupTimeout + hosts * startupPerHost bounds how long all hosts may take to
	// become ready.
	startupTimeout = 15 * time.Second
	startupPerHost = 100 * time.Millisecond
	// removedRunner is the index of the runner that is gone at the end, the
	// fastest of its service, and lastLocks how many requests each host then gets
	// for its service.
	removedRunner = 0
	lastLocks     = 10
	// lastService is the service of quotes by the last configuration.
	lastService     = "last"
	plainWork       = 5 * time.Millisecond
	prefillWork     = 20 * time.Millisecond
	eventWork       = 50 * time.Millisecond
	maxRewriteDelay = 1500 * time.Millisecond
	memoryPeriod    = 500 * time.Millisecond
)

var retryBudget = budget{ratio: 0.1, slack: 40}

// plainWorks are the durations of requests at the plain runners.
var plainWorks = []time.Duration{plainWork, 40 * time.Millisecond, 200 * time.Millisecond}

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
	// work is each runner's usual duration of work.
	work    map[*standin.Runner]time.Duration
	history *history
	// chosen counts the faults that have an alternative, by kind.
	chosen     map[faultKind]uint64
	outcomeLog *outcomeLog
	report     Report

	mu      sync.Mutex
	version int
}

// Run runs one soak. If ctx is canceled, it ends the hosts and returns an error.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Hosts == 0 {
		o.Hosts = defaultHosts
	}
	s := &system{
		options:    o,
		group:      grouper.New(ctx),
		random:     rand.New(rand.NewPCG(o.Seed, 1)),
		store:      standin.NewStore(),
		work:       map[*standin.Runner]time.Duration{},
		history:    &history{},
		chosen:     map[faultKind]uint64{},
		outcomeLog: &outcomeLog{},
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.awaitReady(startupTimeout + time.Duration(len(s.hosts))*startupPerHost); err != nil {
		return nil, err
	}
	callers := grouper.New(s.group.Context())
	for n := range max(minCallers, len(s.hosts)) {
		callers.Run(func(ctx context.Context) { s.runCaller(ctx, n) })
	}
	callers.Run(s.watchMemory)
	s.report.Began = time.Now()
	s.injectFaults(ctx)
	err := s.endFaults()
	if err == nil {
		err = sleeper.Sleep(ctx, recoveryTime/2)
	}
	callers.Stop()
	_ = callers.Wait() // callers return no errors
	if err != nil {
		return nil, err
	}
	s.checkGuarantees()
	return &s.report, nil
}

// watchMemory records the peak memory, and kills the hosts above the limit.
func (s *system) watchMemory(ctx context.Context) {
	for sleeper.Sleep(ctx, memoryPeriod) == nil {
		total := int64(0)
		for _, p := range s.hosts {
			m := p.memory()
			s.report.PeakHostMemory = max(s.report.PeakHostMemory, m)
			total += m
		}
		s.report.PeakMemory = max(s.report.PeakMemory, total)
		if s.options.MaxMemory > 0 && total > s.options.MaxMemory {
			for _, p := range s.hosts {
				p.kill()
			}
		}
	}
}

// checkGuarantees checks the guarantees of the system against all outcomes.
func (s *system) checkGuarantees() {
	c := &checker{outcomes: s.outcomeLog.outcomes, history: s.history, budget: retryBudget}
	for _, r := range s.runners {
		c.runners = append(c.runners, runnerRecord{
			id: r.Options().ID, service: r.Options().Service, received: r.AllReceived(), repeated: r.Repeated(), runs: r.Runs(), orders: r.Orders(), pause: askedPause,
		})
	}
	s.report.Violations = c.check()
	s.count()
	s.checkHosts()
	s.checkLogs()
	if limit := s.options.MaxHostMemory; limit > 0 && s.report.PeakHostMemory > limit {
		s.reportViolation(bounded, "a host took %d bytes, %d allowed", s.report.PeakHostMemory, limit)
	}
	s.report.Faults = s.history.all()
	for _, p := range s.hosts {
		s.report.Starts += p.starts
	}
}

func (s *system) count() {
	s.report.Statuses = map[int]int{}
	for i := range s.outcomeLog.outcomes {
		o := &s.outcomeLog.outcomes[i]
		switch {
		case o.sentAt.IsZero():
			continue
		case o.status == http.StatusOK && o.complete:
			s.report.Served++
		case refused(o.status):
			s.report.Refused++
		default:
			s.report.Failed++
		}
		s.report.Sent++
		s.report.Statuses[o.status]++
	}
}

// checkHosts checks that every host has recovered and serves by the newest
// content of the store: its configuration and its runners.
func (s *system) checkHosts() {
	if err := s.awaitReady(recoveryTime); err != nil {
		s.reportViolation(recovered, "%v", err)
		return
	}
	for n, p := range s.hosts {
		s.checkHost(n, p.callers)
	}
	for _, r := range s.runners {
		if used := r.UsedTokens(); used != 0 {
			s.reportViolation(released, "runner %s still holds %d tokens", r.Options().ID, used)
		}
	}
}

// checkHost checks that a host knows the newest content of the store.
func (s *system) checkHost(n int, a identifier.Address) {
	ask := func(path string, accept func(runner string) bool) {
		o := outcome{id: identifier.Request(fmt.Sprintf("last-%d", n)), path: path, customer: declaredCustomers[0]}
		if k, err := connect(a); err == nil {
			k.exchange(&o, 0)
			k.close()
		}
		if o.status != http.StatusOK || !accept(o.runner) {
			s.reportViolation(recovered, "host %d returned status %d of runner %q on route %s", n, o.status, o.runner, path)
		}
	}
	removed := s.runners[removedRunner].Options().ID
	remains := func(runner string) bool { return runner != removed }
	ask(standin.ConfigPrefix(s.version), remains)
	ask("/quotes/", func(runner string) bool { return runner == "last-0" })
	for range lastLocks {
		ask("/locks/", remains)
	}
}

// unreadable are the log events of a message that a host could not read.
var unreadable = []string{"event=message-refused", "event=peer-refused", "event=listener-failed"}

// checkLogs checks that no host logged a message that it could not read.
func (s *system) checkLogs() {
	for _, p := range s.hosts {
		text, err := os.ReadFile(filepath.Join(s.options.Directory, p.logName()))
		if err != nil {
			s.reportViolation(readable, "host %d has no log: %v", p.number, err)
			continue
		}
		for line := range strings.Lines(string(text)) {
			if slices.ContainsFunc(unreadable, func(e string) bool { return strings.Contains(line, e) }) {
				s.reportViolation(readable, "host %d logged %s", p.number, line)
			}
		}
	}
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
	s.publish(standin.ConfigOptions{})
	for n, work := range plainWorks {
		for _, service := range []string{"desk", "counter"} {
			if err := s.startRunner(standin.RunnerOptions{ID: fmt.Sprintf("%s-%d", service, n), Service: service, Slots: s.slots(), Work: work}); err != nil {
				return err
			}
		}
	}
	for n := range decodeRunners {
		o := standin.RunnerOptions{
			ID: fmt.Sprintf("decode-%d", n), Service: "notes", Stage: "decode",
			Slots: s.slots(), Memory: runnerMemory, Work: eventWork, Events: streamEvents,
		}
		if err := s.startRunner(o); err != nil {
			return err
		}
	}
	if err := s.startRunner(standin.RunnerOptions{ID: "prefill-0", Service: "notes", Stage: "prefill", Slots: s.slots(), Memory: runnerMemory, Work: prefillWork, Events: streamEvents}); err != nil {
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
	s.work[r] = o.Work
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

// publish publishes the next version of the configuration.
func (s *system) publish(o standin.ConfigOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	o.Version, o.Memory, o.Customers = s.version, runnerMemory, declaredCustomers
	s.store.PutConfig(standin.ConfigWith(o))
}

// slots is the number of slots of each runner.
func (s *system) slots() int {
	return max(runnerSlots, s.options.Hosts)
}

func (s *system) awaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, p := range s.hosts {
		for !p.ready() {
			if s.group.Context().Err() != nil || time.Now().After(deadline) {
				return fmt.Errorf("host %d is not ready after %v, see %s", p.number, timeout, filepath.Join(s.options.Directory, p.logName()))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func (s *system) reportViolation(g guarantee, format string, args ...any) {
	s.report.Violations = append(s.report.Violations, Violation{Guarantee: g, Detail: fmt.Sprintf(format, args...)})
}
