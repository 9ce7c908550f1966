package placer

import (
	"time"

	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// suspectThreshold is the number of consecutive unanswered calls to
	// endpoints in a data center after which the data center is suspected to
	// be unreachable.
	suspectThreshold = 3
	// suspectDuration is how long a data center stays suspect. A response or a
	// successful probe of one of its endpoints ends the suspicion earlier.
	suspectDuration = time.Second
)

// dataCenterHealth tracks whether a data center is reachable. When it is cut
// off, its endpoints are deprioritized together, without a timeout for each.
type dataCenterHealth struct {
	consecutiveLosses int // unanswered calls
	suspectUntil      time.Time
}

// dataCenter returns the health record of e's data center. The caller must hold
// p.mu.
func (p *Placer) dataCenter(e *registrar.Endpoint) *dataCenterHealth {
	name := e.DataCenter
	h := p.dataCenters[name]
	if h == nil {
		h = &dataCenterHealth{}
		p.dataCenters[name] = h
	}
	return h
}

func (h *dataCenterHealth) suspect(now time.Time) bool {
	return now.Before(h.suspectUntil)
}

// recordVerdict updates the record with the verdict of a call to one of the
// data center's endpoints.
func (h *dataCenterHealth) recordVerdict(v Verdict, now time.Time) {
	switch v {
	case VerdictSuccess, VerdictServerError, VerdictAtCapacity, VerdictReservationRefused:
		h.reset()
	case VerdictResponseFailed, VerdictUnreachable:
		h.consecutiveLosses++
		if h.consecutiveLosses >= suspectThreshold {
			h.suspectUntil = now.Add(suspectDuration)
		}
	case VerdictNone:
	}
}

func (h *dataCenterHealth) reset() {
	*h = dataCenterHealth{}
}
