package watcher_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/keeper"
)

const template = `firm = "tamsui"
[[data-center]]
name = "tw-north-1"
region = "tw-north"
[[service]]
name = "price-lock"
kind = "plain"
timeout = "%ds"
[[endpoint]]
name = "lock-1"
service = "price-lock"
data-center = "tw-north-1"
address = "127.0.0.1:7171"
`

// propagationLimit is the time within which a change must be in force at all
// reachable hosts.
const propagationLimit = 3 * time.Second

func file(n int) []byte {
	return fmt.Appendf(nil, template, n)
}

// largeFile returns declarations with many customers. Files with different n
// differ in one line.
func largeFile(n, customers int) []byte {
	source := file(n)
	random := rand.New(rand.NewPCG(1, 1))
	for range customers {
		source = fmt.Appendf(source, "[[customer]]\nname = \"dealer-%016x\"\nrequests-per-second = %d\n", random.Uint64(), random.IntN(100))
	}
	return source
}

// runCluster runs a test on a cluster in virtual time.
func runCluster(t *testing.T, hosts int, test func(*testing.T, *cluster)) {
	runClusterSeed(t, hosts, 0, test)
}

func runClusterSeed(t *testing.T, hosts int, seed uint64, test func(*testing.T, *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(hosts, seed)
		defer c.stop()
		test(t, c)
		for _, n := range c.nodes {
			if !slices.IsSorted(n.current.Load().adopted) {
				t.Fatalf("host %s reverted to an older revision: %v", n.name, n.current.Load().adopted)
			}
		}
	})
}

// waitForPropagation waits for propagationLimit and for all goroutines to block.
func waitForPropagation() {
	time.Sleep(propagationLimit)
	synctest.Wait()
}

func assertInForce(t *testing.T, c *cluster, expected identifier.Revision) {
	t.Helper()
	for _, n := range c.nodes {
		assertNode(t, n, expected)
	}
}

func assertNode(t *testing.T, n *node, expected identifier.Revision) {
	t.Helper()
	if status := n.status(); status.Revision != expected {
		t.Fatalf("host %s has revision %d in force (%s), expected %d", n.name, status.Revision, status.Phase, expected)
	}
}

func TestChangesPropagate(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		c.platform.publish(file(1))
		waitForPropagation()
		assertInForce(t, c, 1)
		c.platform.publish(file(2))
		waitForPropagation()
		assertInForce(t, c, 2)
	})
}

func TestOnlyReadersReadTheService(t *testing.T) {
	runCluster(t, 30, func(t *testing.T, c *cluster) {
		c.platform.publish(file(1))
		waitForPropagation()
		watches, hostLists := c.platform.watches.Load(), c.platform.hostLists.Load()
		time.Sleep(time.Minute)
		is := is.New(t)
		// At most one watch per 30 s and one host list per 2.5 s and reader.
		is.True(c.platform.watches.Load()-watches <= dataCenters*readersPerDataCenter*(60/30+1))
		is.True(c.platform.hostLists.Load()-hostLists <= dataCenters*readersPerDataCenter*(60*2/5+1))
	})
}

func TestQuickSuccession(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		for n := 1; n <= 6; n++ {
			c.platform.publish(file(n))
			time.Sleep(20 * time.Millisecond)
		}
		waitForPropagation()
		assertInForce(t, c, 6)
	})
}

func TestBadFile(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		c.platform.publish(file(1))
		waitForPropagation()
		c.platform.publish([]byte(strings.ReplaceAll(string(file(2)), "plain", "plane")))
		waitForPropagation()
		assertInForce(t, c, 1)
		refusal := c.nodes[0].status().Refusal
		is.New(t).True(strings.Contains(refusal.Err.Error(), `declarations:7: service.kind: expected one of "model", "plain", got "plane"`))
		c.platform.publish(file(3))
		waitForPropagation()
		assertInForce(t, c, 3)
	})
}

func TestServiceDown(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		c.platform.publish(file(1))
		waitForPropagation()
		c.platform.set(func() { c.platform.down = true })
		c.platform.publish(file(2))
		time.Sleep(10 * time.Minute)
		assertInForce(t, c, 1)
		watches, hostLists := c.platform.watches.Load(), c.platform.hostLists.Load()
		time.Sleep(time.Minute)
		is := is.New(t)
		// After many failures, the calls of a reader are at least 2.5 s apart.
		is.True(c.platform.watches.Load()-watches <= dataCenters*readersPerDataCenter*(60*2/5+1))
		is.True(c.platform.hostLists.Load()-hostLists <= dataCenters*readersPerDataCenter*(60*2/5+1))
		c.platform.set(func() { c.platform.down = false })
		time.Sleep(5 * time.Second) // the maximum backoff
		waitForPropagation()
		assertInForce(t, c, 2)
	})
}

