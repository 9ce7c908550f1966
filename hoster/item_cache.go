package hoster

import (
	"bytes"
	"maps"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/replicator"
)

// itemCache caches the store's parsed items by key, so that a change of one item
// doesn't require parsing the others. The replicator's lock guards it.
type itemCache map[string]cachedItem

// cachedItem is a parsed item; its declarations and endpoint are nil if it is
// irrelevant or malformed. The value is compared too, as a restored store gives out
// its revisions again.
type cachedItem struct {
	revision     identifier.Revision
	value        []byte
	declarations *registrar.Declarations
	endpoint     *registrar.Endpoint
}

// readItem parses an item; see Platform.Read.
type readItem func(replicator.Item) (*registrar.Declarations, *registrar.Endpoint, error)

// update parses new and changed items and drops deleted ones. It calls
// unreadable for malformed items.
func (c itemCache) update(items []replicator.Item, read readItem, unreadable func(replicator.Item, error)) {
	present := make(map[string]bool, len(items))
	for _, i := range items {
		present[i.Key] = true
		if old, ok := c[i.Key]; ok && old.revision == i.Revision && bytes.Equal(old.value, i.Value) {
			continue
		}
		d, e, err := read(i)
		if err != nil {
			unreadable(i, err)
		}
		c[i.Key] = cachedItem{revision: i.Revision, value: i.Value, declarations: d, endpoint: e}
	}
	maps.DeleteFunc(c, func(key string, _ cachedItem) bool { return !present[key] })
}

// contents returns the declarations, nil if there are none, and all endpoints.
func (c itemCache) contents() (*registrar.Declarations, []*registrar.Endpoint) {
	var declarations *registrar.Declarations
	endpoints := make([]*registrar.Endpoint, 0, len(c))
	for _, r := range c {
		if r.declarations != nil {
			declarations = r.declarations
		}
		if r.endpoint != nil {
			endpoints = append(endpoints, r.endpoint)
		}
	}
	return declarations, endpoints
}

// applyItems updates the registry to the items to use at a position of the store.
func (h *Host) applyItems(items []replicator.Item, at identifier.Position) {
	h.items.update(items, h.deps.Platform.Read, func(i replicator.Item, err error) {
		h.log.Warn("store-item-unreadable", zap.String("key", i.Key), zap.Uint64("revision", uint64(i.Revision)), zap.Error(err))
	})
	declarations, endpoints := h.items.contents()
	if declarations != nil && h.registry.SetDeclarations(declarations) {
		h.log.Info("declarations-in-force",
			zap.Uint64("version", uint64(declarations.Version)),
			zap.Uint64("era", uint64(at.Era)),
			zap.Uint64("revision", uint64(at.Revision)))
	}
	before := h.registry.Snapshot()
	h.registry.SetEndpoints(endpoints)
	h.logChanges(before, h.registry.Snapshot(), at)
	if ready := h.Ready(); ready != h.ready.Swap(ready) {
		h.log.Info("readiness-changed", zap.Bool("ready", ready))
	}
}

// isFinal reports whether what is known of an endpoint isn't undone by an older
// entry that a restored store has: an incarnation that leaves doesn't come back.
func isFinal(read readItem, known, restored replicator.Item) bool {
	_, e, err := read(known)
	if err != nil || e == nil || !e.Leaving {
		return false
	}
	_, older, err := read(restored)
	return err == nil && older != nil && older.StartID == e.StartID
}

// logChanges logs which endpoints were added, changed or removed.
func (h *Host) logChanges(before, after *registrar.Snapshot, at identifier.Position) {
	after.ForEach(func(e *registrar.Endpoint) {
		previous := before.Endpoint(e.Name)
		if previous == nil || previous != e && *previous != *e {
			h.logEndpoint("endpoint-changed", e, at)
		}
	})
	before.ForEach(func(e *registrar.Endpoint) {
		if after.Endpoint(e.Name) == nil {
			h.logEndpoint("endpoint-removed", e, at)
		}
	})
}

func (h *Host) logEndpoint(event string, e *registrar.Endpoint, at identifier.Position) {
	h.log.Info(event,
		zap.String("endpoint", string(e.Name)),
		zap.String("service", string(e.Service)),
		zap.String("address", string(e.Address)),
		zap.Stringer("stage", e.Stage),
		zap.Bool("leaving", e.Leaving),
		zap.Int64("started", e.StartID),
		zap.Uint64("era", uint64(at.Era)),
		zap.Uint64("revision", uint64(at.Revision)))
}
