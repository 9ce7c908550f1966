package measurer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
)

// Times of the scenarios.
const (
	settleTime = 40 * time.Second
	// settlePerHost is for the news of a fleet that has just met.
	settlePerHost = 100 * time.Millisecond
	trafficTime   = 60 * time.Second
	patience      = 5 * time.Minute
)

// digestSize is that of the load digests which loaded hosts publish, in bytes.
const digestSize = 40

// newSettledFleet gives a fleet whose hosts know each other and are calm.
func newSettledFleet(hosts int, seed uint64, o gossiper.Options) *Fleet {
	f := NewFleet(FleetConfig{Hosts: hosts, DataCenters: dataCenters, Seed: seed, Options: o})
	for i := range hosts {
		f.Do(i, gossiper.Published{Payload: gossiper.Payload{Revision: 1, Readiness: gossiper.ReadinessReady}})
	}
	f.Run(settleTime + time.Duration(hosts)*settlePerHost)
	return f
}

// dataCenters of all measured fleets.
const dataCenters = 3

// liveAgrees tells whether all running hosts of host i's data center see it as
// live, or all as not live.
func (f *Fleet) liveAgrees(i int, live bool) bool {
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

// sees tells whether host at has host i's newest process as live.
func (f *Fleet) sees(at, i int) bool {
	n, ok := f.View(at).ByHost(f.Name(i))
	alive := n.State == gossiper.StateAlive || n.State == gossiper.StateSuspect
	return ok && alive && n.Incarnation == f.Incarnation(i)
}

// detect measures how long after the end of a host all others of its data
// center have it as dead, in seconds.
func detect(hosts int, seed uint64, end func(*Fleet, int)) float64 {
	return newSettledFleet(hosts, seed, gossiper.Options{}).detect(end)
}

func (f *Fleet) detect(end func(*Fleet, int)) float64 {
	f.Run(time.Duration(f.random.Int64N(int64(time.Second))))
	i := f.random.IntN(len(f.hosts))
	left := map[int]bool{}
	for j := range f.hosts {
		if j != i && f.DataCenter(j) == f.DataCenter(i) {
			left[j] = true
		}
	}
	f.OnChange(func(at int, c gossiper.Changed) {
		if c.Host == f.Name(i) && c.To == gossiper.StateDead {
			delete(left, at)
		}
	})
	end(f, i)
	d, _ := f.RunUntil(patience, func() bool { return len(left) == 0 })
	return d.Seconds()
}

// spreadMark measures how long a leaving mark takes to reach all hosts of all
// data centers, in seconds.
func spreadMark(hosts int, seed uint64) float64 {
	return newSettledFleet(hosts, seed, gossiper.Options{}).spreadMark()
}

func (f *Fleet) spreadMark() float64 {
	f.Run(time.Duration(f.random.Int64N(int64(time.Second))))
	const endpoint = identifier.Endpoint("note-writer-04")
	f.Do(f.random.IntN(len(f.hosts)), gossiper.Marked{Endpoint: endpoint, Mark: gossiper.Mark{Revision: 7, Leaving: true}})
	d, _ := f.RunUntil(patience, func() bool {
		for _, h := range f.hosts {
			if k, _ := h.machine.Mark(endpoint); !k.Leaving {
				return false
			}
		}
		return true
	})
	return d.Seconds()
}

// load says what goes on while traffic is measured.
type load struct {
	// digests has every host publish a new digest each second.
	digests bool
	// change is the time between changes of endpoints; 0: none.
	change time.Duration
	// restart is the time between restarts of hosts; 0: none.
	restart time.Duration
	// options of the machines; zero: the defaults.
	options gossiper.Options
}

// cost is what membership costs a host.
type cost struct {
	// meanBytes and maxBytes per second, in both directions.
	meanBytes, maxBytes float64
	messages            float64 // sent per second
	processor           float64 // microseconds per second
	digestAge           float64 // seconds, mean over members of the data center
}

// measureCost runs a fleet under a load.
func measureCost(hosts int, seed uint64, l load) cost {
	return newSettledFleet(hosts, seed, l.options).cost(l)
}

// cost runs the fleet under a load, first for a while without measuring.
func (f *Fleet) cost(l load) cost {
	f.runLoad(l, settleTime)
	before := slices.Clone(f.traffic)
	start := time.Now()
	f.runLoad(l, trafficTime)
	wall := time.Since(start)
	hosts := float64(len(f.hosts))
	c := cost{processor: float64(wall.Microseconds()) / trafficTime.Seconds() / hosts}
	for i := range f.traffic {
		bytes := float64(f.traffic[i].Bytes-before[i].Bytes) / trafficTime.Seconds()
		c.meanBytes += bytes / hosts
		c.maxBytes = max(c.maxBytes, bytes)
		c.messages += float64(f.traffic[i].Messages-before[i].Messages) / trafficTime.Seconds() / hosts
	}
	c.digestAge = f.digestAge()
	return c
}

// runLoad runs for d under a load.
func (f *Fleet) runLoad(l load, d time.Duration) {
	nextChange, nextRestart := f.now.Add(l.change), f.now.Add(l.restart)
	for end := f.now.Add(d); f.now.Before(end); f.Run(time.Second) {
		if l.digests {
			f.publishDigests()
		}
		if l.change > 0 && !f.now.Before(nextChange) {
			nextChange = nextChange.Add(l.change)
			e := identifier.Endpoint(fmt.Sprintf("note-writer-%04d", f.random.IntN(10000)))
			mark := gossiper.Mark{Revision: identifier.Revision(f.now.Unix()), Leaving: true}
			f.Do(f.random.IntN(len(f.hosts)), gossiper.Marked{Endpoint: e, Mark: mark})
		}
		if l.restart > 0 && !f.now.Before(nextRestart) {
			nextRestart = nextRestart.Add(l.restart)
			f.Restart(f.random.IntN(len(f.hosts)))
		}
	}
}

// publishDigests gives each host a digest that begins with the time.
func (f *Fleet) publishDigests() {
	for i := range f.hosts {
		digest := make([]byte, digestSize)
		copy(digest, f.now.Format(time.RFC3339))
		f.Do(i, gossiper.Published{Payload: gossiper.Payload{Revision: 1, Readiness: gossiper.ReadinessReady, Digest: digest}})
	}
}

// digestAge gives the mean age of the digests that the first host has of its
// data center, in seconds.
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

// pause is what follows from freezing a host.
type pause struct {
	suspected  bool
	died       bool    // the frozen host was declared dead somewhere
	othersDied int     // declarations of death of hosts that ran
	recovery   float64 // seconds from the wake until all see the host as live
}

// measurePause freezes one host for d.
func measurePause(hosts int, seed uint64, d time.Duration) pause {
	f := newSettledFleet(hosts, seed, gossiper.Options{})
	f.Run(time.Duration(f.random.Int64N(int64(time.Second))))
	i := f.random.IntN(hosts)
	var p pause
	f.OnChange(func(_ int, c gossiper.Changed) {
		switch {
		case c.Host == f.Name(i) && c.To == gossiper.StateSuspect:
			p.suspected = true
		case c.Host == f.Name(i) && c.To == gossiper.StateDead:
			p.died = true
		case c.To == gossiper.StateDead:
			p.othersDied++
		}
	})
	f.Freeze(i, d)
	f.Run(d)
	e, _ := f.RunUntil(patience, func() bool { return f.liveAgrees(i, true) && f.allLiveAt(i) })
	f.Run(settleTime)
	p.recovery = e.Seconds()
	return p
}

// allLiveAt tells whether host at sees all running hosts of its data center.
func (f *Fleet) allLiveAt(at int) bool {
	for i := range f.hosts {
		if f.Running(i) && f.DataCenter(i) == f.DataCenter(at) && !f.sees(at, i) {
			return false
		}
	}
	return true
}

// measureCut cuts the hosts of one half of a data center from all others for
// a minute, with leaving marks set on both sides, and measures how long after
// it heals all views agree, in seconds.
func measureCut(hosts int, seed uint64) float64 {
	f := newSettledFleet(hosts, seed, gossiper.Options{})
	side := func(i int) bool { return i%dataCenters == 0 && i/dataCenters%2 == 0 }
	f.Cut(func(from, to int) bool { return side(from) != side(to) })
	f.Run(settleTime)
	f.Do(0, gossiper.Marked{Endpoint: "a", Mark: gossiper.Mark{Revision: 8, Leaving: true}})
	f.Do(1, gossiper.Marked{Endpoint: "b", Mark: gossiper.Mark{Revision: 8, Leaving: true}})
	f.Run(settleTime/2 + time.Duration(f.random.Int64N(int64(10*time.Second))))
	f.Heal()
	d, _ := f.RunUntil(patience, f.Converged)
	return d.Seconds()
}

// Converged tells whether all running hosts see all running hosts as live and
// have the same marks.
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

// marksAgree tells whether all running hosts have the same marks.
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
