// Package demonstrator runs the system under mixed traffic in one process, with
// emulated endpoints. It kills one entry host and stops another one as planned
// while calls are in flight, and checks the system's promises.
//
// # Usage
//
//	summary, err := demonstrator.Run(ctx, demonstrator.Options{Duration: 10 * time.Second, Rate: 25, Log: log})
//	err = summary.WriteTable(os.Stdout)
//	if len(summary.BrokenPromises()) > 0 { os.Exit(3) }
package demonstrator

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/examples"
	"github.com/jackdawthread/jackdawthread/loader"
)

const (
	hostsPerDataCenter = 2
	readyTimeout       = 10 * time.Second
	stopTimeout        = 20 * time.Second
	// memoryReleaseTimeout bounds the wait for engines to release all memory after
	// the load.
	memoryReleaseTimeout = 6 * time.Second
	memoryPollPeriod     = 50 * time.Millisecond
	repeats              = 3
)

// Options configures a demonstration.
type Options struct {
	// Duration is the time in which calls are sent; Rate is in calls per second.
	Duration time.Duration
	Rate     float64
	Seed     uint64
	Log      *zap.Logger
	// OnStep receives a description of each step; it may be nil.
	OnStep func(step string)
}

// Run runs the demonstration. It returns an error if the demonstration could not be
// completed; broken promises are reported in the summary.
func Run(ctx context.Context, o Options) (*Summary, error) {
	s, err := assembler.Start(ctx, assembler.Options{
		Source:             examples.Tamsui,
		HostsPerDataCenter: hostsPerDataCenter,
		Engine:             emulator.RealisticEngineSettings(),
		Log:                o.Log,
	})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	if err := waitReady(ctx, s); err != nil {
		return nil, err
	}
	d := &demonstration{options: o, system: s}
	return d.run(ctx)
}

func waitReady(ctx context.Context, s *assembler.System) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return s.WaitReady(ctx)
}

// demonstration is the state of one run.
type demonstration struct {
	options Options
	system  *assembler.System
	stopErr error
}

func (d *demonstration) run(ctx context.Context) (*Summary, error) {
	clientCaller, err := newCaller(d.system, d.options.Seed)
	if err != nil {
		return nil, err
	}
	counter := &duplicateCounter{Caller: clientCaller}
	d.reportStep("traffic starts: quotes, notes and price locks at six entry hosts")
	g := grouper.New(ctx)
	g.Go(d.injectFaults)
	report, err := loader.Run(ctx, loader.Settings{
		Mix:      loader.TamsuiMix(),
		Rate:     d.options.Rate,
		Duration: d.options.Duration,
		Seed:     d.options.Seed,
		Repeats:  repeats,
	}, counter, expectedAnswers{fleet: d.system.Fleet})
	if err != nil {
		return nil, err
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	d.waitMemoryReleased(ctx)
	return d.summarize(report, int(counter.duplicates.Load())), nil
}

// injectFaults kills one entry host and stops another one as planned.
func (d *demonstration) injectFaults(ctx context.Context) error {
	hosts := d.system.Hosts()
	if err := sleep(ctx, d.options.Duration/3); err != nil {
		return err
	}
	d.reportStep("entry host " + string(hosts[0]) + " is killed")
	d.system.Host(hosts[0]).Kill()
	if err := sleep(ctx, d.options.Duration/3); err != nil {
		return err
	}
	last := hosts[len(hosts)-1]
	d.reportStep("entry host " + string(last) + " stops as planned")
	return d.stopHost(ctx, last)
}

func (d *demonstration) stopHost(ctx context.Context, name identifier.Host) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	d.stopErr = d.system.Host(name).Stop(ctx)
	if d.stopErr == nil {
		d.reportStep("entry host " + string(name) + " has stopped")
	}
	return nil
}

// waitMemoryReleased waits until no engine holds memory, or until
// memoryReleaseTimeout has passed.
func (d *demonstration) waitMemoryReleased(ctx context.Context) {
	deadline := time.Now().Add(memoryReleaseTimeout)
	for time.Now().Before(deadline) && piecesHeld(d.system.Site) > 0 {
		if sleep(ctx, memoryPollPeriod) != nil {
			return
		}
	}
}

func (d *demonstration) reportStep(step string) {
	if d.options.OnStep != nil {
		d.options.OnStep(step)
	}
}

func sleep(ctx context.Context, duration time.Duration) error {
	return eris.Wrap(sleeper.Sleep(ctx, duration), "demonstration was interrupted")
}
