package isolator

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/quarantiner"
)

// Call is a call to an engine that hasn't begun to answer it. Its methods may be called
// in any order and more than once; what comes after the first Begun, Lost, Wrong or Close has no
// effect. A nil *Call has no effect either.
type Call struct {
	isolator *Isolator
	phase    quarantiner.Phase
	call     quarantiner.Call
	// onTrial are the traits whose trial the call is.
	onTrial []identifier.Trait
	settled sync.Once
}

// Enter returns a call that may be sent now. If a trait of the prompt is on trial, it
// waits until no other call of this host is. Its error has the verdict not-run.
func (i *Isolator) Enter(ctx context.Context, request identifier.Request, p quarantiner.Phase, traits []identifier.Trait) (*Call, error) {
	if i == nil || len(traits) == 0 {
		return nil, nil
	}
	c := &Call{isolator: i, phase: p, call: quarantiner.Call{Request: request, Traits: traits}}
	timeout := time.NewTimer(trialWait)
	defer timeout.Stop()
	for {
		if err := i.Check(traits); err != nil {
			return nil, err
		}
		ended, entered := i.tryEnter(c)
		if entered {
			return c, nil
		}
		select {
		case <-ended:
		case <-timeout.C:
			return nil, i.refuseTrial(request)
		case <-ctx.Done():
			return nil, classifier.NotRun(classifier.ReasonCanceled, 0, "canceled before the call was sent: %w", context.Cause(ctx))
		}
	}
}

// tryEnter begins the trial of a call's traits, if there are any. If it can't, it
// returns a channel that is closed when another trial has ended.
func (i *Isolator) tryEnter(c *Call) (ended <-chan struct{}, entered bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	onTrial := i.quarantiner.OnTrial(c.call.Traits)
	for _, g := range onTrial {
		if i.trials[g] {
			return i.trialEnded, false
		}
	}
	for _, g := range onTrial {
		i.trials[g] = true
	}
	c.onTrial = onTrial
	return nil, true
}

func (i *Isolator) refuseTrial(request identifier.Request) error {
	i.mu.Lock()
	i.stats.HeldBack++
	i.mu.Unlock()
	i.deps.Log.Info("trial-refused", zap.String("request", string(request)))
	return classifier.NotRun(classifier.ReasonQuarantined, classifier.Jitter(trialRetryAfter), "a trait of the prompt may end engines, and another request with it is under way")
}

// endTrial ends the trial of the call's traits.
func (c *Call) endTrial() {
	i := c.isolator
	if len(c.onTrial) == 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, g := range c.onTrial {
		delete(i.trials, g)
	}
	close(i.trialEnded)
	i.trialEnded = make(chan struct{})
}

// Begun records that the engine has begun to answer.
func (c *Call) Begun() {
	if c == nil {
		return
	}
	c.settled.Do(func() {
		i := c.isolator
		i.mu.Lock()
		i.quarantiner.Begun(c.phase, c.call.Traits, time.Now())
		i.mu.Unlock()
		c.endTrial()
	})
}

// Lost records that the engine broke the call off before it began to answer. If the
// engine turns out to have ended, the call is part of that end.
func (c *Call) Lost(e Engine) {
	if c == nil {
		return
	}
	c.settled.Do(func() {
		at := time.Now()
		c.isolator.deps.Group.Run(func(ctx context.Context) { c.examine(ctx, e, at) })
	})
}

// Wrong records that the engine's answer was wrong, as from the head on, or an error. If the
// engine has ended after it, the call is part of that end.
func (c *Call) Wrong(e Engine) {
	if c == nil {
		return
	}
	c.settled.Do(func() {
		at := time.Now()
		c.isolator.deps.Group.Run(func(ctx context.Context) { c.examineAnswered(ctx, e, at) })
	})
}

// examineAnswered finds out whether the engine of a wrong answer has ended. Most haven't, so
// that no connection is opened if one is still open.
func (c *Call) examineAnswered(ctx context.Context, e Engine, at time.Time) {
	connected := c.isolator.deps.Connected
	if sleeper.Sleep(ctx, wrongAnswerDelay) != nil || connected != nil && connected(e.Address) {
		c.endTrial()
		return
	}
	c.examine(ctx, e, at)
}

// examine finds out whether the engine of a lost call has ended. If its address refuses
// connections, the trial goes on until the evidence has settled; else it ends.
func (c *Call) examine(ctx context.Context, e Engine, at time.Time) {
	if c.isolator.refuses(ctx, e) {
		c.reportEnd(e, at, "connection-refused")
		c.isolator.deps.Timer.After(lostTrialTime, func(time.Time) { c.endTrial() })
		return
	}
	c.endTrial()
	if !c.isolator.awaitRemoval(ctx, e) {
		c.isolator.deps.Log.Info("engine-end-not-confirmed", c.logFields(e, at)...)
		return
	}
	c.reportEnd(e, at, "not-registered")
}

// reportEnd reports that the engine has ended at a time, as the evidence shows.
func (c *Call) reportEnd(e Engine, at time.Time, evidence string) {
	c.isolator.deps.Log.Warn("engine-ended-under-request", append(c.logFields(e, at), zap.String("evidence", evidence))...)
	c.isolator.reportEnd(quarantiner.End{Engine: e.Name, StartID: e.StartID, Phase: c.phase, At: at, Calls: []quarantiner.Call{c.call}})
}

func (c *Call) logFields(e Engine, at time.Time) []zap.Field {
	return []zap.Field{
		zap.String("request", string(c.call.Request)),
		zap.String("endpoint", string(e.Name)),
		zap.Int64("started", e.StartID),
		zap.Stringer("phase", c.phase),
		zap.Duration("age", time.Since(at)),
		zap.Strings("traits", identifier.TraitStrings(c.call.Traits)),
	}
}

// Close records that the call has ended in another way.
func (c *Call) Close() {
	if c == nil {
		return
	}
	c.settled.Do(c.endTrial)
}
