package replicator

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/timer"
)

// narrowStore implements Store: its first answer arrives in parts, the gap between which is the same.
type narrowStore struct {
	parts  int
	gap    time.Duration
	result ChangeSet
	calls  atomic.Int64
}

func (s *narrowStore) List(ctx context.Context) (ChangeSet, error) {
	s.calls.Add(1)
	for range s.parts {
		if err := sleeper.Sleep(ctx, s.gap); err != nil {
			return ChangeSet{}, context.Cause(ctx)
		}
		ReportProgress(ctx)
	}
	return s.result, nil
}

func (s *narrowStore) Watch(ctx context.Context, after identifier.Position, wait time.Duration) (ChangeSet, error) {
	s.calls.Add(1)
	if err := sleeper.Sleep(ctx, wait); err != nil {
		return ChangeSet{}, err
	}
	return ChangeSet{Position: after}, nil
}

// whileReading starts a replicator that reads a store, in virtual time, and runs a test.
func whileReading(t *testing.T, s Store, test func(t *testing.T, r *Replicator)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := grouper.New(context.Background())
		r := Start(Deps{
			Store: s, Peers: noPeers{}, ReadsStore: func() bool { return true },
			OnChange: func([]Item, identifier.Position) {}, Timer: timer.New(g), Group: g, Log: zap.NewNop(),
		}, DefaultOptions())
		test(t, r)
		g.Stop()
		is.New(t).NoErr(g.Wait())
	})
}

// The time limit of a read didn't know the size of the answer: on a narrow link a large one was given up again
// and again.
func TestSlowAnswersOfTheStore(t *testing.T) {
	listing := ChangeSet{Position: identifier.Position{Era: 1, Revision: 5}, Complete: true}
	t.Run("are awaited as long as they go on", func(t *testing.T) {
		s := &narrowStore{parts: 50, gap: 100 * time.Millisecond, result: listing}
		whileReading(t, s, func(t *testing.T, r *Replicator) {
			i := is.New(t)
			time.Sleep(4 * time.Second)
			i.True(r.receiving())
			time.Sleep(1500 * time.Millisecond)
			i.True(r.Synced())
			i.True(!r.receiving())
		})
	})
	t.Run("are given up if they pause", func(t *testing.T) {
		s := &narrowStore{parts: 2, gap: 1900 * time.Millisecond, result: listing}
		whileReading(t, s, func(t *testing.T, r *Replicator) {
			time.Sleep(6 * time.Second)
			is.New(t).True(!r.Synced())
		})
	})
	t.Run("are given up if they never end", func(t *testing.T) {
		s := &narrowStore{parts: 1 << 20, gap: 100 * time.Millisecond, result: listing}
		whileReading(t, s, func(t *testing.T, _ *Replicator) {
			time.Sleep(maxReadTime + 5*time.Second)
			is.New(t).True(s.calls.Load() > 1)
		})
	})
}

// All hosts of a data center turned to the store at once while their reader received a large answer.
func TestFollowingAReceivingReader(t *testing.T) {
	r := &Replicator{options: DefaultOptions()}
	for _, c := range []struct {
		name      string
		age       time.Duration
		receiving bool
		stale     bool
	}{
		{"a current answer", time.Second, false, false},
		{"an old answer", 1400 * time.Millisecond, false, true},
		{"an old answer of a reader that is receiving", 1400 * time.Millisecond, true, false},
		{"a very old one", 5 * time.Second, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(r.isStale(&ChangeSet{Age: c.age, Receiving: c.receiving}), c.stale)
		})
	}
}
