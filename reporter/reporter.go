// Package reporter tracks service-level objectives: it counts the requests that
// meet each service's targets and reports error budget burn rates.
//
// # Usage
//
// Components that complete requests record one [Sample] per request:
//
//	r := reporter.New()
//	r.Configure(map[identifier.Service]reporter.Objective{"dealer-desk": {FirstToken: 1600 * time.Millisecond, ...}})
//	r.Record(reporter.Sample{Service: "dealer-desk", Outcome: reporter.OutcomeAnswered, FirstToken: wait}, now)
//
// Windows can be read from one host or merged across several:
//
//	windows := reporter.Merge(r.Windows(now), other)
//	err := reporter.WriteTable(os.Stdout, windows)
//
// # Burn rate
//
// The burn rate of a target over a window is the share of bad samples divided
// by the share that the objective allows. A burn rate of 1 uses up the error
// budget exactly over the objective's period; a burn rate of 14.4 uses up a
// month's budget in two days.
//
// Record is lock-free. Counts are kept in one-minute buckets, so a window covers
// up to one minute less than its nominal length.
package reporter

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Target is an aspect of a service that an objective applies to.
type Target uint8

// Targets.
const (
	// TargetFirstToken counts answers that met the time-to-first-token target.
	TargetFirstToken Target = iota
	// TargetBetweenTokens counts answers that met the time-between-tokens
	// target.
	TargetBetweenTokens
	// TargetAvailability counts the requests that were answered; the total
	// includes refused requests.
	TargetAvailability
	// TargetCompletion counts the requests that were answered completely; the
	// total excludes refused requests.
	TargetCompletion
	targetCount
)

// String returns the name of the target in kebab case.
func (t Target) String() string {
	names := [...]string{"first-token", "between-tokens", "availability", "completion"}
	if int(t) < len(names) {
		return names[t]
	}
	return "unknown"
}

// Outcome describes how a request ended.
type Outcome uint8

// Outcomes.
const (
	// OutcomeAnswered means that the caller received the complete answer.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeRefused means that the request was refused for lack of capacity.
	OutcomeRefused
	// OutcomeFailed means that an accepted request got no complete answer.
	OutcomeFailed
	// OutcomeCanceled means that the caller canceled the request. It only
	// counts toward the latency targets.
	OutcomeCanceled
	// OutcomeInvalid means that the request was invalid. It is not counted.
	OutcomeInvalid
)

// Sample holds the outcome and latencies of one request.
type Sample struct {
	Service identifier.Service
	Outcome Outcome
	// FirstToken is the time to first token; 0 if there was none.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens; 0 if there were fewer
	// than two.
	BetweenTokens time.Duration
}

// Objective is the service-level objective of a service.
type Objective struct {
	// FirstToken and BetweenTokens are the latency targets; 0 disables them.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Share is the required share of good samples, between 0 and 1.
	Share float64
}

// Reporter counts samples by service. Create it with New. It is safe for
// concurrent use.
type Reporter struct {
	services     atomic.Pointer[map[identifier.Service]*series]
	unknownCount atomic.Uint64
}

// series holds the objective and the counts of a service.
type series struct {
	objective Objective
	ring      *ring
}

// New returns a Reporter without services.
func New() *Reporter {
	r := &Reporter{}
	r.services.Store(&map[identifier.Service]*series{})
	return r
}

// Configure replaces the services and their objectives. Services that were
// configured before keep their counts. It must not be called concurrently with
// itself.
func (r *Reporter) Configure(objectives map[identifier.Service]Objective) {
	old := *r.services.Load()
	services := make(map[identifier.Service]*series, len(objectives))
	for name, o := range objectives {
		s := &series{objective: o}
		if before, ok := old[name]; ok {
			s.ring = before.ring
		} else {
			s.ring = &ring{}
		}
		services[name] = s
	}
	r.services.Store(&services)
}

// Record counts a sample. Samples of services that are not configured only
// increase the count that Unknown returns.
func (r *Reporter) Record(sample Sample, now time.Time) {
	s, ok := (*r.services.Load())[sample.Service]
	if !ok {
		r.unknownCount.Add(1)
		return
	}
	if sample.Outcome == OutcomeInvalid {
		return
	}
	b := s.ring.bucketAt(now)
	if b == nil {
		return
	}
	b.countLatency(TargetFirstToken, sample.FirstToken, s.objective.FirstToken)
	b.countLatency(TargetBetweenTokens, sample.BetweenTokens, s.objective.BetweenTokens)
	b.countOutcome(sample.Outcome)
}

// Unknown returns the number of samples of services that were not configured.
func (r *Reporter) Unknown() uint64 {
	return r.unknownCount.Load()
}

// Windows returns the windows of all services and of their enabled targets,
// sorted by service, target and length.
func (r *Reporter) Windows(now time.Time) []Window {
	services := *r.services.Load()
	var windows []Window
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s := services[name]
		for _, t := range s.objective.targets() {
			windows = append(windows, s.windows(name, t, now)...)
		}
	}
	return windows
}

func (s *series) windows(name identifier.Service, t Target, now time.Time) []Window {
	var windows []Window
	for _, length := range WindowLengths {
		good, total := s.ring.sum(t, length, now)
		windows = append(windows, Window{
			Service:   name,
			Target:    t.String(),
			Length:    length,
			Good:      good,
			Total:     total,
			Objective: s.objective.Share,
		})
	}
	return windows
}

// targets returns the targets that the objective enables.
func (o Objective) targets() []Target {
	var targets []Target
	if o.FirstToken > 0 {
		targets = append(targets, TargetFirstToken)
	}
	if o.BetweenTokens > 0 {
		targets = append(targets, TargetBetweenTokens)
	}
	return append(targets, TargetAvailability, TargetCompletion)
}
