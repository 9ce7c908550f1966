package hoster

import (
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/replicator"
)

// apply takes in what the store holds.
func (h *Host) apply(items []replicator.Item) {
	newest := newestRevision(items)
	declarations, endpoints := h.deps.Platform.Items(items, func(key string, err error) {
		h.log.Warn("store-item-unreadable", zap.String("key", key), zap.Uint64("revision", uint64(newest)), zap.Error(err))
	})
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
	old := map[identifier.Endpoint]*registrar.Endpoint{}
	before.Each(func(e *registrar.Endpoint) { old[e.Name] = e })
	after.Each(func(e *registrar.Endpoint) {
		previous := old[e.Name]
		delete(old, e.Name)
		if previous == nil || *previous != *e {
			h.logEndpoint("endpoint-changed", e, r)
		}
	})
	for _, e := range old {
		h.logEndpoint("endpoint-gone", e, r)
	}
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
