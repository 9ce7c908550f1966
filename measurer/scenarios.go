package measurer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
)

// Durations of the scenarios, in virtual time.
const (
	settleDuration = 40 * time.Second
	// settleDurationPerHost allows for the initial spread of membership updates,
	// which grows with the fleet.
	settleDurationPerHost = 100 * time.Millisecond
	trafficDuration       = 60 * time.Second
	scenarioTimeout       = 5 * time.Minute
)

// digestSize is the size in bytes of the published load digests.
const digestSize = 40

// newSettledFleet returns a fleet whose hosts have full views and have finished
// spreading their initial updates.
func newSettledFleet(hosts int, seed uint64, o gossiper.Options) *Fleet {
	f := NewFleet(FleetConfig{Hosts: hosts, DataCenters: dataCenters, Seed: seed, Options: o})
	for i := range hosts {
		f.Apply(i, gossiper.Published{Payload: gossiper.Payload{Revision: 1, Readiness: gossiper.ReadinessReady}})
	}
	f.Run(settleDuration + time.Duration(hosts)*settleDurationPerHost)
	return f
}

// dataCenters is the number of data centers of all measured fleets.
const dataCenters = 3

// allSee reports whether every other running host of host i's data center sees it
// as live, or as not live if live is false.
func (f *Fleet) allSee(i int, live bool) bool {
	for j := range f.hosts {
		if j == i || !f.Running(j) || f.DataCenter(j) != f.DataCenter(i) {
			continue
		}
		if f.sees(j, i) != live {
			return false
		}
	}
	return true
}

// sees reports whether host at sees host i's latest process as live.
func (f *Fleet) sees(at, i int) bool {
	n, ok := f.View(at).ByHost(f.Name(i))
	alive := n.State == gossiper.StateAlive || n.State == gossiper.StateSuspect
	return ok && alive && n.Incarnation == f.Incarnation(i)
}

// measureDetection measures the time in seconds from the end of a host's process
// until all other hosts of its data center consider it dead.
func measureDetection(hosts int, seed uint64, end func(*Fleet, int)) float64 {
	return newSettledFleet(hosts, seed, gossiper.Options{}).detectionTime(end)
}

func (f *Fleet) detectionTime(end func(*Fleet, int)) float64 {
	f.Run(time.Duration(f.random.Int64N(int64(time.Second))))
	i := f.random.IntN(len(f.hosts))
	pending := map[int]bool{}
	for j := range f.hosts {
		if j != i && f.DataCenter(j) == f.DataCenter(i) {
			pending[j] = true
		}
	}
	f.OnChange(func(at int, c gossiper.MemberChanged) {
		if c.Host == f.Name(i) && c.To == gossiper.StateDead {
			delete(pending, at)
		}
	})
	end(f, i)
	d, _ := f.RunUntil(scenarioTimeout, func() bool { return len(pending) == 0 })
	return d.Seconds()
}

// measureMarkSpread measures the time in seconds until a leaving mark has reached
// all hosts of all data centers.
func measureMarkSpread(hosts int, seed uint64) float64 {
	return newSettledFleet(hosts, seed, gossiper.Options{}).markSpreadTime()
}

func (f *Fleet) markSpreadTime() float64 {
	f.Run(time.Duration(f.random.Int64N(int64(time.Second))))
	const endpoint = identifier.Endpoint("note-writer-04")
	f.Apply(f.random.IntN(len(f.hosts)), gossiper.Marked{Endpoint: endpoint, Mark: gossiper.Mark{Revision: 7, Leaving: true}})
	d, _ := f.RunUntil(scenarioTimeout, func() bool {
		for _, h := range f.hosts {
			if k, _ := h.machine.Mark(endpoint); !k.Leaving {
				return false
			}
		}
		return true
	})
	return d.Seconds()
}

// load configures the activity during a traffic measurement.
type load struct {
	// publishDigests makes every host publish a new digest each second.
	publishDigests bool
	// endpointChangeInterval is the interval between endpoint changes; 0 means
	// none.
	endpointChangeInterval time.Duration
	// hostRestartInterval is the interval between host restarts; 0 means none.
	hostRestartInterval time.Duration
	// options of the state machines; the zero value means the defaults.
	options gossiper.Options
}

// cost is the cost of membership per host.
type cost struct {
	// meanBytes and maxBytes are the mean and the maximum over all hosts, per
	// second and in both directions.
	meanBytes, maxBytes float64
	messages            float64 // sent per second
	processor           float64 // microseconds of wall time per second of virtual time
	digestAge           float64 // seconds, mean over members of the data center
}

// measureCost measures the cost in a new fleet under a load.
func measureCost(hosts int, seed uint64, l load) cost {
	return newSettledFleet(hosts, seed, l.options).measureLoad(l)
}

// measureLoad runs the fleet under a load and measures its cost after a warm-up.
func (f *Fleet) measureLoad(l load) cost {
	f.runLoad(l, settleDuration)
	before := slices.Clone(f.traffic)
	start := time.Now()
	f.runLoad(l, trafficDuration)
	wallTime := time.Since(start)
	hosts := float64(len(f.hosts))
	c := cost{processor: float64(wallTime.Microseconds()) / trafficDuration.Seconds() / hosts}
	for i := range f.traffic {
		bytes := float64(f.traffic[i].Bytes-before[i].Bytes) / trafficDuration.Seconds()
		c.meanBytes += bytes / hosts
		c.maxBytes = max(c.maxBytes, bytes)
		c.messages += float64(f.traffic[i].Messages-before[i].Messages) / trafficDuration.Seconds() / hosts
	}
	c.digestAge = f.digestAge()
	return c
}

