package measurer

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/gossiper"
)

// MembershipConfig configures the measurements.
type MembershipConfig struct {
	// Hosts lists the fleet sizes to measure.
	Hosts []int
	// Seeds is the number of runs per fleet size. The seeds start at 1.
	Seeds int
}

// endpointChangeInterval is the interval between endpoint changes in a fleet of
// the full size: 6,900 changes per day.
const endpointChangeInterval = 12500 * time.Millisecond

// hostRestartInterval is the interval between host restarts under the most
// expensive load.
const hostRestartInterval = 30 * time.Second

// maxComparedHosts is the largest fleet for which the views of all hosts are
// compared.
const maxComparedHosts = 300

// MeasureMembership writes the cost per host and the convergence times of the
// membership protocol for each fleet size: the median over all seeds, with
// minimum and maximum.
func MeasureMembership(w io.Writer, c MembershipConfig) error {
	for _, hosts := range c.Hosts {
		if _, err := fmt.Fprintf(w, "hosts=%d data-centers=%d seeds=%d\n", hosts, dataCenters, c.Seeds); err != nil {
			return err
		}
		for _, row := range membershipRows(hosts, c.Seeds) {
			if _, err := fmt.Fprintln(w, " ", row); err != nil {
				return err
			}
		}
	}
	return nil
}

func membershipRows(hosts, seeds int) []string {
	var rows []string
	addDurations := func(name string, measure func(seed uint64) float64) {
		rows = append(rows, name+" "+summarize(measureSeeds(seeds, measure))+" s")
	}
	addDurations("powered-off host, time until every view has it as dead:", func(s uint64) float64 { return measureDetection(hosts, s, (*Fleet).PowerOff) })
	addDurations("stopped process, time until every view has it as dead:", func(s uint64) float64 { return measureDetection(hosts, s, (*Fleet).Stop) })
	addDurations("leaving mark, time until all hosts have it:", func(s uint64) float64 { return measureMarkSpread(hosts, s) })
	if hosts <= maxComparedHosts {
		addDurations("healed partition, time until all views agree:", func(s uint64) float64 { return measurePartition(hosts, s) })
	}
	if hosts <= maxComparedHosts {
		fullProbing := load{options: gossiper.Options{Monitors: hosts, ProbesPerPeriod: hosts}}
		rows = append(rows, costRows("calm, each host probes its whole data center", hosts, seeds, fullProbing)[0])
	}
	for _, l := range []struct {
		name string
		load load
	}{
		{"calm", load{}},
		{"digests", load{publishDigests: true}},
		{"digests, endpoints and hosts change", load{publishDigests: true, endpointChangeInterval: endpointChangeInterval, hostRestartInterval: hostRestartInterval}},
	} {
		rows = append(rows, costRows(l.name, hosts, seeds, l.load)...)
	}
	return rows
}

func costRows(name string, hosts, seeds int, l load) []string {
	var costs []cost
	for seed := range seeds {
		costs = append(costs, measureCost(hosts, uint64(seed+1), l))
	}
	row := func(metric string, field func(cost) float64) string {
		var values []float64
		for _, c := range costs {
			values = append(values, field(c))
		}
		return name + ": " + metric + " " + summarize(values)
	}
	return []string{
		row("bytes/s per host, both directions, mean over hosts:", func(c cost) float64 { return c.meanBytes }),
		row("bytes/s of the busiest host:", func(c cost) float64 { return c.maxBytes }),
		row("messages/s sent per host:", func(c cost) float64 { return c.messages }),
		row("processor time per host, us/s:", func(c cost) float64 { return c.processor }),
		row("age of a digest, s:", func(c cost) float64 { return c.digestAge }),
	}
}

// MeasureLargeFleets writes the measurements of one run per fleet size. It
// reuses one fleet for all of them, for sizes at which MeasureMembership takes
// too long.
func MeasureLargeFleets(w io.Writer, c MembershipConfig) error {
	for _, hosts := range c.Hosts {
		f := newSettledFleet(hosts, 1, gossiper.Options{})
		idleCost := f.measureLoad(load{})
		markSpread := f.markSpreadTime()
		detection := f.detectionTime((*Fleet).PowerOff)
		loadedCost := f.measureLoad(load{publishDigests: true, endpointChangeInterval: endpointChangeInterval, hostRestartInterval: hostRestartInterval})
		_, err := fmt.Fprintf(w, "hosts=%d data-centers=%d seed=1\n  powered-off host %.3g s, leaving mark %.3g s\n  idle %+v\n  loaded %+v\n",
			hosts, dataCenters, detection, markSpread, idleCost, loadedCost)
		if err != nil {
			return err
		}
	}
	return nil
}

// MeasurePauses writes the effects of pausing one host of a fleet for various
// durations.
func MeasurePauses(w io.Writer, c MembershipConfig) error {
	for _, hosts := range c.Hosts {
		for _, d := range []time.Duration{1, 2, 3, 4, 5, 8, 15, 60} {
			if _, err := fmt.Fprintln(w, pauseRow(hosts, c.Seeds, d*time.Second)); err != nil {
				return err
			}
		}
	}
	return nil
}

func pauseRow(hosts, seeds int, d time.Duration) string {
	var suspected, dead, othersDead int
	var recoveries []float64
	for seed := range seeds {
		p := measurePause(hosts, uint64(seed+1), d)
		if p.suspected {
			suspected++
		}
		if p.declaredDead {
			dead++
		}
		othersDead += p.othersDeclaredDead
		recoveries = append(recoveries, p.recovery)
	}
	return fmt.Sprintf("hosts=%d pause=%s runs=%d suspected=%d dead=%d others-declared-dead=%d recovery %s s",
		hosts, d, seeds, suspected, dead, othersDead, summarize(recoveries))
}

func measureSeeds(seeds int, measure func(seed uint64) float64) []float64 {
	var values []float64
	for seed := range seeds {
		values = append(values, measure(uint64(seed+1)))
	}
	return values
}

// summarize formats the median, the minimum and the maximum.
func summarize(values []float64) string {
	if len(values) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(values))
	return fmt.Sprintf("%.3g [%.3g..%.3g]", sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1])
}
