package soaker

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/jackdawthread/jackdawthread/platform/standin"
)

const (
	// Times between two faults, and of a fault.
	shortestPause = 100 * time.Millisecond
	longestPause  = 900 * time.Millisecond
	shortestFault = 200 * time.Millisecond
	longestFault  = 3 * time.Second
	restartDelay  = 100 * time.Millisecond
)

func (s *site) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// play injects faults until the time is over; they overlap.
func (s *site) play() {
	end := time.Now().Add(s.options.Duration)
	faults := []func() (string, func(), func()){s.processFault, s.runnerWayFault, s.storeWayFault, s.runnerFault, s.change}
	healing := make(chan struct{}, 1000)
	running := 0
	for time.Now().Before(end) {
		name, begin, heal := faults[s.random.IntN(len(faults))]()
		lasts := s.between(shortestFault, longestFault)
		s.report.Faults = append(s.report.Faults, fmt.Sprintf("%s for %v", name, lasts.Round(time.Millisecond)))
		running++
		s.group.Run(func(context.Context) {
			begin()
			time.Sleep(lasts)
			heal()
			healing <- struct{}{}
		})
		time.Sleep(s.between(shortestPause, longestPause))
	}
	for range running {
		<-healing
	}
}

func nothing() {}

// processFault kills, pauses, stops or reloads one host. At most one host is
// down at a time by it, so that callers can be served.
func (s *site) processFault() (string, func(), func()) {
	p := s.hosts[s.random.IntN(len(s.hosts))]
	restart := func() {
		time.Sleep(restartDelay)
		_ = p.start() // a host that can't start is told by the checks
	}
	switch s.random.IntN(4) {
	case 0:
		return fmt.Sprintf("host %d killed", p.number), p.kill, restart
	case 1:
		return fmt.Sprintf("host %d paused", p.number), func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }
	case 2:
		return fmt.Sprintf("host %d stopped as planned", p.number), p.stop, restart
	default:
		return fmt.Sprintf("host %d reloaded", p.number), func() { p.signal(syscall.SIGHUP) }, nothing
	}
}

func (s *site) wayFault() wayFault {
	return []wayFault{wayDelayed, waySilent, wayOneWay, wayReset}[s.random.IntN(4)]
}

func (s *site) runnerWayFault() (string, func(), func()) {
	n, f := s.random.IntN(len(s.ways)), s.wayFault()
	w := s.ways[n]
	return fmt.Sprintf("way %d to runner %s", f, s.runners[n].Options().ID), func() { w.set(f) }, func() { w.set(wayClear) }
}

func (s *site) storeWayFault() (string, func(), func()) {
	n, f := s.random.IntN(len(s.storeWay)), s.wayFault()
	w := s.storeWay[n]
	return fmt.Sprintf("way %d of host %d to the store", f, n), func() { w.set(f) }, func() { w.set(wayClear) }
}

// runnerFault has a runner misbehave.
func (s *site) runnerFault() (string, func(), func()) {
	r := s.runners[s.random.IntN(len(s.runners))]
	kinds := []struct {
		name string
		set  func(o *standin.RunnerOptions, on bool)
	}{
		{"sheds", func(o *standin.RunnerOptions, on bool) { o.RejectAll = on }},
		{"loses answers", func(o *standin.RunnerOptions, on bool) { o.DropResponse = on }},
		{"is mute", func(o *standin.RunnerOptions, on bool) { o.Hang = on }},
		{"truncates", func(o *standin.RunnerOptions, on bool) { o.Truncate = on }},
		{"sends extra answers", func(o *standin.RunnerOptions, on bool) { o.ExtraResponse = on }},
		{"forgets handles", func(o *standin.RunnerOptions, on bool) { o.ExpireHandles = on }},
		{"breaks streams off", func(o *standin.RunnerOptions, on bool) {
			o.BreakAfter, o.HalfEvent = 0, on
			if on {
				o.BreakAfter = soakEvents / 2
			}
		}},
	}
	k := kinds[s.random.IntN(len(kinds))]
	set := func(on bool) func() {
		return func() { r.UpdateOptions(func(o *standin.RunnerOptions) { k.set(o, on) }) }
	}
	return fmt.Sprintf("runner %s %s", r.Options().ID, k.name), set(true), set(false)
}

// change has the operator or the runners' entries change.
func (s *site) change() (string, func(), func()) {
	if s.random.IntN(2) == 0 {
		return "new configuration", s.configureNow, nothing
	}
	r := s.runners[s.random.IntN(len(s.runners))]
	return fmt.Sprintf("runner %s lapses", r.Options().ID), r.Deregister, func() { r.Register("ready") }
}

func (s *site) configureNow() {
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.configure()
}

// heal ends all faults and starts what doesn't run.
func (s *site) heal() {
	for _, w := range append(s.ways, s.storeWay...) {
		w.set(wayClear)
	}
	for _, p := range s.hosts {
		p.signal(syscall.SIGCONT)
		_ = p.start() // told by the checks
	}
	for _, r := range s.runners {
		r.Register("ready")
	}
	s.configureNow()
}
