package replicator

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/sleeper"
)

// Pending reports whether this host has heard of a change whose value it doesn't have yet.
func (r *Replicator) Pending() bool {
	_, ok := r.replica.Missing()
	return ok
}

// keepValues keeps large values for peers.
func (r *Replicator) keepValues(all []Change) {
	if r.deps.Values == nil {
		return
	}
	for _, c := range all {
		if len(c.Value) >= MinReferenceBytes {
			r.deps.Values.Keep(c.Value)
		}
	}
}

// signalMissing lets fetchMissing look for values that the replica lacks.
func (r *Replicator) signalMissing() {
	select {
	case r.missing <- struct{}{}:
	default:
	}
}

// fetchMissing fetches the values that the replica lacks, one at a time, until the group ends.
func (r *Replicator) fetchMissing(ctx context.Context) {
	backoff := r.options.MinBackoff
	for {
		m, ok := r.replica.Missing()
		if !ok {
			backoff = r.options.MinBackoff
			select {
			case <-r.missing:
				continue
			case <-ctx.Done():
				return
			}
		}
		err := r.resolve(ctx, m)
		if err == nil {
			continue
		}
		r.deps.Log.Info("store-value-unavailable", append(positionFields(m.Position),
			zap.String("key", m.Key), zap.Duration("missing-for", time.Since(m.Heard)), zap.Error(err))...)
		if sleeper.Sleep(ctx, backoff) != nil {
			return
		}
		backoff = min(2*backoff, r.options.MaxBackoff)
	}
}

// resolve fetches a value from a peer or, if none has it, lists the store.
func (r *Replicator) resolve(ctx context.Context, m MissingValue) error {
	value, err := r.fetch(ctx, m.Reference, m.Base)
	if err != nil {
		if ctx.Err() != nil {
			return err
		}
		return r.listAnew(ctx)
	}
	if !r.replica.Resolve(m, value) {
		return nil
	}
	r.deps.Log.Info("store-value-used", append(positionFields(m.Position),
		zap.String("key", m.Key), zap.Int("bytes", len(value)), zap.Duration("missing-for", time.Since(m.Heard)))...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(time.Now())
	return nil
}

// fetch returns a value from a peer.
func (r *Replicator) fetch(ctx context.Context, wanted Reference, base []byte) ([]byte, error) {
	if r.deps.Values == nil {
		return nil, errNoValues
	}
	return r.deps.Values.Fetch(ctx, wanted, base)
}

// listAnew lists the store, which has all values.
func (r *Replicator) listAnew(ctx context.Context) error {
	r.storeReads.begun.Add(1)
	changes, err := r.list(ctx)
	r.storeReads.end(changes, err)
	if err != nil {
		return err
	}
	if !r.replica.Accepts(changes) {
		return errEarlierEra
	}
	r.readSucceeded()
	r.applyChanges(changes, "store")
	if changes.Position.Before(r.replica.Position()) {
		return errListingOutdated
	}
	return nil
}

// fillAll returns changes of a complete change set with their values, as a replica takes a
// complete one as a whole only.
func (r *Replicator) fillAll(ctx context.Context, c ChangeSet) (ChangeSet, error) {
	if !c.Complete {
		return c, nil
	}
	c.Changes = slices.Clone(c.Changes)
	for n, change := range c.Changes {
		i, err := r.fillItem(ctx, change.Item)
		if err != nil {
			return ChangeSet{}, err
		}
		c.Changes[n].Item = i
	}
	return c, nil
}

// fillItem returns an item with its value.
func (r *Replicator) fillItem(ctx context.Context, i Item) (Item, error) {
	if i.Missing == nil {
		return i, nil
	}
	i = r.replica.Reuse(i)
	if i.Missing == nil {
		return i, nil
	}
	current, _ := r.replica.Item(i.Key)
	value, err := r.fetch(ctx, *i.Missing, current.Value)
	if err != nil {
		return i, err
	}
	i.Value, i.Missing = value, nil
	return i, nil
}

// fillKept returns what a peer keeps, as far as its values are known here or can be fetched.
func (r *Replicator) fillKept(ctx context.Context, all []Kept) []Kept {
	var filled []Kept
	for _, k := range all {
		i, err := r.fillItem(ctx, k.Known.Item)
		if err != nil {
			continue // the peer sends it again
		}
		k.Known.Item = i
		filled = append(filled, k)
	}
	return filled
}
