package watcher_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

var mixedSeeds = flag.Int("mixed-seeds", 5, "number of seeds of TestMixedFaults")

// faultInjector applies random, overlapping faults and changes to a cluster.
type faultInjector struct {
	*cluster
	t         *testing.T
	random    *rand.Rand
	lastValid identifier.Revision // newest valid file published
}

// TestMixedFaults combines publishing with a service that is down or stale,
// network partitions and restarts. To replay a failed seed N:
//
//	go test ./watcher -run 'TestMixedFaults/seed=N$' -mixed-seeds N+1
func TestMixedFaults(t *testing.T) {
	for seed := range *mixedSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runClusterSeed(t, 9, uint64(seed), func(t *testing.T, c *cluster) {
				injector := &faultInjector{cluster: c, t: t, random: rand.New(rand.NewPCG(uint64(seed), 0))}
				c.fence.Store(1) // the engines answer immediately, but only with fence 1
				injector.publish()
				for range 60 {
					injector.step()
				}
				injector.heal()
				time.Sleep(10 * time.Second) // maximum backoff plus the start of a host
				waitForPropagation()
				// The service only serves the newest file. If that is
				// invalid, the newest valid one that a host has read is in
				// force.
				assertInForce(t, c, c.nodes[0].status().Revision)
				injector.publishValid()
				waitForPropagation()
				assertInForce(t, c, injector.lastValid)
			})
		})
	}
}

func (f *faultInjector) step() {
	steps := []func(){f.publish, f.publish, f.toggleDown, f.makeStale, f.isolate, f.restart, f.restartConnected}
	steps[f.random.IntN(len(steps))]()
	time.Sleep(time.Duration(f.random.IntN(3000)) * time.Millisecond)
}

func (f *faultInjector) publish() {
	if f.random.IntN(4) == 0 && f.lastValid > 0 {
		f.platform.publish([]byte("oops = 1\n"))
		return
	}
	f.publishValid()
}

func (f *faultInjector) publishValid() {
	f.lastValid = f.platform.publish(file(len(f.platform.files) + 1))
}

func (f *faultInjector) toggleDown() {
	f.platform.set(func() { f.platform.down = !f.platform.down })
}

func (f *faultInjector) makeStale() {
	f.platform.set(func() { f.platform.staleRevision = identifier.Revision(f.random.IntN(len(f.platform.files) + 1)) })
}

func (f *faultInjector) isolate() {
	f.isolatedDataCenter.Store(int64(f.random.IntN(dataCenters+1)) - 1)
}

func (f *faultInjector) heal() {
	f.isolatedDataCenter.Store(-1)
	f.platform.set(func() { f.platform.down, f.platform.staleRevision = false, 0 })
}

func (f *faultInjector) restart() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	n.stop()
	n.start()
}

// restartConnected ends the partition, restarts a host and checks that it
// doesn't adopt a revision older than the ones its peers have in force.
func (f *faultInjector) restartConnected() {
	f.isolatedDataCenter.Store(-1)
	n := f.nodes[f.random.IntN(len(f.nodes))]
	n.stop()
	highest := identifier.Revision(0)
	for _, o := range n.peers() {
		highest = max(highest, o.keeper.Status().Revision)
	}
	n.start()
	waitForPropagation()
	if i := slices.IndexFunc(n.current.Load().adopted, func(r identifier.Revision) bool { return r < highest }); i >= 0 {
		f.t.Errorf("host %s adopted revision %d after a restart, its peers had %d", n.name, n.current.Load().adopted[i], highest)
	}
	synctest.Wait()
}
