package replicator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/timer"
)

// scriptedStore implements Store with given answers. The last ones repeat.
type scriptedStore struct {
	mu       sync.Mutex
	listings []answer
	watches  []answer
	listed   int
	watched  int
}

type answer struct {
	changes ChangeSet
	err     error
}

func (s *scriptedStore) List(context.Context) (ChangeSet, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed++
	return next(&s.listings)
}

func (s *scriptedStore) Watch(ctx context.Context, _ identifier.Position, _ time.Duration) (ChangeSet, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watched++
	if len(s.watches) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return ChangeSet{}, ctx.Err()
	}
	return next(&s.watches)
}

func next(all *[]answer) (ChangeSet, error) {
	a := (*all)[0]
	if len(*all) > 1 {
		*all = (*all)[1:]
	}
	return a.changes, a.err
}

// noPeers implements Peers for a host without any.
type noPeers struct{}

var errNoPeers = errors.New("no peers")

func (noPeers) Query(context.Context, identifier.Position) (ChangeSet, error) {
	return ChangeSet{}, errNoPeers
}

func (noPeers) Follow(context.Context, identifier.Position, time.Duration) (ChangeSet, error) {
	return ChangeSet{}, errNoPeers
}

// oncePeer implements Peers: the first query returns changes.
type oncePeer struct {
	noPeers
	changes chan ChangeSet
}

func (p oncePeer) Query(context.Context, identifier.Position) (ChangeSet, error) {
	select {
	case c := <-p.changes:
		return c, nil
	default:
		return ChangeSet{}, errNoPeers
	}
}

// startReading starts a replicator that reads a store.
func startReading(t *testing.T, s Store, p Peers) *Replicator {
	t.Helper()
	return startReadingAs(t, s, p, true)
}

// startReadingAs starts a replicator of a host that is a reader of the store, or not.
func startReadingAs(t *testing.T, s Store, p Peers, reader bool) *Replicator {
	t.Helper()
	return startReadingWith(t, s, p, reader, DefaultOptions())
}

// startReadingWith starts a replicator with the given options.
func startReadingWith(t *testing.T, s Store, p Peers, reader bool, o Options) *Replicator {
	t.Helper()
	return startReplicator(t, Deps{Store: s, Peers: p, ReadsStore: func() bool { return reader }}, o)
}

// startReadingWithValues starts a replicator that reads a store and exchanges large values.
func startReadingWithValues(t *testing.T, s Store, p Peers, v Values) *Replicator {
	t.Helper()
	return startReplicator(t, Deps{Store: s, Peers: p, ReadsStore: func() bool { return true }, Values: v}, DefaultOptions())
}

// startReplicator starts a replicator whose other dependencies are set here.
func startReplicator(t *testing.T, d Deps, o Options) *Replicator {
	t.Helper()
	g := grouper.New(context.Background())
	t.Cleanup(func() {
		g.Stop()
		_ = g.Wait() // its members return no errors
	})
	d.OnChange = func([]Item, identifier.Position) {}
	d.Timer, d.Group, d.Log = timer.New(g), g, zap.NewNop()
	return Start(d, o)
}

// assertPosition waits until a replicator is at a position.
func assertPosition(t *testing.T, r *Replicator, want identifier.Position) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); r.Replica().Position() != want; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("replica is at %v, expected %v", r.Replica().Position(), want)
		}
	}
}

func TestReadingRestoredStore(t *testing.T) {
	second := identifier.Position{Era: 2, Revision: 5}
	t.Run("lists it when a watch answers in a later era", func(t *testing.T) {
		s := &scriptedStore{
			listings: []answer{{changes: listing(1, 9)}, {changes: listing(2, 5)}},
			watches:  []answer{{changes: update(2, 12)}, {err: errNoPeers}},
		}
		assertPosition(t, startReading(t, s, noPeers{}), second)
	})
	t.Run("lists it when a watch has lost its history", func(t *testing.T) {
		s := &scriptedStore{
			listings: []answer{{changes: listing(1, 9)}, {changes: listing(2, 5)}},
			watches:  []answer{{err: ErrHistoryLost}, {err: errNoPeers}},
		}
		assertPosition(t, startReading(t, s, noPeers{}), second)
	})
	t.Run("lists it again when it was restored during a listing", func(t *testing.T) {
		s := &scriptedStore{listings: []answer{{err: ErrEraChanged}, {changes: listing(2, 5)}}}
		assertPosition(t, startReading(t, s, noPeers{}), second)
		is.New(t).Equal(s.listed, 2)
	})
	t.Run("lists it after a suspension of the host", func(t *testing.T) {
		s := &scriptedStore{listings: []answer{{changes: listing(1, 9)}, {changes: listing(2, 5)}}}
		r := startReading(t, s, noPeers{})
		assertPosition(t, r, identifier.Position{Era: 1, Revision: 9})
		s.mu.Lock()
		s.watches = []answer{{changes: update(2, 12)}, {err: errNoPeers}}
		s.mu.Unlock()
		r.Invalidate(time.Minute)
		assertPosition(t, r, second)
	})
	t.Run("takes no confirmation from an answer of an earlier era", func(t *testing.T) {
		i := is.New(t)
		s := &scriptedStore{
			listings: []answer{{changes: listing(1, 9)}},
			watches:  []answer{{changes: update(1, 9)}},
		}
		peer := oncePeer{changes: make(chan ChangeSet, 1)}
		peer.changes <- listing(2, 5)
		r := startReading(t, s, peer)
		assertPosition(t, r, second)
		age := r.Age()
		time.Sleep(300 * time.Millisecond)
		i.True(r.Age() >= age+200*time.Millisecond)
		i.Equal(r.Replica().Position(), second)
	})
}

