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

// Bind waits until the allocator has named the grant's decode engine. A grant
// that has one is left as it is. The prefill has run by then, so that an error
// says that the request may have run.
func (c *Coordinator) Bind(ctx context.Context, g *Grant) error {
	if g.Decode != nil {
		return nil
	}
	bound, err := c.bound(ctx, g)
	if err != nil {
		return classifier.MayHaveRun(classifier.ReasonEndpointRefused, 0, "attempt %s got no decode engine: %w", g.Attempt, err)
	}
	e := c.deps.Fleet().Endpoints[bound.Decode]
	if e == nil {
		return classifier.MayHaveRun(classifier.ReasonEndpointRefused, 0, "attempt %s is bound to endpoint %q, which is not declared here", g.Attempt, bound.Decode)
	}
	c.held.bind(g, e, bound.Pieces)
	return nil
}

// bound asks the allocator that gave the grant, or the one that took its pool
// over.
func (c *Coordinator) bound(ctx context.Context, g *Grant) (allocator.Bound, error) {
	p := c.ownPool(g.Key)
	if p != nil && (g.by == c.deps.Self || c.owns(g.Key)) {
		return p.bind(ctx, g.Attempt)
	}
	at, ok := c.grantor(g)
	if !ok {
		return allocator.Bound{}, movedError(g.Key)
	}
	message := peerwire.Bind{Pool: encodeKey(g.Key), Attempt: encodeAttempt(g.Attempt)}
	var answer peerwire.Bound
	if err := c.deps.Links.Call(ctx, at.Address, peerwire.KindBind, &message, &answer); err != nil {
		return allocator.Bound{}, err
	}
	return allocator.Bound{
		Attempt: g.Attempt,
		Decode:  identifier.Endpoint(answer.Decode),
		Pieces:  identifier.Pieces(answer.Pieces),
	}, nil
}

// grantor gives the host that gave the grant while it lives, else the pool's
// owner.
func (c *Coordinator) grantor(g *Grant) (gossiper.Member, bool) {
	m, ok := c.deps.Members.View().ByIncarnation(g.by)
	if ok && m.State != gossiper.StateDead && g.by != c.deps.Self {
		return m, true
	}
	return c.owner(g.Key)
}

func (c *Coordinator) handleBind(ctx context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.Bind
	if err := decode(&m, payload); err != nil {
		return nil, err
	}
	p := c.ownPool(decodeKey(m.Pool))
	if p == nil {
		return nil, movedError(decodeKey(m.Pool))
	}
	b, err := p.bind(ctx, decodeAttempt(m.Attempt))
	if err != nil {
		return nil, err
	}
	return &peerwire.Bound{Decode: string(b.Decode), Pieces: uint32(b.Pieces)}, nil
}

// bind waits for the decode engine of an attempt that was granted without.
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

// binding gives the channel on which an attempt learns its decode engine;
// p.mu is held.
func (p *pool) binding(a identifier.Attempt) chan allocator.Bound {
	binding, ok := p.bindings[a]
	if !ok {
		binding = make(chan allocator.Bound, 1)
		p.bindings[a] = binding
	}
	return binding
}

// announce hands a decode engine to the home that waits or will wait for it;
// p.mu is held.
func (p *pool) announce(b allocator.Bound) {
	select {
	case p.binding(b.Attempt) <- b:
	default: // it is known already
	}
}

// forgetBindings drops those of a dead home; p.mu is held.
func (p *pool) forgetBindings(home identifier.Incarnation) {
	for a := range p.bindings {
		if a.Incarnation == home {
			delete(p.bindings, a)
		}
	}
}
