// Package stager decides how many of a service's model engines run prefill and
// how many decode. It holds policy only: it does no I/O, reads no clock and
// starts no goroutines.
//
// # Usage
//
//	s := stager.New()
//	for _, o := range s.NextOrders(engines, workload, now) { /* order o.Engine to o.Stage */ }
//
// # Capacity model
//
// A request occupies a prefill engine while its prompt is processed, and part of
// a decode engine's memory until its response is complete. With n engines, p of
// them running prefill, the capacity is min(p/tp, (n-p)/td) requests per second,
// where tp is the prefill time and td the response time multiplied by the
// request's share of an engine's memory. Both come from the service's
// [estimator.Model]: td directly, and tp as the slope of prefill time over prompt
// length. The intercept is left out because an engine processes several prompts
// concurrently and the fixed part of the latency doesn't occupy it.
//
// Without prefill engines, decode engines prefill by themselves, slower than a prefill
// engine and while their other requests wait: the capacity is then
// n/(tp*soloPrefillFactor+td). Without decode engines nothing is served. So the last
// decode engine is never ordered away, and a pool without one gets one even if
// nothing has been measured yet.
package stager

import (
	"maps"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/estimator"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// minGain is the ratio of new to current capacity from which a new split is
	// adopted.
	minGain = 1.12
	// minGainRough replaces minGain while only a rough prefill rate is known.
	minGainRough = 1.5
	// minPrefillEngines is the minimum number of prefill engines in pools of at
	// least minPoolForMinPrefill engines; smaller pools keep one.
	minPrefillEngines    = 2
	minPoolForMinPrefill = 5
	// orderInterval is the minimum time between orders, and reversalInterval that
	// between orders in opposite directions in the same pool. transitionTimeout is how long an
	// ordered engine counts as in transition while it still reports its old stage:
	// it first completes its running requests. Large pools change several engines
	// at once, one for every enginesPerOrder.
	enginesPerOrder   = 16
	orderInterval     = 500 * time.Millisecond
	reversalInterval  = 30 * time.Second
	transitionTimeout = 30 * time.Second
	// stablePeriod is how long the engine counts must have been unchanged before
	// an order. It is longer than typical crashes and network partitions. In a
	// large pool some engines always join and leave, so a difference of one for
	// every enginesPerIgnoredChange engines doesn't count as a change.
	stablePeriod            = 6 * time.Second
	enginesPerIgnoredChange = 16
	// soloPrefillFactor is how much longer a decode engine takes for a prompt than a
	// prefill engine.
	soloPrefillFactor = 2
)

// Order tells an engine to switch to a stage.
type Order struct {
	Engine *registrar.Endpoint
	Stage  registrar.Stage
}

// Workload is what is known of a service's engines and requests.
type Workload struct {
	Model   *estimator.Model
	Running estimator.Running
	// Memory is the memory of an engine in tokens; 0 means unknown.
	Memory identifier.Tokens
}

// Stager holds the target split of one service and the orders that lead to it. It is
// not safe for concurrent use.
type Stager struct {
	transitions map[identifier.Endpoint]transition
	lastOrder   time.Time
	lastStage   registrar.Stage
	lastCounts  stageCounts
	stableSince time.Time // when lastCounts last changed
	target      target
}

// target is the number of prefill engines to reach in a pool of a given size; the
// zero value is none. It is kept until it is reached, because the last steps
// alone would not meet minGain.
type target struct{ size, prefill int }

// appliesTo reports whether the target was set for about this pool size.
func (g target) appliesTo(size int) bool {
	return absDiff(g.size, size) <= size/enginesPerIgnoredChange
}

type stageCounts struct{ prefill, decode int }

func absDiff(a, b int) int {
	return max(a-b, b-a)
}

// transition records the last order to an engine.
type transition struct {
	stage   registrar.Stage
	at      time.Time
	started int64 // the engine's StartID at the time of the order
}

// New returns a Stager that has given no orders.
func New() *Stager {
	return &Stager{transitions: map[identifier.Endpoint]transition{}}
}

// NextOrders returns the orders that move the pool towards the split with the
// highest capacity, or none if the gain is too small. The returned orders are
// recorded as issued.
func (s *Stager) NextOrders(all []*registrar.Endpoint, w Workload, now time.Time) []Order {
	prefill, decode := s.count(all, now)
	stable := s.updateStable(stageCounts{len(prefill), len(decode)}, now)
	if !stable || now.Sub(s.lastOrder) < orderInterval {
		return nil
	}
	if !s.updateTarget(len(prefill), len(decode), w) {
		return nil
	}
	delta := s.target.prefill - len(prefill)
	if s.target.size == 0 || delta == 0 {
		return nil
	}
	from, stage := s.settled(decode, now), registrar.StagePrefill
	available := len(from) - 1 // one that decodes already always stays
	if delta < 0 {
		from, stage = prefill, registrar.StageDecode
		delta, available = -delta, len(prefill)
	}
	if stage != s.lastStage && s.mayNotReverse(now) {
		return nil
	}
	count := min(delta, maxConcurrentOrders(len(prefill)+len(decode)), available)
	if count <= 0 {
		return nil
	}
	orders := s.recordOrders(pickAcrossDataCenters(from, count), stage, now)
	prefill, decode = s.count(all, now)
	s.lastCounts = stageCounts{len(prefill), len(decode)} // changes by own orders don't reset stableSince
	return orders
}

