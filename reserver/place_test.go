package reserver_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
)

func TestPlace(t *testing.T) {
	ctx := context.Background()
	for _, hosts := range []int{1, 3} {
		t.Run(fmt.Sprintf("fills the engines evenly, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			for n := range slots {
				p, err := f.place(ctx, n%hosts, time.Second)
				f.is.NoErr(err)
				f.is.Equal(p.Prefill.Name, identifier.Endpoint("f"))
				f.is.True(p.Reservation != "")
			}
			reserveCalls, held, _ := f.engines.count()
			f.is.Equal(held, slots)
			f.is.Equal(reserveCalls, slots) // every first attempt succeeded
		})
		t.Run(fmt.Sprintf("refuses when there is no capacity in time, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			for n := range slots {
				_, err := f.place(ctx, n%hosts, time.Second)
				f.is.NoErr(err)
			}
			_, err := f.place(ctx, 0, 100*time.Millisecond)
			f.is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
			f.is.True(classifier.Of(err).RetryAfter > 0)
		})
		t.Run(fmt.Sprintf("waits for released capacity, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			var plans []reserver.Plan
			for n := range slots {
				p, err := f.place(ctx, n%hosts, time.Second)
				f.is.NoErr(err)
				plans = append(plans, p)
			}
			f.group.Run(func(context.Context) {
				time.Sleep(100 * time.Millisecond)
				f.complete(0, plans[0])
			})
			began := time.Now()
			_, err := f.place(ctx, hosts-1, 2*time.Second)
			f.is.NoErr(err)
			f.is.True(time.Since(began) < time.Second)
		})
		t.Run(fmt.Sprintf("removes canceled requests from the queue, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			for n := range slots {
				_, err := f.place(ctx, n%hosts, time.Second)
				f.is.NoErr(err)
			}
			short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
			defer cancel()
			_, err := f.place(short, hosts-1, 5*time.Second)
			f.is.True(err != nil)
			f.eventually("nobody waits", func() bool {
				for _, h := range f.hosts {
					if h.reserver.Waiting() > 0 {
						return false
					}
				}
				return true
			})
		})
	}
	t.Run("cancels the reservation of a released plan", func(t *testing.T) {
		f := newFleet(t, 1)
		p, err := f.place(ctx, 0, time.Second)
		f.is.NoErr(err)
		f.hosts[0].reserver.Release(p)
		f.eventually("reservation is canceled", func() bool {
			_, held, canceled := f.engines.count()
			return held == 0 && canceled == 1
		})
	})
	t.Run("makes no reservations while the prefill backlog is too long", func(t *testing.T) {
		// With one prefill engine in a burst, every prompt would be processed in
		// vain: none would be done before its reservation expires.
		f := newFleet(t, 1)
		f.prompt = 15_000
		p, err := f.place(ctx, 0, time.Second)
		f.is.NoErr(err)
		_, err = f.place(ctx, 0, time.Second)
		f.is.NoErr(err)
		_, err = f.place(ctx, 0, 100*time.Millisecond)
		f.is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
		reserveCalls, _, _ := f.engines.count()
		f.is.Equal(reserveCalls, 2)
		f.hosts[0].reserver.RecordPrefillOutcome(p, placer.Outcome{})
		_, err = f.place(ctx, 0, time.Second)
		f.is.NoErr(err)
	})
	t.Run("immediately refuses a prompt larger than an engine's memory", func(t *testing.T) {
		f := newFleet(t, 1)
		f.prompt = memory + 1
		began := time.Now()
		_, err := f.place(ctx, 0, 5*time.Second)
		f.is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
		f.is.Equal(classifier.Of(err).Reason, classifier.ReasonTooLarge)
		f.is.True(time.Since(began) < time.Second)
	})
	t.Run("searches a large pool concurrently, so that slow engines cause no queueing", func(t *testing.T) {
		// If a call takes 20 ms, placing 126 requests within 400 ms takes seven
		// searches at a time. The barrier checks that at any load of the machine.
		const (
			decodes    = 63
			requests   = 126
			concurrent = 7
		)
		f := newFleet(t, 1)
		f.engines.barrier = newBarrier(concurrent)
		endpoints := []*registrar.Endpoint{{Name: "f", Service: "notes", DataCenter: "a", Stage: registrar.StagePrefill}}
		for n := range decodes {
			name := identifier.Endpoint(fmt.Sprintf("d%d", n))
			endpoints = append(endpoints, &registrar.Endpoint{Name: name, Service: "notes", DataCenter: "a", Stage: registrar.StageDecode})
		}
		f.registry.SetEndpoints(endpoints)
		work := grouper.New(ctx)
		for range requests {
			work.Run(func(ctx context.Context) {
				_, err := f.place(ctx, 0, 30*time.Second)
				if err != nil {
					t.Error(err)
				}
			})
		}
		f.is.NoErr(work.Wait())
		f.is.True(!f.engines.barrier.timedOut.Load())
	})
	t.Run("gives no engine more than fits once all responses are complete", func(t *testing.T) {
		// An engine accepts a reservation while its running requests are still short.
		f := newFleet(t, 1)
		f.engines.acceptsAll = true
		for range slots {
			_, err := f.place(ctx, 0, time.Second)
			f.is.NoErr(err)
		}
		_, err := f.place(ctx, 0, 200*time.Millisecond)
		f.is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
		reserveCalls, _, _ := f.engines.count()
		f.is.Equal(reserveCalls, slots)
	})
	t.Run("skips an unresponsive engine", func(t *testing.T) {
		f := newFleet(t, 1)
		f.engines.unresponsive["d1"] = true
		for range slots / 2 {
			p, err := f.place(ctx, 0, 2*time.Second)
			f.is.NoErr(err)
			f.is.Equal(p.Decode.Name, identifier.Endpoint("d2"))
		}
	})
}

