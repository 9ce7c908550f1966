// Package stager decides how a service's model engines are shared between
// prefill and decode. It decides only: it has no I/O, no clock and no
// goroutines.
//
// # Usage
//
//	s := stager.New()
//	s.Prefilled(tokens, took)                  // of a prompt that had its engine alone
//	s.Expected(prompt, tokens, takes)          // of an answer that begins
//	s.Answered(tokens, took)                   // of a whole answer
//	for _, o := range s.Next(engines, memory, now) { /* order o.Engine to o.Stage */ }
//
// # Which share is best
//
// A request occupies a prefill engine for the time in which its prompt is
// read, and a part of a decode engine's memory for the time of its answer. With
// n engines, p of them for prefill, at most min(p/tp, (n-p)/td) requests a
// second can be served, where tp is the prefill time and td the answer's time
// times its share of an engine's memory. Both are measured: td directly, tp as
// the slope of the prefill time over the prompt's length, since an engine reads
// several prompts beside each other and the fixed part of the time doesn't
// occupy it.
package stager

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// AssumedRate is the rate at which an engine reads prompts, in tokens a second,
// until it has been measured.
const AssumedRate = 40_000

const (
	// minSamples is how many prefills and answers are needed for a decision.
	minSamples = 10
	// memorySamples is about how many of the last samples count.
	memorySamples = 150
	// minGain is the gain in capacity that is worth an order.
	minGain = 1.12
	// unsureGain is what an order has to gain while the prefill rate is only
	// assumed.
	unsureGain = 1.5
	// maxError is the relative standard error from which on a slope is not
	// relied on.
	maxError = 0.2
	// minPrefill engines are kept where there are minShared engines or more.
	minPrefill = 2
	minShared  = 5
	// orderInterval is the time between two orders, turnInterval that between
	// two of opposite direction. settleTime is how long an engine that was
	// ordered counts as changing while it doesn't show the new stage: it ends
	// what runs first. A large pool spares several engines at
	// once: one of each sparedShare.
	sparedShare   = 16
	orderInterval = 500 * time.Millisecond
	turnInterval  = 30 * time.Second
	settleTime    = 30 * time.Second
	// steadyTime is how long the list of engines must have been the same:
	// longer than crashes and cuts last as a rule. In a large pool some engines
	// always come and go: one of each strayShare is no change.
	steadyTime = 6 * time.Second
	strayShare = 16
)

// Order has an engine take a stage.
type Order struct {
	Engine *registrar.Endpoint
	Stage  registrar.Stage
}

// Stager keeps the measurements of one service. It is not safe for concurrent
// use.
type Stager struct {
	prefills regression
	prompt   mean // tokens
	answer   mean // token seconds
	expected mean // the same, as expected of answers that have begun
	ordered  map[identifier.Endpoint]change
	last     time.Time
	turn     registrar.Stage // of the last order
	counted  counts
	since    time.Time // counted is the same since then
	goal     goal
}

// goal is a share that has been decided on, for a pool of a size; the zero
// value is none. It is kept until it is reached, though the last steps alone
// would not be worth it.
type goal struct{ size, prefill int }

// fits tells whether the goal is one for about so many engines.
func (g goal) fits(size int) bool {
	return strayed(g.size, size) <= size/strayShare
}

type counts struct{ prefill, decode int }

func strayed(a, b int) int {
	return max(a-b, b-a)
}

// change is the last order to an engine.
type change struct {
	stage   registrar.Stage
	at      time.Time
	started int64 // of the engine
}

// New gives a Stager without measurements.
func New() *Stager {
	return &Stager{ordered: map[identifier.Endpoint]change{}}
}

// Prefilled notes how long a prefill took that had its engine alone.
func (s *Stager) Prefilled(tokens identifier.Tokens, took time.Duration) {
	s.prefills.add(float64(tokens), took.Seconds())
}

// Expected notes an answer that begins, with the time that it should take.
// That counts until enough answers were whole.
func (s *Stager) Expected(prompt, tokens identifier.Tokens, takes time.Duration) {
	s.prompt.add(float64(prompt))
	s.expected.add(float64(tokens) * takes.Seconds())
}

// Answered notes a whole answer: the tokens of memory that it took, and the
// time for which it took them.
func (s *Stager) Answered(tokens identifier.Tokens, took time.Duration) {
	s.answer.add(float64(tokens) * took.Seconds())
}

// PrefillRate gives the tokens of prompt that an engine reads in a second;
// false: it isn't known yet.
func (s *Stager) PrefillRate() (float64, bool) {
	slope, ok := s.prefills.slope()
	if !ok {
		return 0, false
	}
	return 1 / slope, true
}

