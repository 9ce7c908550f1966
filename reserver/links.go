package reserver

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/placer"
)

const (
	// breakerOpenTime is how long an unreachable placing host is bypassed.
	breakerOpenTime = time.Second
	// sendTimeout limits the queueing time of one-way messages.
	sendTimeout = time.Second
)

// Links sends messages to other hosts.
type Links interface {
	Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error
	Send(ctx context.Context, to identifier.Address, kind peerwire.Kind, message msgp.Marshaler) error
}

// Registry registers handlers for messages from other hosts.
type Registry interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Register registers the message handlers.
func (r *Reserver) Register(to Registry) {
	to.Handle(peerwire.KindReserve, r.handleRequest)
	to.Handle(peerwire.KindReservationOutcome, r.handleOutcome)
	to.Handle(peerwire.KindReservationPing, handlePing)
	to.Handle(peerwire.KindReservationCancel, r.handleCancel)
	to.Handle(peerwire.KindSlot, r.handleSlot)
	to.Handle(peerwire.KindSlotReturn, r.handleSlotReturn)
	to.Handle(peerwire.KindFence, r.handleClaim)
}

// owner returns the placing host of a service, and whether it is another host.
func (r *Reserver) owner(s identifier.Service) (gossiper.Member, bool) {
	m, ok := r.deps.Members.View().FleetOwner(placingKey(s))
	return m, ok && m.Incarnation != r.deps.Self
}

// placingKey returns the key by which a service's placing host is chosen.
func placingKey(s identifier.Service) uint64 {
	return xxhash.Sum64String("room\x00" + string(s))
}

func isUnreachable(err error) bool {
	e, ok := errors.AsType[*classifier.Error](err)
	return ok && e.Reason == classifier.ReasonHostUnreachable
}

// placeRemotely requests placement from the placing host.
func (r *Reserver) placeRemotely(ctx context.Context, owner gossiper.Member, req *PlacementRequest) (Plan, error) {
	message := encodeRequest(req, time.Now())
	message.ID = r.outgoingSeq.Next()
	r.serviceQueue(req.Service).exchangeModel(message, owner.Incarnation, time.Now())
	var reply peerwire.ReservationReply
	lost, err := r.callOwner(ctx, owner, peerwire.KindReserve, message, &reply, newPingers(r, pingPeriod))
	if lost {
		r.sendCancel(owner, message.ID)
	}
	if err != nil {
		return Plan{}, err
	}
	r.serviceQueue(req.Service).replaceModel(reply.Model)
	return r.decodeReply(owner, req, &reply)
}

// callOwner calls a placing host, until it is taken for unreachable by its pings. Its error is
// NotRun; lost reports whether the placing host may have replied nevertheless.
func (r *Reserver) callOwner(ctx context.Context, owner gossiper.Member, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler, p *pingers) (lost bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan error, 1)
	r.deps.Group.Run(func(context.Context) {
		done <- r.deps.Links.Call(ctx, owner.Address, kind, request, reply)
	})
	unreachable, stop := p.start(owner)
	defer stop()
	select {
	case err := <-done:
		if err != nil {
			return classifier.VerdictOf(err) != classifier.VerdictNotRun, asNotRun(err)
		}
		return false, nil
	case <-unreachable:
		cancel(errPingFailed)
		return true, errPingFailed
	}
}

// sendCancel tells the placing host that a result is no longer needed. A grant
// that was already on its way would otherwise count as in use until it expires.
func (r *Reserver) sendCancel(owner gossiper.Member, request uint64) {
	r.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		// If the message is lost, the grant expires.
		_ = r.deps.Links.Send(ctx, owner.Address, peerwire.KindReservationCancel, &peerwire.ReservationCancel{ID: request})
	})
}

func (r *Reserver) handleCancel(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.ReservationCancel
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed ReservationCancel message: %w", err)
	}
	r.revokeGrants(func(g *grant) bool { return g.origin == from.Incarnation && g.originSeq == m.ID })
	return nil, nil
}

// asNotRun converts the error of a placement call to NotRun, since a placement
// never runs the request itself.
func asNotRun(err error) error {
	failure := *classifier.Of(err)
	if failure.Verdict != classifier.VerdictNotRun {
		// The response was lost.
		failure.Verdict = classifier.VerdictNotRun
		failure.Reason = classifier.ReasonHostUnreachable
	}
	return &failure
}

func handlePing(context.Context, messenger.Peer, []byte) (msgp.Marshaler, error) {
	return &peerwire.ReservationPong{}, nil
}