func TestPlacingHostFailure(t *testing.T) {
	ctx := context.Background()
	t.Run("delays requests by less than a second", func(t *testing.T) {
		f := newFleet(t, 3)
		owner := f.placingHost()
		f.hosts[owner].messenger.Close()
		began := time.Now()
		for n := range f.hosts {
			if n == owner {
				continue
			}
			_, err := f.place(ctx, n, 2*time.Second)
			f.is.NoErr(err)
		}
		f.is.True(time.Since(began) < time.Second)
	})
}

// placingHost returns the index of the placing host. It fills the engines, and
// finds the host whose queue holds the requests of all hosts.
func (f *fleet) placingHost() int {
	f.t.Helper()
	plans := make([]reserver.Plan, slots)
	for n := range plans {
		p, err := f.place(context.Background(), n%len(f.hosts), time.Second)
		f.is.NoErr(err)
		plans[n] = p
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for n := range f.hosts {
		f.group.Run(func(context.Context) { _, _ = f.place(ctx, n, time.Minute) }) // waits until canceled
	}
	found := -1
	f.eventually("all requests wait at one host", func() bool {
		for n, h := range f.hosts {
			if h.reserver.Waiting() == len(f.hosts) {
				found = n
				return true
			}
		}
		return false
	})
	cancel()
	f.eventually("waiting requests are canceled", func() bool { return f.waiting() == 0 })
	for n, p := range plans {
		f.complete(n%len(f.hosts), p)
	}
	return found
}

func TestExclusions(t *testing.T) {
	ctx := context.Background()
	for _, hosts := range []int{1, 3} {
		t.Run(fmt.Sprintf("of a host apply to its own requests only, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			placing := f.placingHost()
			home := (placing + 1) % hosts
			f.excluded.set(home, "d1")
			for range slots / 2 {
				p, err := f.place(ctx, home, time.Second)
				f.is.NoErr(err)
				f.is.Equal(p.Decode.Name, identifier.Endpoint("d2"))
			}
			if hosts > 1 {
				p, err := f.place(ctx, placing, time.Second)
				f.is.NoErr(err)
				f.is.Equal(p.Decode.Name, identifier.Endpoint("d1"))
			}
		})
		t.Run(fmt.Sprintf("of all engines refuse at once, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			placing := f.placingHost()
			home := (placing + 1) % hosts
			f.excluded.set(home, "d1", "d2")
			before, _, _ := f.engines.count()
			began := time.Now()
			_, err := f.place(ctx, home, 5*time.Second)
			f.is.Equal(classifier.VerdictOf(err), classifier.VerdictNotRun)
			f.is.Equal(classifier.Of(err).RetryAfter, exclusionWait)
			f.is.True(time.Since(began) < time.Second)
			after, _, _ := f.engines.count()
			f.is.Equal(after, before)
		})
		t.Run(fmt.Sprintf("of the prefill engine leave the prefill to the decode engine, with %d hosts", hosts), func(t *testing.T) {
			f := newFleet(t, hosts)
			placing := f.placingHost()
			home := (placing + 1) % hosts
			f.excluded.set(home, "f")
			p, err := f.place(ctx, home, time.Second)
			f.is.NoErr(err)
			f.is.True(p.Prefill == nil)
		})
	}
}
