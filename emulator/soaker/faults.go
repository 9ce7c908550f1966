package soaker

import (
	"cmp"
	"context"
	"syscall"
	"time"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/platform/standin"
)

const (
	// Bounds of the pause between two faults, for hostsPerFault hosts, and of a
	// fault's duration. The pause gets shorter with more hosts, up to maxFaultHosts.
	minPause         = 100 * time.Millisecond
	maxPause         = 700 * time.Millisecond
	hostsPerFault    = 4
	maxFaultHosts    = 60
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	minSilence       = 500 * time.Millisecond
	maxSilence       = 2500 * time.Millisecond
	// stopSilence is how long engines are silent during a planned stop, and silenceStep the
	// difference between the times at which that begins.
	stopSilence  = 1200 * time.Millisecond
	silenceStep  = 350 * time.Millisecond
	restartDelay = 100 * time.Millisecond
	// A slowed host runs for slowRun of each slowRun + slowStop.
	slowRun  = 20 * time.Millisecond
	slowStop = 80 * time.Millisecond
	// slowWorkFactor is how much longer a slow runner's work takes.
	slowWorkFactor = 8
	// askedPause is the pause that runners ask for.
	askedPause = 1500 * time.Millisecond
	// namedLimit is the number of requests a second that runners name as their limit, for
	// limitDuration: hosts have limitGrace to heed it.
	namedLimit    = 2.0
	limitDuration = 3 * limitGrace
	// maxSeries is the number of signals or changes in a series, seriesPause the
	// longest time between two.
	maxSeries   = 5
	seriesPause = 300 * time.Millisecond
	// largeFillers is the number of further routes of a large configuration.
	largeFillers = 1500
)

// injection is a fault that can be injected.
type injection struct {
	kind    faultKind
	subject string
	// inject starts the fault, waits for the duration and ends it.
	inject func(time.Duration)
	// lasts replaces the random duration, unless it is 0.
	lasts time.Duration
}

// lasting returns an injection of a fault with a beginning and an end.
func lasting(k faultKind, subject string, begin, end func()) injection {
	return injection{kind: k, subject: subject, inject: func(d time.Duration) {
		begin()
		time.Sleep(d)
		end()
	}}
}

func (s *system) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// injectFaults injects faults for the configured duration, or until ctx is canceled.
// They may overlap, but not with others of the same kind and subject.
func (s *system) injectFaults(ctx context.Context) {
	deadline := time.Now().Add(s.options.Duration)
	copies := grouper.New(ctx)
	copies.Run(func(ctx context.Context) { s.injectCopies(ctx, deadline) })
	families := []func() injection{
		s.processFault, s.processFault, s.linkFault, s.storeLinkFault, s.runnerFault,
		s.runnerFault, s.silence, s.membershipFault, s.configurationFault, s.storeFault,
	}
	ended := make(chan struct{})
	running := 0
	for ctx.Err() == nil && time.Now().Before(deadline) {
		f := families[s.random.IntN(len(families))]()
		duration := s.randomDuration(minFaultDuration, maxFaultDuration)
		pause := s.randomDuration(minPause, maxPause) * hostsPerFault / time.Duration(min(max(hostsPerFault, len(s.hosts)), maxFaultHosts))
		if !s.history.has(f.subject, time.Now(), time.Now(), f.kind) {
			running++
			finish := s.history.begin(f.kind, f.subject)
			s.group.Run(func(context.Context) {
				f.inject(cmp.Or(f.lasts, duration))
				finish()
				ended <- struct{}{}
			})
		}
		time.Sleep(pause)
	}
	for range running {
		<-ended
	}
	_ = copies.Wait() // its goroutine returns no error
}

