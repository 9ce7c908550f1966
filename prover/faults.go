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

// hostsWhere returns the entry hosts whose data center satisfies match.
func (r *Run) hostsWhere(match func(identifier.DataCenter) bool) []identifier.Host {
	var names []identifier.Host
	for _, name := range r.System.Hosts() {
		if match(r.System.DataCenter(name)) {
			names = append(names, name)
		}
	}
	return names
}

// Kill terminates a host as a crash would.
func (r *Run) Kill(name identifier.Host) {
	r.System.Host(name).Kill()
}

// Restart restarts a host that has ended, as a new incarnation.
func (r *Run) Restart(name identifier.Host) error {
	if _, err := r.System.StartHost(name, r.System.DataCenter(name)); err != nil {
		return err
	}
	r.refreshHosts()
	return nil
}

// StopAndRestart stops a host as planned and starts it again.
func (r *Run) StopAndRestart(ctx context.Context, name identifier.Host) error {
	if err := r.System.Host(name).Stop(ctx); err != nil {
		return err
	}
	return r.Restart(name)
}

// Freeze blocks all traffic to and from a host.
func (r *Run) Freeze(name identifier.Host) {
	r.System.Faults.Freeze(name)
}

// Unfreeze ends a Freeze.
func (r *Run) Unfreeze(name identifier.Host) {
	r.System.Faults.Unfreeze(name)
}

// PartitionDataCenter separates the entry hosts of a data center from those of the
// others.
func (r *Run) PartitionDataCenter(dc identifier.DataCenter) {
	inside := r.hostsWhere(func(d identifier.DataCenter) bool { return d == dc })
	outside := r.hostsWhere(func(d identifier.DataCenter) bool { return d != dc })
	r.System.Faults.Partition(inside, outside)
}

// ResetCallerConnections closes the callers' connections to a host.
func (r *Run) ResetCallerConnections(name identifier.Host) {
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

// SetPlainLinksBlocked blocks or unblocks the traffic from a host to the plain
// services.
func (r *Run) SetPlainLinksBlocked(name identifier.Host, blocked bool) {
	for _, p := range r.System.Site.Plains() {
		r.System.Faults.SetFault(name, identifier.Host(p.Name()), faulter.Fault{Blocked: blocked})
	}
}

// clearFaults ends the faults of links, endpoints and the platform.
func (r *Run) clearFaults() {
	r.System.Faults.Heal()
	r.System.Site.Platform.SetDown(false)
	r.System.Site.Platform.SetMaxRevision(0)
	r.SetPlainFaults(emulator.PlainFaults{})
	r.SetEngineFaults(emulator.Faults{})
}

// InjectRandomFaults injects random faults, which may overlap, for the duration.
// Every host that it kills is restarted, unless ctx ends.
func (r *Run) InjectRandomFaults(ctx context.Context, duration time.Duration) error {
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		if err := sleeper.Sleep(ctx, r.randomDuration(100*time.Millisecond, time.Second)); err != nil {
			return err
		}
		if err := r.injectRandomFault(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) injectRandomFault(ctx context.Context) error {
	names := r.System.Hosts()
	name := names[r.randomInt(len(names))]
	defer r.recordRevisions()
	switch r.randomInt(12) {
	case 0:
		return r.killAndRestart(ctx, name)
	case 1:
		r.Freeze(name)
	case 2:
		r.Unfreeze(name)
	case 3:
		r.PartitionDataCenter(r.System.DataCenter(name))
	case 4:
		r.clearFaults()
	case 5:
		r.ResetCallerConnections(name)
	case 6:
		r.SetPlainFaults(r.randomPlainFaults())
	case 7:
		r.SetEngineFaults(r.randomEngineFaults())
	case 8:
		r.System.Site.Platform.SetDown(r.randomInt(2) == 0)
	case 11:
		r.System.Site.Platform.SetMaxRevision(identifier.Revision(r.randomInt(6)))
	case 9:
		return r.Publish()
	case 10:
		return r.PublishBroken()
	}
	return nil
}

func (r *Run) randomPlainFaults() emulator.PlainFaults {
	return emulator.PlainFaults{
		Refuse:      r.randomFloat() / 2,
		ResetBefore: r.randomFloat() / 4,
		ResetAfter:  r.randomFloat() / 4,
		Slow:        r.randomDuration(0, 2*time.Second),
	}
}

func (r *Run) randomEngineFaults() emulator.Faults {
	return emulator.Faults{
		FailAfterTokens: uint32(r.randomInt(200)),
		RepeatEvery:     r.randomInt(10),
		SwapEvery:       r.randomInt(100),
		StallExports:    r.randomInt(4) == 0,
		DropCancels:     r.randomInt(2) == 0,
		DropLoadReports: r.randomInt(4) == 0,
		SlowFactor:      1 + 3*r.randomFloat(),
	}
}

func (r *Run) killAndRestart(ctx context.Context, name identifier.Host) error {
	r.Kill(name)
	if err := sleeper.Sleep(ctx, r.randomDuration(0, 2*time.Second)); err != nil {
		return err
	}
	return r.Restart(name)
}
