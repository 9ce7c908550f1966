package keeper_test

import (
	"bytes"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/keeper"
)

// world is a firm's hosts, its service and the fences that engines remember.
type world struct {
	now       time.Time
	published [][]byte // by revision-1
	bad       map[identifier.Revision]bool
	fence     identifier.Revision
	hosts     []*host
}

// host is one entry host over its restarts.
type host struct {
	keeper *keeper.Keeper
	last   identifier.Revision // in force in this incarnation
	floor  identifier.Revision // what this incarnation learnt when it started
}

func newWorld() *world {
	w := &world{now: start, bad: map[identifier.Revision]bool{}}
	for range 4 {
		w.hosts = append(w.hosts, &host{keeper: keeper.New(keeper.DefaultOptions(), start)})
	}
	return w
}

func (w *world) publish(t *rapid.T) {
	revision := identifier.Revision(len(w.published) + 1)
	source := file(int(revision))
	if rapid.IntRange(0, 3).Draw(t, "bad") == 0 {
		source = badFile(int(revision))
		w.bad[revision] = true
	}
	w.published = append(w.published, source)
}

func (w *world) host(t *rapid.T) *host {
	return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
}

// tell has the service tell host h any revision, as one that lags may.
func (w *world) tell(t *rapid.T) {
	if len(w.published) == 0 {
		t.Skip("nothing published")
	}
	r := identifier.Revision(rapid.IntRange(1, len(w.published)).Draw(t, "revision"))
	w.offer(w.host(t), r, keeper.SourceService)
}

func (w *world) offer(h *host, r identifier.Revision, s keeper.Source) {
	h.keeper.Handle(keeper.Offered{Revision: r, File: w.published[r-1], Source: s}, w.now)
}

// copyPeer has a host take what another has in force.
func (w *world) copyPeer(t *rapid.T) {
	w.copy(w.host(t), w.host(t))
}

func (w *world) copy(to, from *host) {
	fleet := from.keeper.Current()
	if to == from || fleet == nil {
		return
	}
	to.keeper.Handle(keeper.Known{Revision: fleet.Revision}, w.now)
	w.offer(to, fleet.Revision, keeper.SourcePeer)
}

// restart has a host lose all, and ask some of its peers and the engines.
func (w *world) restart(t *rapid.T) {
	h := w.host(t)
	h.keeper = keeper.New(keeper.DefaultOptions(), w.now)
	h.last, h.floor = 0, 0
	for i, other := range w.hosts {
		if other != h && rapid.Bool().Draw(t, "reached") {
			if fleet := w.hosts[i].keeper.Current(); fleet != nil {
				h.floor = max(h.floor, fleet.Revision)
			}
			w.copy(h, other)
		}
	}
	h.keeper.Handle(keeper.PeersAsked{}, w.now)
}

// askFences tells a host that has a candidate what its engines remember.
func (w *world) askFences(t *rapid.T) {
	h := w.host(t)
	candidate := h.keeper.Status().Candidate
	if candidate == 0 {
		return
	}
	h.floor = max(h.floor, w.fence)
	h.keeper.Handle(keeper.Known{Revision: w.fence}, w.now)
	h.keeper.Handle(keeper.FencesAsked{Candidate: candidate}, w.now)
}

// order has a host give its engines an order.
func (w *world) order(t *rapid.T) {
	if fleet := w.host(t).keeper.Current(); fleet != nil {
		w.fence = max(w.fence, fleet.Revision)
	}
}

func (w *world) wait(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	w.host(t).keeper.Handle(keeper.Ticked{}, w.now)
}

func (w *world) check(t *rapid.T) {
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
		if fleet.Revision < h.floor {
			t.Fatalf("host %d took revision %d after it learnt of %d", i, fleet.Revision, h.floor)
		}
		if w.bad[fleet.Revision] || !bytes.Equal(fleet.Source, w.published[fleet.Revision-1]) {
			t.Fatalf("host %d has a bad or mixed file in force as revision %d", i, fleet.Revision)
		}
		h.last = fleet.Revision
	}
}

func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"publish": w.publish,
			"tell":    w.tell,
			"copy":    w.copyPeer,
			"restart": w.restart,
			"fences":  w.askFences,
			"order":   w.order,
			"wait":    w.wait,
			"":        w.check,
		})
	})
}
