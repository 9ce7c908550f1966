// Package interceptor connects package excluder to the calls that this host sends:
// it checks each call right before it is sent, and observes each response. It
// also tells other hosts which endpoints are leaving.
//
// # Usage
//
//	i := interceptor.New(interceptor.Deps{...})
//	adapter.Intercept(i) // calls Check before each send, and Observe after it
//	endpoint := p.ChoosePlain(i.Usable(snapshot.Endpoints("dealer-desk")), exclude, now)
//
// Usable leaves excluded endpoints out when one is chosen. Check is for calls that
// were planned earlier, and for those whose choice was made by another host.
package interceptor

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/excluder"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/timer"
)

const (
	// updatePeriod is the time between two updates of the notices.
	updatePeriod = 100 * time.Millisecond
	// Callers that are told to return when a pause ends are spread over
	// returnSpread of the pause, within minReturnSpread and maxReturnSpread.
	returnSpread    = 0.1
	minReturnSpread = 50 * time.Millisecond
	maxReturnSpread = time.Second
	// returnMargin keeps the rounding of the time told to a caller from sending it
	// back before the pause ends.
	returnMargin = 5 * time.Millisecond
	// stoppedRetryAfter is the Retry-After hint of a request that has no attempt
	// left after its call was stopped. Another endpoint may be chosen at once.
	stoppedRetryAfter = 100 * time.Millisecond
)

// Gossip carries the news of leaving endpoints between hosts.
type Gossip interface {
	ReportLeaving(e identifier.Endpoint, start identifier.Revision)
	View() *gossiper.View
}

// Deps are the dependencies of an Interceptor.
type Deps struct {
	Registry *registrar.Registrar
	Gossip   Gossip
	Timer    *timer.Service
	Log      *zap.Logger
}

// Stats counts what endpoints asked for and what followed.
type Stats struct {
	// Leaving and Paused are the endpoints that are leaving or paused now.
	Leaving int `json:"leaving"`
	Paused  int `json:"paused"`
	// LeavingNotices and Pauses count the notices that changed something, and
	// MalformedPauses those without a readable time.
	LeavingNotices  uint64 `json:"leaving-notices"`
	LeavingReports  uint64 `json:"leaving-reports"`
	Pauses          uint64 `json:"pauses"`
	MalformedPauses uint64 `json:"malformed-pauses"`
	// StoppedCalls counts the planned calls that weren't sent.
	StoppedCalls uint64 `json:"stopped-calls"`
}

// Interceptor checks calls and observes responses. It is safe for concurrent use.
type Interceptor struct {
	deps Deps

	mu       sync.RWMutex
	excluder *excluder.Excluder
	stats    Stats
}

// New returns an Interceptor and registers its timer.
func New(d Deps) *Interceptor {
	i := &Interceptor{deps: d, excluder: excluder.New()}
	d.Timer.Every(updatePeriod, i.update)
	return i
}

// Check returns an error, with the verdict not-run, if no call may be sent to e at
// this time. The request is the one that the call is for; it is empty for calls that
// control an endpoint.
func (i *Interceptor) Check(e *registrar.Endpoint, request identifier.Request) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	r := i.excluder.Check(e, time.Now())
	if r == excluder.RefusalNone {
		return nil
	}
	i.stats.StoppedCalls++
	i.deps.Log.Info("call-stopped", zap.String("request", string(request)), zap.String("endpoint", string(e.Name)), zap.Stringer("endpoint-state", r))
	return classifier.NotRun(classifier.ReasonEndpointExcluded, classifier.Jitter(stoppedRetryAfter), "endpoint %q is %v and gets no calls", e.Name, r)
}

// Allows reports whether calls may be sent to e at this time.
func (i *Interceptor) Allows(e *registrar.Endpoint) bool {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return i.excluder.Check(e, time.Now()) == excluder.RefusalNone
}

