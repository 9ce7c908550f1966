package isolator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/quarantiner"
)

const (
	// trialWait is how long a request on trial waits for its turn, and trialAskPeriod the time
	// until it asks the coordinating host again.
	trialWait      = 150 * time.Millisecond
	trialAskPeriod = 30 * time.Millisecond
	// coordinatorTimeout is how long that host may take to answer.
	coordinatorTimeout = 100 * time.Millisecond
	// lostTrialTime is how long a trial goes on after the end of its endpoint, so that a
	// verdict can be made before the next trial.
	lostTrialTime = quarantiner.SettleTime + 2*decidePeriod
	// maxTrialTime is the longest lease of a trial, for calls without a deadline too.
	maxTrialTime = 30 * time.Second
	// maxUncoordinated is the number of ends under a request up to which it is sent although
	// the coordinating host can't be reached.
	maxUncoordinated = 1
	// lastOneTime is how long after the end of an endpoint a request on trial isn't sent to
	// the last one of its service.
	lastOneTime = 6 * time.Second
	// trialRetryAfter is the Retry-After hint of a request whose turn didn't come, and
	// lastOneRetryAfter of one that would be sent to the last endpoint.
	trialRetryAfter   = time.Second
	lastOneRetryAfter = 2 * time.Second
)

// trial is a call that some of its traits are on trial for. Each of these has one call under way
// at this host, and each request as a whole one at all hosts together. A nil *trial has no
// effect.
type trial struct {
	isolator *Isolator
	id       uint64
	// parts and wholes are the traits on trial. The one that is coordinated between hosts is
	// the first of wholes.
	parts, wholes []identifier.Trait
	partsEnded    sync.Once
	ended         sync.Once
}

// beginTrial begins the trial of a call's traits that are on trial, once no other call with one of
// them is under way.
func (i *Isolator) beginTrial(ctx context.Context, c *Call, traits []identifier.Trait) error {
	timeout := time.NewTimer(trialWait)
	defer timeout.Stop()
	for {
		if err := i.Check(traits); err != nil {
			return err
		}
		t, ended := i.tryLocally(c)
		if t == nil && ended == nil {
			return nil
		}
		var again <-chan time.Time
		if t != nil {
			granted, err := i.tryTogether(ctx, c, t)
			if granted {
				c.trial = t
				return nil
			}
			t.end()
			if err != nil {
				return i.refuseTrial(c, err)
			}
			again = time.After(trialAskPeriod)
		}
		select {
		case <-ended:
		case <-again:
		case <-timeout.C:
			return i.refuseTrial(c, classifier.NotRun(classifier.ReasonQuarantined, classifier.Jitter(trialRetryAfter),
				"the request may end endpoints, and another one like it is under way"))
		case <-ctx.Done():
			return classifier.NotRun(classifier.ReasonCanceled, 0, "canceled before the call was sent: %w", context.Cause(ctx))
		}
	}
}

// tryLocally returns the trial of a call if none of this host's calls is one of a common trait. If
// one is, it returns a channel that is closed when a trial has ended. Both are nil if none of the
// call's traits is on trial.
func (i *Isolator) tryLocally(c *Call) (t *trial, ended <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	t = &trial{
		isolator: i,
		id:       rand.Uint64(),
		parts:    i.quarantiner.OnTrial(c.parts),
		wholes:   i.quarantiner.OnTrial(c.wholes),
	}
	if len(t.parts)+len(t.wholes) == 0 {
		return nil, nil
	}
	for _, all := range [][]identifier.Trait{t.parts, t.wholes} {
		for _, g := range all {
			if i.trials[g] {
				return nil, i.trialEnded
			}
		}
	}
	i.hold(t.parts)
	i.hold(t.wholes)
	return t, nil
}

// hold marks traits as on trial by a call of this host. The mutex must be held.
func (i *Isolator) hold(all []identifier.Trait) {
	for _, g := range all {
		i.trials[g] = true
	}
}

// release ends the trials of traits by a call of this host.
func (i *Isolator) release(all []identifier.Trait) {
	if len(all) == 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, g := range all {
		delete(i.trials, g)
	}
	close(i.trialEnded)
	i.trialEnded = make(chan struct{})
}

// tryTogether reports whether no other host has a call under way with the request's trait that is
// on trial. An error means that the request must not be sent for now.
func (i *Isolator) tryTogether(ctx context.Context, c *Call, t *trial) (granted bool, err error) {
	if len(t.wholes) == 0 {
		return true, nil
	}
	if i.wouldRiskLast(c) {
		return false, classifier.NotRun(classifier.ReasonQuarantined, classifier.Jitter(lastOneRetryAfter),
			"an endpoint ended under the request, and only one is left")
	}
	to, remote := i.coordinator(t.wholes[0])
	lease := leaseTime(ctx)
	if !remote {
		return i.grant(t.wholes[0], i.deps.Self, t.id, lease), nil
	}
	reply, err := i.ask(ctx, to, t, lease)
	switch {
	case err == nil:
		return reply.Granted, nil
	case i.endsUnder(t.wholes) <= maxUncoordinated:
		return true, nil
	default:
		return false, classifier.NotRun(classifier.ReasonQuarantined, classifier.Jitter(trialRetryAfter),
			"the request may end endpoints, and the host that coordinates its trial can't be reached: %w", err)
	}
}

// leaseTime returns how long a trial lasts at most.
func leaseTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxTrialTime
	}
	return min(maxTrialTime, max(0, time.Until(deadline))+lostTrialTime)
}

