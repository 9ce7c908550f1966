// Package replicator keeps a host's copy of the configuration store up to
// date. Only a few hosts, the readers, watch the store; the others follow one
// of them. In addition, every host queries random peers, which may have changes
// from a store that this host can't reach.
//
// # Usage
//
//	r := replicator.Start(replicator.Deps{
//		Store: store, Peers: peers, OnChange: applyItems, ...,
//	}, replicator.DefaultOptions())
//	if r.Synced() { ... }                                 // there is data to serve from
//	answer := r.WaitForChanges(ctx, ask.After, ask.Wait) // for a peer's query
//
// # Restored stores
//
// A store may come back from an older copy. It has then lost what was written
// since, gives the same revisions out again, and states a later era. A replica
// moves to a later era by a complete listing only, the store's own or a peer's, and
// ignores all answers of earlier ones. What the listing takes back is still used
// for a while, as its writers are expected to write it again:
//
//   - An item that it lacks is used for Options.DeletionGrace.
//   - In place of an item that it sets back to an older state, the latest known state
//     is used for Options.OutdatedHold, or until it is written again. The same holds
//     for an item whose deletion is known. Deps.Permanent names states that an older
//     one never replaces.
//
// # Readers
//
// A host watches the store itself if Deps.ReadsStore returns true. The others do
// so for Options.DirectReadPeriod whenever their reader doesn't answer, or
// answers with data that the store hasn't confirmed for Options.StaleAfter. So
// if a reader fails or loses the store, updates are delayed by about StaleAfter.
//
// # Deletions around an outage
//
// Items that their writers have to keep alive expire during an outage that
// affects the writers as well. A deletion seen during an outage or shortly after
// it is therefore passed to Deps.OnChange only if the item is still missing
// after Options.DeletionGrace.
package replicator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/timer"
)

var (
	// ErrHistoryLost reports that the store doesn't have the changes after a
	// revision, so that all items have to be listed again.
	ErrHistoryLost = errors.New("store doesn't have the changes after this revision")
	// ErrTooLarge reports that the changes after a revision take more memory than this
	// host has for an answer, so that all items have to be listed again.
	ErrTooLarge = errors.New("answer with the changes is too large")
	// ErrEraChanged reports that the store was restored during a listing.
	ErrEraChanged = errors.New("store was restored during the listing")
)

// Store is read access to the configuration store.
type Store interface {
	// List returns all items. It returns ErrEraChanged if the store was restored
	// meanwhile.
	List(ctx context.Context) (ChangeSet, error)
	// Watch waits, for at most wait, for changes after a position. It returns
	// ErrHistoryLost if the store doesn't have them, and ErrTooLarge if they are too
	// large for one answer. If the result has a later era, the store was restored, and
	// its changes aren't those after the position.
	Watch(ctx context.Context, after identifier.Position, wait time.Duration) (ChangeSet, error)
}

// Peers gives access to the replicas of other hosts. An answer may take several messages; implementations
// bound the time of each, and not of the whole, which depends on its size.
type Peers interface {
	// Query asks a random host for the changes after a position.
	Query(ctx context.Context, after identifier.Position) (ChangeSet, error)
	// Follow waits, for at most wait, for changes after a position at a host that
	// reads the store.
	Follow(ctx context.Context, after identifier.Position, wait time.Duration) (ChangeSet, error)
}

// Deps are the dependencies of a Replicator.
type Deps struct {
	Store Store
	Peers Peers
	// ReadsStore reports whether this host is one of those that watch the store.
	ReadsStore func() bool
	// OnChange receives all items to use after each change, and the store's
	// position. Calls don't overlap.
	OnChange func([]Item, identifier.Position)
	// Permanent reports whether a known state of an item isn't replaced by an older
	// one that a restored store has, however long nobody writes it again. If nil,
	// there is no such state.
	Permanent func(known, restored Item) bool
	// Values exchanges large values with peers; nil if peers send none apart.
	Values Values
	Timer  *timer.Service
	Group  *grouper.Group
	Log    *zap.Logger
}