// Observe records the notice of a response from e.
func (i *Interceptor) Observe(e *registrar.Endpoint, n excluder.Notice) {
	if n == (excluder.Notice{}) {
		return
	}
	changes := i.record(e, n)
	if n.Malformed != "" {
		i.deps.Log.Warn("pause-unreadable", zap.String("endpoint", string(e.Name)), zap.String("text", n.Malformed))
	}
	if changes.Pause > 0 {
		i.deps.Log.Info("endpoint-paused", append(endpointFields(e), zap.Duration("for", changes.Pause), zap.Duration("asked", n.Pause))...)
	}
	if changes.Left {
		i.deps.Log.Info("endpoint-leaving", append(endpointFields(e), zap.String("source", "response"))...)
		i.report(e)
	}
}

// report tells the other hosts that e is leaving. Without a start ID they couldn't
// tell its incarnation from later ones.
func (i *Interceptor) report(e *registrar.Endpoint) {
	if e.StartID > 0 {
		i.deps.Gossip.ReportLeaving(e.Name, identifier.Revision(e.StartID))
	}
}

func (i *Interceptor) record(e *registrar.Endpoint, n excluder.Notice) excluder.Changes {
	i.mu.Lock()
	defer i.mu.Unlock()
	changes := i.excluder.Observe(e, n, time.Now())
	if n.Malformed != "" {
		i.stats.MalformedPauses++
	}
	if changes.Pause > 0 {
		i.stats.Pauses++
	}
	if changes.Left {
		i.stats.LeavingNotices++
	}
	return changes
}

func endpointFields(e *registrar.Endpoint) []zap.Field {
	return []zap.Field{
		zap.String("endpoint", string(e.Name)),
		zap.String("service", string(e.Service)),
		zap.Int64("started", e.StartID),
	}
}

// Usable returns the endpoints that may get new calls.
func (i *Interceptor) Usable(all []*registrar.Endpoint) []*registrar.Endpoint {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return i.excluder.Usable(all, time.Now())
}

// Staying returns the endpoints that are not known to be leaving.
func (i *Interceptor) Staying(all []*registrar.Endpoint) []*registrar.Endpoint {
	i.mu.RLock()
	defer i.mu.RUnlock()
	return i.excluder.Staying(all)
}

// RetryAfter returns the time after which a caller may return whose request found
// none of the endpoints: when the first of them ends its pause, if all of them are
// paused, and otherwise a random time around d. Callers are spread over some time
// after a pause.
func (i *Interceptor) RetryAfter(all []*registrar.Endpoint, d time.Duration) time.Duration {
	i.mu.RLock()
	wait, ok := i.excluder.EarliestReturn(all, time.Now())
	i.mu.RUnlock()
	if !ok {
		return classifier.Jitter(d)
	}
	spread := max(minReturnSpread, min(maxReturnSpread, time.Duration(returnSpread*float64(wait))))
	return wait + returnMargin + rand.N(spread)
}

// update removes obsolete notices, and reads what other hosts report.
func (i *Interceptor) update(now time.Time) {
	s := i.deps.Registry.Snapshot()
	i.mu.Lock()
	resumed := i.excluder.Update(s, now)
	i.mu.Unlock()
	for _, name := range resumed {
		i.deps.Log.Info("endpoint-resumed", zap.String("endpoint", string(name)))
	}
	for name, m := range i.deps.Gossip.View().Marks() {
		if e := s.Endpoint(name); e != nil && m.Leaving && m.Source != "" {
			i.adopt(e, m, now)
		}
	}
}

// adopt records another host's report that e is leaving.
func (i *Interceptor) adopt(e *registrar.Endpoint, m gossiper.Mark, now time.Time) {
	i.mu.Lock()
	news := i.excluder.Report(e, int64(m.Revision))
	if news {
		i.stats.LeavingReports++
	}
	i.mu.Unlock()
	if news {
		i.deps.Log.Info("endpoint-leaving", append(endpointFields(e),
			zap.String("source", string(m.Source)), zap.Duration("age", now.Sub(m.At)))...)
	}
}

// Stats returns the current counts.
func (i *Interceptor) Stats() Stats {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := i.stats
	s.Leaving, s.Paused = i.excluder.Counts(time.Now())
	return s
}