// runLoad runs the fleet under a load for d.
func (f *Fleet) runLoad(l load, d time.Duration) {
	nextChange, nextRestart := f.now.Add(l.endpointChangeInterval), f.now.Add(l.hostRestartInterval)
	for end := f.now.Add(d); f.now.Before(end); f.Run(time.Second) {
		if l.publishDigests {
			f.publishDigests()
		}
		if l.endpointChangeInterval > 0 && !f.now.Before(nextChange) {
			nextChange = nextChange.Add(l.endpointChangeInterval)
			e := identifier.Endpoint(fmt.Sprintf("note-writer-%04d", f.random.IntN(10000)))
			mark := gossiper.Mark{Revision: identifier.Revision(f.now.Unix()), Leaving: true}
			f.Apply(f.random.IntN(len(f.hosts)), gossiper.Marked{Endpoint: e, Mark: mark})
		}
		if l.hostRestartInterval > 0 && !f.now.Before(nextRestart) {
			nextRestart = nextRestart.Add(l.hostRestartInterval)
			f.Restart(f.random.IntN(len(f.hosts)))
		}
	}
}

// publishDigests makes each host publish a digest that starts with the current
// time.
func (f *Fleet) publishDigests() {
	for i := range f.hosts {
		digest := make([]byte, digestSize)
		copy(digest, f.now.Format(time.RFC3339))
		f.Apply(i, gossiper.Published{Payload: gossiper.Payload{Revision: 1, Readiness: gossiper.ReadinessReady, Digest: digest}})
	}
}

// digestAge returns the mean age, in seconds, of the digests of its own data
// center in the first host's view.
func (f *Fleet) digestAge() float64 {
	var sum float64
	var count int
	for _, n := range f.View(0).Live(f.DataCenter(0)) {
		if len(n.Digest) < len(time.RFC3339)-5 {
			continue
		}
		at, err := time.Parse(time.RFC3339, string(n.Digest[:len(f.now.Format(time.RFC3339))]))
		if err != nil {
			continue
		}
		sum += f.now.Sub(at).Seconds()
		count++
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// pauseEffect is the effect of freezing a host.
type pauseEffect struct {
	suspected          bool
	declaredDead       bool    // at least one host declared the frozen host dead
	othersDeclaredDead int     // times that a running host was declared dead
	recovery           float64 // seconds from the end of the pause until it and the others see each other as live
}

// measurePause measures the effect of freezing one host for d.
func measurePause(hosts int, seed uint64, d time.Duration) pauseEffect {
	f := newSettledFleet(hosts, seed, gossiper.Options{})
	f.Run(time.Duration(f.random.Int64N(int64(time.Second))))
	i := f.random.IntN(hosts)
	var p pauseEffect
	f.OnChange(func(_ int, c gossiper.MemberChanged) {
		switch {
		case c.Host == f.Name(i) && c.To == gossiper.StateSuspect:
			p.suspected = true
		case c.Host == f.Name(i) && c.To == gossiper.StateDead:
			p.declaredDead = true
		case c.To == gossiper.StateDead:
			p.othersDeclaredDead++
		}
	})
	f.Freeze(i, d)
	f.Run(d)
	e, _ := f.RunUntil(scenarioTimeout, func() bool { return f.allSee(i, true) && f.seesAll(i) })
	f.Run(settleDuration)
	p.recovery = e.Seconds()
	return p
}

// seesAll reports whether host at sees all running hosts of its data center as
// live.
func (f *Fleet) seesAll(at int) bool {
	for i := range f.hosts {
		if f.Running(i) && f.DataCenter(i) == f.DataCenter(at) && !f.sees(at, i) {
			return false
		}
	}
	return true
}

// measurePartition separates half of a data center's hosts from all other hosts
// for about a minute, sets leaving marks on both sides, and measures the time in
// seconds from the end of the partition until all views agree.
func measurePartition(hosts int, seed uint64) float64 {
	f := newSettledFleet(hosts, seed, gossiper.Options{})
	side := func(i int) bool { return i%dataCenters == 0 && i/dataCenters%2 == 0 }
	f.Partition(func(from, to int) bool { return side(from) != side(to) })
	f.Run(settleDuration)
	f.Apply(0, gossiper.Marked{Endpoint: "a", Mark: gossiper.Mark{Revision: 8, Leaving: true}})
	f.Apply(1, gossiper.Marked{Endpoint: "b", Mark: gossiper.Mark{Revision: 8, Leaving: true}})
	f.Run(settleDuration/2 + time.Duration(f.random.Int64N(int64(10*time.Second))))
	f.Heal()
	d, _ := f.RunUntil(scenarioTimeout, f.Converged)
	return d.Seconds()
}

// Converged reports whether all running hosts see each other as live and have the
// same endpoint marks, which record that an endpoint is leaving.
func (f *Fleet) Converged() bool {
	for i := range f.hosts {
		if !f.Running(i) {
			continue
		}
		for j := range f.hosts {
			if f.Running(j) && !f.sees(i, j) {
				return false
			}
		}
	}
	return f.marksAgree()
}

// marksAgree reports whether all running hosts have the same marks.
func (f *Fleet) marksAgree() bool {
	var first map[identifier.Endpoint]gossiper.Mark
	for i := range f.hosts {
		if !f.Running(i) {
			continue
		}
		marks := f.View(i).Marks()
		if first == nil {
			first = marks
		}
		if !maps.Equal(first, marks) {
			return false
		}
	}
	return true
}
