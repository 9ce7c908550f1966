package reserver

import (
	"context"
	"errors"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// noWaitTimeout bounds the wait for the reply to a request that doesn't queue.
const noWaitTimeout = 50 * time.Millisecond

// SlotRequest is a request for a slot at one of a plain service's endpoints.
type SlotRequest struct {
	// Entry needs no Key and no times but Arrived; the placing host sets the rest.
	admitter.Entry
	Service identifier.Service
	Request identifier.Request
	// OnTimeBy is when the response has to be complete for the request to meet its
	// objective. After Deadline it is not wanted any more.
	OnTimeBy, Deadline time.Time
	// Exclude are the endpoints not to use.
	Exclude []identifier.Endpoint
	// NoWait asks for a slot that is free now, or none.
	NoWait bool

	preferredDataCenter identifier.DataCenter
}

// Slot is the permission to send a call to an endpoint.
type Slot struct {
	Endpoint *registrar.Endpoint
	// Expected is how long the call is expected to take; 0 if unknown.
	Expected time.Duration

	grant grantID
	// grantedBy is the address of the host that granted it; empty for this host.
	grantedBy identifier.Address
}

// SlotOutcome is what is known of a call that used a slot.
type SlotOutcome struct {
	placer.Outcome
	// Load is what the endpoint reported; zero if nothing.
	Load placer.Load
}

// SharesSlots reports whether the slots of a service are granted by its placing host:
// whether its endpoints have few for the number of hosts, and share their machines with
// others as far as this host knows.
func (r *Reserver) SharesSlots(s identifier.Service) bool {
	if r.deps.SharedSlots <= 0 {
		return false
	}
	snapshot := r.deps.Registry.Snapshot()
	if snapshot.Declarations == nil {
		return false
	}
	if service := snapshot.Declarations.Services[s]; service == nil || service.Engine != nil {
		return false
	}
	enough := r.deps.SharedSlots * float64(liveHosts(r.deps.Members.View()))
	slots := 0
	all := snapshot.Endpoints(s)
	for _, e := range all {
		slots += max(1, e.Slots)
		if float64(slots) >= enough {
			return false
		}
	}
	return slots > 0 && r.deps.Placer.SharesMachines(all)
}

// liveHosts returns the number of hosts that are taken for live.
func liveHosts(v *gossiper.View) int {
	n := 0
	for _, m := range v.Members() {
		if m.State != gossiper.StateDead {
			n++
		}
	}
	return n
}

// AcquireSlot waits until the request is granted a slot. Its error is NotRun. A request that
// is refused for lack of room has an error for which RefusedSlot returns true; any
// other means that the host that grants slots could not decide.
func (r *Reserver) AcquireSlot(ctx context.Context, req SlotRequest) (Slot, error) {
	req.preferredDataCenter = r.deps.DataCenter
	if req.NoWait {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, noWaitTimeout)
		defer cancel()
	}
	q := r.slotQueue(req.Service)
	owner, ok := r.owner(req.Service)
	if !ok {
		return q.acquire(ctx, r.deps.Self, 0, &req)
	}
	if q.breaker.isOpen(owner.Incarnation, time.Now()) {
		return Slot{}, classifier.NotRun(classifier.ReasonHostUnreachable, 0, "host %q, which grants the slots of service %q, was unreachable just now", owner.Host, req.Service)
	}
	slot, err := r.acquireRemotely(ctx, owner, &req)
	if err != nil && req.NoWait && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Slot{}, noSlot(0, "host %q granted no slot within %v", owner.Host, noWaitTimeout)
	}
	if isUnreachable(err) && ctx.Err() == nil {
		q.breaker.trip(owner.Incarnation, time.Now())
		q.countUnreachable()
		r.deps.Log.Info("slot-host-unreachable",
			zap.String("request", string(req.Request)), zap.String("peer", string(owner.Host)), zap.Error(err))
	}
	return slot, err
}

// ErrNoSlot is in the chain of an error of AcquireSlot if there is no slot for the request.
var ErrNoSlot = errors.New("no slot")

// RefusedSlot reports whether a request was refused for lack of room. Other errors, as of a
// link or a placing host that has too much to do or ends, say nothing of the endpoints.
func RefusedSlot(err error) bool {
	return errors.Is(err, ErrNoSlot)
}

// noSlot returns the error of a request for which there is no slot.
func noSlot(retryAfter time.Duration, format string, args ...any) error {
	return classifier.NotRun(classifier.ReasonQueueFull, retryAfter, format+": %w", append(args, ErrNoSlot)...)
}

func (r *Reserver) acquireRemotely(ctx context.Context, owner gossiper.Member, req *SlotRequest) (Slot, error) {
	message := encodeSlotRequest(req, time.Now())
	message.ID = r.outgoingSeq.Next()
	known := r.deps.Knowledge().Position
	message.Revision, message.Era = known.Revision, known.Era
	var reply peerwire.SlotReply
	lost, err := r.callOwner(ctx, owner, peerwire.KindSlot, message, &reply, r.slotPingers)
	if lost {
		r.sendSlotReturn(owner.Address, &peerwire.SlotReturn{Service: message.Service, ID: message.ID, Verdict: uint8(placer.VerdictNone)})
	}
	if err != nil {
		return Slot{}, err
	}
	if reply.Refused {
		return Slot{}, noSlot(time.Duration(max(0, reply.RetryAfterMs))*time.Millisecond, "host %q refused a slot at service %q", owner.Host, req.Service)
	}
	slot := Slot{
		Endpoint:  r.deps.Registry.Snapshot().Endpoint(identifier.Endpoint(reply.Endpoint)),
		Expected:  time.Duration(max(0, reply.ExpectedUs)) * time.Microsecond,
		grant:     grantID(reply.Grant),
		grantedBy: owner.Address,
	}
	if slot.Endpoint == nil || slot.Endpoint.Service != req.Service {
		r.sendSlotReturn(owner.Address, &peerwire.SlotReturn{Service: message.Service, Grant: reply.Grant, Verdict: uint8(placer.VerdictNone)})
		return Slot{}, classifier.NotRun(classifier.ReasonNoEndpoint, 0, "host %q granted a slot at endpoint %q, which this host does not know", owner.Host, reply.Endpoint)
	}
	return slot, nil
}

