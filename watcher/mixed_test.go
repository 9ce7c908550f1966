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

// mixed changes a world at random, several faults at once.
type mixed struct {
	*world
	t      *testing.T
	random *rand.Rand
	valid  identifier.Revision // the newest file published without faults
}

// TestMixedFaults mixes publishing with a service that is down or stale, with
// cuts and with restarts. A seed that fails is replayed by
// go test ./watcher -run 'TestMixedFaults/seed=N$' -mixed-seeds N+1.
func TestMixedFaults(t *testing.T) {
	for seed := range *mixedSeeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runSeed(t, 9, uint64(seed), func(t *testing.T, w *world) {
				m := &mixed{world: w, t: t, random: rand.New(rand.NewPCG(uint64(seed), 0))}
				w.fence.Store(1) // the engines answer at once, but know little
				m.publish()
				for range 60 {
					m.step()
				}
				m.heal()
				time.Sleep(10 * time.Second) // the longest backoff, and a start
				settle()
				// The service holds the newest file alone. If that has
				// faults, the newest one that a host has read is in force.
				assertInForce(t, w, w.nodes[0].status().Revision)
				m.publishValid()
				settle()
				assertInForce(t, w, m.valid)
			})
		})
	}
}

func (m *mixed) step() {
	steps := []func(){m.publish, m.publish, m.toggleDown, m.goStale, m.cutOff, m.restart, m.restartConnected}
	steps[m.random.IntN(len(steps))]()
	time.Sleep(time.Duration(m.random.IntN(3000)) * time.Millisecond)
}

func (m *mixed) publish() {
	if m.random.IntN(4) == 0 && m.valid > 0 {
		m.platform.publish([]byte("oops = 1\n"))
		return
	}
	m.publishValid()
}

func (m *mixed) publishValid() {
	m.valid = m.platform.publish(file(len(m.platform.files) + 1))
}

func (m *mixed) toggleDown() {
	m.platform.set(func() { m.platform.down = !m.platform.down })
}

func (m *mixed) goStale() {
	m.platform.set(func() { m.platform.stale = identifier.Revision(m.random.IntN(len(m.platform.files) + 1)) })
}

func (m *mixed) cutOff() {
	m.cut.Store(int64(m.random.IntN(dataCenters+1)) - 1)
}

func (m *mixed) heal() {
	m.cut.Store(-1)
	m.platform.set(func() { m.platform.down, m.platform.stale = false, 0 })
}

func (m *mixed) restart() {
	n := m.nodes[m.random.IntN(len(m.nodes))]
	n.stop()
	n.start()
}

// restartConnected restarts a host that reaches all others, and checks that it
// doesn't go back behind them.
func (m *mixed) restartConnected() {
	m.cut.Store(-1)
	n := m.nodes[m.random.IntN(len(m.nodes))]
	n.stop()
	highest := identifier.Revision(0)
	for _, o := range n.peers() {
		highest = max(highest, o.keeper.Status().Revision)
	}
	n.start()
	settle()
	if i := slices.IndexFunc(n.life.Load().seen, func(r identifier.Revision) bool { return r < highest }); i >= 0 {
		m.t.Errorf("host %s took revision %d after a restart, its peers had %d", n.name, n.life.Load().seen[i], highest)
	}
	synctest.Wait()
}
