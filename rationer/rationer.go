// Package rationer keeps the requests of all hosts together within the limits that endpoints
// name. It connects package pacer, which decides, to the calls of this host and to other hosts.
//
// # Usage
//
//	r := rationer.New(rationer.Deps{...})
//	r.Register(messenger)
//	candidates := r.Within(endpoints, 0) // those that a permit may be had for at once
//	err := r.Acquire(ctx, endpoint, request, maxWait) // once one is chosen
//	version, err := r.Spend(endpoint, request) // right before the request is sent
//	r.Observe(endpoint, statement, version)    // with the response
//	r.Drop(endpoint, request)                  // once the call has ended, sent or not
//
// # Permits
//
// A request to an endpoint that has named a limit needs a permit, which one of a few granting
// hosts grants. They are chosen by hashing among the known hosts, the first in the endpoint's
// own data center and each in another one if possible, so that a data center that is cut off
// keeps a part of the limits. A host asks one after the other, and remembers when each will have
// the next permit. A host that reaches none of them sends nothing to the endpoint.
//
// A permit is for one call and lasts a short time. One that isn't used goes back to its granting
// host. A granting host starts with empty buckets, and grants nothing for some time after its
// start, in which it learns which other hosts there are.
//
// # Other hosts
//
// What a response says of a limit is announced to all hosts (package announcer). Questions for
// permits and their answers also carry what the two hosts know of the endpoint, and a host that
// starts asks for all limits.
package rationer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/announcer"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/pacer"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/timer"
)

const (
	// updatePeriod is the time between two removals of outdated state.
	updatePeriod = time.Second
	// announcePeriod is the time between two announcements of new facts.
	announcePeriod = 50 * time.Millisecond
	// stoppedRetryAfter is the Retry-After hint of a request that has no attempt left after its
	// call was stopped. Another endpoint may be chosen at once.
	stoppedRetryAfter = 100 * time.Millisecond
)

// relayKey selects the host that passes news on to all others.
var relayKey = xxhash.Sum64String("limit-news")

// Deps are the dependencies of a Rationer.
type Deps struct {
	Self     identifier.Incarnation
	Host     identifier.Host
	Registry *registrar.Registrar
	Members  announcer.Members
	Links    announcer.Links
	Timer    *timer.Service
	Group    *grouper.Group
	Log      *zap.Logger
	// Seeded is set if the settings name other hosts.
	Seeded bool
}

// Rationer grants, holds and checks permits. It is safe for concurrent use. A nil *Rationer
// knows no limits.
type Rationer struct {
	deps      Deps
	announcer *announcer.Announcer
	started   time.Time
	// answered is set once another host has told what it knows, joined once one has that
	// has itself learned what others know.
	answered, joined atomic.Bool
	// anyLimit is set while the limit of any endpoint is known.
	anyLimit atomic.Bool

	mu      sync.Mutex
	pacer   *pacer.Pacer
	permits *pacer.Permits
	// unannounced are the endpoints with facts that other hosts haven't been told of.
	unannounced map[identifier.Endpoint]*registrar.Endpoint
	gaps        gaps
	granters    granters
	returns     returns
	stats       Stats
}

// New returns a Rationer and registers its timers.
func New(d Deps) *Rationer {
	r := &Rationer{
		deps: d,
		announcer: announcer.New(announcer.Deps{
			Self: d.Self, Members: d.Members, Links: d.Links, Group: d.Group,
			Kind: peerwire.KindLimitNews, RelayKey: relayKey,
		}),
		started:     time.Now(),
		pacer:       pacer.New(),
		permits:     pacer.NewPermits(),
		unannounced: map[identifier.Endpoint]*registrar.Endpoint{},
		gaps:        newGaps(),
		granters:    newGranters(),
		returns:     returns{},
	}
	d.Timer.Every(updatePeriod, r.update)
	d.Timer.Every(announcePeriod, r.announce)
	d.Timer.Every(announcer.JoinPeriod, func(time.Time) { r.announcer.Join(r.learnFrom) })
	d.Timer.Every(announcer.SharePeriod, r.share)
	return r
}