// EndSlot ends the use of a slot, whether or not a call was sent. The zero Slot is ignored.
func (r *Reserver) EndSlot(s Slot, o SlotOutcome) {
	switch {
	case s.grant == 0:
	case s.grantedBy == "":
		r.slotQueue(s.Endpoint.Service).end(s.grant, o, r.deps.Self)
	default:
		r.sendSlotReturn(s.grantedBy, encodeSlotOutcome(s, o))
	}
}

func (r *Reserver) sendSlotReturn(to identifier.Address, m *peerwire.SlotReturn) {
	r.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		// If the message is lost, the slot expires.
		_ = r.deps.Links.Send(ctx, to, peerwire.KindSlotReturn, m)
	})
}

func (r *Reserver) handleSlot(ctx context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.SlotRequest
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed SlotRequest message: %w", err)
	}
	if known := r.deps.Knowledge(); known.Age > maxKnowledgeAge && known.Position.Before(identifier.Position{Era: m.Era, Revision: m.Revision}) {
		return nil, classifier.NotRun(classifier.ReasonHostUnreachable, 0, "host's copy of the store is %v old, and older than that of host %q", known.Age, from.Host)
	}
	req := decodeSlotRequest(&m, time.Now())
	req.preferredDataCenter = from.DataCenter
	q := r.slotQueue(req.Service)
	slot, err := q.acquire(ctx, from.Incarnation, m.ID, req)
	if RefusedSlot(err) {
		return &peerwire.SlotReply{Refused: true, RetryAfterMs: classifier.Of(err).RetryAfter.Milliseconds()}, nil
	}
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil { // the caller no longer waits for the reply
		q.end(slot.grant, SlotOutcome{Outcome: placer.Outcome{Verdict: placer.VerdictNone}}, from.Incarnation)
		return nil, classifier.NotRun(classifier.ReasonCanceled, 0, "slot request was canceled: %w", context.Cause(ctx))
	}
	return &peerwire.SlotReply{Grant: uint64(slot.grant), Endpoint: string(slot.Endpoint.Name), ExpectedUs: slot.Expected.Microseconds()}, nil
}

func (r *Reserver) handleSlotReturn(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.SlotReturn
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed SlotReturn message: %w", err)
	}
	r.mu.Lock()
	q := r.slotQueues[identifier.Service(m.Service)]
	r.mu.Unlock()
	switch {
	case q == nil: // this host has restarted
	case m.Grant == 0:
		q.revoke(func(g *slotGrant) bool { return g.origin == from.Incarnation && g.originSeq == m.ID })
	default:
		q.end(grantID(m.Grant), decodeSlotOutcome(&m), from.Incarnation)
	}
	return nil, nil
}

// slotQueue returns the queue of a service's slots at this host.
func (r *Reserver) slotQueue(s identifier.Service) *slotQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.slotQueues[s]
	if q == nil {
		q = newSlotQueue(r, s)
		r.slotQueues[s] = q
	}
	return q
}

func (r *Reserver) allSlotQueues() []*slotQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*slotQueue, 0, len(r.slotQueues))
	for _, q := range r.slotQueues {
		all = append(all, q)
	}
	return all
}

// expireSlots revokes the slots that their origins haven't ended in time, and forgets
// endpoints that are gone.
func (r *Reserver) expireSlots(now time.Time) {
	r.revokeSlots(func(g *slotGrant) bool { return now.After(g.expires) })
	s := r.deps.Registry.Snapshot()
	for _, q := range r.allSlotQueues() {
		q.forget(func(name identifier.Endpoint) bool { return s.Endpoint(name) != nil })
	}
}

func (r *Reserver) revokeSlots(match func(*slotGrant) bool) {
	for _, q := range r.allSlotQueues() {
		q.revoke(match)
	}
}

// SlotStats describes the slots of a service at this host.
type SlotStats struct {
	// Waiting and InUse count the calls that wait for a slot here, and the slots granted
	// by this host that have not ended.
	Waiting int `json:"waiting"`
	InUse   int `json:"in-use"`
	// Granted, Refused and Revoked count the slots that this host granted, the requests
	// that it refused one, and the slots that weren't ended by the hosts that had them.
	Granted uint64 `json:"granted"`
	Refused uint64 `json:"refused"`
	Revoked uint64 `json:"revoked"`
	// Unreachable counts the requests of this host for which the placing host was not
	// reached.
	Unreachable uint64 `json:"unreachable"`
	// WorkMs is the mean duration of the calls in milliseconds; 0 means unknown.
	WorkMs int64 `json:"work-ms"`
}

// SlotStats returns the statistics of the services whose slots are shared.
func (r *Reserver) SlotStats() map[identifier.Service]SlotStats {
	all := map[identifier.Service]SlotStats{}
	for _, q := range r.allSlotQueues() {
		all[q.service] = q.currentStats()
	}
	return all
}
