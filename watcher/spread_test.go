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
	// platformReads is what the service gives all its readers, in reads a
	// second.
	platformReads = 2000
	// controlBytes is what a node has for control traffic, in bytes a second.
	controlBytes = 4096
	// changePeriod is the time between two changes at 6,900 a day.
	changePeriod = 12500 * time.Millisecond
)

var measureAll = flag.Bool("measure", false, "measure with many hosts and with a large file, too")

// spread is what a run of changes took.
type spread struct {
	times       []time.Duration // until in force everywhere, sorted
	reads       float64         // a second, at the service
	bytes       float64         // a second and host, of fetches
	fetches     float64         // a change and host
	changeCount int
}

// measure publishes changes of source at the rate of a full-size firm.
func measure(w *world, changes int, source func(n int) []byte) spread {
	w.platform.publish(source(1))
	time.Sleep(10 * time.Second)
	synctest.Wait()
	reads := w.platform.watches.Load() + w.platform.hostLists.Load()
	w.bytes.Store(0)
	w.fetches.Store(0)
	begin := time.Now()
	s := spread{changeCount: changes}
	for n := range changes {
		published := time.Now()
		revision := w.platform.publish(source(n + 2))
		for !w.inForce(revision) && time.Since(published) < changePeriod {
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		s.times = append(s.times, time.Since(published))
		time.Sleep(changePeriod - time.Since(published))
	}
	seconds := time.Since(begin).Seconds()
	hosts := float64(len(w.nodes))
	s.reads = float64(w.platform.watches.Load()+w.platform.hostLists.Load()-reads) / seconds
	s.bytes = float64(w.bytes.Load()) / seconds / hosts
	s.fetches = float64(w.fetches.Load()) / hosts / float64(changes)
	slices.Sort(s.times)
	return s
}

func (w *world) inForce(r identifier.Revision) bool {
	return !slices.ContainsFunc(w.nodes, func(n *node) bool {
		f := n.life.Load().keeper.Current()
		return f == nil || f.Revision < r
	})
}

func (s spread) check(t *testing.T) {
	t.Helper()
	slowest := s.times[len(s.times)-1]
	t.Logf("in force everywhere: median %v, slowest %v of %d; %.2f reads/s; %.1f bytes/s and %.2f fetches a change at each host",
		s.times[len(s.times)/2], slowest, s.changeCount, s.reads, s.bytes, s.fetches)
	if slowest > spreadLimit {
		t.Errorf("a change took %v, expected at most %v", slowest, spreadLimit)
	}
	if s.reads > platformReads {
		t.Errorf("service got %.1f reads/s, expected at most %d", s.reads, platformReads)
	}
	if s.bytes > controlBytes {
		t.Errorf("fetches took %.1f bytes/s at a host, expected at most %d", s.bytes, controlBytes)
	}
}

// TestSpread measures in virtual time, without the delay of gossip.
func TestSpread(t *testing.T) {
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
				runSeed(t, r.hosts, uint64(seed), func(t *testing.T, w *world) { measure(w, r.changes, file).check(t) })
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
		run(t, 9, func(t *testing.T, w *world) { measure(w, 4, large).check(t) })
	})
}
