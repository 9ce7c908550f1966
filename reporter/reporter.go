// Package reporter counts how each service meets its targets and reports how
// fast its error budget burns.
//
// # Usage
//
// The parts that end requests record one [Sample] each:
//
//	r := reporter.New()
//	r.Configure(map[identifier.Service]reporter.Objective{"dealer-desk": {FirstToken: 1600 * time.Millisecond, ...}})
//	r.Record(reporter.Sample{Service: "dealer-desk", Outcome: reporter.OutcomeAnswered, FirstToken: wait}, now)
//
// Operators read windows, from one host or merged from several:
//
//	windows := reporter.Merge(r.Windows(now), other)
//	err := reporter.WriteTable(os.Stdout, windows)
//
// # Burn rate
//
// The burn rate of a target over a window is the share of bad samples divided
// by the share that the objective allows: at 1 the budget is used up exactly
// over the objective's period, at 14.4 a month's budget lasts two days.
//
// Record takes no lock. Counts are in buckets of one minute, so a window
// covers its length up to one minute less.
package reporter

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Target is what an objective is set for.
type Target uint8

// Targets.
const (
	// TargetFirstToken counts answers whose first token came in time.
	TargetFirstToken Target = iota
	// TargetBetweenTokens counts answers whose further tokens came in time.
	TargetBetweenTokens
	// TargetAvailability counts requests that were answered, refused ones
	// included in the total.
	TargetAvailability
	// TargetCompletion counts, of the requests that were taken on, those that
	// were answered whole.
	TargetCompletion
	targetCount
)

// String gives the target in kebab case.
func (t Target) String() string {
	names := [...]string{"first-token", "between-tokens", "availability", "completion"}
	if int(t) < len(names) {
		return names[t]
	}
	return "unknown"
}

// Outcome is how a request ended.
type Outcome uint8

// Outcomes.
const (
	// OutcomeAnswered means that the caller got the whole answer.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeRefused means that the request was refused for lack of room.
	OutcomeRefused
	// OutcomeFailed means that a request that was taken on got no whole answer.
	OutcomeFailed
	// OutcomeCanceled means that the caller left; it counts for latency only.
	OutcomeCanceled
	// OutcomeInvalid means that the request was at fault; it doesn't count.
	OutcomeInvalid
)

// Sample is one request's part in its service's targets.
type Sample struct {
	Service identifier.Service
	Outcome Outcome
	// FirstToken is the time to the first token; 0: there was none.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens; 0: fewer than two.
	BetweenTokens time.Duration
}

// Objective is what a service has to meet.
type Objective struct {
	// FirstToken and BetweenTokens are the latency targets; 0: none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Share of samples that have to be good, between 0 and 1.
	Share float64
}

// Reporter counts samples. Create it with New; it is safe for use by several
// goroutines.
type Reporter struct {
	services atomic.Pointer[map[identifier.Service]*series]
	unknown  atomic.Uint64
}

// series is one service's objective and counts.
type series struct {
	objective Objective
	ring      *ring
}

// New gives a Reporter that knows no service yet.
func New() *Reporter {
	r := &Reporter{}
	r.services.Store(&map[identifier.Service]*series{})
	return r
}

// Configure replaces the services and their objectives. The counts of services
// that stay are kept. Only one goroutine may call it at a time.
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

// Record counts a sample. Samples of services that are not configured are
// counted by Unknown only.
func (r *Reporter) Record(sample Sample, now time.Time) {
	s, ok := (*r.services.Load())[sample.Service]
	if !ok {
		r.unknown.Add(1)
		return
	}
	if sample.Outcome == OutcomeInvalid {
		return
	}
	b := s.ring.at(now)
	if b == nil {
		return
	}
	b.countLatency(TargetFirstToken, sample.FirstToken, s.objective.FirstToken)
	b.countLatency(TargetBetweenTokens, sample.BetweenTokens, s.objective.BetweenTokens)
	b.countOutcome(sample.Outcome)
}

// Unknown gives the number of samples of services that were not configured.
func (r *Reporter) Unknown() uint64 {
	return r.unknown.Load()
}

// Windows gives all windows of all services and of the targets that they
// have, sorted by service, target and length.
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
	for _, length := range Lengths {
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

// targets gives the targets that the objective sets.
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