// Options are the timing parameters and bounds of a Replicator.
type Options struct {
	// WatchWait is how long the store may hold a watch open without a change.
	WatchWait time.Duration
	// ReplyMargin is how much later than the store may hold a watch open its answer may begin, and
	// how long the answer may pause.
	ReplyMargin time.Duration
	// ReadInterval is the least time from the start of a read of the store to the next
	// one's, so that a series of changes takes few reads. DirectReadInterval is that of
	// hosts that read the store only since their reader failed; all hosts of a data
	// center may do that at the same time.
	ReadInterval, DirectReadInterval time.Duration
	// MinBackoff and MaxBackoff bound the wait between failed reads.
	MinBackoff, MaxBackoff time.Duration
	// FollowWait is how long a reader may hold a follow request open without a
	// change.
	FollowWait time.Duration
	// StaleAfter is the age of the store's confirmation from which a replica and a
	// reader's answer count as stale. It has to be longer than WatchWait.
	StaleAfter time.Duration
	// DirectReadPeriod is how long a host reads the store itself after its reader
	// failed or was stale.
	DirectReadPeriod time.Duration
	// PeerQueryPeriod is the time between two queries to a peer, and
	// OutageQueryPeriod that while reads fail or the replica is empty or stale.
	PeerQueryPeriod, OutageQueryPeriod time.Duration
	// OutageAfter is how long no host may have reached the store before this
	// counts as an outage.
	OutageAfter time.Duration
	// DeletionGrace is how long after an outage deletions are still deferred, and
	// after a restore of the store those of items that it lacks.
	DeletionGrace time.Duration
	// OutdatedHold is how long after a restore the latest known state of an item is
	// used in place of the older one that the store has. It is longer than the store
	// keeps items that their writers have to keep alive.
	OutdatedHold time.Duration
	// MaxLogBytes bounds the memory of the changes that are kept for peers. A peer
	// that is further behind gets a whole copy.
	MaxLogBytes int64
}

// DefaultOptions returns options that suit stores that answer within
// milliseconds.
func DefaultOptions() Options {
	return Options{
		WatchWait:          time.Second,
		ReplyMargin:        time.Second,
		ReadInterval:       250 * time.Millisecond,
		DirectReadInterval: time.Second,
		MinBackoff:         100 * time.Millisecond,
		MaxBackoff:         1500 * time.Millisecond,
		FollowWait:         700 * time.Millisecond,
		StaleAfter:         1300 * time.Millisecond,
		DirectReadPeriod:   4 * time.Second,
		PeerQueryPeriod:    time.Second,
		OutageQueryPeriod:  200 * time.Millisecond,
		OutageAfter:        1500 * time.Millisecond,
		DeletionGrace:      2 * time.Second,
		OutdatedHold:       10 * time.Second,
		MaxLogBytes:        DefaultMaxLogBytes,
	}
}

// Replicator keeps a Replica up to date. It is safe for concurrent use.
type Replicator struct {
	deps     Deps
	options  Options
	replica  *Replica
	querying atomic.Bool
	// confirmedAt is when the store last confirmed the replica, in nanoseconds
	// since started.
	confirmedAt atomic.Int64
	started     time.Time
	// receivedAt is when a part of the store's answer arrived last, in nanoseconds since started; 0
	// while none is being received.
	receivedAt atomic.Int64
	readUntil  time.Time // used by follow only
	readAt     time.Time // start of the last read; used by follow only

	// missing signals that the replica lacks a value.
	missing chan struct{}

	storeReads, readerReads, peerReads transferCounters

	// unconfirmed is set from a suspension of the host until the next
	// confirmation.
	unconfirmed atomic.Bool

	mu           sync.Mutex
	connectivity connectivity
	retention    retention
	interrupt    context.CancelFunc // cancels the current step
}

// Start starts a Replicator, which runs until the group ends.
func Start(d Deps, o Options) *Replicator {
	r := &Replicator{
		deps:         d,
		options:      o,
		replica:      NewReplica(o.MaxLogBytes),
		started:      time.Now(),
		retention:    newRetention(o, d.Permanent),
		connectivity: connectivity{options: o},
		missing:      make(chan struct{}, 1),
	}
	d.Group.Run(r.follow)
	d.Group.Run(r.fetchMissing)
	d.Timer.Every(o.OutageQueryPeriod, r.tick)
	return r
}

