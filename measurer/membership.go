package measurer

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/gossiper"
)

// MembershipConfig says what Membership measures.
type MembershipConfig struct {
	// Hosts are the sizes of fleets.
	Hosts []int
	// Seeds is the number of runs of each, with seeds from 1.
	Seeds int
}

// membershipChange is the time between changes of endpoints at the full size:
// 6,900 a day.
const membershipChange = 12500 * time.Millisecond

// membershipRestart is the time between restarts of hosts in the costliest
// load.
const membershipRestart = 30 * time.Second

// maxComparedHosts bounds the fleets all of whose views are compared.
const maxComparedHosts = 300

// Membership writes, for each size of fleet, what membership costs a host and
// how fast it is: the median over seeds, with the least and the greatest.
func Membership(w io.Writer, c MembershipConfig) error {
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
	times := func(name string, measure func(seed uint64) float64) {
		rows = append(rows, name+" "+summarize(sample(seeds, measure))+" s")
	}
	times("vanished host, until no view has it live:", func(s uint64) float64 { return detect(hosts, s, (*Fleet).Lose) })
	times("ended process, until no view has it live:", func(s uint64) float64 { return detect(hosts, s, (*Fleet).Stop) })
	times("leaving mark, until all hosts have it:", func(s uint64) float64 { return spreadMark(hosts, s) })
	if hosts <= maxComparedHosts {
		times("cut healed, until all views agree:", func(s uint64) float64 { return measureCut(hosts, s) })
	}
	if hosts <= maxComparedHosts {
		mesh := load{options: gossiper.Options{Monitors: hosts, Probes: hosts}}
		rows = append(rows, costRows("calm, each host probes all of its data center", hosts, seeds, mesh)[0])
	}
	for _, l := range []struct {
		name string
		load load
	}{
		{"calm", load{}},
		{"digests", load{digests: true}},
		{"digests, endpoints and hosts change", load{digests: true, change: membershipChange, restart: membershipRestart}},
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
	row := func(what string, field func(cost) float64) string {
		var values []float64
		for _, c := range costs {
			values = append(values, field(c))
		}
		return name + ": " + what + " " + summarize(values)
	}
	return []string{
		row("bytes/s of a host, both directions, mean over hosts:", func(c cost) float64 { return c.meanBytes }),
		row("bytes/s of the busiest host:", func(c cost) float64 { return c.maxBytes }),
		row("messages/s sent by a host:", func(c cost) float64 { return c.messages }),
		row("processor time of a host, us/s:", func(c cost) float64 { return c.processor }),
		row("age of a digest, s:", func(c cost) float64 { return c.digestAge }),
	}
}

// Large writes the figures of one run for each size, in one fleet, for sizes at
// which Membership takes too long.
func Large(w io.Writer, c MembershipConfig) error {
	for _, hosts := range c.Hosts {
		f := newSettledFleet(hosts, 1, gossiper.Options{})
		calm := f.cost(load{})
		mark := f.spreadMark()
		vanished := f.detect((*Fleet).Lose)
		busy := f.cost(load{digests: true, change: membershipChange, restart: membershipRestart})
		_, err := fmt.Fprintf(w, "hosts=%d data-centers=%d seed=1\n  vanished host %.3g s, leaving mark %.3g s\n  calm %+v\n  busy %+v\n",
			hosts, dataCenters, vanished, mark, calm, busy)
		if err != nil {
			return err
		}
	}
	return nil
}

// Pauses writes what follows from pauses of one host of a fleet.
func Pauses(w io.Writer, c MembershipConfig) error {
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
	var suspected, died, others int
	var recoveries []float64
	for seed := range seeds {
		p := measurePause(hosts, uint64(seed+1), d)
		if p.suspected {
			suspected++
		}
		if p.died {
			died++
		}
		others += p.othersDied
		recoveries = append(recoveries, p.recovery)
	}
	return fmt.Sprintf("hosts=%d pause=%s runs=%d suspected=%d dead=%d others-declared-dead=%d recovery %s s",
		hosts, d, seeds, suspected, died, others, summarize(recoveries))
}

func sample(seeds int, measure func(seed uint64) float64) []float64 {
	var values []float64
	for seed := range seeds {
		values = append(values, measure(uint64(seed+1)))
	}
	return values
}

// summarize gives the median, the least and the greatest.
func summarize(values []float64) string {
	if len(values) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(values))
	return fmt.Sprintf("%.3g [%.3g..%.3g]", sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1])
}