// processFault kills, pauses, slows, stops or reloads one host. Each fault takes
// down at most one host, so that the others can serve callers.
func (s *system) processFault() injection {
	n := s.random.IntN(len(s.hosts))
	p := s.hosts[n]
	restart := func() {
		time.Sleep(restartDelay)
		_ = p.start() // checkHosts reports a host that fails to start
	}
	series := 1 + s.random.IntN(maxSeries)
	switch s.random.IntN(5) {
	case 0:
		return lasting(hostKilled, hostName(n), p.kill, restart)
	case 1:
		return lasting(hostPaused, hostName(n), func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
	case 2:
		if s.takesAlternative(hostStopped) {
			return s.stopBesideSilence(n, restart)
		}
		return lasting(hostStopped, hostName(n), p.stop, restart)
	case 3:
		return injection{kind: hostSlowed, subject: hostName(n), inject: p.slow}
	default:
		return injection{kind: hostReloaded, subject: hostName(n), inject: func(d time.Duration) {
			for range series {
				p.signal(syscall.SIGHUP)
				time.Sleep(d / maxSeries)
			}
		}}
	}
}

// stopBesideSilence stops a host gracefully while all engines that decode fall silent at a time of the
// stop that differs from one to the next.
func (s *system) stopBesideSilence(n int, restart func()) injection {
	offset := time.Duration(s.chosen[hostStopped]) * silenceStep % shortStopLimit
	return injection{kind: hostStopped, subject: hostName(n), inject: func(d time.Duration) {
		for _, r := range s.runners {
			if r.Options().Stage != "decode" {
				continue
			}
			s.group.Run(func(ctx context.Context) {
				if sleeper.Sleep(ctx, offset) != nil {
					return
				}
				finish := s.history.begin(runnerSilent, runnerName(r.Options().ID))
				defer finish()
				r.Silence(stopSilence)
				_ = sleeper.Sleep(ctx, stopSilence) // the end of the soak ends it early
			})
		}
		s.hosts[n].stop()
		time.Sleep(d)
		restart()
	}}
}

var linkFaults = map[proxyFault]faultKind{
	faultDelay:        linkDelayed,
	faultNarrow:       linkNarrow,
	faultDropBoth:     linkSilent,
	faultDropToServer: linkSilentOneWay,
	faultReset:        linkReset,
}

func (s *system) proxyFault(p *proxy, subject string) injection {
	drawn := []proxyFault{faultDelay, faultDropBoth, faultDropToServer, faultReset}
	f := drawn[s.random.IntN(len(drawn))]
	if f == faultDelay && s.takesAlternative(linkDelayed) {
		f = faultNarrow
	}
	return lasting(linkFaults[f], subject, func() { p.setFault(f) }, func() { p.setFault(faultNone) })
}

func (s *system) linkFault() injection {
	n := s.random.IntN(len(s.runnerProxies))
	return s.proxyFault(s.runnerProxies[n], linkName(s.runners[n].Options().ID))
}

func (s *system) storeLinkFault() injection {
	n := s.random.IntN(len(s.storeProxies))
	return s.proxyFault(s.storeProxies[n], "link to the store of "+hostName(n))
}

// runnerSetting turns a fault of a runner on or off.
type runnerSetting struct {
	kind faultKind
	set  func(o *standin.RunnerOptions, on bool)
	// lasts is the fault's duration; 0 means a random one.
	lasts time.Duration
}

// runnerFault makes a runner misbehave.
func (s *system) runnerFault() injection {
	r := s.runners[s.random.IntN(len(s.runners))]
	work := s.work[r]
	faults := []runnerSetting{
		{kind: runnerRejects, set: func(o *standin.RunnerOptions, on bool) { o.RejectAll = on }},
		{kind: runnerDrops, set: func(o *standin.RunnerOptions, on bool) { o.DropResponse = on }},
		{kind: runnerHangs, set: func(o *standin.RunnerOptions, on bool) { o.Hang = on }},
		{kind: runnerTruncates, set: func(o *standin.RunnerOptions, on bool) { o.Truncate = on }},
		{kind: runnerSendsExtra, set: func(o *standin.RunnerOptions, on bool) { o.ExtraResponse = on }},
		{kind: runnerExpires, set: func(o *standin.RunnerOptions, on bool) { o.ExpireHandles = on }},
		{kind: runnerBreaks, set: breakStreams},
		{kind: runnerSlow, set: func(o *standin.RunnerOptions, on bool) {
			o.Work = work
			if on {
				o.Work *= slowWorkFactor
			}
		}},
		{kind: runnerAsksPause, set: func(o *standin.RunnerOptions, on bool) {
			o.Pause = 0
			if on {
				o.Pause = askedPause
			}
		}},
	}
	f := s.alternate(faults[s.random.IntN(len(faults))])
	set := func(on bool) func() {
		return func() { r.UpdateOptions(func(o *standin.RunnerOptions) { f.set(o, on) }) }
	}
	i := lasting(f.kind, runnerName(r.Options().ID), set(true), set(false))
	i.lasts = f.lasts
	return i
}

// breakStreams makes a runner break off streams in the middle of an event.
func breakStreams(o *standin.RunnerOptions, on bool) {
	o.BreakAfter, o.HalfEvent = 0, on
	if on {
		o.BreakAfter = streamEvents / 2
	}
}

// sendBroken makes a runner send broken answers.
func sendBroken(o *standin.RunnerOptions, on bool) {
	o.Raw = nil
	if on {
		o.Raw = standin.BrokenAnswers
	}
}

// nameLimit makes a runner name a limit.
func nameLimit(o *standin.RunnerOptions, on bool) {
	o.Limit = 0
	if on {
		o.Limit = namedLimit
	}
}

// alternatives are faults that replace every second one of a kind. They are not drawn at
// random, so that the faults of the regression seeds stay in their order.
var alternatives = map[faultKind]runnerSetting{
	runnerBreaks: {kind: runnerBreaksUnframed, set: func(o *standin.RunnerOptions, on bool) {
		breakStreams(o, on)
		o.Unframed = on
	}},
	runnerTruncates: {kind: runnerSendsBroken, set: sendBroken},
	runnerDrops:     {kind: runnerAnswersEarly, set: func(o *standin.RunnerOptions, on bool) { o.Early = on }},
	runnerHangs:     {kind: runnerEndless, set: func(o *standin.RunnerOptions, on bool) { o.Endless = on }},
	runnerSlow:      {kind: runnerLimits, set: nameLimit, lasts: limitDuration},
}

// alternate returns f, or its alternative if f was chosen the last time. Every second
// seed begins with the alternative.
func (s *system) alternate(f runnerSetting) runnerSetting {
	other, ok := alternatives[f.kind]
	if !ok {
		return f
	}
	if !s.takesAlternative(f.kind) {
		return f
	}
	return other
}

// takesAlternative reports whether an alternative replaces a fault of a kind that is injected now.
func (s *system) takesAlternative(k faultKind) bool {
	s.chosen[k]++
	return (s.chosen[k]+s.options.Seed)%2 != 0
}

// silence makes a runner send nothing for a while; its connections stay open.
func (s *system) silence() injection {
	r := s.runners[s.random.IntN(len(s.runners))]
	d := s.randomDuration(minSilence, maxSilence)
	return injection{kind: runnerSilent, subject: runnerName(r.Options().ID), inject: func(time.Duration) {
		r.Silence(d)
		time.Sleep(d)
	}}
}

// membershipFault deregisters a runner, or makes it announce that it leaves.
// Either returns, the latter as a new incarnation.
func (s *system) membershipFault() injection {
	r := s.runners[s.random.IntN(len(s.runners))]
	subject := runnerName(r.Options().ID)
	if s.random.IntN(2) == 0 {
		return lasting(runnerDeregistered, subject, r.Deregister, func() { r.Register("ready") })
	}
	return injection{kind: runnerLeaves, subject: subject, inject: func(d time.Duration) {
		r.UpdateOptions(func(o *standin.RunnerOptions) { o.Leaving = true })
		time.Sleep(leavingDelay + d)
		r.Restart()
	}}
}

// configurationFault publishes a series of configurations, large ones in quick succession.
func (s *system) configurationFault() injection {
	var versions []standin.ConfigOptions
	for range 1 + s.random.IntN(maxSeries) {
		versions = append(versions, s.randomConfiguration())
	}
	pause := s.randomDuration(0, seriesPause)
	if pause < seriesPause/3 {
		for n := range versions {
			versions[n].Fillers = largeFillers
		}
	}
	return injection{kind: configurationSent, subject: "configuration", inject: func(time.Duration) {
		for _, o := range versions {
			s.publish(o)
			time.Sleep(pause)
		}
	}}
}

func (s *system) randomConfiguration() standin.ConfigOptions {
	return standin.ConfigOptions{
		IdleTimeout:   []time.Duration{400 * time.Millisecond, time.Second, 3 * time.Second, 15 * time.Second}[s.random.IntN(4)],
		MaxBodyBytes:  []int{1000, 100_000}[s.random.IntN(2)],
		QuotesService: []string{"desk", "counter"}[s.random.IntN(2)],
		Extras:        s.random.IntN(2) == 0,
	}
}

// storeFault restores the store from a copy. What was written since the copy is
// written again after a while.
func (s *system) storeFault() injection {
	absence := s.randomDuration(0, maxRewriteDelay)
	return injection{kind: storeRestored, subject: "store", inject: func(d time.Duration) {
		snapshot := s.store.Snapshot()
		time.Sleep(d)
		s.store.Restore(snapshot)
		time.Sleep(absence)
		s.store.Rewrite("servers/")
		s.store.Rewrite("op/")
	}}
}

// endFaults ends all faults, restarts the hosts that are not running, registers
// all runners and publishes the last configuration.
func (s *system) endFaults() error {
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
	s.store.Rewrite("")
	// Hosts with the newest content of the store don't use the runner that is
	// removed, and only they can serve quotes, by the one that is added.
	s.runners[removedRunner].Deregister()
	if err := s.startRunner(standin.RunnerOptions{ID: "last-0", Service: lastService, Slots: 6, Work: plainWork}); err != nil {
		return err
	}
	s.publish(standin.ConfigOptions{QuotesService: lastService})
	return nil
}