// Next gives the orders that raise the capacity the most; none: it isn't worth
// one. They count as given.
func (s *Stager) Next(all []*registrar.Endpoint, memory identifier.Tokens, now time.Time) []Order {
	prefill, decode := s.count(all, now)
	steady := s.steady(counts{len(prefill), len(decode)}, now)
	tp, td, gain, ok := s.times(memory)
	if !ok || !steady || now.Sub(s.last) < orderInterval {
		return nil
	}
	size := len(prefill) + len(decode)
	if !s.goal.fits(size) {
		s.goal = goal{}
	}
	if best := bestPrefill(size, tp, td); capacity(best, size, tp, td) >= gain*capacity(len(prefill), size, tp, td) {
		s.goal = goal{size: size, prefill: best}
	}
	missing := s.goal.prefill - len(prefill)
	if s.goal.size == 0 || missing == 0 {
		return nil
	}
	from, stage := decode, registrar.StagePrefill
	if missing < 0 {
		from, stage = prefill, registrar.StageDecode
		missing = -missing
	}
	if stage != s.turn && now.Sub(s.last) < turnInterval && !s.last.IsZero() {
		return nil
	}
	orders := s.order(spread(from, min(missing, spared(size))), stage, now)
	prefill, decode = s.count(all, now)
	s.counted = counts{len(prefill), len(decode)} // this change was expected
	return orders
}

// spared gives how many engines of a pool may change at once.
func spared(size int) int {
	return max(1, size/sparedShare)
}

// spread gives count of the engines, each from the data centre that has the most
// of them left, so that each data centre keeps engines of the stage.
func spread(engines []*registrar.Endpoint, count int) []*registrar.Endpoint {
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

// order notes orders of engines to a stage.
func (s *Stager) order(engines []*registrar.Endpoint, stage registrar.Stage, now time.Time) []Order {
	var orders []Order
	for _, e := range engines {
		s.ordered[e.Name] = change{stage: stage, at: now, started: e.Started}
		orders = append(orders, Order{Engine: e, Stage: stage})
	}
	s.last = now
	s.turn = stage
	return orders
}

// Changing tells whether an engine has been ordered to take another stage and
// hasn't taken it yet.
func (s *Stager) Changing(e *registrar.Endpoint, now time.Time) bool {
	c, ok := s.ordered[e.Name]
	return ok && c.stage != e.Stage && c.started == e.Started && now.Sub(c.at) < settleTime
}

// count gives the engines of each stage, those that change counted where they
// are going to.
func (s *Stager) count(all []*registrar.Endpoint, now time.Time) (prefill, decode []*registrar.Endpoint) {
	for _, e := range all {
		stage := e.Stage
		if e.Leaving || stage == registrar.StageAny {
			continue
		}
		if s.Changing(e, now) {
			stage = s.ordered[e.Name].stage
		}
		if stage == registrar.StagePrefill {
			prefill = append(prefill, e)
		} else {
			decode = append(decode, e)
		}
	}
	return prefill, decode
}

// steady tells whether the engines have been about the same for long enough.
func (s *Stager) steady(c counts, now time.Time) bool {
	stray := (c.prefill + c.decode) / strayShare
	if strayed(c.prefill, s.counted.prefill) > stray || strayed(c.decode, s.counted.decode) > stray {
		s.counted = c
		s.since = now
	}
	return now.Sub(s.since) >= steadyTime
}

// times gives what a request costs a prefill and a decode engine, in seconds,
// and the gain that is worth an order by them.
func (s *Stager) times(memory identifier.Tokens) (prefill, decode, gain float64, ok bool) {
	if s.prompt.count < minSamples || memory == 0 {
		return 0, 0, 0, false
	}
	gain = minGain
	slope, sure := s.prefills.slope()
	if !sure {
		slope = 1.0 / AssumedRate
		gain = unsureGain
	}
	answer := s.answer
	if answer.count < minSamples {
		answer = s.expected
	}
	return slope * s.prompt.value, answer.value / float64(memory), gain, true
}

// capacity gives the requests a second that n engines can serve, p of them for
// prefill.
func capacity(p, n int, tp, td float64) float64 {
	return min(float64(p)/tp, float64(n-p)/td)
}

// bestPrefill gives the number of prefill engines with the highest capacity.
func bestPrefill(n int, tp, td float64) int {
	least := 1
	if n >= minShared {
		least = minPrefill
	}
	best := least
	for p := least; p < n; p++ {
		if capacity(p, n, tp, td) > capacity(best, n, tp, td) {
			best = p
		}
	}
	return best
}

// mean is a mean in which old values fade.
type mean struct {
	count int
	value float64
}

func (m *mean) add(v float64) {
	m.count++
	m.value += (v - m.value) / float64(min(m.count, memorySamples))
}

// regression fits a line, with old points fading.
type regression struct {
	count            int
	x, y, xx, xy, yy float64 // means
}

func (r *regression) add(x, y float64) {
	r.count++
	w := 1 / float64(min(r.count, memorySamples))
	r.x += w * (x - r.x)
	r.y += w * (y - r.y)
	r.xx += w * (x*x - r.xx)
	r.xy += w * (x*y - r.xy)
	r.yy += w * (y*y - r.yy)
}

// slope gives the line's slope; false: it isn't known well enough.
func (r *regression) slope() (float64, bool) {
	xx, yy, xy := r.xx-r.x*r.x, r.yy-r.y*r.y, r.xy-r.x*r.y
	if r.count < minSamples || xx <= 0 || yy <= 0 || xy <= 0 {
		return 0, false
	}
	explained := min(1, xy*xy/(xx*yy)) // share of the variance
	points := float64(min(r.count, memorySamples) - 2)
	relativeError := math.Sqrt((1 - explained) / explained / points)
	return xy / xx, relativeError <= maxError
}
