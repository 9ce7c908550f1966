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

// endpointTable keeps the newest load report of the endpoints that this host
// probes.
type endpointTable struct {
	reports sync.Map // identifier.Endpoint -> endpointReport
}

type endpointReport struct {
	load *enginewire.LoadResponse // nil: unreachable
	at   time.Time
}

func (t *endpointTable) observe(o coordinator.LoadObservation) {
	t.reports.Store(o.Endpoint.Name, endpointReport{load: o.Load, at: time.Now()})
}

// status describes the endpoint as this host knows it.
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
		describe(s, v.(endpointReport))
	}
	if leaving || e.Leaving {
		s.State = "leaving"
	}
	return s
}

func describe(s *operatorwire.EndpointStatus, r endpointReport) {
	s.ReportAgeMs = uint32(time.Since(r.at).Milliseconds())
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

// leavingAt tells whether the endpoint's own report says that it leaves.
func (t *endpointTable) leavingAt(e identifier.Endpoint) bool {
	v, ok := t.reports.Load(e)
	return ok && v.(endpointReport).load.GetLeaving()
}
