package keeper_test

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/keeper"
)

// cluster models a firm's hosts, the published files and the highest fencing
// number that its engines have recorded.
type cluster struct {
	now       time.Time
	published [][]byte // indexed by revision-1
	bad       map[identifier.Revision]bool
	fence     identifier.Revision
	hosts     []*host
}

// host is one entry host across its restarts.
type host struct {
	keeper      *keeper.Keeper
	last        identifier.Revision // last in force in this incarnation
	minRevision identifier.Revision // highest revision found by its startup queries
}

func newCluster() *cluster {
	w := &cluster{now: start, bad: map[identifier.Revision]bool{}}
	for range 4 {
		w.hosts = append(w.hosts, &host{keeper: keeper.New(keeper.DefaultOptions(), start)})
	}
	return w
}

func (w *cluster) publish(t *rapid.T) {
	revision := identifier.Revision(len(w.published) + 1)
	source := file(int(revision))
	if rapid.IntRange(0, 3).Draw(t, "bad") == 0 {
		source = badFile(int(revision))
		w.bad[revision] = true
	}
	w.published = append(w.published, source)
}

func (w *cluster) host(t *rapid.T) *host {
	return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
}

// offerFromService offers any published revision to a host, since a lagging
// service may return an old one.
func (w *cluster) offerFromService(t *rapid.T) {
	if len(w.published) == 0 {
		t.Skip("nothing published")
	}
	r := identifier.Revision(rapid.IntRange(1, len(w.published)).Draw(t, "revision"))
	w.offer(w.host(t), r, keeper.SourceService)
}

func (w *cluster) offer(h *host, r identifier.Revision, s keeper.Source) {
	h.keeper.Handle(keeper.Offered{Revision: r, File: w.published[r-1], Source: s}, w.now)
}

// copyBetweenHosts offers a host the fleet that another has in force.
func (w *cluster) copyBetweenHosts(t *rapid.T) {
	w.copyFleet(w.host(t), w.host(t))
}

func (w *cluster) copyFleet(to, from *host) {
	fleet := from.keeper.Current()
	if to == from || fleet == nil {
		return
	}
	to.keeper.Handle(keeper.RevisionSeen{Revision: fleet.Revision}, w.now)
	w.offer(to, fleet.Revision, keeper.SourcePeer)
}

// restart resets a host's state and lets it query a random subset of its peers.
func (w *cluster) restart(t *rapid.T) {
	h := w.host(t)
	h.keeper = keeper.New(keeper.DefaultOptions(), w.now)
	h.last, h.minRevision = 0, 0
	for i, other := range w.hosts {
		if other != h && rapid.Bool().Draw(t, "reached") {
			if fleet := w.hosts[i].keeper.Current(); fleet != nil {
				h.minRevision = max(h.minRevision, fleet.Revision)
			}
			w.copyFleet(h, other)
		}
	}
	h.keeper.Handle(keeper.PeersQueried{}, w.now)
}

// askFences passes the engines' highest fencing number to a host that has a
// candidate.
func (w *cluster) askFences(t *rapid.T) {
	h := w.host(t)
	candidate := h.keeper.Status().Candidate
	if candidate == 0 {
		return
	}
	h.minRevision = max(h.minRevision, w.fence)
	h.keeper.Handle(keeper.RevisionSeen{Revision: w.fence}, w.now)
	h.keeper.Handle(keeper.FencesQueried{Candidate: candidate}, w.now)
}

// sendOrder sends an order from a host to the engines, which record the host's
// revision as their fencing number.
func (w *cluster) sendOrder(t *rapid.T) {
	if fleet := w.host(t).keeper.Current(); fleet != nil {
		w.fence = max(w.fence, fleet.Revision)
	}
}

func (w *cluster) advanceTime(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	w.host(t).keeper.Handle(keeper.Ticked{}, w.now)
}

func (w *cluster) checkInvariants(t *rapid.T) {
	for i, h := range w.hosts {
		fleet := h.keeper.Current()
		if fleet == nil {
			if h.last != 0 {
				t.Fatalf("host %d lost revision %d", i, h.last)
			}
			continue
		}
		if fleet.Revision < h.last {
			t.Fatalf("host %d reverted from revision %d to %d", i, h.last, fleet.Revision)
		}
		if fleet.Revision < h.minRevision {
			t.Fatalf("host %d adopted revision %d although revision %d was known", i, fleet.Revision, h.minRevision)
		}
		if w.bad[fleet.Revision] || !bytes.Equal(fleet.Source, w.published[fleet.Revision-1]) {
			t.Fatalf("host %d has an invalid or mixed-up file in force as revision %d", i, fleet.Revision)
		}
		h.last = fleet.Revision
	}
}

// TestNeverReverts checks that no sequence of events makes a host replace its
// declarations by older ones, or accept an invalid or altered file.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster()
		t.Repeat(map[string]func(*rapid.T){
			"publish": w.publish,
			"serve":   w.offerFromService,
			"copy":    w.copyBetweenHosts,
			"restart": w.restart,
			"fences":  w.askFences,
			"order":   w.sendOrder,
			"wait":    w.advanceTime,
			"":        w.checkInvariants,
		})
	})
}
