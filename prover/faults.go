package prover

import (
	"context"
	"time"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/faulter"
)

// hostNames gives the entry hosts of the data centers for which in holds.
func (r *Run) hostNames(in func(identifier.DataCenter) bool) []identifier.Host {
	var names []identifier.Host
	for _, name := range r.System.Hosts() {
		if in(r.System.DataCenter(name)) {
			names = append(names, name)
		}
	}
	return names
}

// Kill ends a host as a crash would.
func (r *Run) Kill(name identifier.Host) {
	r.System.Host(name).Kill()
}

// Restart starts a host that was killed; it is another incarnation.
func (r *Run) Restart(name identifier.Host) error {
	if _, err := r.System.StartHost(name, r.System.DataCenter(name)); err != nil {
		return err
	}
	r.learnHosts()
	return nil
}

// StopAndRestart stops a host as planned and starts it again.
func (r *Run) StopAndRestart(ctx context.Context, name identifier.Host) error {
	if err := r.System.Host(name).Stop(ctx); err != nil {
		return err
	}
	return r.Restart(name)
}

// Freeze holds everything that a host sends and gets.
func (r *Run) Freeze(name identifier.Host) {
	r.System.Faults.Freeze(name)
}

// Thaw ends a Freeze.
func (r *Run) Thaw(name identifier.Host) {
	r.System.Faults.Thaw(name)
}

// CutOff separates the entry hosts of a data center from those of the others.
func (r *Run) CutOff(dc identifier.DataCenter) {
	inside := r.hostNames(func(d identifier.DataCenter) bool { return d == dc })
	outside := r.hostNames(func(d identifier.DataCenter) bool { return d != dc })
	r.System.Faults.Cut(inside, outside)
}

// Disconnect breaks the callers' connections to a host.
func (r *Run) Disconnect(name identifier.Host) {
	r.System.Faults.Reset(assembler.CallerHost, name)
}

// SetPlainFaults sets the faults of all instances of plain services.
func (r *Run) SetPlainFaults(f emulator.PlainFaults) {
	for _, p := range r.System.Site.Plains() {
		p.SetFaults(f)
	}
}

// SetEngineFaults sets the faults of all engines.
func (r *Run) SetEngineFaults(f emulator.Faults) {
	for _, e := range r.System.Site.Engines() {
		e.SetFaults(f)
	}
}

// SetLinks holds, or lets through, what a host sends to the plain services.
func (r *Run) SetLinks(name identifier.Host, held bool) {
	for _, p := range r.System.Site.Plains() {
		r.System.Faults.SetFault(name, identifier.Host(p.Name()), faulter.Fault{Blocked: held})
	}
}

// healAll ends the faults of links, endpoints and the platform.
func (r *Run) healAll() {
	r.System.Faults.Heal()
	r.System.Site.Platform.SetDown(false)
	r.System.Site.Platform.SetMaxRevision(0)
	r.SetPlainFaults(emulator.PlainFaults{})
	r.SetEngineFaults(emulator.Faults{})
}

// Mix injects faults drawn at random, some of them at once, for the duration.
// Hosts that were killed run again afterwards.
func (r *Run) Mix(ctx context.Context, duration time.Duration) error {
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		if err := sleeper.Sleep(ctx, r.drawDuration(100*time.Millisecond, time.Second)); err != nil {
			return err
		}
		if err := r.injectOne(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) injectOne(ctx context.Context) error {
	names := r.System.Hosts()
	name := names[r.draw(len(names))]
	defer r.observeRevisions()
	switch r.draw(12) {
	case 0:
		return r.killFor(ctx, name)
	case 1:
		r.Freeze(name)
	case 2:
		r.Thaw(name)
	case 3:
		r.CutOff(r.System.DataCenter(name))
	case 4:
		r.healAll()
	case 5:
		r.Disconnect(name)
	case 6:
		r.SetPlainFaults(r.drawPlainFaults())
	case 7:
		r.SetEngineFaults(r.drawEngineFaults())
	case 8:
		r.System.Site.Platform.SetDown(r.draw(2) == 0)
	case 11:
		r.System.Site.Platform.SetMaxRevision(identifier.Revision(r.draw(6)))
	case 9:
		return r.Publish()
	case 10:
		return r.PublishBroken()
	}
	return nil
}

func (r *Run) drawPlainFaults() emulator.PlainFaults {
	return emulator.PlainFaults{
		Refuse:      r.drawShare() / 2,
		ResetBefore: r.drawShare() / 4,
		ResetAfter:  r.drawShare() / 4,
		Slow:        r.drawDuration(0, 2*time.Second),
	}
}

func (r *Run) drawEngineFaults() emulator.Faults {
	return emulator.Faults{
		FailAfterTokens: uint32(r.draw(200)),
		RepeatEvery:     r.draw(10),
		SwapEvery:       r.draw(100),
		StallExports:    r.draw(4) == 0,
		DropCancels:     r.draw(2) == 0,
		DropLoadReports: r.draw(4) == 0,
		SlowFactor:      1 + 3*r.drawShare(),
	}
}

func (r *Run) killFor(ctx context.Context, name identifier.Host) error {
	r.Kill(name)
	if err := sleeper.Sleep(ctx, r.drawDuration(0, 2*time.Second)); err != nil {
		return err
	}
	return r.Restart(name)
}
