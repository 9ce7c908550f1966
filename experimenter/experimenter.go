// Package experimenter benchmarks placement, limits and retries in virtual
// time. It runs several entry hosts and the real allocator against simulated
// engines, and compares them with simple baselines that receive the same
// requests.
//
// # Usage
//
//	result, err := experimenter.Run(experimenter.Options{Seeds: 5})
//	fmt.Print(result.Table())
//	err = result.Plot("docs/measurements")
//
// A run is deterministic: the same options give the same results. The engines
// model prefill, the link, decode steps, memory, the prefix cache and delayed
// load reports, and nothing else.
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
	defaultHosts    = 9
	defaultDuration = 5 * time.Minute
	defaultWarmUp   = 2 * time.Minute
	defaultWorkers  = 3
)

// Options configures a benchmark. Zero fields take default values.
type Options struct {
	// Seeds is the number of runs for each point.
	Seeds int
	// FirstSeed is the seed of the first run.
	FirstSeed uint64
	// Hosts is the number of entry hosts.
	Hosts int
	// Duration is the length of a run in virtual time, including WarmUp, the
	// initial part that is not measured.
	Duration time.Duration
	WarmUp   time.Duration
	// Fault is the name of the fault to inject, one of Faults.
	Fault string
	// Workers is the number of concurrent runs.
	Workers int
	// Loads are the offered loads, as multiples of the capacity.
	Loads []float64
	// Mixes are "tamsui", "snyrtinams" and "snyrtinams-prefill-bound".
	Mixes []string
	// Policies are names from Policies or Variants.
	Policies []string
}

func (o Options) withDefaults() Options {
	if o.Seeds == 0 {
		o.Seeds = defaultSeeds
	}
	if o.FirstSeed == 0 {
		o.FirstSeed = 1
	}
	if o.Hosts == 0 {
		o.Hosts = defaultHosts
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

// Policies returns the names of the standard policies. The first one is used in
// production, the others are baselines.
func Policies() []string {
	return []string{"plan", "no-reservation", "round-robin", "least-load", "power-of-two"}
}

// Metrics holds the measurements of one run.
type Metrics struct {
	Requests int `json:"requests"`
	// Good counts the requests that met both latency targets, Late those that
	// succeeded without meeting them, and Unfinished those that were still
	// running at the end of the run.
	Good       int `json:"good"`
	Late       int `json:"late"`
	Refused    int `json:"refused"`
	Failed     int `json:"failed"`
	Unfinished int `json:"unfinished"`
	// Urgent counts the urgent requests that ended, UrgentGood those that met
	// both latency targets.
	Urgent     int `json:"urgent"`
	UrgentGood int `json:"urgent-good"`
	// Goodput is the number of requests per second that met both latency targets.
	Goodput float64 `json:"goodput"`
	// GoodTokens is the number of their prompt and output tokens per second.
	GoodTokens float64 `json:"good-tokens"`
	// WastedPrefill is the share of computed prefill tokens that were
	// discarded.
	WastedPrefill float64 `json:"wasted-prefill"`
	// HitShare is the share of prompt tokens found in prefix caches.
	HitShare float64 `json:"hit-share"`
	// UrgentFirstToken95 and PatientFirstToken95 are the 95th percentiles of
	// the time to first token of urgent and of other requests, in seconds.
	UrgentFirstToken95  float64 `json:"urgent-first-token-95"`
	PatientFirstToken95 float64 `json:"patient-first-token-95"`
	// ImportRefusals counts the imports that were refused or had no decode
	// engine, including repeated ones.
	ImportRefusals int `json:"import-refusals"`
	// MessagesPerRequest is the number of messages between the entry hosts and
	// the allocator per request.
	MessagesPerRequest float64 `json:"messages-per-request"`
	// Cancels counts the allocator's CancelAt actions.
	Cancels int `json:"cancels"`
}

// Point holds the runs of one policy under one load, one per seed.
type Point struct {
	Mix    string    `json:"mix"`
	Policy string    `json:"policy"`
	Load   float64   `json:"load"`
	Runs   []Metrics `json:"runs"`
}

// Result holds the points of a benchmark.
type Result struct {
	Points []Point `json:"points"`
}

// Run runs the benchmark.
func Run(o Options) (Result, error) {
	o = o.withDefaults()
	points, err := o.newPoints()
	if err != nil {
		return Result{}, err
	}
	indexes := make(chan int)
	g := grouper.New(context.Background())
	for range o.Workers {
		g.Run(func(context.Context) {
			for i := range indexes {
				points[i/o.Seeds].runSeed(i%o.Seeds, o)
			}
		})
	}
	for i := range len(points) * o.Seeds {
		indexes <- i
	}
	close(indexes)
	if err := g.Wait(); err != nil {
		return Result{}, eris.Wrap(err, "failed to run the benchmark")
	}
	return Result{Points: points}, nil
}

// newPoints validates the options and returns the points to measure, in the order
// of the result.
func (o *Options) newPoints() ([]Point, error) {
	if !slices.Contains(Faults(), o.Fault) {
		return nil, eris.New(fmt.Sprintf("fault %q does not exist", o.Fault))
	}
	var points []Point
	for _, name := range o.Mixes {
		if _, err := mixByName(name); err != nil {
			return nil, err
		}
		for _, policy := range o.Policies {
			if !slices.Contains(Policies(), policy) && !slices.Contains(Variants(), policy) {
				return nil, eris.New(fmt.Sprintf("policy %q does not exist", policy))
			}
			for _, load := range o.Loads {
				points = append(points, Point{Mix: name, Policy: policy, Load: load, Runs: make([]Metrics, o.Seeds)})
			}
		}
	}
	return points, nil
}

func mixByName(name string) (mix, error) {
	switch name {
	case "tamsui":
		return tamsui(), nil
	case "snyrtinams":
		return snyrtinams(), nil
	case "snyrtinams-prefill-bound":
		return snyrtinamsPrefillBound(), nil
	default:
		return mix{}, eris.New(fmt.Sprintf("mix %q does not exist", name))
	}
}

// runSeed runs the benchmark with the seed at the given index and stores its
// metrics.
func (p *Point) runSeed(index int, o Options) {
	m, err := mixByName(p.Mix)
	if err != nil {
		return // unreachable: newPoints has validated the name
	}
	b := newBenchmark(m, runOptions{
		Seed: o.FirstSeed + uint64(index), Load: p.Load, Hosts: o.Hosts, Duration: o.Duration, WarmUp: o.WarmUp,
		Fault: o.Fault, PerfectEvents: p.Policy == "perfect-events",
	})
	b.placer = newPlacer(b, p.Policy)
	b.run()
	p.Runs[index] = b.tally.metrics(o.Duration)
}

// Variants returns the names of variants of the production policy. They change
// one aspect each and are not part of the default run.
func Variants() []string {
	return []string{"early-binding", "no-affinity", "perfect-events"}
}

func newPlacer(b *benchmark, policy string) requestPlacer {
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