func (r *Reserver) handleRequest(ctx context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.ReservationRequest
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed ReservationRequest message: %w", err)
	}
	req := decodeRequest(&m, time.Now())
	req.PreferredDataCenter = from.DataCenter
	q := r.serviceQueue(req.Service)
	q.adoptModel(m.Model, from.Incarnation)
	p, err := r.placeLocally(ctx, from.Incarnation, m.ID, req)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil { // the caller no longer waits for the response
		r.Release(p)
		return nil, classifier.NotRun(classifier.ReasonCanceled, 0, "placement was canceled: %w", context.Cause(ctx))
	}
	reply := &peerwire.ReservationReply{Grant: uint64(p.grant), Decode: string(p.Decode.Name), Reservation: string(p.Reservation)}
	reply.DecodePermit = string(r.deps.Limits.Take(p.Decode, p.request))
	if p.Prefill != nil {
		reply.Prefill = string(p.Prefill.Name)
		reply.PrefillPermit = string(r.deps.Limits.Take(p.Prefill, p.request))
	}
	if m.WantModel {
		reply.Model = q.sharedModel()
	}
	return reply, nil
}

func (r *Reserver) handleOutcome(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.ReservationOutcome
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed ReservationOutcome message: %w", err)
	}
	o := placer.Outcome{
		Verdict:       placer.Verdict(m.Verdict),
		Latency:       time.Duration(m.TookUs) * time.Microsecond,
		FirstEvent:    time.Duration(m.FirstEventUs) * time.Microsecond,
		EventInterval: time.Duration(m.EventIntervalUs) * time.Microsecond,
	}
	r.endGrant(grantID(m.Grant), m.Prefill, o, from.Incarnation)
	return nil, nil
}

// endPlan reports the outcome of a part of a plan to the host that issued it.
func (r *Reserver) endPlan(p Plan, prefill bool, o placer.Outcome) {
	r.dropPermits(p, prefill)
	if p.grantedBy == "" {
		r.endGrant(p.grant, prefill, o, r.deps.Self)
		return
	}
	m := &peerwire.ReservationOutcome{
		Grant:           uint64(p.grant),
		Prefill:         prefill,
		Verdict:         uint8(o.Verdict),
		TookUs:          o.Latency.Microseconds(),
		FirstEventUs:    o.FirstEvent.Microseconds(),
		EventIntervalUs: o.EventInterval.Microseconds(),
	}
	r.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		// If the message is lost, the grant expires.
		_ = r.deps.Links.Send(ctx, p.grantedBy, peerwire.KindReservationOutcome, m)
	})
}

// dropPermits returns the permits of a part of a plan that weren't used.
func (r *Reserver) dropPermits(p Plan, prefill bool) {
	r.deps.Limits.Drop(p.Prefill, p.request)
	if !prefill {
		r.deps.Limits.Drop(p.Decode, p.request)
	}
}

// decodeReply resolves the engines that a ReservationReply names. If the decode
// engine is unknown here, the grant is ended at the issuing host.
func (r *Reserver) decodeReply(owner gossiper.Member, req *PlacementRequest, m *peerwire.ReservationReply) (Plan, error) {
	p := Plan{Reservation: Reservation(m.Reservation), request: req.Request, grant: grantID(m.Grant), grantedBy: owner.Address}
	s := r.deps.Registry.Snapshot()
	p.Decode = s.Endpoint(identifier.Endpoint(m.Decode))
	p.Prefill = s.Endpoint(identifier.Endpoint(m.Prefill))
	if p.Decode == nil {
		r.endPlan(p, false, placer.Outcome{Verdict: placer.VerdictNone})
		return Plan{}, classifier.NotRun(classifier.ReasonHostUnreachable, 0, "host %q placed the request on engine %q, which this host does not know", owner.Host, m.Decode)
	}
	r.deps.Limits.Add(p.Decode, req.Request, identifier.Host(m.DecodePermit))
	if p.Prefill != nil {
		r.deps.Limits.Add(p.Prefill, req.Request, identifier.Host(m.PrefillPermit))
	}
	return p, nil
}

// breaker is a circuit breaker that keeps requests from waiting for a placing host
// that was recently unreachable.
type breaker struct {
	mu    sync.Mutex
	host  identifier.Incarnation
	until time.Time
}

func (b *breaker) isOpen(host identifier.Incarnation, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.host == host && now.Before(b.until)
}

func (b *breaker) trip(host identifier.Incarnation, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.host = host
	b.until = now.Add(breakerOpenTime)
}
