// Package isolator keeps requests that end model engines away from them. It connects
// package quarantiner, which decides, to the calls of this host and to other hosts.
//
// # Usage
//
//	i := isolator.New(isolator.Deps{...})
//	i.Register(messenger)
//	if err := i.Check(traits); err != nil { ... } // at arrival and before each send
//	c, err := i.Enter(ctx, request, quarantiner.PhaseDecode, traits) // before a call
//	defer c.Close()
//	c.Begun()       // the engine has begun to answer
//	c.Lost(engine)  // or it broke the call off before
//	c.Wrong(engine) // or its answer was wrong
//
// # What counts as the end of an engine
//
// A broken call alone is none: a connection may have been reset, or the run may have
// failed. Neither is a wrong answer, after which an engine may end as well. The engine must refuse connections, or its incarnation must no longer be
// registered a short time later. An engine that can't be reached isn't known to have
// ended.
//
// # Other hosts
//
// News of ends and verdicts reaches all hosts through package announcer.
package isolator

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/announcer"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/quarantiner"
	"github.com/jackdawthread/jackdawthread/timer"
)

const (
	// decidePeriod is the time between two decisions.
	decidePeriod = 50 * time.Millisecond
	// updatePeriod is the time between two removals of outdated state.
	updatePeriod = time.Second
	// connectTimeout is the timeout of the connection that shows whether an engine has
	// ended. If it doesn't show that, the engine's incarnation may be removed from the
	// registered ones for removalTimeout, which is checked at intervals of
	// removalCheckPeriod.
	connectTimeout     = 500 * time.Millisecond
	removalTimeout     = 5 * time.Second
	removalCheckPeriod = 100 * time.Millisecond
	// wrongAnswerDelay is the time in which an engine ends after a wrong answer, if it does.
	wrongAnswerDelay = 50 * time.Millisecond
	// trialWait is how long a request on trial waits for its turn.
	trialWait = 150 * time.Millisecond
	// lostTrialTime is how long a trial goes on after the end of its engine, so that a
	// verdict can be made before the next trial.
	lostTrialTime = quarantiner.SettleTime + 2*decidePeriod
	// trialRetryAfter is the Retry-After hint of a request whose turn didn't come.
	trialRetryAfter = time.Second
	// quarantineRetryAfter is the Retry-After hint of a quarantined request. The
	// quarantine lasts longer while such requests come.
	quarantineRetryAfter = quarantiner.QuietTime
)

// Engine is an incarnation of an engine.
type Engine struct {
	Name    identifier.Endpoint
	Address identifier.Address
	// StartID identifies the incarnation; 0 if unknown.
	StartID int64
}

// Deps are the dependencies of an Isolator.
type Deps struct {
	Self    identifier.Incarnation
	Members announcer.Members
	Links   announcer.Links
	// Connect opens a connection to an address, and closes or keeps it.
	Connect func(ctx context.Context, a identifier.Address) error
	// Connected reports whether an open connection shows that the process at an address
	// hasn't ended. It is optional.
	Connected func(a identifier.Address) bool
	// Registered reports whether the incarnation is still the one registered under its
	// name.
	Registered func(e Engine) bool
	Timer      *timer.Service
	Group      *grouper.Group
	Log        *zap.Logger
}

// Isolator checks and observes the calls to engines. It is safe for concurrent use. A nil
// *Isolator isolates nothing.
type Isolator struct {
	deps Deps

	mu          sync.Mutex
	quarantiner *quarantiner.Quarantiner
	// trials are the calls with a trait on trial that are under way, and trialEnded is
	// closed and replaced whenever one of them ends.
	trials     map[identifier.Trait]bool
	trialEnded chan struct{}
	stats      Stats
	refused    map[identifier.Trait]uint64

	announcer *announcer.Announcer
}

