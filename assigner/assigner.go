// Package assigner decides which endpoint of a plain service a call is sent to, for a
// host that grants the slots of the service's endpoints to the calls of all hosts. It
// holds policy only: it does no I/O, reads no clock and starts no goroutines.
//
// # Usage
//
//	a := assigner.New()
//	if e := a.Choose(candidates, demand, now); e != nil {
//		a.Begin(e)
//		...
//		a.End(e, assigner.Result{...}, now)
//	}
//
// # The choice
//
// The endpoint that is expected to finish the call first is chosen, by the time that
// work takes there, its machine's momentary slowdown, and its calls. Endpoints without
// a free slot get no calls, but for a few that wait there: otherwise a slot would be
// idle while the news of its release travels. A call waits for a slot of a fast endpoint
// rather than use that of a slow one, as long as it is expected to gain by that.
//
// # Measured times
//
// The time that work takes at an endpoint is measured without the slowdown that it
// reported. A reported slowdown soon says nothing about the next call. How soon is
// learned from how well earlier reports predicted the next ones.
package assigner

import (
	"math"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// slotsPerQueued is the number of slots for each call that may wait at an endpoint.
	slotsPerQueued = 8
	// workWeight is the weight of a call in the moving averages of work.
	workWeight = 0.1
	// busyFactor is the relative increase of an endpoint's cost when its slots are taken:
	// some endpoints slow down as they fill.
	busyFactor = 0.2
	// remoteFactor multiplies the cost of endpoints outside the preferred data center.
	remoteFactor = 1.15
	// waitingGain is how many times as early a call must be expected to finish by waiting.
	waitingGain = 2
	// refusedBackoff is how long an endpoint gets no calls after it refused one for
	// lack of capacity.
	refusedBackoff = 60 * time.Millisecond
	// othersHalfLife is the time in which the calls that an endpoint had from others
	// stop counting by half.
	othersHalfLife = 100 * time.Millisecond
)

// Candidate is an endpoint that may get the call.
type Candidate struct {
	*registrar.Endpoint
	// HealthFactor multiplies its cost, by how often it fails; at least 1.
	HealthFactor float64
}

// Demand describes a call.
type Demand struct {
	// PreferredDataCenter is that of the host that sends the call.
	PreferredDataCenter identifier.DataCenter
	// Exclude are the endpoints that must not get it.
	Exclude []identifier.Endpoint
	// Ahead is the number of calls that wait for a slot before this one, and Waited how
	// long it has waited.
	Ahead  int
	Waited time.Duration
}

// Result is what is known of a call that has ended.
type Result struct {
	// Took is the duration of a successful call; 0 means unknown.
	Took time.Duration
	// Load is what the endpoint reported with its response; zero if nothing.
	Load placer.Load
	// Refused is set if the endpoint refused the call for lack of capacity.
	Refused bool
}

// Assigner tracks the slots and the speeds of one service's endpoints. It is not safe for
// concurrent use.
type Assigner struct {
	states map[identifier.Endpoint]*state
	decay  decay
	work   float64 // moving average of calls' durations in seconds; 0: unknown
}

// state is what is known of an endpoint.
type state struct {
	startID      int64
	calls        int
	slots        int     // as reported; 0: unknown
	work         float64 // seconds without slowdown; 0: unknown
	slowdown     sample
	others       int // calls that were not assigned here, at othersAt
	othersAt     time.Time
	refusedUntil time.Time
}

// New returns an Assigner without measurements.
func New() *Assigner {
	return &Assigner{states: map[identifier.Endpoint]*state{}}
}

// state returns the state of e, which is reset if e has restarted.
func (a *Assigner) state(e *registrar.Endpoint) *state {
	s := a.states[e.Name]
	if s == nil || s.startID != e.StartID {
		s = &state{startID: e.StartID}
		a.states[e.Name] = s
	}
	return s
}

// Forget removes the state of endpoints that are no longer registered.
func (a *Assigner) Forget(registered func(identifier.Endpoint) bool) {
	for name := range a.states {
		if !registered(name) {
			delete(a.states, name)
		}
	}
}

// Choose returns the candidate that is expected to finish the call first. It returns nil if
// none has a slot for it, or if the call is expected to finish earlier by waiting for one
// that has none.
func (a *Assigner) Choose(all []Candidate, d Demand, now time.Time) *registrar.Endpoint {
	var best *registrar.Endpoint
	var full []*registrar.Endpoint
	least := math.Inf(1)
	unmeasured := a.leastWork(all)
	for _, c := range all {
		if slices.Contains(d.Exclude, c.Name) {
			continue
		}
		if !a.hasSlot(c.Endpoint, now) {
			full = append(full, c.Endpoint)
			continue
		}
		cost := a.expected(c.Endpoint, unmeasured, now) * max(1, c.HealthFactor)
		if d.PreferredDataCenter != "" && c.DataCenter != d.PreferredDataCenter {
			cost *= remoteFactor
		}
		if cost < least {
			best, least = c.Endpoint, cost
		}
	}
	if best != nil && waitingGain*(d.Waited.Seconds()+a.waiting(full, d.Ahead, now)) < a.momentaryWork(best, unmeasured, now) {
		return nil
	}
	return best
}