func TestRestartIntoStaleService(t *testing.T) {
	t.Run("peers have a newer revision", func(t *testing.T) {
		runCluster(t, 9, func(t *testing.T, c *cluster) {
			publishTwoThenGoStale(c)
			c.fence.Store(1) // the engines received no order since revision 1
			c.nodes[0].stop()
			c.nodes[0].start()
			waitForPropagation()
			assertInForce(t, c, 2)
			is.New(t).Equal(c.nodes[0].current.Load().adopted, []identifier.Revision{2})
		})
	})
	t.Run("engines have seen a newer revision", func(t *testing.T) {
		runCluster(t, 1, func(t *testing.T, c *cluster) {
			publishTwoThenGoStale(c)
			c.fence.Store(2)
			c.nodes[0].stop()
			c.nodes[0].start()
			time.Sleep(time.Hour)
			assertNode(t, c.nodes[0], 0)
			is.New(t).Equal(c.nodes[0].status().Phase, keeper.PhaseHeld)
			c.platform.set(func() { c.platform.staleRevision = 0 })
			waitForPropagation()
			assertInForce(t, c, 2)
		})
	})
	t.Run("no peer or engine has a newer revision", func(t *testing.T) {
		runCluster(t, 1, func(t *testing.T, c *cluster) {
			publishTwoThenGoStale(c)
			c.nodes[0].stop()
			c.nodes[0].start()
			waitForPropagation()
			assertInForce(t, c, 1)
			c.platform.set(func() { c.platform.staleRevision = 0 })
			waitForPropagation()
			assertInForce(t, c, 2)
		})
	})
}

// publishTwoThenGoStale puts revision 2 in force at all hosts, then makes the
// service return revision 1.
func publishTwoThenGoStale(c *cluster) {
	c.platform.publish(file(1))
	c.platform.publish(file(2))
	waitForPropagation()
	c.platform.set(func() { c.platform.staleRevision = 1 })
}

func TestPartitionHeals(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		c.platform.publish(file(1))
		waitForPropagation()
		c.isolatedDataCenter.Store(2)
		c.platform.publish(file(2))
		waitForPropagation()
		assertNode(t, c.nodes[2], 1)
		assertNode(t, c.nodes[0], 2)
		c.isolatedDataCenter.Store(-1)
		waitForPropagation()
		assertInForce(t, c, 2)
	})
}

// TestLateResponseDoesNotRevert checks that a host that resumes after a pause
// and then handles an old response of the service keeps its newer revision.
func TestLateResponseDoesNotRevert(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		c.platform.publish(file(1))
		c.platform.publish(file(2))
		c.platform.publish(file(3))
		waitForPropagation()
		late := keeper.Offered{Revision: 2, File: file(2), Source: keeper.SourceService}
		c.nodes[0].current.Load().keeper.Handle(late, time.Now())
		assertInForce(t, c, 3)
	})
}

func TestPatchesCoverSeveralRevisions(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		c.platform.publish(largeFile(1, 100))
		waitForPropagation()
		c.isolatedDataCenter.Store(2)
		for n := 2; n <= 5; n++ {
			c.platform.publish(largeFile(n, 100))
			waitForPropagation()
		}
		c.bytes.Store(0)
		c.fetches.Store(0)
		c.platform.set(func() { c.platform.down = true })
		c.isolatedDataCenter.Store(-1)
		waitForPropagation()
		assertInForce(t, c, 5)
		// Each of the 3 hosts fetches four one-line patches with digests.
		is.New(t).True(c.bytes.Load() <= 3*4*200)
	})
}

func TestUnusablePatchesFallBackToWholeFile(t *testing.T) {
	runCluster(t, 9, func(t *testing.T, c *cluster) {
		c.platform.publish(file(1))
		waitForPropagation()
		c.corruptPatches.Store(true)
		c.platform.publish(file(2))
		waitForPropagation()
		assertInForce(t, c, 2)
	})
}