// New returns an Isolator and registers its timers.
func New(d Deps) *Isolator {
	i := &Isolator{
		deps:        d,
		quarantiner: quarantiner.New(),
		trials:      map[identifier.Trait]bool{},
		trialEnded:  make(chan struct{}),
		refused:     map[identifier.Trait]uint64{},
		announcer: announcer.New(announcer.Deps{
			Self: d.Self, Members: d.Members, Links: d.Links, Group: d.Group,
			Kind: peerwire.KindCrashNews, RelayKey: relayKey,
		}),
	}
	d.Timer.Every(decidePeriod, i.decide)
	d.Timer.Every(updatePeriod, i.update)
	d.Timer.Every(announcer.JoinPeriod, func(time.Time) { i.announcer.Join(i.learnFrom) })
	d.Timer.Every(announcer.SharePeriod, i.share)
	return i
}

// Override sets the traits that an operator has released from quarantine at this host
// or pinned in it.
func (i *Isolator) Override(released, pinned []identifier.Trait) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.quarantiner.Override(released, pinned)
}

// Check returns an error, with the verdict not-run, if the request must not be sent to an
// engine.
func (i *Isolator) Check(traits []identifier.Trait) error {
	if i == nil || len(traits) == 0 {
		return nil
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	g, quarantined := i.quarantiner.Check(traits, time.Now())
	if !quarantined {
		return nil
	}
	i.stats.Refused++
	i.refused[g]++
	return classifier.NotRun(classifier.ReasonQuarantined, quarantineRetryAfter, "trait %q of the prompt is quarantined, as engines ended when they began to answer requests with it", g)
}

// decide makes the verdicts that are due, and tells other hosts.
func (i *Isolator) decide(now time.Time) {
	i.mu.Lock()
	decided := i.quarantiner.Decide(now)
	begun := i.quarantiner.TakeBegun()
	i.stats.Verdicts += uint64(len(decided))
	i.mu.Unlock()
	for _, v := range decided {
		i.logVerdict(v, "own", now)
	}
	if len(decided) > 0 || len(begun) > 0 {
		i.tell(news{begun: begun, verdicts: decided})
	}
}

// logVerdict logs a new verdict. The source is "own" or the host that told of it.
func (i *Isolator) logVerdict(v quarantiner.Verdict, source string, now time.Time) {
	i.deps.Log.Warn("trait-quarantined",
		zap.String("trait", string(v.Trait)),
		zap.Stringer("phase", v.Phase),
		zap.String("source", source),
		zap.Duration("age", now.Sub(v.Since)),
		zap.Int("ends", v.Ends),
		zap.Int("requests", v.Requests),
		zap.Int("begun", v.Begun))
}

// update removes what is out of date.
func (i *Isolator) update(now time.Time) {
	i.mu.Lock()
	lapsed := i.quarantiner.Update(now)
	for _, g := range lapsed {
		delete(i.refused, g)
	}
	i.mu.Unlock()
	for _, g := range lapsed {
		i.deps.Log.Info("trait-quarantine-lapsed", zap.String("trait", string(g)))
	}
}

// reportEnd records and tells that an engine has ended before it began to answer a call.
func (i *Isolator) reportEnd(e quarantiner.End) {
	i.mu.Lock()
	isNews := i.quarantiner.AddEnd(e, time.Now())
	if isNews {
		i.stats.Ends++
	}
	i.mu.Unlock()
	if isNews {
		i.tell(news{ends: []quarantiner.End{e}})
	}
}

// refuses reports whether the engine's address refuses connections.
func (i *Isolator) refuses(ctx context.Context, e Engine) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return errors.Is(i.deps.Connect(ctx, e.Address), syscall.ECONNREFUSED)
}

// awaitRemoval waits until the incarnation is no longer registered, and reports whether
// that happens in time.
func (i *Isolator) awaitRemoval(ctx context.Context, e Engine) bool {
	ctx, cancel := context.WithTimeout(ctx, removalTimeout)
	defer cancel()
	for i.deps.Registered(e) {
		if sleeper.Sleep(ctx, removalCheckPeriod) != nil {
			return false
		}
	}
	return true
}
