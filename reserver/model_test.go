package reserver_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/estimator"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/reserver"
)

// serve places a request at host h and simulates a response that took the given
// time.
func (f *fleet) serve(h int, took time.Duration) reserver.Plan {
	f.t.Helper()
	p, err := f.place(context.Background(), h, 10*time.Second)
	f.is.NoErr(err)
	f.hosts[h].reserver.RecordPrefillOutcome(p, placer.Outcome{Latency: time.Millisecond})
	f.engines.free(p.Decode.Name, p.Reservation)
	f.hosts[h].reserver.RecordOutcome(p, placer.Outcome{Latency: took, FirstEvent: took / 100})
	return p
}

// status returns host h's model of the engines.
func (f *fleet) status(h int) reserver.ModelStatus {
	return f.hosts[h].reserver.Models()["notes"]
}

func TestModel(t *testing.T) {
	t.Run("estimates never reject a request at idle engines", func(t *testing.T) {
		// However wrong an estimate is, it has to be measured again.
		f := newFleet(t, 1)
		for range 2 * estimator.MinSamples {
			f.serve(0, time.Hour)
		}
		f.is.True(f.status(0).Known)
		for range 3 {
			p, err := f.place(context.Background(), 0, time.Second)
			f.is.NoErr(err)
			f.complete(0, p)
		}
	})
	t.Run("estimates reject at once what can't be complete in time while engines are full", func(t *testing.T) {
		f := newFleet(t, 1)
		for n := range 2 * estimator.MinSamples {
			f.serve(0, time.Hour+time.Duration(n%2)*time.Minute)
		}
		for range slots - 2 { // a further request on either engine leaves no room for the spread
			_, err := f.place(context.Background(), 0, time.Second)
			f.is.NoErr(err)
		}
		f.engines.acceptsAll = true
		began := time.Now()
		_, err := f.place(context.Background(), 0, 5*time.Second)
		f.is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
		f.is.True(classifier.Of(err).RetryAfter > 0)
		f.is.True(time.Since(began) < time.Second)
	})
	t.Run("reaches the hosts that the requests come from", func(t *testing.T) {
		f := newFleet(t, 3)
		origin := (f.placingHost() + 1) % 3
		p := f.serve(origin, time.Second)
		f.is.Equal(p.Expected, reserver.Expectation{})
		for range 2 * estimator.MinSamples {
			f.serve(origin, time.Second)
		}
		f.eventually("origin has the model", func() bool {
			p = f.serve(origin, time.Second)
			time.Sleep(100 * time.Millisecond)
			return p.Expected.Prefill > 0 && p.Expected.FirstEvent > 0
		})
	})
	t.Run("is handed to a new placing host", func(t *testing.T) {
		// One of the two remaining hosts becomes the placing host. The requests have to
		// come from the other one.
		if !handOverModel(t, 1) && !handOverModel(t, 2) {
			t.Fatal("the requests came from the new placing host in both runs")
		}
	})
}

// handOverModel sends all requests from the host that follows the placing host by
// offset, until the placing host fails, and checks that the next one has the model.
// It returns false if that is the sender itself.
func handOverModel(t *testing.T, offset int) bool {
	f := newFleet(t, 3)
	owner := f.placingHost()
	sender := (owner + offset) % 3
	f.eventually("sender has the model", func() bool {
		f.serve(sender, time.Second)
		return f.status(sender).Known
	})
	f.hosts[owner].messenger.Close()
	f.eventually("placing host is dead", func() bool { return len(f.hosts[sender].gossiper.View().Live("a")) == 2 })
	m, ok := f.hosts[sender].gossiper.View().FleetOwner(reserver.PlacingKey("notes"))
	f.is.True(ok)
	next := 3 - owner - sender
	if m.Host != identifier.Host(fmt.Sprintf("host-%d", next)) {
		return false
	}
	f.is.True(!f.status(next).Known)
	f.serve(sender, time.Second)
	f.is.True(f.status(next).Known)
	return true
}

// waiting returns the number of requests that wait for placement.
func (f *fleet) waiting() int {
	n := 0
	for _, h := range f.hosts {
		n += h.reserver.Waiting()
	}
	return n
}
