package launcher

import (
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/coordinator"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
	"github.com/jackdawthread/jackdawthread/wire/operatorwire"
)

// endpointTable holds the latest load report of each endpoint that this host
// probes.
type endpointTable struct {
	reports sync.Map // identifier.Endpoint -> endpointReport
}

type endpointReport struct {
	load       *enginewire.LoadResponse // nil if the endpoint is unreachable
	receivedAt time.Time
}

func (t *endpointTable) observe(o coordinator.LoadObservation) {
	t.reports.Store(o.Endpoint.Name, endpointReport{load: o.Load, receivedAt: time.Now()})
}

// status returns the endpoint's status from this host's point of view.
func (t *endpointTable) status(e *compiler.Endpoint, leaving bool) *operatorwire.EndpointStatus {
	s := &operatorwire.EndpointStatus{
		Endpoint:   string(e.Name),
		Service:    string(e.Service),
		DataCenter: string(e.DataCenter),
		Address:    string(e.Address),
		Role:       e.Role.String(),
		State:      "serving",
		Slots:      uint32(e.Slots),
		Pieces:     uint32(e.Pieces),
	}
	if v, ok := t.reports.Load(e.Name); ok {
		applyReport(s, v.(endpointReport))
	}
	if leaving || e.Leaving {
		s.State = "leaving"
	}
	return s
}

func applyReport(s *operatorwire.EndpointStatus, r endpointReport) {
	s.ReportAgeMs = uint32(time.Since(r.receivedAt).Milliseconds())
	if r.load == nil {
		s.State = "unreachable"
		return
	}
	s.Slots, s.SlotsUsed = r.load.GetSlots(), r.load.GetSlotsUsed()
	s.Pieces, s.PiecesUsed = r.load.GetPieces(), r.load.GetPiecesUsed()
	if r.load.GetLeaving() {
		s.State = "leaving"
	}
}

// reportsLeaving reports whether the endpoint's latest load report says that it
// is leaving.
func (t *endpointTable) reportsLeaving(e identifier.Endpoint) bool {
	v, ok := t.reports.Load(e)
	return ok && v.(endpointReport).load.GetLeaving()
}