// wouldRiskLast reports whether no other endpoint than the call's is left after an end a short
// time ago.
func (i *Isolator) wouldRiskLast(c *Call) bool {
	if i.deps.Alternatives == nil {
		return false
	}
	alternatives := i.deps.Alternatives(c.at, c.phase)
	after := time.Now().Add(-lastOneTime)
	i.mu.Lock()
	defer i.mu.Unlock()
	last, ok := i.quarantiner.LastEnd(c.at.Service, c.phase)
	if !ok || last.Before(after) {
		return false
	}
	left := 0
	for _, e := range alternatives {
		if !i.quarantiner.Ended(e.Name, e.StartID, after) {
			left++
		}
	}
	return left <= 1
}

// endsUnder returns the number of ends under the traits, the most of any.
func (i *Isolator) endsUnder(all []identifier.Trait) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantiner.EndsUnder(all)
}

// coordinator returns the host that coordinates the trials of a trait, and whether that is
// another one.
func (i *Isolator) coordinator(t identifier.Trait) (to gossiper.Member, remote bool) {
	to, ok := i.deps.Members.View().FleetOwner(xxhash.Sum64String(string(t)))
	return to, ok && to.Incarnation != i.deps.Self
}

func (i *Isolator) ask(ctx context.Context, to gossiper.Member, t *trial, lease time.Duration) (peerwire.TrialReply, error) {
	ctx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	var reply peerwire.TrialReply
	err := i.deps.Links.Call(ctx, to.Address, peerwire.KindTrial, &peerwire.TrialRequest{
		Trait: string(t.wholes[0]), Trial: t.id, LeaseMs: lease.Milliseconds(),
	}, &reply)
	if err != nil {
		i.deps.Log.Info("trial-coordinator-unreachable", zap.String("trait", string(t.wholes[0])),
			zap.String("peer", string(to.Host)), zap.Error(err))
	}
	return reply, err
}

// refuseTrial records that a request on trial isn't sent.
func (i *Isolator) refuseTrial(c *Call, refusal error) error {
	i.mu.Lock()
	i.stats.HeldBack++
	i.mu.Unlock()
	i.deps.Log.Info("trial-refused", zap.String("request", string(c.request)), zap.String("endpoint", string(c.at.Name)), zap.Error(refusal))
	return refusal
}

// endParts ends the trials of the parts of the prompt.
func (t *trial) endParts() {
	if t == nil {
		return
	}
	t.partsEnded.Do(func() { t.isolator.release(t.parts) })
}

// end ends the trial.
func (t *trial) end() {
	t.endParts()
	if t == nil {
		return
	}
	t.ended.Do(func() {
		t.isolator.release(t.wholes)
		if len(t.wholes) > 0 {
			t.isolator.tellEnded(t)
		}
	})
}

// tellEnded tells the coordinating host that a trial has ended.
func (i *Isolator) tellEnded(t *trial) {
	to, remote := i.coordinator(t.wholes[0])
	if !remote {
		i.revoke(t.wholes[0], i.deps.Self, t.id)
		return
	}
	i.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, coordinatorTimeout)
		defer cancel()
		_ = i.deps.Links.Send(ctx, to.Address, peerwire.KindTrial, &peerwire.TrialRequest{
			Trait: string(t.wholes[0]), Trial: t.id, Ended: true,
		}) // the lease runs out otherwise
	})
}

// lease is a trial of which this host is the coordinator.
type lease struct {
	holder identifier.Incarnation
	id     uint64
	until  time.Time
}

// maxLeases bounds the trials that a host coordinates.
const maxLeases = 4096

// grant reports whether a host may have the trial of a trait, which then is no other's until it
// ends or the host is dead.
func (i *Isolator) grant(t identifier.Trait, holder identifier.Incarnation, id uint64, d time.Duration) bool {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, quarantined := i.quarantiner.Check([]identifier.Trait{t}, now); quarantined {
		return false
	}
	l, held := i.leases[t]
	if held && now.Before(l.until) && l.id != id && !i.dead(l.holder) {
		return false
	}
	if !held && len(i.leases) >= maxLeases {
		return false
	}
	i.leases[t] = lease{holder: holder, id: id, until: now.Add(d)}
	return true
}

// dead reports whether a host is known and taken for dead.
func (i *Isolator) dead(h identifier.Incarnation) bool {
	m, known := i.deps.Members.View().ByIncarnation(h)
	return known && m.State == gossiper.StateDead
}

// revoke ends the trial of a trait if the host holds it.
func (i *Isolator) revoke(t identifier.Trait, holder identifier.Incarnation, id uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if l := i.leases[t]; l.holder == holder && l.id == id {
		delete(i.leases, t)
	}
}

// dropLeases removes the leases that have run out. The mutex must be held.
func (i *Isolator) dropLeases(now time.Time) {
	for t, l := range i.leases {
		if now.After(l.until) {
			delete(i.leases, t)
		}
	}
}

// handleTrial answers another host that wants to begin a trial, or has ended one.
func (i *Isolator) handleTrial(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.TrialRequest
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed request for a trial: %w", err)
	}
	t := identifier.Trait(m.Trait)
	if !validTrait(m.Trait) || !quarantiner.IsRequest(t) || m.LeaseMs < 0 {
		return nil, malformed("request for a trial")
	}
	if m.Ended {
		i.revoke(t, from.Incarnation, m.Trial)
		return &peerwire.TrialReply{}, nil
	}
	d := min(maxTrialTime, time.Duration(min(m.LeaseMs, maxTrialTime.Milliseconds()))*time.Millisecond)
	return &peerwire.TrialReply{Granted: i.grant(t, from.Incarnation, m.Trial, d)}, nil
}
