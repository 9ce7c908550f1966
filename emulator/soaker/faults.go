package soaker

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/jackdawthread/jackdawthread/platform/standin"
)

const (
	// Bounds of the pause between two faults and of a fault's duration.
	minPause         = 100 * time.Millisecond
	maxPause         = 900 * time.Millisecond
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	restartDelay     = 100 * time.Millisecond
)

func (s *system) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// injectFaults injects faults for the configured duration; they may overlap.
func (s *system) injectFaults() {
	deadline := time.Now().Add(s.options.Duration)
	faults := []func() (string, func(), func()){s.processFault, s.runnerProxyFault, s.storeProxyFault, s.runnerFault, s.configurationFault}
	ended := make(chan struct{}, 1000)
	running := 0
	for time.Now().Before(deadline) {
		name, begin, end := faults[s.random.IntN(len(faults))]()
		duration := s.randomDuration(minFaultDuration, maxFaultDuration)
		s.report.Faults = append(s.report.Faults, fmt.Sprintf("%s for %v", name, duration.Round(time.Millisecond)))
		running++
		s.group.Run(func(context.Context) {
			begin()
			time.Sleep(duration)
			end()
			ended <- struct{}{}
		})
		time.Sleep(s.randomDuration(minPause, maxPause))
	}
	for range running {
		<-ended
	}
}

func noop() {}

// processFault kills, pauses, stops or reloads one host. Each fault takes down
// at most one host, so that the others can serve callers.
func (s *system) processFault() (string, func(), func()) {
	p := s.hosts[s.random.IntN(len(s.hosts))]
	restart := func() {
		time.Sleep(restartDelay)
		_ = p.start() // checkHosts reports a host that fails to start
	}
	switch s.random.IntN(4) {
	case 0:
		return fmt.Sprintf("host %d killed", p.number), p.kill, restart
	case 1:
		return fmt.Sprintf("host %d paused", p.number), func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }
	case 2:
		return fmt.Sprintf("host %d stopped gracefully", p.number), p.stop, restart
	default:
		return fmt.Sprintf("host %d reloaded", p.number), func() { p.signal(syscall.SIGHUP) }, noop
	}
}

func (s *system) randomProxyFault() proxyFault {
	return []proxyFault{faultDelay, faultDropBoth, faultDropToServer, faultReset}[s.random.IntN(4)]
}

func (s *system) runnerProxyFault() (string, func(), func()) {
	n, f := s.random.IntN(len(s.runnerProxies)), s.randomProxyFault()
	p := s.runnerProxies[n]
	return fmt.Sprintf("proxy fault %d to runner %s", f, s.runners[n].Options().ID), func() { p.setFault(f) }, func() { p.setFault(faultNone) }
}

func (s *system) storeProxyFault() (string, func(), func()) {
	n, f := s.random.IntN(len(s.storeProxies)), s.randomProxyFault()
	p := s.storeProxies[n]
	return fmt.Sprintf("proxy fault %d from host %d to the store", f, n), func() { p.setFault(f) }, func() { p.setFault(faultNone) }
}

// runnerFault makes a runner misbehave.
func (s *system) runnerFault() (string, func(), func()) {
	r := s.runners[s.random.IntN(len(s.runners))]
	kinds := []struct {
		name string
		set  func(o *standin.RunnerOptions, on bool)
	}{
		{"sheds", func(o *standin.RunnerOptions, on bool) { o.RejectAll = on }},
		{"drops responses", func(o *standin.RunnerOptions, on bool) { o.DropResponse = on }},
		{"hangs", func(o *standin.RunnerOptions, on bool) { o.Hang = on }},
		{"truncates", func(o *standin.RunnerOptions, on bool) { o.Truncate = on }},
		{"sends extra responses", func(o *standin.RunnerOptions, on bool) { o.ExtraResponse = on }},
		{"expires handles", func(o *standin.RunnerOptions, on bool) { o.ExpireHandles = on }},
		{"breaks off streams", func(o *standin.RunnerOptions, on bool) {
			o.BreakAfter, o.HalfEvent = 0, on
			if on {
				o.BreakAfter = streamEvents / 2
			}
		}},
	}
	k := kinds[s.random.IntN(len(kinds))]
	set := func(on bool) func() {
		return func() { r.UpdateOptions(func(o *standin.RunnerOptions) { k.set(o, on) }) }
	}
	return fmt.Sprintf("runner %s %s", r.Options().ID, k.name), set(true), set(false)
}

// configurationFault publishes a new configuration or deregisters a runner.
func (s *system) configurationFault() (string, func(), func()) {
	if s.random.IntN(2) == 0 {
		return "new configuration", s.publishConfiguration, noop
	}
	r := s.runners[s.random.IntN(len(s.runners))]
	return fmt.Sprintf("runner %s deregistered", r.Options().ID), r.Deregister, func() { r.Register("ready") }
}

func (s *system) publishConfiguration() {
	s.outcomeLog.mu.Lock()
	defer s.outcomeLog.mu.Unlock()
	s.publishNextVersion()
}

// endFaults ends all faults, restarts the hosts that are not running, registers
// all runners and publishes a new configuration.
func (s *system) endFaults() {
	for _, p := range append(s.runnerProxies, s.storeProxies...) {
		p.setFault(faultNone)
	}
	for _, p := range s.hosts {
		p.signal(syscall.SIGCONT)
		_ = p.start() // checkHosts reports a host that fails to start
	}
	for _, r := range s.runners {
		r.Register("ready")
	}
	s.publishConfiguration()
}
