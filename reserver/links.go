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
	// pingPeriod is the time between two signs of life of the placing host
	// while an answer of it is awaited; pingTimeout bounds the wait for one.
	pingPeriod  = 100 * time.Millisecond
	pingTimeout = 80 * time.Millisecond
	// breakerTime is how long a placing host that was lost isn't asked.
	breakerTime = time.Second
	// sendTimeout bounds the queueing of a message that needs no answer.
	sendTimeout = time.Second
)

// Links carries messages between hosts.
type Links interface {
	Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error
	Send(ctx context.Context, to identifier.Address, kind peerwire.Kind, message msgp.Marshaler) error
}

// Registry takes the handlers of messages from other hosts.
type Registry interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Register sets the handlers.
func (r *Reserver) Register(to Registry) {
	to.Handle(peerwire.KindRoomAsk, r.handleAsk)
	to.Handle(peerwire.KindRoomEnd, r.handleEnd)
	to.Handle(peerwire.KindRoomPing, handlePing)
	to.Handle(peerwire.KindRoomDrop, r.handleDrop)
}

// owner gives the host that places a service's requests; false: this one.
func (r *Reserver) owner(s identifier.Service) (gossiper.Member, bool) {
	m, ok := r.deps.Members.View().FleetOwner(xxhash.Sum64String("room\x00" + string(s)))
	return m, ok && m.Incarnation != r.deps.Self
}

// errSilent says that the placing host gave no sign of life.
var errSilent = classifier.NotRun(classifier.ReasonHostUnreachable, 0, "the placing host gave no sign of life")

func unreachable(err error) bool {
	e, ok := errors.AsType[*classifier.Error](err)
	return ok && e.Reason == classifier.ReasonHostUnreachable
}

// placeThere has another host place a request.
func (r *Reserver) placeThere(ctx context.Context, owner gossiper.Member, w *Wish) (Plan, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ask := encodeAsk(w, time.Now())
	ask.Ask = r.asks.Next()
	var answer peerwire.RoomAnswer
	done := make(chan error, 1)
	r.deps.Group.Run(func(context.Context) {
		done <- r.deps.Links.Call(ctx, owner.Address, peerwire.KindRoomAsk, ask, &answer)
	})
	alive := time.NewTicker(pingPeriod)
	defer alive.Stop()
	for {
		select {
		case err := <-done:
			if err != nil {
				if classifier.VerdictOf(err) != classifier.VerdictNotRun {
					r.drop(owner, ask.Ask)
				}
				return Plan{}, asNotRun(err)
			}
			return r.decodeAnswer(owner, &answer)
		case <-alive.C:
			if !r.ping(ctx, owner) && ctx.Err() == nil {
				cancel(errSilent)
				r.drop(owner, ask.Ask)
				return Plan{}, errSilent
			}
		}
	}
}

// drop tells a host that nobody waits for its answer any more. What it gave may
// have been on its way, and would count as taken until its grant expires.
func (r *Reserver) drop(owner gossiper.Member, ask uint64) {
	r.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		// A host that doesn't hear of it lets the grant expire.
		_ = r.deps.Links.Send(ctx, owner.Address, peerwire.KindRoomDrop, &peerwire.RoomDrop{Ask: ask})
	})
}

func (r *Reserver) handleDrop(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.RoomDrop
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "end of an ask is malformed: %w", err)
	}
	r.forget(func(g *grant) bool { return g.home == from.Incarnation && g.ask == m.Ask })
	return nil, nil
}

// asNotRun gives the failure of a question that runs no request.
func asNotRun(err error) error {
	failure := *classifier.Of(err)
	if failure.Verdict != classifier.VerdictNotRun {
		// The answer was lost on the way.
		failure.Verdict = classifier.VerdictNotRun
		failure.Reason = classifier.ReasonHostUnreachable
	}
	return &failure
}

func (r *Reserver) ping(ctx context.Context, owner gossiper.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return r.deps.Links.Call(ctx, owner.Address, peerwire.KindRoomPing, &peerwire.RoomPing{}, &peerwire.RoomPong{}) == nil
}

func handlePing(context.Context, messenger.Peer, []byte) (msgp.Marshaler, error) {
	return &peerwire.RoomPong{}, nil
}

