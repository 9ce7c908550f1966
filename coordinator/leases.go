package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// sendTimeout limits the sending of a message that needs no reply.
const sendTimeout = 2 * time.Second

// heldGrants holds the grants in use by this host's requests, by pool.
type heldGrants struct {
	mu     sync.Mutex
	grants map[Key]map[identifier.Attempt]*Grant
}

func (h *heldGrants) add(g *Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.grants[g.Key] == nil {
		h.grants[g.Key] = make(map[identifier.Attempt]*Grant)
	}
	h.grants[g.Key][g.Attempt] = g
}

func (h *heldGrants) remove(g *Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.grants[g.Key], g.Attempt)
}

func (h *heldGrants) setPhase(g *Grant, p allocator.Phase) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g.phase = p
}

// setDecode sets a grant's decode engine and the pieces reserved there.
func (h *heldGrants) setDecode(g *Grant, e *compiler.Endpoint, pieces identifier.Pieces) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g.Decode = e
	g.Pieces = pieces
}

// contains reports whether the attempt holds a grant.
func (h *heldGrants) contains(a identifier.Attempt) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, grants := range h.grants {
		if _, ok := grants[a]; ok {
			return true
		}
	}
	return false
}

// keys returns the pools in which grants are or were held.
func (h *heldGrants) keys() []Key {
	h.mu.Lock()
	defer h.mu.Unlock()
	keys := make([]Key, 0, len(h.grants))
	for k := range h.grants {
		keys = append(keys, k)
	}
	return keys
}

func (h *heldGrants) digest(k Key) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	attempts := make([]identifier.Attempt, 0, len(h.grants[k]))
	for a := range h.grants[k] {
		attempts = append(attempts, a)
	}
	return allocator.Digest(attempts...)
}

func (h *heldGrants) list(k Key) []allocator.HeldGrant {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]allocator.HeldGrant, 0, len(h.grants[k]))
	for _, g := range h.grants[k] {
		list = append(list, g.snapshot())
	}
	return list
}

func (g *Grant) snapshot() allocator.HeldGrant {
	held := allocator.HeldGrant{
		Attempt:      g.Attempt,
		Prefill:      g.Prefill.Name,
		Urgency:      g.ask.Urgency,
		Firm:         g.ask.Firm,
		PromptTokens: g.ask.PromptTokens,
		MaxTokens:    g.ask.MaxTokens,
		Pieces:       g.Pieces,
		Phase:        g.phase,
	}
	if g.Decode != nil {
		held.Decode = g.Decode.Name
	}
	return held
}

// renewAll renews the leases of all grants at their allocators.
func (c *Coordinator) renewAll() {
	for _, k := range c.held.keys() {
		c.deps.Group.Run(func(ctx context.Context) { c.renew(ctx, k) })
	}
}

func (c *Coordinator) renew(ctx context.Context, k Key) {
	if p := c.ownPool(k); p != nil {
		if p.renew(c.deps.Self, c.held.digest(k)) {
			p.grants(c.deps.Self, c.held.list(k))
		}
	}
	owner, ok := c.owner(k)
	if !ok || owner.Incarnation == c.deps.Self {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.deps.Options.RenewPeriod)
	defer cancel()
	c.renewAt(ctx, owner, k)
}

func (c *Coordinator) renewAt(ctx context.Context, owner gossiper.Member, k Key) {
	message := peerwire.Renew{Pool: encodeKey(k), Digest: c.held.digest(k)}
	var reply peerwire.RenewReply
	if err := c.deps.Links.Call(ctx, owner.Address, peerwire.KindRenew, &message, &reply); err != nil {
		c.deps.Log.Debug("lease-renewal-failed", zap.String("host", string(owner.Host)), zap.Error(err))
		return
	}
	if !reply.ListNeeded {
		return
	}
	list := encodeGrants(k, c.held.list(k))
	if err := c.deps.Links.Send(ctx, owner.Address, peerwire.KindGrants, &list); err != nil {
		c.deps.Log.Debug("grant-list-send-failed", zap.String("host", string(owner.Host)), zap.Error(err))
	}
}

// sendToOwner sends a message to the pool's owner, unless that is this host.
func (c *Coordinator) sendToOwner(k Key, kind peerwire.Kind, message msgp.Marshaler) {
	owner, ok := c.owner(k)
	if !ok || owner.Incarnation == c.deps.Self {
		return
	}
	c.send(owner.Address, kind, message)
}

func (c *Coordinator) send(to identifier.Address, kind peerwire.Kind, message msgp.Marshaler) {
	c.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		if err := c.deps.Links.Send(ctx, to, kind, message); err != nil {
			c.deps.Log.Debug("send-failed", zap.String("address", string(to)), zap.Error(err))
		}
	})
}
