package reserver

import (
	"math"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/placer"
)

// encodeSlotRequest converts a request to a message. Times become durations from now, since
// the hosts' clocks differ.
func encodeSlotRequest(req *SlotRequest, now time.Time) *peerwire.SlotRequest {
	return &peerwire.SlotRequest{
		Service:     string(req.Service),
		Request:     string(req.Request),
		AgeMs:       now.Sub(req.Arrived).Milliseconds(),
		OnTimeMs:    req.OnTimeBy.Sub(now).Milliseconds(),
		DeadlineMs:  req.Deadline.Sub(now).Milliseconds(),
		Priority:    req.Priority,
		Customer:    string(req.Customer),
		Fingerprint: req.Fingerprint,
		SpentUs:     req.Spent.Microseconds(),
		Exclude:     endpointStrings(req.Exclude),
		NoWait:      req.NoWait,
	}
}

func decodeSlotRequest(m *peerwire.SlotRequest, now time.Time) *SlotRequest {
	after := func(ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	req := &SlotRequest{
		Service:  identifier.Service(m.Service),
		Request:  identifier.Request(m.Request),
		OnTimeBy: after(m.OnTimeMs),
		Deadline: after(m.DeadlineMs),
		Exclude:  endpointNames(m.Exclude),
		NoWait:   m.NoWait,
	}
	req.Arrived = after(-m.AgeMs)
	req.Priority = m.Priority
	req.Customer = identifier.Customer(m.Customer)
	req.Fingerprint = m.Fingerprint
	req.Spent = time.Duration(m.SpentUs) * time.Microsecond
	return req
}

func encodeSlotOutcome(s Slot, o SlotOutcome) *peerwire.SlotReturn {
	return &peerwire.SlotReturn{
		Service:  string(s.Endpoint.Service),
		Grant:    uint64(s.grant),
		Verdict:  uint8(o.Verdict),
		TookUs:   o.Latency.Microseconds(),
		Running:  uint32(o.Load.Running),
		Waiting:  uint32(o.Load.Waiting),
		Slots:    uint32(o.Load.Slots),
		Slowdown: o.Load.Slowdown,
	}
}

func decodeSlotOutcome(m *peerwire.SlotReturn) SlotOutcome {
	o := SlotOutcome{
		Outcome: placer.Outcome{Verdict: placer.Verdict(m.Verdict), Latency: time.Duration(max(0, m.TookUs)) * time.Microsecond},
		Load:    placer.Load{Running: int(m.Running), Waiting: int(m.Waiting), Slots: int(m.Slots)},
	}
	if m.Slowdown > 0 && !math.IsInf(m.Slowdown, 1) {
		o.Load.Slowdown = m.Slowdown
	}
	return o
}
