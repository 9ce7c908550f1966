// Package isolator keeps requests that end endpoints away from them. It connects package
// quarantiner, which decides, to the calls of this host and to other hosts.
//
// # Usage
//
//	i := isolator.New(isolator.Deps{...})
//	i.Register(messenger)
//	if err := i.Check(traits); err != nil { ... } // at arrival and before each send
//	c, err := i.Enter(ctx, endpoint, quarantiner.PhaseDecode, request, traits) // before a call
//	c.Begun()          // an engine has begun to answer
//	c.Settle(ctx, err) // the call has ended
//
// # What counts as the end of an endpoint
//
// A broken call alone is none: a connection may have been reset, or the run may have failed.
// Neither is a wrong answer, or a complete one, after which an endpoint may end as well. The endpoint
// must refuse connections, or its incarnation must no longer be registered a short time later.
// An endpoint that can't be reached isn't known to have ended. A call whose answer was complete is
// part of an end that follows within a short time, whichever call or host finds out.
//
// # Trials
//
// Until a verdict, a request under which endpoints have ended is sent to one endpoint at a time by
// all hosts together: the host that the trait's hash selects coordinates that. It isn't sent
// to the last endpoint of its service that is left.
//
// # Other hosts
//
// News of ends and verdicts reaches all hosts through package announcer.
package isolator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/announcer"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/deduper"
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
	// rejoinTime is how long a host that starts asks others for what they know.
	rejoinTime = 4 * time.Second
	// examinedTimeout is how long Settle waits for what is known of the endpoint.
	examinedTimeout = 50 * time.Millisecond
	// quarantineRetryAfter is the Retry-After hint of a quarantined request. The
	// quarantine lasts longer while such requests come.
	quarantineRetryAfter = quarantiner.QuietTime
)

// Engine is an incarnation of an endpoint.
type Engine struct {
	Service identifier.Service
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
	// Idle returns the number of idle connections to an address that are open. It is optional:
	// without it, only news and calls on trial tell of an end after a complete answer.
	Idle func(a identifier.Address) int
	// Alternatives returns the registered endpoints that may get the same calls as e, itself
	// included. It is optional.
	Alternatives func(e Engine, p quarantiner.Phase) []Engine
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
	// sequence numbers the counts of begun answers that this process tells of, and counted knows
	// those of other processes.
	sequence identifier.Sequence
	counted  *deduper.Deduper
	// trials are the traits on trial that a call of this host has, and trialEnded is closed
	// and replaced whenever one of the trials ends.
	trials     map[identifier.Trait]bool
	trialEnded chan struct{}
	// leases are the trials that this host coordinates.
	leases map[identifier.Trait]lease
	// underWay counts the calls under way, and answered has those that have ended a short time
	// ago.
	underWay map[identifier.Endpoint]int
	answered []answered
	// started is when this process started, and joined is closed once another host has told
	// what it knows.
	started  time.Time
	joined   chan struct{}
	joinOnce sync.Once
	// notJoined counts the answers of hosts that had not joined themselves.
	notJoined atomic.Int64
	stats     Stats
	refused   map[identifier.Trait]uint64

	announcer *announcer.Announcer
}

// New returns an Isolator and registers its timers.
func New(d Deps) *Isolator {
	i := &Isolator{
		deps:        d,
		quarantiner: quarantiner.New(),
		counted:     deduper.New(),
		trials:      map[identifier.Trait]bool{},
		trialEnded:  make(chan struct{}),
		leases:      map[identifier.Trait]lease{},
		underWay:    map[identifier.Endpoint]int{},
		started:     time.Now(),
		joined:      make(chan struct{}),
		refused:     map[identifier.Trait]uint64{},
		announcer: announcer.New(announcer.Deps{
			Self: d.Self, Members: d.Members, Links: d.Links, Group: d.Group,
			Kind: peerwire.KindCrashNews, RelayKey: relayKey, RejoinFor: rejoinTime,
		}),
	}
	d.Timer.Every(decidePeriod, func(now time.Time) {
		i.settleAnswered(now)
		i.decide(now)
	})
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
	return classifier.NotRun(classifier.ReasonQuarantined, quarantineRetryAfter, "trait %q of the request is quarantined, as endpoints ended under requests with it", g)
}

// OnTrial reports whether a trait of a request may turn out to end endpoints.
func (i *Isolator) OnTrial(traits []identifier.Trait) bool {
	if i == nil {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.quarantiner.OnTrial(traits)) > 0
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
		i.tell(news{begun: begun, verdicts: decided, origin: i.deps.Self, sequence: i.sequence.Next()})
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
	i.dropLeases(now)
	i.counted.Prune(i.isMember)
	for _, g := range lapsed {
		delete(i.refused, g)
	}
	i.mu.Unlock()
	for _, g := range lapsed {
		i.deps.Log.Info("trait-quarantine-lapsed", zap.String("trait", string(g)))
	}
}

// isMember reports whether a process is one of the fleet, as far as known.
func (i *Isolator) isMember(h identifier.Incarnation) bool {
	_, known := i.deps.Members.View().ByIncarnation(h)
	return known
}

// reportEnd records and tells that an endpoint has ended.
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

// connected reports whether an open connection shows that the endpoint hasn't ended.
func (i *Isolator) connected(e Engine) bool {
	return i.deps.Idle != nil && i.deps.Idle(e.Address) > 0
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