// updateTarget sets the split to reach if that gains enough, and drops one that was
// set for another pool. It reports false if too little is known to give orders.
func (s *Stager) updateTarget(prefill, decode int, w Workload) bool {
	size := prefill + decode
	if !s.target.appliesTo(size) {
		s.target = target{}
	}
	tp, td, gain, ok := w.costs()
	if !ok {
		if decode > 0 || size == 0 {
			return false
		}
		s.target = target{size: size, prefill: size - 1}
		return true
	}
	if best := bestPrefill(size, tp, td); capacity(best, size, tp, td) >= gain*capacity(prefill, size, tp, td) {
		s.target = target{size: size, prefill: best}
	}
	return true
}

// settled returns the engines that aren't in transition.
func (s *Stager) settled(engines []*registrar.Endpoint, now time.Time) []*registrar.Endpoint {
	var settled []*registrar.Endpoint
	for _, e := range engines {
		if !s.InTransition(e, now) {
			settled = append(settled, e)
		}
	}
	return settled
}

// mayNotReverse reports whether the last order is too recent for one in the opposite
// direction. A pool that other engines have joined or left since is another one.
func (s *Stager) mayNotReverse(now time.Time) bool {
	return !s.lastOrder.IsZero() && now.Sub(s.lastOrder) < reversalInterval && !s.stableSince.After(s.lastOrder)
}

// maxConcurrentOrders returns how many engines of a pool may change at once.
func maxConcurrentOrders(size int) int {
	return max(1, size/enginesPerOrder)
}

// pickAcrossDataCenters selects count engines, each from the data center with the
// most of them left, so that every data center keeps engines of the stage.
func pickAcrossDataCenters(engines []*registrar.Endpoint, count int) []*registrar.Endpoint {
	left := map[identifier.DataCenter][]*registrar.Endpoint{}
	for _, e := range engines {
		left[e.DataCenter] = append(left[e.DataCenter], e)
	}
	names := slices.Sorted(maps.Keys(left))
	taken := make([]*registrar.Endpoint, 0, count)
	for range count {
		most := names[0]
		for _, n := range names {
			if len(left[n]) > len(left[most]) {
				most = n
			}
		}
		last := len(left[most]) - 1
		taken = append(taken, left[most][last])
		left[most] = left[most][:last]
	}
	return taken
}

// recordOrders creates the orders and records the engines' transitions.
func (s *Stager) recordOrders(engines []*registrar.Endpoint, stage registrar.Stage, now time.Time) []Order {
	var orders []Order
	for _, e := range engines {
		s.transitions[e.Name] = transition{stage: stage, at: now, started: e.StartID}
		orders = append(orders, Order{Engine: e, Stage: stage})
	}
	s.lastOrder = now
	s.lastStage = stage
	return orders
}

// Withdraw records that an engine has not accepted an order.
func (s *Stager) Withdraw(o Order) {
	if c, ok := s.transitions[o.Engine.Name]; ok && c.stage == o.Stage && c.started == o.Engine.StartID {
		delete(s.transitions, o.Engine.Name)
	}
}

// InTransition reports whether an engine was ordered to another stage and has not
// reported it yet. A restart or transitionTimeout ends the transition.
func (s *Stager) InTransition(e *registrar.Endpoint, now time.Time) bool {
	c, ok := s.transitions[e.Name]
	return ok && c.stage != e.Stage && c.started == e.StartID && now.Sub(c.at) < transitionTimeout
}

// count returns the engines of each stage. Engines in transition count towards
// the stage they were ordered to.
func (s *Stager) count(all []*registrar.Endpoint, now time.Time) (prefill, decode []*registrar.Endpoint) {
	for _, e := range all {
		stage := e.Stage
		if e.Leaving || stage == registrar.StageAny {
			continue
		}
		if s.InTransition(e, now) {
			stage = s.transitions[e.Name].stage
		}
		if stage == registrar.StagePrefill {
			prefill = append(prefill, e)
		} else {
			decode = append(decode, e)
		}
	}
	return prefill, decode
}

// updateStable updates the last engine counts and reports whether they have been
// nearly constant for stablePeriod.
func (s *Stager) updateStable(c stageCounts, now time.Time) bool {
	tolerance := (c.prefill + c.decode) / enginesPerIgnoredChange
	if absDiff(c.prefill, s.lastCounts.prefill) > tolerance || absDiff(c.decode, s.lastCounts.decode) > tolerance {
		s.lastCounts = c
		s.stableSince = now
	}
	return now.Sub(s.stableSince) >= stablePeriod
}

// costs returns the seconds of a prefill engine and of a decode engine that a
// request takes, and the gain required for an order based on them. It is false
// without enough measurements.
func (w *Workload) costs() (prefill, decode, gain float64, ok bool) {
	m := w.Model
	use, ok := m.TokenSeconds(w.Running)
	if !ok || !m.PromptTokens.Known() || w.Memory == 0 {
		return 0, 0, 0, false
	}
	gain = minGain
	rate, ok := m.PrefillRate()
	if !ok {
		rate, ok = m.BusyPrefillRate()
		gain = minGainRough
	}
	return m.PromptTokens.Mean / rate, use / float64(w.Memory), gain, ok
}

// capacity returns the requests per second that n engines can serve, p of them
// running prefill.
func capacity(p, n int, tp, td float64) float64 {
	if p == 0 {
		return float64(n) / (soloPrefillFactor*tp + td)
	}
	return min(float64(p)/tp, float64(n-p)/td)
}

// bestPrefill returns the number of prefill engines with the highest capacity; one
// engine alone has to decode.
func bestPrefill(n int, tp, td float64) int {
	if n < 2 {
		return 0
	}
	minimum := 1
	if n >= minPoolForMinPrefill {
		minimum = minPrefillEngines
	}
	best := minimum
	for p := minimum; p < n; p++ {
		if capacity(p, n, tp, td) > capacity(best, n, tp, td) {
			best = p
		}
	}
	return best
}