// waiting returns the time in seconds until a call would be finished that waits for a slot
// at one of the full endpoints; infinite if that isn't known.
func (a *Assigner) waiting(full []*registrar.Endpoint, ahead int, now time.Time) float64 {
	slots, rate := 0.0, 0.0
	for _, e := range full {
		s := a.state(e)
		if s.work == 0 || now.Before(s.refusedUntil) {
			continue
		}
		n := float64(s.slotsOf(e))
		slots += n
		rate += n / a.momentaryWork(e, 0, now)
	}
	if rate == 0 {
		return math.Inf(1)
	}
	return (float64(ahead+1) + slots) / rate
}

// leastWork returns the least work in seconds that was measured at the candidates. It is
// assumed of those without measurements, so that they get calls.
func (a *Assigner) leastWork(all []Candidate) float64 {
	least := math.Inf(1)
	for _, c := range all {
		if w := a.state(c.Endpoint).work; w > 0 {
			least = min(least, w)
		}
	}
	if math.IsInf(least, 1) {
		return 1 // any: the others are compared to it
	}
	return least
}

// HasSlot reports whether any of the candidates has a slot.
func (a *Assigner) HasSlot(all []Candidate, now time.Time) bool {
	return slices.ContainsFunc(all, func(c Candidate) bool { return a.hasSlot(c.Endpoint, now) })
}

func (a *Assigner) hasSlot(e *registrar.Endpoint, now time.Time) bool {
	s := a.state(e)
	slots := s.slotsOf(e)
	return !now.Before(s.refusedUntil) && s.load(now) < float64(slots+max(1, slots/slotsPerQueued))
}

// slotsOf returns the slots of an endpoint: the declared ones, or fewer if it reports so.
func (s *state) slotsOf(e *registrar.Endpoint) int {
	switch {
	case s.slots == 0:
		return max(1, e.Slots)
	case e.Slots == 0:
		return s.slots
	default:
		return min(s.slots, e.Slots)
	}
}

// load returns the number of calls that the endpoint is expected to have.
func (s *state) load(now time.Time) float64 {
	return float64(s.calls) + math.Floor(float64(s.others)*halved(now.Sub(s.othersAt), othersHalfLife))
}

// expected returns the time in seconds until a call that is sent now would be finished.
func (a *Assigner) expected(e *registrar.Endpoint, unmeasured float64, now time.Time) float64 {
	s := a.state(e)
	slots := float64(s.slotsOf(e))
	load := s.load(now)
	waiting := max(0, load+1-slots) / slots
	return a.momentaryWork(e, unmeasured, now) * (1 + waiting + busyFactor*min(1, load/slots))
}

// momentaryWork returns the time in seconds that a call would run.
func (a *Assigner) momentaryWork(e *registrar.Endpoint, unmeasured float64, now time.Time) float64 {
	s := a.state(e)
	work := s.work
	if work == 0 {
		work = unmeasured
	}
	return work * a.decay.predict(s.slowdown, now)
}

// Begin records that a call was assigned to e.
func (a *Assigner) Begin(e *registrar.Endpoint) {
	a.state(e).calls++
}

// End records that a call that was assigned to e has ended.
func (a *Assigner) End(e *registrar.Endpoint, r Result, now time.Time) {
	s := a.states[e.Name]
	if s == nil || s.startID != e.StartID {
		return // it has restarted
	}
	if r.Load.Slots > 0 {
		s.slots = r.Load.Slots
		// The call itself may be among the reported ones.
		s.others = max(0, r.Load.Running+r.Load.Waiting-s.calls)
		s.othersAt = now
	}
	s.calls = max(0, s.calls-1)
	if r.Refused {
		s.refusedUntil = now.Add(refusedBackoff)
	}
	slowdown := 1.0
	if r.Load.Slowdown > 0 {
		slowdown = r.Load.Slowdown
		a.decay.learn(s.slowdown, slowdown, now)
		s.slowdown = sample{value: slowdown, at: now}
	}
	if r.Took > 0 {
		average(&s.work, r.Took.Seconds()/slowdown)
		average(&a.work, r.Took.Seconds())
	}
}

// Expected returns how long a call at e is expected to take, without its waiting time; 0
// if unknown.
func (a *Assigner) Expected(e *registrar.Endpoint, now time.Time) time.Duration {
	s := a.state(e)
	if s.work == 0 {
		return a.Work()
	}
	return seconds(a.momentaryWork(e, 0, now))
}

// Work returns the mean duration of the service's calls; 0 if unknown.
func (a *Assigner) Work() time.Duration {
	return seconds(a.work)
}

// Calls returns the number of calls that are assigned to e.
func (a *Assigner) Calls(e *registrar.Endpoint) int {
	return a.state(e).calls
}

// average adds a sample to a moving average; 0 means that it has none.
func average(mean *float64, value float64) {
	if *mean == 0 {
		*mean = value
	}
	*mean += workWeight * (value - *mean)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
