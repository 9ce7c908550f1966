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

// TestLargeAmongSmall has callers keep both engines full of small requests, while
// others ask for most of an engine's memory.
func TestLargeAmongSmall(t *testing.T) {
	const (
		large    = 9 * memory / 10
		callers  = 40 // of small requests
		others   = 3  // of large ones
		patience = 200 * time.Millisecond
		answer   = 60 * time.Millisecond
		length   = 4 * time.Second
	)
	load := func(ctx context.Context, f *fleet) (small, big *share) {
		small, big = &share{}, &share{}
		work := grouper.New(ctx)
		for range callers {
			work.Run(func(ctx context.Context) { f.keepAsking(ctx, tokens, patience, answer, small) })
		}
		for range others {
			work.Run(func(ctx context.Context) { f.keepAsking(ctx, large, patience, answer, big) })
		}
		<-ctx.Done()
		work.Stop()
		f.is.NoErr(work.Wait())
		return small, big
	}
	t.Run("large requests are given room at least half as often", func(t *testing.T) {
		f := newFleet(t, 1)
		ctx, cancel := context.WithTimeout(context.Background(), length)
		defer cancel()
		small, big := load(ctx, f)
		t.Logf("small: %d of %d, large: %d of %d", small.given.Load(), small.asked.Load(), big.given.Load(), big.asked.Load())
		f.is.True(big.asked.Load() > 20)
		f.is.True(big.of() >= 0.5*small.of())
	})
	t.Run("no engine is kept for a request whose engines are all gone", func(t *testing.T) {
		f := newFleet(t, 1)
		ctx, cancel := context.WithTimeout(context.Background(), length)
		defer cancel()
		all := f.registry.Snapshot().Endpoints("notes")
		time.AfterFunc(length-time.Second, func() { f.registry.SetEndpoints(all[2:]) }) // the prefill engine
		load(ctx, f)
		f.registry.SetEndpoints(all)
		for range slots {
			_, err := f.place(context.Background(), 0, 2*time.Second)
			f.is.NoErr(err)
		}
	})
}

// share counts requests, and those that were given room.
type share struct{ asked, given atomic.Int64 }

func (s *share) of() float64 {
	return float64(s.given.Load()) / float64(max(1, s.asked.Load()))
}

// keepAsking plays a caller that asks again as soon as it has its answer.
func (f *fleet) keepAsking(ctx context.Context, size identifier.Tokens, patience, answer time.Duration, s *share) {
	for ctx.Err() == nil {
		s.asked.Add(1)
		p, err := f.placeSized(ctx, 0, size, patience)
		if err != nil {
			time.Sleep(answer / 4)
			continue
		}
		s.given.Add(1)
		time.Sleep(answer/2 + rand.N(answer))
		f.done(0, p)
	}
}
