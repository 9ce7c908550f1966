// Package experimenter measures the decisions: it drives several homes and
// the real allocator against small models of engines, in virtual time, beside
// plain baselines that meet the same requests.
//
// # Usage
//
//	result, err := experimenter.Run(experimenter.Options{Seeds: 5})
//	fmt.Print(result.Table())
//	err = result.Plot("docs/measurements")
//
// A run is deterministic: the same options give the same figures. The engines
// are models of prefill, link, decode steps, memory, prefix cache and lagging
// load reports, and no more than that.
package experimenter

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/router"
)

// Defaults of Options.
const (
	defaultSeeds    = 5
	defaultHomes    = 9
	defaultDuration = 5 * time.Minute
	defaultWarmUp   = 2 * time.Minute
	defaultWorkers  = 3
)

// Options describe a measurement; zero fields get defaults.
type Options struct {
	// Seeds is the number of runs for each point.
	Seeds int
	// FirstSeed is the seed of the first run.
	FirstSeed uint64
	// Homes is the number of entry hosts.
	Homes int
	// Duration is the virtual time of a run; WarmUp is the part of it, at the
	// start, that is not measured.
	Duration time.Duration
	WarmUp   time.Duration
	// Fault is a name from Faults.
	Fault string
	// Workers is the number of runs at a time.
	Workers int
	// Loads are multiples of the capacity.
	Loads []float64
	// Mixes are "tamsui", "snyrtinams" and "snyrtinams-prefill-bound".
	Mixes []string
	// Policies are names from Policies.
	Policies []string
}

func (o Options) withDefaults() Options {
	if o.Seeds == 0 {
		o.Seeds = defaultSeeds
	}
	if o.FirstSeed == 0 {
		o.FirstSeed = 1
	}
	if o.Homes == 0 {
		o.Homes = defaultHomes
	}
	if o.Duration == 0 {
		o.Duration = defaultDuration
		o.WarmUp = defaultWarmUp
	}
	if o.Workers == 0 {
		o.Workers = defaultWorkers
	}
	if len(o.Loads) == 0 {
		o.Loads = []float64{0.5, 0.8, 1, 1.3, 2}
	}
	if len(o.Mixes) == 0 {
		o.Mixes = []string{"tamsui", "snyrtinams", "snyrtinams-prefill-bound"}
	}
	if len(o.Policies) == 0 {
		o.Policies = Policies()
	}
	return o
}

// Policies gives the names of the policies that can be measured; the first is
// the one in use, the others are baselines.
func Policies() []string {
	return []string{"plan", "no-reservation", "round-robin", "least-load", "power-of-two"}
}

// Figures are the measurements of one run.
type Figures struct {
	Requests   int `json:"requests"`
	Good       int `json:"good"`
	Late       int `json:"late"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	Unfinished int `json:"unfinished"`
	Urgent     int `json:"urgent"`
	UrgentGood int `json:"urgent-good"`
	// Goodput is requests a second that met both targets.
	Goodput float64 `json:"goodput"`
	// GoodTokens is the prompt and output tokens of those, a second.
	GoodTokens float64 `json:"good-tokens"`
	// WastedPrefill is the share of computed prefill tokens that were
	// discarded.
	WastedPrefill float64 `json:"wasted-prefill"`
	// HitShare is the share of prompt tokens found in prefix caches.
	HitShare float64 `json:"hit-share"`
	// UrgentFirstToken95 and PatientFirstToken95 are 95th percentiles of the
	// time to first token, in seconds.
	UrgentFirstToken95  float64 `json:"urgent-first-token-95"`
	PatientFirstToken95 float64 `json:"patient-first-token-95"`
	ImportRefusals      int     `json:"import-refusals"`
	MessagesPerRequest  float64 `json:"messages-per-request"`
	Cancels             int     `json:"cancels"`
}

// Point is one policy under one load, over all seeds.
type Point struct {
	Mix    string    `json:"mix"`
	Policy string    `json:"policy"`
	Load   float64   `json:"load"`
	Runs   []Figures `json:"runs"`
}

// Result is a whole measurement.
type Result struct {
	Points []Point `json:"points"`
}

// Run does the measurement.
func Run(o Options) (Result, error) {
	o = o.withDefaults()
	points, err := o.points()
	if err != nil {
		return Result{}, err
	}
	work := make(chan int)
	g := grouper.New(context.Background())
	for range o.Workers {
		g.Run(func(context.Context) {
			for i := range work {
				points[i/o.Seeds].measure(i%o.Seeds, o)
			}
		})
	}
	for i := range len(points) * o.Seeds {
		work <- i
	}
	close(work)
	if err := g.Wait(); err != nil {
		return Result{}, eris.Wrap(err, "can't measure")
	}
	return Result{Points: points}, nil
}

// points gives the points to measure, in order of the result.
func (o *Options) points() ([]Point, error) {
	if !slices.Contains(Faults(), o.Fault) {
		return nil, eris.New(fmt.Sprintf("fault %q does not exist", o.Fault))
	}
	var points []Point
	for _, name := range o.Mixes {
		if _, err := mixNamed(name); err != nil {
			return nil, err
		}
		for _, policy := range o.Policies {
			if !slices.Contains(Policies(), policy) && !slices.Contains(Variants(), policy) {
				return nil, eris.New(fmt.Sprintf("policy %q does not exist", policy))
			}
			for _, load := range o.Loads {
				points = append(points, Point{Mix: name, Policy: policy, Load: load, Runs: make([]Figures, o.Seeds)})
			}
		}
	}
	return points, nil
}

func mixNamed(name string) (mix, error) {
	switch name {
	case "tamsui":
		return tamsui(), nil
	case "snyrtinams":
		return snyrtinams(), nil
	case "snyrtinams-prefill-bound":
		return snyrtinamsShort(), nil
	default:
		return mix{}, eris.New(fmt.Sprintf("mix %q does not exist", name))
	}
}

// measure does the run of one seed.
func (p *Point) measure(seed int, o Options) {
	m, err := mixNamed(p.Mix)
	if err != nil {
		return // points checked the name
	}
	b := newBench(m, runOptions{
		Seed: o.FirstSeed + uint64(seed), Load: p.Load, Homes: o.Homes, Duration: o.Duration, WarmUp: o.WarmUp,
		Fault: o.Fault, PerfectEvents: p.Policy == "perfect-events",
	})
	b.placer = newPlacer(b, p.Policy)
	b.run()
	p.Runs[seed] = b.tally.sum(o.Duration)
}

// Variants gives policies beyond Policies, for single questions.
func Variants() []string {
	return []string{"early-binding", "no-affinity", "perfect-events"}
}

func newPlacer(b *bench, policy string) placer {
	switch policy {
	case "plan", "perfect-events":
		return newPoolPlacer(b, allocator.Options{LateBinding: true})
	case "early-binding":
		return newPoolPlacer(b, allocator.Options{})
	case "no-affinity":
		return newPoolPlacer(b, allocator.Options{LateBinding: true, Prefill: router.LeastLoad{}})
	case "no-reservation":
		return newPoolPlacer(b, allocator.Options{IgnoreReservations: true})
	case "round-robin":
		return newBaselinePlacer(b, func(uint64) router.Policy { return &router.RoundRobin{} })
	case "least-load":
		return newBaselinePlacer(b, func(uint64) router.Policy { return router.LeastLoad{} })
	default:
		return newBaselinePlacer(b, func(seed uint64) router.Policy { return router.NewPowerOfTwo(seed) })
	}
}
