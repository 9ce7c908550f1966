package reserver

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	testHost identifier.Incarnation = 1
	testWait                        = 10 * time.Second
	// testCapacity is the number of calls that the endpoints get: one in a slot and one that
	// waits at each.
	testCapacity = 4
)

// newTestQueue returns a queue for two endpoints with one slot each. Nothing looks at it
// by itself.
func newTestQueue(t *testing.T) *slotQueue {
	t.Helper()
	g := grouper.New(context.Background())
	t.Cleanup(func() {
		g.Stop()
		_ = g.Wait() // its goroutines return no errors
	})
	registry := registrar.New()
	registry.SetEndpoints([]*registrar.Endpoint{
		{Name: "p1", Service: "desk", Slots: 1}, {Name: "p2", Service: "desk", Slots: 1},
	})
	r := &Reserver{deps: Deps{Self: testHost, Registry: registry, Placer: placer.New(placer.Options{}, 1), Group: g, Log: zap.NewNop()}}
	q := newSlotQueue(r, "desk")
	q.watched = true
	return q
}

func newTestWaiter(now time.Time) *slotWaiter {
	return &slotWaiter{
		SlotRequest: &SlotRequest{
			Entry: admitter.Entry{Arrived: now}, Service: "desk", Request: "q", OnTimeBy: now.Add(testWait), Deadline: now.Add(testWait),
		},
		origin: testHost, queuedAt: now, result: make(chan slotResult, 1),
	}
}

func allGrants(*slotGrant) bool { return true }

func TestRevokedBeforeTaken(t *testing.T) {
	q := newTestQueue(t)
	now := time.Now()
	w := newTestWaiter(now)
	is.New(t).NoErr(q.enqueue(w, now))
	q.revoke(allGrants)
	q.abandon(w)
	is.New(t).Equal(q.currentStats().InUse, 0)
}

// enqueueWaiters enqueues requests that exclude endpoints. Those that get no slot wait.
func enqueueWaiters(t *testing.T, q *slotQueue, count int, now time.Time, exclude ...identifier.Endpoint) (all []*slotWaiter) {
	t.Helper()
	for range count {
		w := newTestWaiter(now)
		w.Exclude = exclude
		is.New(t).NoErr(q.enqueue(w, now))
		all = append(all, w)
	}
	return all
}

func TestEndpointsOfWaitingRequestGone(t *testing.T) {
	i := is.New(t)
	q := newTestQueue(t)
	now := time.Now()
	enqueueWaiters(t, q, testCapacity, now)
	stranded := enqueueWaiters(t, q, 1, now, "p1")[0]
	waiting := enqueueWaiters(t, q, 1, now)[0]
	q.reserver.deps.Registry.SetEndpoints([]*registrar.Endpoint{{Name: "p1", Service: "desk", Slots: 1}})
	i.True(q.look(now))
	i.Equal(q.currentStats().Waiting, 1)
	err := (<-stranded.result).err
	i.Equal(classifier.Of(err).Reason, classifier.ReasonNoEndpoint)
	i.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
	q.reserver.deps.Registry.SetEndpoints(nil)
	i.True(!q.look(now))
	i.Equal(classifier.Of((<-waiting.result).err).Reason, classifier.ReasonNoEndpoint)
}

// endAt ends a grant at an endpoint.
func endAt(t *testing.T, q *slotQueue, name identifier.Endpoint) {
	t.Helper()
	for id, g := range q.grants {
		if g.endpoint.Name == name {
			q.end(id, SlotOutcome{Outcome: placer.Outcome{Verdict: placer.VerdictNone}}, testHost)
			return
		}
	}
	t.Fatalf("no grant at %s", name)
}

func TestSlotPassedOver(t *testing.T) {
	t.Run("it goes at once to a new request that can use it", func(t *testing.T) {
		i := is.New(t)
		q := newTestQueue(t)
		now := time.Now()
		enqueueWaiters(t, q, testCapacity, now)
		enqueueWaiters(t, q, 1, now, "p1")
		endAt(t, q, "p1")
		i.Equal(len(enqueueWaiters(t, q, 1, now)[0].result), 1)
		i.Equal(q.currentStats().Waiting, 1)
	})
	// A late request is due after ten grants to others, by its share; one more for rounding.
	t.Run("looks don't change the share of late requests", func(t *testing.T) {
		i := is.New(t)
		q := newTestQueue(t)
		now := time.Now()
		enqueueWaiters(t, q, testCapacity, now)
		endAt(t, q, "p2") // free, but no request can use it
		late := newTestWaiter(now)
		late.Exclude, late.OnTimeBy = []identifier.Endpoint{"p2"}, now.Add(-time.Millisecond)
		i.NoErr(q.enqueue(late, now))
		enqueueWaiters(t, q, 2*maxSkipped, now, "p2")
		turns := 0
		for ; len(late.result) == 0; turns++ {
			q.look(now)
			endAt(t, q, "p1")
		}
		i.True(turns >= 11)
		i.True(turns <= 12)
	})
}

// TestLooksRefuse checks that slots that end cost no search for late requests, of which there
// may be many.
func TestLooksRefuse(t *testing.T) {
	i := is.New(t)
	q := newTestQueue(t)
	now := time.Now()
	enqueueWaiters(t, q, testCapacity, now)
	w := newTestWaiter(now)
	w.Exclude = []identifier.Endpoint{"p2"}
	w.OnTimeBy, w.Deadline = now, now.Add(time.Millisecond)
	i.NoErr(q.enqueue(w, now))
	time.Sleep(2 * time.Millisecond)
	endAt(t, q, "p2")
	i.Equal(len(w.result), 0)
	i.True(!q.look(time.Now()))
	i.True(RefusedSlot((<-w.result).err))
}