// Replica returns the replica.
func (r *Replicator) Replica() *Replica {
	return r.replica
}

// Synced reports whether the replica has received any position.
func (r *Replicator) Synced() bool {
	return !r.replica.Position().IsZero()
}

// Connected reports whether the store answers to this host or to another one.
func (r *Replicator) Connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.connectivity.outage
}

// Retained returns the number of keys for which something else is used than the
// store has.
func (r *Replicator) Retained() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retention.active()
}

// Age returns the time since the store last confirmed the replica.
func (r *Replicator) Age() time.Duration {
	return time.Since(r.started) - time.Duration(r.confirmedAt.Load())
}

// stale reports whether the replica is empty or the store hasn't confirmed it
// recently.
func (r *Replicator) stale() bool {
	return !r.Synced() || r.Age() >= r.options.StaleAfter
}

// WaitForChanges returns the changes after a position, for a peer. If there are
// none, it waits for at most wait.
func (r *Replicator) WaitForChanges(ctx context.Context, after identifier.Position, wait time.Duration) ChangeSet {
	changed := r.replica.Changed()
	if !r.receiving() {
		wait = min(wait, r.options.StaleAfter-r.Age())
	}
	if wait > 0 && nothingNew(after, r.replica.Position()) {
		timeout := time.NewTimer(wait)
		defer timeout.Stop()
		select {
		case <-changed:
		case <-timeout.C:
		case <-ctx.Done():
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.replica.Since(after)
	c.Age = r.Age()
	c.Receiving = r.receiving()
	c.Kept = r.retention.kept(time.Now())
	return c
}

// nothingNew reports whether a peer at a position has to wait for changes to a
// replica at another one. A peer that states no era may be of a build that knows
// none: it can't take over a later one, and would query again at once.
func nothingNew(peer, own identifier.Position) bool {
	if peer.Era == 0 && peer.Revision > 0 {
		return own.Revision <= peer.Revision
	}
	return !peer.Before(own)
}

// Invalidate marks the replica as unconfirmed after the host was suspended, adds
// the time of the suspension to the replica's age, and looks for changes at
// once.
func (r *Replicator) Invalidate(suspended time.Duration) {
	r.unconfirmed.Store(true)
	r.confirmedAt.Add(-int64(suspended))
	r.mu.Lock()
	if r.interrupt != nil {
		r.interrupt() // its connection may be dead
	}
	r.mu.Unlock()
	r.queryPeer()
}

// Unconfirmed reports whether the replica hasn't been confirmed since Invalidate.
func (r *Replicator) Unconfirmed() bool {
	return r.unconfirmed.Load()
}

// updateConfirmedAt records that the store confirmed the replica age ago.
func (r *Replicator) updateConfirmedAt(age time.Duration) {
	r.unconfirmed.Store(false)
	at := int64(time.Since(r.started) - age)
	for {
		old := r.confirmedAt.Load()
		if old >= at || r.confirmedAt.CompareAndSwap(old, at) {
			return
		}
	}
}

// applyPeerChanges applies a peer's answer. It reports false if the answer is from
// an earlier era, and returns an error if a value of a complete one can't be had: it then
// changes and confirms nothing.
func (r *Replicator) applyPeerChanges(ctx context.Context, c ChangeSet, source string) (accepted bool, err error) {
	if !r.replica.Accepts(c) {
		return false, nil
	}
	c, err = r.fillAll(ctx, c)
	if err != nil {
		return false, err
	}
	r.peerConfirmed(c.Age)
	r.applyChanges(c, source)
	r.learnKept(ctx, c)
	return true, nil
}

// learnKept takes over what a peer of the same era keeps in use.
func (r *Replicator) learnKept(ctx context.Context, c ChangeSet) {
	unknown := r.unknownKept(c)
	if len(unknown) == 0 {
		return
	}
	unknown = r.fillKept(ctx, unknown)
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Position.Era != r.replica.Position().Era {
		return
	}
	now := time.Now()
	learned := r.retention.learn(unknown, r.replica.Item, now)
	if len(learned) > 0 {
		r.logOutdated(learned, "peer")
		r.publish(now)
	}
}

// unknownKept returns what a peer keeps and this host would take over.
func (r *Replicator) unknownKept(c ChangeSet) []Kept {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Position.Era != r.replica.Position().Era {
		return nil
	}
	return r.retention.unknown(c.Kept, r.replica.Item)
}

// applyChanges applies changes to the replica and publishes the items if any
// changed.
func (r *Replicator) applyChanges(c ChangeSet, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.replica.Position()
	r.keepValues(c.Changes)
	applied := r.replica.Apply(c)
	if len(applied.Changes) == 0 && !applied.Restored {
		return
	}
	now := time.Now()
	r.retention.record(applied, r.connectivity.deletionGraceEnd(now), now)
	if applied.Restored {
		r.logRestore(previous, c.Position, applied)
	}
	r.deps.Log.Info("store-changes-applied", append(positionFields(c.Position),
		zap.String("source", source),
		zap.Bool("whole", c.Complete),
		zap.Int("changes", len(applied.Changes)),
		zap.Int("doubted", r.retention.active()))...)
	r.publish(now)
	r.signalMissing()
}

// logRestore logs that the store was restored, and each item that it has set back.
func (r *Replicator) logRestore(previous, next identifier.Position, a Applied) {
	r.deps.Log.Warn("store-restored", append(positionFields(next),
		zap.Uint64("previous-era", uint64(previous.Era)),
		zap.Uint64("previous-revision", uint64(previous.Revision)),
		zap.Int("changes", len(a.Changes)),
		zap.Int("outdated", len(a.Outdated)))...)
	r.logOutdated(a.Outdated, "own")
}

// logOutdated logs each item in whose place the latest known state is used. Source
// is whose knowledge it is.
func (r *Replicator) logOutdated(all []Outdated, source string) {
	for _, o := range all {
		r.deps.Log.Info("store-item-outdated",
			zap.String("knowledge", source),
			zap.String("key", o.Item.Key),
			zap.Uint64("revision", uint64(o.Item.Revision)),
			zap.Uint64("known-revision", uint64(o.Known.Revision)),
			zap.Bool("known-deleted", o.Known.Deleted))
	}
}

// publish passes the items to use to OnChange; r.mu must be held.
func (r *Replicator) publish(now time.Time) {
	items := r.retention.overlay(r.replica.Items(), now)
	r.replica.Accept(r.retention.takeAccepted())
	r.deps.OnChange(items, r.replica.Position())
}

// tick ends the use of items that the store doesn't have, and queries a peer if a
// query is due.
func (r *Replicator) tick(now time.Time) {
	r.mu.Lock()
	deletions, outdated := r.retention.endedCount(now)
	if deletions > 0 {
		r.deps.Log.Info("unconfirmed-items-removed", zap.Int("items", deletions))
	}
	if outdated > 0 {
		r.deps.Log.Info("outdated-items-accepted", zap.Int("items", outdated))
	}
	if deletions+outdated > 0 {
		r.publish(now)
	}
	due := r.connectivity.peerQueryDue(now, r.stale())
	r.mu.Unlock()
	if due {
		r.queryPeer()
	}
}

// queryPeer asks one peer for changes, unless a query is in progress.
func (r *Replicator) queryPeer() {
	if !r.querying.CompareAndSwap(false, true) {
		return
	}
	r.deps.Group.Run(func(ctx context.Context) {
		defer r.querying.Store(false)
		r.peerReads.begun.Add(1)
		changes, err := r.deps.Peers.Query(ctx, r.replica.Position())
		r.peerReads.end(changes, err)
		if err != nil {
			r.deps.Log.Debug("peer-query-failed", zap.Error(err))
			return
		}
		if _, err := r.applyPeerChanges(ctx, changes, "peer"); err != nil {
			r.deps.Log.Info("peer-copy-incomplete", zap.Error(err))
		}
	})
}

// positionFields returns the log fields of a position.
func positionFields(p identifier.Position) []zap.Field {
	return []zap.Field{zap.Uint64("era", uint64(p.Era)), zap.Uint64("revision", uint64(p.Revision))}
}
