package reserver_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/placer"
)

// TestNoReservationLeaks guards against leaked reservations. Callers at all hosts
// place requests, cancel them while they wait, and release, fail or complete their
// plans, in random order.
func TestNoReservationLeaks(t *testing.T) {
	const (
		callers = 24
		calls   = 12
	)
	for seed := range uint64(3) {
		f := newFleet(t, 3)
		work := grouper.New(t.Context())
		for n := range callers {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			work.Run(func(ctx context.Context) {
				for range calls {
					f.runRandomRequest(ctx, random)
				}
			})
		}
		f.is.NoErr(work.Wait())
		f.eventually("no reservation is left", func() bool {
			_, held, _ := f.engines.count()
			return held == 0
		})
		for _, h := range f.hosts {
			f.is.Equal(h.reserver.Waiting(), 0)
		}
		p, err := f.place(t.Context(), 0, time.Second) // all capacity is available again
		f.is.NoErr(err)
		f.complete(0, p)
	}
}

// runRandomRequest simulates one request with a random outcome.
func (f *fleet) runRandomRequest(ctx context.Context, random *rand.Rand) {
	host := random.IntN(len(f.hosts))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(random.IntN(150))*time.Millisecond)
	defer cancel()
	p, err := f.place(ctx, host, time.Duration(random.IntN(300))*time.Millisecond)
	if err != nil {
		return // refused or canceled
	}
	time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	switch random.IntN(3) {
	case 0:
		f.hosts[host].reserver.Release(p)
	case 1:
		f.hosts[host].reserver.RecordPrefillOutcome(p, placer.Outcome{Verdict: placer.VerdictResponseFailed})
		f.hosts[host].reserver.Release(p)
	default:
		f.complete(host, p)
	}
}
