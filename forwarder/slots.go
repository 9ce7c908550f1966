package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
)

// maxPermitRefusals is the number of slots that a request returns because it got no permit
// for their endpoints.
const maxPermitRefusals = 3

// sharesSlots reports whether the request needs a slot for its calls.
func (e *exchange) sharesSlots() bool {
	s := e.forwarder.deps.Slots
	return s != nil && s.SharesSlots(e.service.Name)
}

// chooseShared obtains a slot at one of the endpoints, with a permit if the endpoint has named
// a limit. If ok is false, this host has to choose alone.
func (e *exchange) chooseShared(ctx context.Context, among []*registrar.Endpoint, noWait bool) (t target, failure *classifier.Error, ok bool) {
	f := e.forwarder
	among = f.deps.Placer.Healthiest(f.deps.Limits.Within(among, 0), e.exclude, time.Now())
	for range maxPermitRefusals {
		if len(among) == 0 {
			break
		}
		slot, err := f.deps.Slots.AcquireSlot(ctx, e.slotRequest(among, noWait))
		if err != nil {
			return target{}, classifier.Of(err), reserver.RefusedSlot(err) || ctx.Err() != nil
		}
		if containsName(among, slot.Endpoint) && e.stillUsable(slot.Endpoint) && f.deps.Limits.Acquire(ctx, slot.Endpoint, e.call.ID, 0) == nil {
			return target{Endpoint: slot.Endpoint, slot: slot}, nil, true
		}
		f.deps.Slots.EndSlot(slot, reserver.SlotOutcome{Outcome: placer.Outcome{Verdict: placer.VerdictNone}})
		among = without(among, slot.Endpoint)
	}
	return target{}, nil, false
}

// stillUsable reports whether an endpoint may get calls now. It may have begun to drain while
// the request waited.
func (e *exchange) stillUsable(at *registrar.Endpoint) bool {
	return slices.ContainsFunc(e.usableEndpoints(), func(o *registrar.Endpoint) bool { return o.Name == at.Name && !o.Leaving })
}

// containsName reports whether a list has an endpoint of e's name. The entry may have changed while
// the request waited.
func containsName(list []*registrar.Endpoint, e *registrar.Endpoint) bool {
	return slices.ContainsFunc(list, func(o *registrar.Endpoint) bool { return o.Name == e.Name })
}

func without(all []*registrar.Endpoint, e *registrar.Endpoint) []*registrar.Endpoint {
	return slices.DeleteFunc(slices.Clone(all), func(o *registrar.Endpoint) bool { return o.Name == e.Name })
}

// slotRequest returns the request for a slot at one of the endpoints.
func (e *exchange) slotRequest(among []*registrar.Endpoint, noWait bool) reserver.SlotRequest {
	r := reserver.SlotRequest{
		Entry: admitter.Entry{
			Arrived:     e.observation.Started,
			Priority:    e.call.Priority,
			Fingerprint: xxhash.Sum64String(string(e.observation.Fingerprints.Caller)),
		},
		Service:  e.service.Name,
		Request:  e.call.ID,
		OnTimeBy: e.call.Deadline,
		Deadline: e.call.Deadline,
		NoWait:   noWait,
	}
	if e.call.Customer != nil {
		r.Customer = e.call.Customer.Name
	}
	if e.route.Objective > 0 {
		r.OnTimeBy = e.observation.Started.Add(e.route.Objective)
	}
	for _, o := range e.forwarder.deps.Registry.Snapshot().Endpoints(e.service.Name) {
		if !containsName(among, o) {
			r.Exclude = append(r.Exclude, o.Name)
		}
	}
	return r
}

// endSlot ends the use of a slot, if there is one.
func (f *Forwarder) endSlot(s reserver.Slot, o reserver.SlotOutcome) {
	if f.deps.Slots != nil && s.Endpoint != nil {
		f.deps.Slots.EndSlot(s, o)
	}
}
