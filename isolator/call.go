package isolator

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/quarantiner"
)

// Call is a call to an endpoint. Settle, or another method that records its end, must follow;
// what comes after the first of them has no effect. A nil *Call has no effect either.
type Call struct {
	isolator *Isolator
	at       Engine
	phase    quarantiner.Phase
	request  identifier.Request
	// parts are the parts of the prompt that other requests may share, and wholes the traits
	// of the request as a whole.
	parts, wholes []identifier.Trait
	// trial is the call's trial; nil if none of its traits is on trial.
	trial *trial
	// examined is closed once it is known whether the endpoint has ended.
	examined chan struct{}

	// begun is set once the engine has begun to answer, and settled at the call's end. The
	// isolator's mutex guards them.
	begun, settled bool
}

// Enter returns a call that may be sent now. If a trait of the request is on trial, it waits until
// no other call with it is under way. Its error has the verdict not-run.
func (i *Isolator) Enter(ctx context.Context, at Engine, p quarantiner.Phase, request identifier.Request, traits []identifier.Trait) (*Call, error) {
	if i == nil || len(traits) == 0 {
		return nil, nil
	}
	c := &Call{isolator: i, at: at, phase: p, request: request, examined: make(chan struct{})}
	for _, t := range traits {
		if quarantiner.IsRequest(t) {
			c.wholes = append(c.wholes, t)
		} else {
			c.parts = append(c.parts, t)
		}
	}
	i.awaitJoined(ctx)
	if err := i.beginTrial(ctx, c, traits); err != nil {
		return nil, err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.underWay[at.Name]++
	return c, nil
}

// Begun records that the engine has begun to answer, which spares the parts of the prompt.
func (c *Call) Begun() {
	if c == nil {
		return
	}
	i := c.isolator
	i.mu.Lock()
	first := !c.begun && !c.settled
	if first {
		c.begun = true
		i.quarantiner.Begun(c.phase, c.parts, time.Now())
	}
	i.mu.Unlock()
	if first {
		c.trial.endParts()
	}
}

// Settle records the end of the call. The context is the caller's: if it has ended, this host
// has broken the call off. If the endpoint broke it off, Settle waits for a short time until it is
// known whether the endpoint has ended: a retry then knows what is on trial.
func (c *Call) Settle(ctx context.Context, err error) {
	switch {
	case err == nil:
		c.Completed()
	case ctx.Err() != nil:
		c.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		c.Unreachable()
	case BrokenOff(err):
		c.Lost()
		c.awaitExamined(ctx)
	case classifier.Of(err).Reason == classifier.ReasonEndpointFailed:
		c.Wrong()
	default:
		c.Close()
	}
}

// BrokenOff reports whether a call failed since its connection ended, which may be the end of its
// endpoint.
func BrokenOff(err error) bool {
	c := classifier.Of(err)
	return c != nil && c.Reason == classifier.ReasonEndpointFailed && c.Verdict != classifier.VerdictRan && c.Cause != nil
}

// settle reports whether this is the call's end. It was under way at its endpoint until now.
func (c *Call) settle() bool {
	if c == nil {
		return false
	}
	i := c.isolator
	i.mu.Lock()
	defer i.mu.Unlock()
	if c.settled {
		return false
	}
	c.settled = true
	i.underWay[c.at.Name]--
	if i.underWay[c.at.Name] <= 0 {
		delete(i.underWay, c.at.Name)
	}
	return true
}

// Completed records that the answer was complete. If the endpoint goes on, it has spared the
// request.
func (c *Call) Completed() {
	c.Begun()
	if c.settle() {
		c.isolator.await(c, true)
	}
}

// Prefilled records that the engine has processed the prompt, which spares its parts.
func (c *Call) Prefilled() {
	c.Begun()
	if c.settle() {
		c.isolator.await(c, false)
	}
}

// Close records that the call has ended in another way, such as canceled or refused. If its endpoint
// ends within a short time, the call is part of that.
func (c *Call) Close() {
	if c.settle() {
		c.isolator.await(c, false)
	}
}

// Unreachable records that the endpoint refused the connection, so that it has ended before.
func (c *Call) Unreachable() {
	if !c.settle() {
		return
	}
	c.trial.end()
	c.isolator.reportEnd(quarantiner.End{Service: c.at.Service, Engine: c.at.Name, StartID: c.at.StartID, Phase: c.phase, At: time.Now()})
}

// Lost records that the endpoint broke the call off. If it turns out to have ended, the call
// is part of that end.
func (c *Call) Lost() {
	if !c.settle() {
		return
	}
	at := time.Now()
	c.isolator.deps.Group.Run(func(ctx context.Context) { c.examine(ctx, at) })
}

// Wrong records that the endpoint's answer was wrong, as from the head on, or an error. If
// the endpoint has ended after it, the call is part of that end.
func (c *Call) Wrong() {
	if !c.settle() {
		return
	}
	at := time.Now()
	c.isolator.deps.Group.Run(func(ctx context.Context) { c.examineAnswered(ctx, at) })
}

// awaitExamined waits, for a short time, until it is known whether the endpoint of a lost call has
// ended.
func (c *Call) awaitExamined(ctx context.Context) {
	if c == nil {
		return
	}
	timeout := time.NewTimer(examinedTimeout)
	defer timeout.Stop()
	select {
	case <-c.examined:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// examineAnswered finds out whether the endpoint of a wrong answer has ended. Most haven't, so
// that no connection is opened if one is still open.
func (c *Call) examineAnswered(ctx context.Context, at time.Time) {
	if sleeper.Sleep(ctx, wrongAnswerDelay) != nil || c.isolator.connected(c.at) {
		close(c.examined)
		c.trial.end()
		return
	}
	c.examine(ctx, at)
}

// examine finds out whether the endpoint of a lost call has ended. If its address refuses
// connections, the trial goes on until the evidence has settled; else it ends.
func (c *Call) examine(ctx context.Context, at time.Time) {
	refuses := c.isolator.refuses(ctx, c.at)
	if refuses {
		c.reportEnd(at, "connection-refused")
	}
	close(c.examined)
	if refuses {
		return
	}
	c.trial.end()
	if !c.isolator.awaitRemoval(ctx, c.at) {
		c.isolator.deps.Log.Info("engine-end-not-confirmed", c.logFields(at)...)
		return
	}
	c.reportEnd(at, "not-registered")
}

// suspects returns the traits that may be why the endpoint has ended.
func (c *Call) suspects() []identifier.Trait {
	c.isolator.mu.Lock()
	defer c.isolator.mu.Unlock()
	if c.begun {
		return c.wholes
	}
	return append(c.parts[:len(c.parts):len(c.parts)], c.wholes...)
}

// reportEnd reports that the endpoint has ended at a time, as the evidence shows. The trial goes on
// until a verdict can have been made.
func (c *Call) reportEnd(at time.Time, evidence string) {
	i := c.isolator
	i.deps.Log.Warn("engine-ended-under-request", append(c.logFields(at), zap.String("evidence", evidence))...)
	i.reportEnd(quarantiner.End{
		Service: c.at.Service, Engine: c.at.Name, StartID: c.at.StartID, Phase: c.phase, At: at,
		Calls: []quarantiner.Call{{Request: c.request, Traits: c.suspects()}},
	})
	i.deps.Timer.After(lostTrialTime, func(time.Time) { c.trial.end() })
}

func (c *Call) logFields(at time.Time) []zap.Field {
	return []zap.Field{
		zap.String("request", string(c.request)),
		zap.String("endpoint", string(c.at.Name)),
		zap.Int64("started", c.at.StartID),
		zap.Stringer("phase", c.phase),
		zap.Duration("age", time.Since(at)),
		zap.Strings("traits", identifier.TraitStrings(c.suspects())),
	}
}