// Observe records what a response says of its endpoint's limit. The version is the one that
// Spend returned for its request.
func (r *Rationer) Observe(e *registrar.Endpoint, s pacer.Statement, sent pacer.Version) {
	if r == nil || s == (pacer.Statement{}) || s.Kind == pacer.StatementUnlimited && !r.anyLimit.Load() {
		return
	}
	if s.Malformed != "" {
		r.deps.Log.Warn("limit-unreadable", zap.String("endpoint", string(e.Name)), zap.String("text", s.Malformed))
	}
	r.mu.Lock()
	old := r.pacer.Fact(e)
	f, changed := r.pacer.Observe(e, s, sent, time.Now())
	if changed {
		r.unannounced[e.Name] = e
		r.stats.Changes++
		r.noteLimits()
	}
	if s.Malformed != "" {
		r.stats.Malformed++
	}
	r.mu.Unlock()
	if changed {
		r.logFact(e, old, f, "response")
	}
}

// noteLimits updates anyLimit. r.mu must be held.
func (r *Rationer) noteLimits() {
	for _, f := range r.pacer.Facts() {
		if f.Limited {
			r.anyLimit.Store(true)
			return
		}
	}
	r.anyLimit.Store(false)
}

// logFact logs a new fact. The source is "response" or the host that told of it.
func (r *Rationer) logFact(e *registrar.Endpoint, old, f pacer.Fact, source string) {
	event := "endpoint-limit-ended"
	if f.Limited {
		event = "endpoint-limit-named"
	}
	r.deps.Log.Info(event,
		zap.String("endpoint", string(e.Name)),
		zap.String("service", string(e.Service)),
		zap.Int64("started", e.StartID),
		zap.Float64("limit", float64(f.Rate)),
		zap.Float64("before", float64(old.Rate)),
		zap.Uint64("version", uint64(f.Version)),
		zap.String("source", source))
}

// Spend checks that a request may be sent to e at this time, and uses up its permit if one is
// needed. It returns the version of what is known of the endpoint's limit. Its error has the
// verdict not-run.
func (r *Rationer) Spend(e *registrar.Endpoint, request identifier.Request) (pacer.Version, error) {
	if r == nil {
		return 0, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	version := r.pacer.Version(e)
	rate, limited := r.pacer.Limit(e)
	if !limited {
		return version, nil
	}
	p, ok := r.permits.Take(e, request)
	if ok && time.Now().Before(p.Expires) {
		return version, nil
	}
	r.stats.Stopped++
	r.deps.Log.Info("call-stopped",
		zap.String("request", string(request)), zap.String("endpoint", string(e.Name)),
		zap.String("endpoint-state", "limited"), zap.Float64("limit", float64(rate)), zap.Bool("permit-expired", ok))
	return version, classifier.NotRun(classifier.ReasonEndpointExcluded, classifier.Jitter(stoppedRetryAfter),
		"endpoint %q takes %g requests a second, and the request has no permit", e.Name, rate)
}

// Version returns the version of what is known of an endpoint's limit.
func (r *Rationer) Version(e *registrar.Endpoint) pacer.Version {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pacer.Version(e)
}

// limit returns the limit of an endpoint; ok is false if it has none.
func (r *Rationer) limit(e *registrar.Endpoint) (limit pacer.Rate, ok bool) {
	if r == nil || !r.anyLimit.Load() {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pacer.Limit(e)
}

// update removes what is out of date.
func (r *Rationer) update(now time.Time) {
	s := r.deps.Registry.Snapshot()
	v := r.deps.Members.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pacer.Update(s, now)
	r.permits.Expire(now)
	r.gaps.expire(now)
	r.granters.recordDepartures(v, now)
	r.returns.expire(now)
	r.noteLimits()
}
