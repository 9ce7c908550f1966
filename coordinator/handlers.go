package coordinator

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// Register registers the handlers for messages from other entry hosts.
func (c *Coordinator) Register(r Registry) {
	r.Handle(peerwire.KindAllocate, c.handleAsk)
	r.Handle(peerwire.KindBind, c.handleBind)
	r.Handle(peerwire.KindProgress, c.handleProgress)
	r.Handle(peerwire.KindRelease, c.handleRelease)
	r.Handle(peerwire.KindRenew, c.handleRenew)
	r.Handle(peerwire.KindGrants, c.handleGrants)
	r.Handle(peerwire.KindHolds, c.handleHolds)
}

func (c *Coordinator) handleAsk(ctx context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.AllocationRequest
	if err := decode(&m, payload); err != nil {
		return nil, err
	}
	k := decodeKey(m.Pool)
	p, err := c.poolForPeer(k)
	if err != nil {
		return nil, err
	}
	granted, err := p.ask(ctx, decodeRequest(&m))
	if err != nil {
		return nil, err
	}
	return encodeAnswer(granted), nil
}

// poolForPeer returns the pool for a peer's slot request, provided that this host
// runs an allocator of it or owns it.
func (c *Coordinator) poolForPeer(k Key) (*pool, error) {
	if p := c.ownPool(k); p != nil {
		return p, nil
	}
	owner, ok := c.owner(k)
	if !ok || owner.Incarnation != c.deps.Self {
		return nil, notOwnerError(k)
	}
	p, err := c.pool(k)
	if err != nil {
		// The peer's declarations are newer, or this host has not received any yet.
		return nil, notOwnerError(k)
	}
	return p, nil
}

func (c *Coordinator) handleProgress(_ context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.Progress
	if err := decode(&m, payload); err != nil {
		return nil, err
	}
	if p := c.ownPool(decodeKey(m.Pool)); p != nil {
		p.started(decodeAttempt(m.Attempt), decodePhase(m.Phase))
	}
	return nil, nil
}

func (c *Coordinator) handleRelease(_ context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.Release
	if err := decode(&m, payload); err != nil {
		return nil, err
	}
	if p := c.ownPool(decodeKey(m.Pool)); p != nil {
		p.release(decodeAttempt(m.Attempt), decodeOutcome(&m))
	}
	return nil, nil
}

func (c *Coordinator) handleRenew(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.Renew
	if err := decode(&m, payload); err != nil {
		return nil, err
	}
	reply := &peerwire.RenewReply{}
	if p := c.ownPool(decodeKey(m.Pool)); p != nil {
		reply.ListNeeded = p.renew(from.Incarnation, m.Digest)
	}
	return reply, nil
}

func (c *Coordinator) handleGrants(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.Grants
	if err := decode(&m, payload); err != nil {
		return nil, err
	}
	if p := c.ownPool(decodeKey(m.Pool)); p != nil {
		p.grants(from.Incarnation, decodeGrants(&m))
	}
	return nil, nil
}

// decode decodes a message. The error for a malformed message carries the verdict
// not-run.
func decode(m msgp.Unmarshaler, payload []byte) error {
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed message of type %T: %w", m, err)
	}
	return nil
}
