// Package demonstrator shows the system at work and checks its promises on the
// way: stand-ins and entry hosts in one process, mixed traffic, one entry host
// killed and one stopped as planned while it flows.
//
// # Usage
//
//	summary, err := demonstrator.Run(ctx, demonstrator.Options{Duration: 10 * time.Second, Rate: 25, Log: log})
//	err = summary.WriteTable(os.Stdout)
//	if len(summary.Broken()) > 0 { os.Exit(3) }
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
	// settleTimeout is how long engines may take to be empty after the load.
	settleTimeout = 6 * time.Second
	settlePeriod  = 50 * time.Millisecond
	repeats       = 3
)

// Options of a demonstration.
type Options struct {
	// Duration in which calls are sent, and Rate in calls a second.
	Duration time.Duration
	Rate     float64
	Seed     uint64
	Log      *zap.Logger
	// Tell is told of each step; it may be nil.
	Tell func(step string)
}

// Run runs the demonstration. Its error means that it could not be carried
// out; broken promises are in the summary.
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

// demonstration is one run.
type demonstration struct {
	options Options
	system  *assembler.System
	stopErr error
}

func (d *demonstration) run(ctx context.Context) (*Summary, error) {
	made, err := newCaller(d.system, d.options.Seed)
	if err != nil {
		return nil, err
	}
	c := &countingCaller{Caller: made}
	d.tell("traffic starts: quotes, notes and price locks at six entry hosts")
	g := grouper.New(ctx)
	g.Go(d.disturb)
	report, err := loader.Run(ctx, loader.Settings{
		Mix:      loader.TamsuiMix(),
		Rate:     d.options.Rate,
		Duration: d.options.Duration,
		Seed:     d.options.Seed,
		Repeats:  repeats,
	}, c, answers{fleet: d.system.Fleet})
	if err != nil {
		return nil, err
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	d.settle(ctx)
	return d.summarize(report, int(c.twice.Load())), nil
}

// disturb kills one entry host and stops another one as planned.
func (d *demonstration) disturb(ctx context.Context) error {
	hosts := d.system.Hosts()
	if err := pause(ctx, d.options.Duration/3); err != nil {
		return err
	}
	d.tell("entry host " + string(hosts[0]) + " is killed")
	d.system.Host(hosts[0]).Kill()
	if err := pause(ctx, d.options.Duration/3); err != nil {
		return err
	}
	last := hosts[len(hosts)-1]
	d.tell("entry host " + string(last) + " stops as planned")
	return d.stop(ctx, last)
}

func (d *demonstration) stop(ctx context.Context, name identifier.Host) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	d.stopErr = d.system.Host(name).Stop(ctx)
	if d.stopErr == nil {
		d.tell("entry host " + string(name) + " has stopped")
	}
	return nil
}

// settle waits until no engine holds anything.
func (d *demonstration) settle(ctx context.Context) {
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) && piecesHeld(d.system.Site) > 0 {
		if pause(ctx, settlePeriod) != nil {
			return
		}
	}
}

func (d *demonstration) tell(step string) {
	if d.options.Tell != nil {
		d.options.Tell(step)
	}
}

func pause(ctx context.Context, wait time.Duration) error {
	return eris.Wrap(sleeper.Sleep(ctx, wait), "demonstration was interrupted")
}
