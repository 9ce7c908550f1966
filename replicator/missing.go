package replicator

import (
	"context"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// MinReferenceBytes is the size of a value in bytes from which peers are sent a reference to it.
const MinReferenceBytes = 4 << 10

// Reference stands for a large value that a host doesn't have yet.
type Reference struct {
	Digest identifier.Digest
	// Bytes is the size of the value.
	Bytes int
	// From is the host that announced the value.
	From identifier.Address
	// Heard is when it did.
	Heard time.Time
}

// Attribute sets who announced the value, and when. It has no effect on nil.
func (r *Reference) Attribute(from identifier.Address, at time.Time) {
	if r != nil {
		r.From, r.Heard = from, at
	}
}

// Values exchanges large values with peers.
type Values interface {
	// Keep keeps a value that peers may fetch.
	Keep(value []byte)
	// Fetch returns a value from a peer. Base is an earlier value of the item; nil for none.
	Fetch(ctx context.Context, wanted Reference, base []byte) ([]byte, error)
}

// MissingValue is the value of an item that a replica lacks.
type MissingValue struct {
	Reference
	Key string
	// Position is that of the item's change.
	Position identifier.Position
	// Base is the item's last value that the replica has; nil for none.
	Base []byte
}

// digest returns the digest of the item's value.
func (i *Item) digest() identifier.Digest {
	if i.Missing != nil {
		return i.Missing.Digest
	}
	return identifier.DigestOf(i.Value)
}

// set replaces an item; r.mu must be held.
func (r *Replica) set(old Item, known bool, i Item) {
	r.items[i.Key] = i
	switch {
	case i.Missing == nil:
		delete(r.whole, i.Key)
	case known && old.Missing == nil:
		r.whole[i.Key] = old
	}
}

// remove removes an item; r.mu must be held.
func (r *Replica) remove(key string) {
	delete(r.items, key)
	delete(r.whole, key)
}

// reuse returns the item with its value, if that is the one that the replica has of an
// earlier state; r.mu must be held.
func (r *Replica) reuse(i Item) Item {
	for _, known := range []Item{r.items[i.Key], r.whole[i.Key], r.history.latest[i.Key].Item} {
		if known.Value != nil && known.Missing == nil && known.digest() == i.Missing.Digest {
			i.Value, i.Missing = known.Value, nil
			return i
		}
	}
	return i
}

// Reuse returns an item with its value, if the replica has that.
func (r *Replica) Reuse(i Item) Item {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reuse(i)
}

// Missing returns a value that the replica lacks; false if it lacks none.
func (r *Replica) Missing() (MissingValue, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, i := range r.items {
		if i.Missing != nil {
			return MissingValue{
				Reference: *i.Missing,
				Key:       key,
				Position:  identifier.Position{Era: r.position.Era, Revision: i.Revision},
				Base:      r.whole[key].Value,
			}, true
		}
	}
	return MissingValue{}, false
}

// Resolve adds a value that was missing, and reports whether it is to be used. If the item has changed
// again meanwhile, the value is used until the latest one is there.
func (r *Replica) Resolve(m MissingValue, value []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, ok := r.items[m.Key]
	if !ok || i.Missing == nil || r.position.Era != m.Position.Era {
		return false
	}
	if i.Revision == m.Position.Revision {
		r.fill(i, value)
		return true
	}
	before, ok := r.whole[m.Key]
	if ok && before.Revision >= m.Position.Revision {
		return false
	}
	r.whole[m.Key] = Item{Key: m.Key, Value: value, Revision: m.Position.Revision, Era: i.Era}
	return true
}

// fill adds the value of the latest state of an item; r.mu must be held.
func (r *Replica) fill(i Item, value []byte) {
	i.Value, i.Missing = value, nil
	r.items[i.Key] = i
	delete(r.whole, i.Key)
	r.log.fill(i)
	r.history.fill(i)
}
