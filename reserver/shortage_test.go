package reserver_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/reserver"
)

// fill occupies all engines.
func (f *fleet) fill() []reserver.Plan {
	f.t.Helper()
	plans := make([]reserver.Plan, slots)
	for n := range plans {
		p, err := f.place(context.Background(), n%len(f.hosts), time.Second)
		f.is.NoErr(err)
		plans[n] = p
	}
	return plans
}

// placeEntry places a request with what its place in the queue depends on.
func (f *fleet) placeEntry(ctx context.Context, h int, e admitter.Entry, wait time.Duration) (reserver.Plan, error) {
	now := time.Now()
	e.Arrived = now
	return f.hosts[h].reserver.Place(ctx, reserver.PlacementRequest{
		Entry: e, Service: "notes", Request: "q", Prompt: f.prompt, Tokens: tokens,
		OnTimeBy: now.Add(wait), FirstEventBy: now.Add(wait), Deadline: now.Add(wait),
	})
}

// counts returns the sum of the counts of a priority at all hosts.
func (f *fleet) counts(priority int) admitter.Counts {
	var all admitter.Counts
	for _, h := range f.hosts {
		for _, s := range h.reserver.Queues() {
			if s.Priority == priority {
				all.Waiting += s.Waiting
				all.Refused += s.Refused
				all.RefusedAgain += s.RefusedAgain
			}
		}
	}
	return all
}

// TestShortage is about more requests than the engines have room for, which reach the
// fleet at different hosts.
func TestShortage(t *testing.T) {
	const hosts = 3
	// firstOfTwo returns the priority of the request that is placed first once there is
	// room, of a patient and an urgent one that wait. The prefill of the request that ends
	// has ended before or ends with it.
	firstOfTwo := func(t *testing.T, prefillEndedBefore bool) int {
		f := newFleet(t, hosts)
		plans := f.fill()
		if prefillEndedBefore {
			f.hosts[0].reserver.RecordPrefillOutcome(plans[0], placer.Outcome{})
		}
		order := make(chan int, 2)
		place := func(h, priority int) {
			f.group.Run(func(ctx context.Context) {
				p, err := f.placeEntry(ctx, h, admitter.Entry{Priority: priority}, 5*time.Second)
				if err == nil {
					order <- priority // before its room is free for the next
					f.complete(h, p)
				}
			})
			f.eventually("the request waits", func() bool { return f.counts(priority).Waiting > 0 })
		}
		place(0, 2)
		place(1, 1)
		if prefillEndedBefore {
			f.engines.free(plans[0].Decode.Name, plans[0].Reservation)
			f.hosts[0].reserver.RecordOutcome(plans[0], placer.Outcome{})
		} else {
			f.complete(0, plans[0])
		}
		first := <-order
		<-order
		return first
	}
	t.Run("urgent requests of any host go first", func(t *testing.T) {
		is.New(t).Equal(firstOfTwo(t, true), 1)
	})
	t.Run("urgent requests go first if a prefill and a response end together", func(t *testing.T) {
		is.New(t).Equal(firstOfTwo(t, false), 1)
	})
	t.Run("a caller that returns at another host is recognized", func(t *testing.T) {
		f := newFleet(t, hosts)
		f.fill()
		const fingerprint, wait = 77, 300 * time.Millisecond
		ctx := context.Background()
		_, err := f.placeEntry(ctx, 0, admitter.Entry{Priority: 1, Fingerprint: fingerprint}, wait)
		f.is.Equal(classifier.Of(err).Reason, classifier.ReasonDeadline)
		time.Sleep(classifier.Of(err).RetryAfter)
		_, err = f.placeEntry(ctx, 1, admitter.Entry{Priority: 1, Fingerprint: fingerprint}, wait)
		f.is.True(err != nil)
		f.is.Equal(f.counts(1).Refused, uint64(2))
		f.is.Equal(f.counts(1).RefusedAgain, uint64(1))
	})
}
