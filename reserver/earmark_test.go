package reserver_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// TestMixedSizes guards against starvation of large requests: callers keep both
// engines full of small requests while others need most of an engine's memory.
func TestMixedSizes(t *testing.T) {
	const (
		large        = 9 * memory / 10
		smallCallers = 40 // with small requests
		largeCallers = 3  // with large requests
		maxWait      = 200 * time.Millisecond
		serviceTime  = 60 * time.Millisecond
		duration     = 4 * time.Second
	)
	load := func(ctx context.Context, f *fleet) (small, big *grantCounter) {
		small, big = &grantCounter{}, &grantCounter{}
		work := grouper.New(ctx)
		for range smallCallers {
			work.Run(func(ctx context.Context) { f.requestInLoop(ctx, tokens, maxWait, serviceTime, small) })
		}
		for range largeCallers {
			work.Run(func(ctx context.Context) { f.requestInLoop(ctx, large, maxWait, serviceTime, big) })
		}
		<-ctx.Done()
		work.Stop()
		f.is.NoErr(work.Wait())
		return small, big
	}
	t.Run("large requests are granted at least half as often", func(t *testing.T) {
		f := newFleet(t, 1)
		ctx, cancel := context.WithTimeout(context.Background(), duration)
		defer cancel()
		small, big := load(ctx, f)
		t.Logf("small: %d of %d, large: %d of %d", small.granted.Load(), small.requested.Load(), big.granted.Load(), big.requested.Load())
		f.is.True(big.requested.Load() > 20)
		f.is.True(big.grantRate() >= 0.5*small.grantRate())
	})
	t.Run("earmarks are released when all decode engines are gone", func(t *testing.T) {
		f := newFleet(t, 1)
		ctx, cancel := context.WithTimeout(context.Background(), duration)
		defer cancel()
		all := f.registry.Snapshot().Endpoints("notes")
		time.AfterFunc(duration-time.Second, func() { f.registry.SetEndpoints(all[2:]) }) // the prefill engine
		load(ctx, f)
		f.registry.SetEndpoints(all)
		for range slots {
			_, err := f.place(context.Background(), 0, 2*time.Second)
			f.is.NoErr(err)
		}
	})
}

// grantCounter counts requests and those that were granted.
type grantCounter struct{ requested, granted atomic.Int64 }

func (s *grantCounter) grantRate() float64 {
	return float64(s.granted.Load()) / float64(max(1, s.requested.Load()))
}

// requestInLoop simulates a caller that sends its next request as soon as the last
// one has ended.
func (f *fleet) requestInLoop(ctx context.Context, size identifier.Tokens, maxWait, serviceTime time.Duration, s *grantCounter) {
	for ctx.Err() == nil {
		s.requested.Add(1)
		p, err := f.placeSized(ctx, 0, size, maxWait)
		if err != nil {
			time.Sleep(serviceTime / 4)
			continue
		}
		s.granted.Add(1)
		time.Sleep(serviceTime/2 + rand.N(serviceTime))
		f.complete(0, p)
	}
}
