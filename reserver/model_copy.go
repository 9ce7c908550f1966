package reserver

import (
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// modelRefreshPeriod is the interval at which a host asks the placing host for its
// model.
const modelRefreshPeriod = 2 * time.Second

// modelCopy records the last exchange of models with a placing host.
type modelCopy struct {
	source identifier.Incarnation
	at     time.Time
}

// exchangeModel asks the placing host for its model if this host's copy is old, and
// sends that copy to a placing host that is new to this host, as it may have no
// measurements yet.
func (q *serviceQueue) exchangeModel(m *peerwire.ReservationRequest, owner identifier.Incarnation, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.modelCopy.source != owner && q.model.Known() {
		m.Model = encodeModel(q.model)
	}
	m.WantModel = q.modelCopy.source != owner || now.Sub(q.modelCopy.at) > modelRefreshPeriod
	if m.WantModel {
		q.modelCopy = modelCopy{source: owner, at: now}
	}
}

// replaceModel replaces this host's copy by the placing host's model.
func (q *serviceQueue) replaceModel(m *peerwire.EngineModel) {
	if m == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.model = decodeModel(m)
	q.modelChanged = time.Now()
}

// adoptModel takes over another host's model if this host has not measured the
// engines itself.
func (q *serviceQueue) adoptModel(m *peerwire.EngineModel, from identifier.Incarnation) {
	if m == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.model.Known() {
		return
	}
	q.model = decodeModel(m)
	q.modelChanged = time.Now()
	q.reserver.deps.Log.Info("engine-model-adopted",
		zap.String("service", string(q.service)), zap.Uint64("from", uint64(from)), zap.Int("samples", q.model.Samples()))
}

// sharedModel returns the model to send to another host, or nil without enough
// measurements.
func (q *serviceQueue) sharedModel() *peerwire.EngineModel {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.model.Known() {
		return nil
	}
	return encodeModel(q.model)
}
