package watcher_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// maxPlatformReads is the capacity of the service across all readers, in
	// reads per second.
	maxPlatformReads = 2000
	// maxControlBytes is a host's budget for control traffic, in bytes per
	// second.
	maxControlBytes = 4096
	// changePeriod is the interval between changes at 6,900 changes per day.
	changePeriod = 12500 * time.Millisecond
)

var measureAll = flag.Bool("measure", false, "also measure with many hosts and with a large file")

// propagation holds the measurements of a series of changes.
type propagation struct {
	times       []time.Duration // until in force at all hosts, sorted
	reads       float64         // at the service, per second
	bytes       float64         // fetched per second and host
	fetches     float64         // per change and host
	changeCount int
}

// measure publishes revisions of source at the change rate of a full-size firm
// and measures their propagation.
func measure(c *cluster, changes int, source func(n int) []byte) propagation {
	c.platform.publish(source(1))
	time.Sleep(10 * time.Second)
	synctest.Wait()
	reads := c.platform.watches.Load() + c.platform.hostLists.Load()
	c.bytes.Store(0)
	c.fetches.Store(0)
	begin := time.Now()
	p := propagation{changeCount: changes}
	for n := range changes {
		published := time.Now()
		revision := c.platform.publish(source(n + 2))
		for !c.inForce(revision) && time.Since(published) < changePeriod {
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		p.times = append(p.times, time.Since(published))
		time.Sleep(changePeriod - time.Since(published))
	}
	seconds := time.Since(begin).Seconds()
	hosts := float64(len(c.nodes))
	p.reads = float64(c.platform.watches.Load()+c.platform.hostLists.Load()-reads) / seconds
	p.bytes = float64(c.bytes.Load()) / seconds / hosts
	p.fetches = float64(c.fetches.Load()) / hosts / float64(changes)
	slices.Sort(p.times)
	return p
}

func (c *cluster) inForce(r identifier.Revision) bool {
	return !slices.ContainsFunc(c.nodes, func(n *node) bool {
		f := n.current.Load().keeper.Current()
		return f == nil || f.Revision < r
	})
}

func (p propagation) check(t *testing.T) {
	t.Helper()
	slowest := p.times[len(p.times)-1]
	t.Logf("in force at all hosts: median %v, slowest %v of %d; %.2f reads/s; per host %.1f bytes/s and %.2f fetches per change",
		p.times[len(p.times)/2], slowest, p.changeCount, p.reads, p.bytes, p.fetches)
	if slowest > propagationLimit {
		t.Errorf("a change took %v, expected at most %v", slowest, propagationLimit)
	}
	if p.reads > maxPlatformReads {
		t.Errorf("service got %.1f reads/s, expected at most %d", p.reads, maxPlatformReads)
	}
	if p.bytes > maxControlBytes {
		t.Errorf("fetches took %.1f bytes/s at a host, expected at most %d", p.bytes, maxControlBytes)
	}
}

// TestPropagation checks propagation time and load against their limits. It runs
// in virtual time and doesn't include the delay of gossip.
func TestPropagation(t *testing.T) {
	runs := []struct{ hosts, seeds, changes int }{
		{hosts: 9, seeds: 5, changes: 8},
		{hosts: 90, seeds: 1, changes: 2},
	}
	if *measureAll {
		runs = append(runs,
			struct{ hosts, seeds, changes int }{hosts: 90, seeds: 3, changes: 4},
			struct{ hosts, seeds, changes int }{hosts: 300, seeds: 1, changes: 4})
	}
	for _, r := range runs {
		for seed := range r.seeds {
			t.Run(fmt.Sprintf("hosts=%d,seed=%d", r.hosts, seed), func(t *testing.T) {
				runClusterSeed(t, r.hosts, uint64(seed), func(t *testing.T, c *cluster) { measure(c, r.changes, file).check(t) })
			})
		}
	}
	t.Run("hosts=9 with a large file", func(t *testing.T) {
		if !*measureAll {
			t.Skip("runs with -measure")
		}
		large := func(n int) []byte { return largeFile(n, 13_000) }
		if size := len(large(1)); size < 900_000 {
			t.Fatalf("file has %d bytes", size)
		}
		runCluster(t, 9, func(t *testing.T, c *cluster) { measure(c, 4, large).check(t) })
	})
}
