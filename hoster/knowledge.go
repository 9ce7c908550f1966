package hoster

import (
	"maps"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/replicator"
)

// catalogue holds what was read of the store's items, by their keys, so that a
// change of one item costs no reading of the others. It is used under the lock
// of the replicator.
type catalogue map[string]reading

// reading is an item as it was read; all fields are zero for one of no interest,
// or that can't be read.
type reading struct {
	revision     identifier.Revision
	declarations *registrar.Declarations
	endpoint     *registrar.Endpoint
}

// update reads the items that are new and drops those that are gone. What can't
// be read is told by unreadable.
func (c catalogue) update(items []replicator.Item, read func(replicator.Item) (*registrar.Declarations, *registrar.Endpoint, error), unreadable func(replicator.Item, error)) {
	here := make(map[string]bool, len(items))
	for _, i := range items {
		here[i.Key] = true
		if old, ok := c[i.Key]; ok && old.revision == i.Revision {
			continue
		}
		d, e, err := read(i)
		if err != nil {
			unreadable(i, err)
		}
		c[i.Key] = reading{revision: i.Revision, declarations: d, endpoint: e}
	}
	maps.DeleteFunc(c, func(key string, _ reading) bool { return !here[key] })
}

// known gives the newest declarations, nil if there are none, and all endpoints.
func (c catalogue) known() (*registrar.Declarations, []*registrar.Endpoint) {
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

// apply takes in what the store holds.
func (h *Host) apply(items []replicator.Item) {
	newest := newestRevision(items)
	h.catalogue.update(items, h.deps.Platform.Read, func(i replicator.Item, err error) {
		h.log.Warn("store-item-unreadable", zap.String("key", i.Key), zap.Uint64("revision", uint64(i.Revision)), zap.Error(err))
	})
	declarations, endpoints := h.catalogue.known()
	if declarations != nil && h.registry.Declare(declarations) {
		h.log.Info("declarations-in-force",
			zap.Uint64("version", uint64(declarations.Version)), zap.Uint64("revision", uint64(newest)))
	}
	before := h.registry.Snapshot()
	h.registry.SetEndpoints(endpoints)
	h.logChanges(before, h.registry.Snapshot(), newest)
	if ready := h.Ready(); ready != h.ready.Swap(ready) {
		h.log.Info("readiness-changed", zap.Bool("ready", ready))
	}
}

func newestRevision(items []replicator.Item) identifier.Revision {
	newest := identifier.Revision(0)
	for _, i := range items {
		newest = max(newest, i.Revision)
	}
	return newest
}

// logChanges tells which endpoints came, went or began to leave.
func (h *Host) logChanges(before, after *registrar.Snapshot, r identifier.Revision) {
	after.Each(func(e *registrar.Endpoint) {
		previous := before.Endpoint(e.Name)
		if previous == nil || previous != e && *previous != *e {
			h.logEndpoint("endpoint-changed", e, r)
		}
	})
	before.Each(func(e *registrar.Endpoint) {
		if after.Endpoint(e.Name) == nil {
			h.logEndpoint("endpoint-gone", e, r)
		}
	})
}

func (h *Host) logEndpoint(event string, e *registrar.Endpoint, r identifier.Revision) {
	h.log.Info(event,
		zap.String("endpoint", string(e.Name)),
		zap.String("service", string(e.Service)),
		zap.String("address", string(e.Address)),
		zap.Stringer("stage", e.Stage),
		zap.Bool("leaving", e.Leaving),
		zap.Int64("started", e.Started),
		zap.Uint64("revision", uint64(r)))
}
