package replicator

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
)

// maxListings is how often the store is listed in a row if it is restored
// meanwhile.
const maxListings = 3

// minWatchWait is how long the store holds a watch open at least. What a read has
// waited before is taken off, so that the store confirms the replica as often as
// without a wait.
const minWatchWait = 100 * time.Millisecond

var (
	// errEarlierEra reports an answer from an era before the replica's.
	errEarlierEra = errors.New("store's answer is from an earlier era")
	// errReaderStale reports that a reader's answer is stale or from an earlier era.
	errReaderStale = errors.New("reader's data is stale: the store has not confirmed it recently")
	// errListingOutdated reports a listing of the store from before the replica's position.
	errListingOutdated = errors.New("store's listing is older than this host's copy")
	// errNoValues reports that large values can't be fetched from peers.
	errNoValues = errors.New("no peer sends large values")
)

// follow keeps the replica up to date until the group ends.
func (r *Replicator) follow(ctx context.Context) {
	backoff := r.options.MinBackoff
	for ctx.Err() == nil {
		err := r.interruptibleStep(ctx)
		if err == nil {
			backoff = r.options.MinBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if sleeper.Sleep(ctx, backoff/2+rand.N(backoff)) != nil {
			return
		}
		backoff = min(2*backoff, r.options.MaxBackoff)
	}
}

// interruptibleStep runs a step that Invalidate can cancel.
func (r *Replicator) interruptibleStep(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	r.interrupt = cancel
	r.mu.Unlock()
	return r.step(ctx)
}

// step waits for changes once, at the store or at a host that reads it.
func (r *Replicator) step(ctx context.Context) error {
	if !r.deps.ReadsStore() && r.Synced() && time.Now().After(r.readUntil) {
		if err := r.followReader(ctx); err == nil || ctx.Err() != nil {
			return err
		}
		r.readUntil = time.Now().Add(r.options.DirectReadPeriod)
	}
	err := r.read(ctx)
	if err != nil && ctx.Err() == nil {
		r.readFailed(err)
	}
	return err
}

func (r *Replicator) followReader(ctx context.Context) error {
	after := r.replica.Position()
	r.readerReads.begun.Add(1)
	changes, err := r.deps.Peers.Follow(ctx, after, r.options.FollowWait)
	r.readerReads.end(changes, err)
	if err == nil {
		var accepted bool
		accepted, err = r.applyPeerChanges(ctx, changes, "reader")
		if err == nil && (!accepted || r.isStale(&changes)) {
			err = errReaderStale
		}
	}
	if err != nil {
		r.deps.Log.Info("reader-unavailable", zap.Duration("knowledge-age", r.Age()), zap.Error(err))
	}
	return err
}

// isStale reports whether a reader's answer is too old to follow it. A reader that is receiving a large
// answer of the store will have it sooner than this host could.
func (r *Replicator) isStale(c *ChangeSet) bool {
	if c.Receiving {
		return c.Age >= maxReceivingAge
	}
	return c.Age >= r.options.StaleAfter
}

// read lists or watches the store once. A replica that was already filled by a
// peer needs no listing.
func (r *Replicator) read(ctx context.Context) error {
	waited, err := r.pace(ctx)
	if err != nil {
		return err
	}
	after := r.replica.Position()
	r.storeReads.begun.Add(1)
	changes, err := r.listOrWatch(ctx, after, max(minWatchWait, r.options.WatchWait-waited))
	r.storeReads.end(changes, err)
	if err != nil {
		r.readAt = time.Time{} // the next read waits for the backoff only
		return err
	}
	if !r.replica.Accepts(changes) {
		return errEarlierEra
	}
	r.readSucceeded()
	r.applyChanges(changes, "store")
	return nil
}

// pace waits until the next read of the store may start, and returns how long.
func (r *Replicator) pace(ctx context.Context) (waited time.Duration, err error) {
	interval := r.options.ReadInterval
	if !r.deps.ReadsStore() {
		interval = r.options.DirectReadInterval
	}
	waited = max(0, interval-time.Since(r.readAt))
	if err := sleeper.Sleep(ctx, waited); err != nil {
		r.readAt = time.Time{}
		return 0, err
	}
	r.readAt = time.Now()
	return waited, nil
}

// listOrWatch watches the store for up to wait, or lists it.
func (r *Replicator) listOrWatch(ctx context.Context, after identifier.Position, wait time.Duration) (ChangeSet, error) {
	if after.IsZero() {
		return r.list(ctx)
	}
	changes, err := r.watch(ctx, after, wait)
	switch {
	case errors.Is(err, ErrHistoryLost):
		r.deps.Log.Info("store-history-unavailable", append(positionFields(after), zap.Error(err))...)
		return r.list(ctx)
	case errors.Is(err, ErrTooLarge): // the same watch would only return more
		r.deps.Log.Info("store-changes-too-large", append(positionFields(after), zap.Error(err))...)
		return r.list(ctx)
	}
	if err == nil && changes.Position.Era > after.Era {
		return r.list(ctx)
	}
	return changes, err
}

// watch watches the store for up to wait.
func (r *Replicator) watch(ctx context.Context, after identifier.Position, wait time.Duration) (ChangeSet, error) {
	ctx, end := r.whileProgressing(ctx, wait+r.options.ReplyMargin)
	defer end()
	return r.deps.Store.Watch(ctx, after, wait)
}

// list lists the store, again if it is restored meanwhile. It has its own time, as a
// watch before it may have spent that on an answer that was too large.
func (r *Replicator) list(ctx context.Context) (ChangeSet, error) {
	ctx, end := r.whileProgressing(ctx, r.options.WatchWait+r.options.ReplyMargin)
	defer end()
	for range maxListings - 1 {
		changes, err := r.deps.Store.List(ctx)
		if !errors.Is(err, ErrEraChanged) {
			return changes, err
		}
	}
	return r.deps.Store.List(ctx)
}

// readFailed records a failed read of the store.
func (r *Replicator) readFailed(err error) {
	r.mu.Lock()
	outageBegan := r.connectivity.readFailed(time.Now(), r.Age())
	r.mu.Unlock()
	if outageBegan {
		r.deps.Log.Warn("store-unavailable", append(positionFields(r.replica.Position()), zap.Error(err))...)
	}
}

// readSucceeded records an answer of the store.
func (r *Replicator) readSucceeded() {
	r.updateConfirmedAt(0)
	r.mu.Lock()
	outage, recovered := r.connectivity.readSucceeded(time.Now())
	r.mu.Unlock()
	r.logRecovery(outage, recovered)
}

// peerConfirmed records a peer's answer, which the store confirmed age ago.
func (r *Replicator) peerConfirmed(age time.Duration) {
	r.updateConfirmedAt(age)
	if age >= r.options.StaleAfter {
		return
	}
	r.mu.Lock()
	outage, recovered := r.connectivity.confirmed(time.Now())
	r.mu.Unlock()
	r.logRecovery(outage, recovered)
}

func (r *Replicator) logRecovery(outage time.Duration, recovered bool) {
	if recovered {
		r.deps.Log.Info("store-recovered", append(positionFields(r.replica.Position()), zap.Duration("outage", outage))...)
	}
}
