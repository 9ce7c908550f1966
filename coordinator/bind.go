package coordinator

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// Bind waits until the allocator has assigned a decode engine to the grant. It does
// nothing if the grant already has one. Since the prefill has run by then, errors
// carry the verdict may-have-run.
func (c *Coordinator) Bind(ctx context.Context, g *Grant) error {
	if g.Decode != nil {
		return nil
	}
	bound, err := c.awaitBinding(ctx, g)
	if err != nil {
		return classifier.MayHaveRun(classifier.ReasonEndpointRefused, 0, "no decode engine was assigned to attempt %s: %w", g.Attempt, err)
	}
	e := c.deps.Fleet().Endpoints[bound.Decode]
	if e == nil {
		return classifier.MayHaveRun(classifier.ReasonEndpointRefused, 0, "attempt %s was assigned decode endpoint %q, which is not declared on this host", g.Attempt, bound.Decode)
	}
	c.held.setDecode(g, e, bound.Pieces)
	return nil
}

// awaitBinding waits for the binding from the allocator that issued the grant or,
// if its host is dead, from the pool's current allocator.
func (c *Coordinator) awaitBinding(ctx context.Context, g *Grant) (allocator.Bound, error) {
	p := c.ownPool(g.Key)
	if p != nil && (g.grantedBy == c.deps.Self || c.owns(g.Key)) {
		return p.bind(ctx, g.Attempt)
	}
	host, ok := c.grantingHost(g)
	if !ok {
		return allocator.Bound{}, notOwnerError(g.Key)
	}
	message := peerwire.DecodeRequest{Pool: encodeKey(g.Key), Attempt: encodeAttempt(g.Attempt)}
	var reply peerwire.DecodeReply
	if err := c.deps.Links.Call(ctx, host.Address, peerwire.KindBind, &message, &reply); err != nil {
		return allocator.Bound{}, err
	}
	return allocator.Bound{
		Attempt: g.Attempt,
		Decode:  identifier.Endpoint(reply.Decode),
		Pieces:  identifier.Pieces(reply.Pieces),
	}, nil
}

// grantingHost returns the host that issued the grant while that host is alive, and
// the pool's owner otherwise.
func (c *Coordinator) grantingHost(g *Grant) (gossiper.Member, bool) {
	m, ok := c.deps.Members.View().ByIncarnation(g.grantedBy)
	if ok && m.State != gossiper.StateDead && g.grantedBy != c.deps.Self {
		return m, true
	}
	return c.owner(g.Key)
}

func (c *Coordinator) handleBind(ctx context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.DecodeRequest
	if err := decode(&m, payload); err != nil {
		return nil, err
	}
	p := c.ownPool(decodeKey(m.Pool))
	if p == nil {
		return nil, notOwnerError(decodeKey(m.Pool))
	}
	b, err := p.bind(ctx, decodeAttempt(m.Attempt))
	if err != nil {
		return nil, err
	}
	return &peerwire.DecodeReply{Decode: string(b.Decode), Pieces: uint32(b.Pieces)}, nil
}

// bind waits for the decode engine of an attempt whose grant named none.
func (p *pool) bind(ctx context.Context, a identifier.Attempt) (allocator.Bound, error) {
	p.mu.Lock()
	binding := p.binding(a)
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.deps.Options.BindTimeout)
	defer cancel()
	select {
	case b := <-binding:
		return b, nil
	case <-ctx.Done():
		return allocator.Bound{}, context.Cause(ctx)
	}
}

// binding returns the channel on which the attempt's decode engine is delivered.
// The caller holds p.mu.
func (p *pool) binding(a identifier.Attempt) chan allocator.Bound {
	binding, ok := p.bindings[a]
	if !ok {
		binding = make(chan allocator.Bound, 1)
		p.bindings[a] = binding
	}
	return binding
}

// deliverBinding delivers a decode engine to the home, which may or may not be
// waiting for it yet. The caller holds p.mu.
func (p *pool) deliverBinding(b allocator.Bound) {
	select {
	case p.binding(b.Attempt) <- b:
	default: // already delivered
	}
}

// removeBindings removes the bindings of a dead home. The caller holds p.mu.
func (p *pool) removeBindings(home identifier.Incarnation) {
	for a := range p.bindings {
		if a.Incarnation == home {
			delete(p.bindings, a)
		}
	}
}