func (r *Reserver) handleAsk(ctx context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var ask peerwire.RoomAsk
	if _, err := ask.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "ask for room is malformed: %w", err)
	}
	w := decodeAsk(&ask, time.Now())
	w.Near = from.DataCenter
	p, err := r.placeHere(ctx, from.Incarnation, ask.Ask, w)
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil { // nobody waits for the answer any more
		r.GiveBack(p)
		return nil, classifier.NotRun(classifier.ReasonCanceled, 0, "the ask was canceled: %w", context.Cause(ctx))
	}
	answer := &peerwire.RoomAnswer{Grant: uint64(p.grant), Decode: string(p.Decode.Name), Reservation: string(p.Reservation)}
	if p.Prefill != nil {
		answer.Prefill = string(p.Prefill.Name)
	}
	return answer, nil
}

func (r *Reserver) handleEnd(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.RoomEnd
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "end of room is malformed: %w", err)
	}
	r.endHere(grantID(m.Grant), m.Prefill, placer.Verdict(m.Verdict), from.Incarnation)
	return nil, nil
}

// end tells the host that gave a plan what became of a part of it.
func (r *Reserver) end(p Plan, prefill bool, v placer.Verdict) {
	if p.by == "" {
		r.endHere(p.grant, prefill, v, r.deps.Self)
		return
	}
	m := &peerwire.RoomEnd{Grant: uint64(p.grant), Prefill: prefill, Verdict: uint8(v)}
	r.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		// A host that doesn't hear of it lets the grant expire.
		_ = r.deps.Links.Send(ctx, p.by, peerwire.KindRoomEnd, m)
	})
}

func encodeAsk(w *Wish, now time.Time) *peerwire.RoomAsk {
	return &peerwire.RoomAsk{
		Service:        string(w.Service),
		Request:        string(w.Request),
		Prompt:         uint32(w.Prompt),
		Tokens:         uint32(w.Tokens),
		AgeMs:          now.Sub(w.Arrived).Milliseconds(),
		OnTimeMs:       w.OnTimeBy.Sub(now).Milliseconds(),
		StartMs:        w.StartBy.Sub(now).Milliseconds(),
		Priority:       w.Priority,
		Exclude:        texts(w.Exclude),
		ExcludePrefill: texts(w.ExcludePrefill),
	}
}

func decodeAsk(m *peerwire.RoomAsk, now time.Time) *Wish {
	w := &Wish{
		Service:        identifier.Service(m.Service),
		Request:        identifier.Request(m.Request),
		Prompt:         identifier.Tokens(m.Prompt),
		Tokens:         identifier.Tokens(m.Tokens),
		Exclude:        endpointNames(m.Exclude),
		ExcludePrefill: endpointNames(m.ExcludePrefill),
	}
	w.Arrived = now.Add(-time.Duration(m.AgeMs) * time.Millisecond)
	w.OnTimeBy = now.Add(time.Duration(m.OnTimeMs) * time.Millisecond)
	w.StartBy = now.Add(time.Duration(m.StartMs) * time.Millisecond)
	w.Priority = m.Priority
	return w
}

func texts(names []identifier.Endpoint) []string {
	all := make([]string, len(names))
	for i, n := range names {
		all[i] = string(n)
	}
	return all
}

func endpointNames(all []string) []identifier.Endpoint {
	names := make([]identifier.Endpoint, len(all))
	for i, n := range all {
		names[i] = identifier.Endpoint(n)
	}
	return names
}

// decodeAnswer finds the engines that an answer names.
func (r *Reserver) decodeAnswer(owner gossiper.Member, m *peerwire.RoomAnswer) (Plan, error) {
	p := Plan{Reservation: Reservation(m.Reservation), grant: grantID(m.Grant), by: owner.Address}
	s := r.deps.Registry.Snapshot()
	p.Decode = s.Endpoint(identifier.Endpoint(m.Decode))
	p.Prefill = s.Endpoint(identifier.Endpoint(m.Prefill))
	if p.Decode == nil {
		r.end(p, false, placer.VerdictNone)
		return Plan{}, classifier.NotRun(classifier.ReasonHostUnreachable, 0, "host %q gave room at %q, which is not known here", owner.Host, m.Decode)
	}
	return p, nil
}

// breaker keeps requests from waiting for a host that was lost just now.
type breaker struct {
	mu    sync.Mutex
	host  identifier.Incarnation
	until time.Time
}

func (b *breaker) open(host identifier.Incarnation, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.host == host && now.Before(b.until)
}

func (b *breaker) trip(host identifier.Incarnation, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.host = host
	b.until = now.Add(breakerTime)
}