// slowStore implements Store: it takes a while for each answer.
type slowStore struct {
	scriptedStore
	duration time.Duration
}

func (s *slowStore) List(ctx context.Context) (ChangeSet, error) {
	if err := sleeper.Sleep(ctx, s.duration); err != nil {
		return ChangeSet{}, err
	}
	return s.scriptedStore.List(ctx)
}

func (s *slowStore) Watch(ctx context.Context, after identifier.Position, wait time.Duration) (ChangeSet, error) {
	if err := sleeper.Sleep(ctx, s.duration); err != nil {
		return ChangeSet{}, err
	}
	return s.scriptedStore.Watch(ctx, after, wait)
}

// A host that was cut off for some seconds while large configurations came watched from
// the same revision for 18 s, as the answer was too large each time.
func TestReadingLargeChanges(t *testing.T) {
	t.Run("a listing has its own time after a slow answer that was too large", func(t *testing.T) {
		t.Parallel()
		o := DefaultOptions()
		o.WatchWait, o.ReplyMargin = 200*time.Millisecond, 200*time.Millisecond
		s := &slowStore{
			scriptedStore: scriptedStore{
				listings: []answer{{changes: listing(1, 9)}, {changes: listing(1, 40)}},
				watches:  []answer{{err: ErrTooLarge}},
			},
			duration: (o.WatchWait + o.ReplyMargin) * 2 / 3,
		}
		assertPosition(t, startReadingWith(t, s, noPeers{}, true, o), identifier.Position{Era: 1, Revision: 40})
	})
	t.Run("the store is listed at once", func(t *testing.T) {
		i := is.New(t)
		s := &scriptedStore{
			listings: []answer{{changes: listing(1, 9)}, {changes: listing(1, 40)}},
			watches:  []answer{{err: fmt.Errorf("watch: %w", ErrTooLarge)}, {err: errNoPeers}},
		}
		r := startReading(t, s, noPeers{})
		assertPosition(t, r, identifier.Position{Era: 1, Revision: 40})
		s.mu.Lock()
		defer s.mu.Unlock()
		i.Equal(s.listed, 2)
	})
}

// endlessChanges implements Store: each watch returns a change at once.
type endlessChanges struct {
	scriptedStore
	revision identifier.Revision
}

func (e *endlessChanges) Watch(context.Context, identifier.Position, time.Duration) (ChangeSet, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.watched++
	e.revision++
	return update(1, e.revision), nil
}

// Each change of a series was read by a call of its own, by all hosts of a data center if
// their reader had failed.
func TestReadsOfASeriesOfChanges(t *testing.T) {
	const duration = 1100 * time.Millisecond
	cases := []struct {
		name   string
		reader bool
		most   int // watches within duration
	}{
		{"by the reader", true, 5},
		{"by a host whose reader failed", false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			s := &endlessChanges{scriptedStore: scriptedStore{listings: []answer{{changes: listing(1, 5)}}}, revision: 5}
			startReadingAs(t, s, noPeers{}, c.reader)
			time.Sleep(duration)
			s.mu.Lock()
			defer s.mu.Unlock()
			i.True(s.watched > 0)
			i.True(s.watched <= c.most)
		})
	}
	t.Run("a host that was suspended reads at once", func(t *testing.T) {
		t.Parallel()
		s := &endlessChanges{scriptedStore: scriptedStore{listings: []answer{{changes: listing(1, 5)}}}, revision: 5}
		r := startReadingAs(t, s, noPeers{}, false)
		assertPosition(t, r, identifier.Position{Era: 1, Revision: 6})
		r.Invalidate(0)
		invalidated := time.Now()
		for r.Replica().Position().Revision == 6 && time.Since(invalidated) < DefaultOptions().DirectReadInterval {
			time.Sleep(5 * time.Millisecond)
		}
		is.New(t).True(time.Since(invalidated) < DefaultOptions().DirectReadInterval-100*time.Millisecond)
	})
}
