package replicator

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// silentStore implements Store: it gives a listing and a change, then no answer.
type silentStore struct {
	scriptedStore

	mu    sync.Mutex
	limit time.Duration // after which the first silent watch was given up; 0 before
	wait  time.Duration // that it was asked to hold the silent watch open
}

func (s *silentStore) Watch(ctx context.Context, after identifier.Position, wait time.Duration) (ChangeSet, error) {
	if after.Revision == 1 {
		return update(1, 2), nil
	}
	began := time.Now()
	<-ctx.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limit == 0 {
		s.limit, s.wait = time.Since(began), wait
	}
	return ChangeSet{}, ctx.Err()
}

// latePeer implements Peers: it has a change from a time on.
type latePeer struct {
	noPeers
	from time.Time
}

func (p latePeer) Query(context.Context, identifier.Position) (ChangeSet, error) {
	if time.Now().Before(p.from) {
		return ChangeSet{}, errNoPeers
	}
	return update(1, 3), nil
}

// A host whose store went silent asked its peers once a second only, as for a store
// that answers, until its read had timed out after two seconds.
func TestSilentStore(t *testing.T) {
	start := func(t *testing.T, p Peers, reader bool) (*silentStore, *Replicator) {
		t.Helper()
		s := &silentStore{scriptedStore: scriptedStore{listings: []answer{{changes: listing(1, 1)}}}}
		return s, startReadingAs(t, s, p, reader)
	}
	o := DefaultOptions()
	t.Run("a host with a stale copy finds a peer's changes within a query's period", func(t *testing.T) {
		for name, reader := range map[string]bool{"by the reader": true, "by another host": false} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					i := is.New(t)
					from := time.Now().Add(o.DirectReadInterval + o.StaleAfter)
					_, r := start(t, latePeer{from: from}, reader)
					time.Sleep(time.Until(from) + o.OutageQueryPeriod)
					synctest.Wait()
					i.Equal(r.Replica().Position(), identifier.Position{Era: 1, Revision: 3})
				})
			})
		}
	})
	t.Run("a read that starts late waits no longer for its answer", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			i := is.New(t)
			s, _ := start(t, noPeers{}, false)
			time.Sleep(2*o.DirectReadInterval + o.WatchWait + o.ReplyMargin)
			synctest.Wait()
			s.mu.Lock()
			defer s.mu.Unlock()
			i.True(s.wait < o.WatchWait)
			i.Equal(s.limit, s.wait+o.ReplyMargin)
		})
	})
}
