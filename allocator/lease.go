package allocator

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// home is an entry host process that holds grants.
type home struct {
	leaseEnd time.Time
	digest   uint64
	grants   map[identifier.Attempt]*grant
}

// Digest returns an order-independent hash of a set of attempts, for Renew.
func Digest(attempts ...identifier.Attempt) uint64 {
	digest := uint64(0)
	for _, a := range attempts {
		digest ^= hash(a)
	}
	return digest
}

func hash(a identifier.Attempt) uint64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], uint64(a.Incarnation))
	binary.LittleEndian.PutUint64(raw[8:], a.Sequence)
	return xxhash.Sum64(raw[:])
}

func (h *home) add(g *grant) {
	h.grants[g.attempt] = g
	h.digest ^= hash(g.attempt)
}

func (h *home) remove(g *grant) {
	delete(h.grants, g.attempt)
	h.digest ^= hash(g.attempt)
}

// renewHome extends the lease of a home, which it creates if it is unknown,
// and returns it.
func (p *Pool) renewHome(i identifier.Incarnation, now time.Time) *home {
	h := p.homes[i]
	if h == nil {
		h = &home{grants: map[identifier.Attempt]*grant{}}
		p.homes[i] = h
	}
	h.leaseEnd = later(h.leaseEnd, now.Add(p.options.Lease))
	return h
}

// Renew extends the lease of all grants of a home. digest is the Digest of
// the attempts that, to the home's knowledge, are granted by this pool. If it
// differs from the pool's own, the pool requests the list.
func (p *Pool) Renew(i identifier.Incarnation, digest uint64, now time.Time) []Action {
	p.beginEvent(now)
	if p.renewHome(i, now).digest != digest {
		p.emit(RequestGrantList{Home: i})
	}
	return p.serve(now)
}

// ReconcileGrants reconciles the pool with the full list of a home's running
// attempts.
func (p *Pool) ReconcileGrants(i identifier.Incarnation, list []HeldGrant, now time.Time) []Action {
	p.beginEvent(now)
	h := p.renewHome(i, now)
	listed := map[identifier.Attempt]bool{}
	for n := range list {
		listed[list[n].Attempt] = true
		p.adopt(&list[n], now)
	}
	for _, g := range sortedGrants(h.grants) {
		// The message with a more recent grant may not have reached the home.
		if !listed[g.attempt] && now.Sub(g.addedAt) > p.options.OrphanGrace {
			p.endGrant(g, now)
			p.released.add(g.attempt, now)
		}
	}
	return p.serve(now)
}

// adopt adds a running attempt that another pool granted or that started
// without a grant.
func (p *Pool) adopt(held *HeldGrant, now time.Time) {
	if g := p.grants[held.Attempt]; g != nil {
		p.advance(g, held.Phase, now)
		return
	}
	if p.released.has(held.Attempt) {
		return
	}
	p.queue.Remove(held.Attempt)
	g := &grant{
		attempt: held.Attempt,
		urgency: held.Urgency,
		firm:    p.firm(held.Firm),
		decode:  p.byName[held.Decode],
		pieces:  held.Pieces,
		phase:   held.Phase,
		addedAt: now,
	}
	promptPieces := identifier.Pieces(0)
	if held.Phase < PhaseTransferred {
		g.prefill = p.byName[held.Prefill]
		if g.prefill != nil {
			promptPieces = g.prefill.piecesFor(held.PromptTokens)
		}
		g.transferPieces = promptPieces
	}
	p.removeOrphan(g)
	p.addGrant(g, promptPieces, now)
	if held.Decode == "" && held.Phase < PhaseTransferred {
		p.adoptUnbound(g, held, now)
	}
}

// adoptUnbound takes over a grant of another pool that has no decode engine
// yet.
func (p *Pool) adoptUnbound(g *grant, held *HeldGrant, now time.Time) {
	pending := p.newPendingRequest(SlotRequest{
		Attempt:      held.Attempt,
		Urgency:      held.Urgency,
		Firm:         held.Firm,
		PromptTokens: held.PromptTokens,
		MaxTokens:    held.MaxTokens,
	}, now)
	g.pieces = p.piecesFor(pending)
	p.addUnbound(g, pending, now)
}

// RemoveHome ends the lease of a home that is known to be dead.
func (p *Pool) RemoveHome(i identifier.Incarnation, now time.Time) []Action {
	p.beginEvent(now)
	if h := p.homes[i]; h != nil {
		p.expireHome(i, h, now)
	}
	p.dropWaiting(i)
	return p.serve(now)
}

// dropWaiting refuses the waiting slot requests of a home that is considered
// dead. A home that was only paused will ask again.
func (p *Pool) dropWaiting(i identifier.Incarnation) {
	var dropped []identifier.Attempt
	p.queue.RemoveWhere(func(a identifier.Attempt) bool {
		if a.Incarnation == i {
			dropped = append(dropped, a)
		}
		return a.Incarnation == i
	})
	slices.SortFunc(dropped, func(a, b identifier.Attempt) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, a := range dropped {
		p.emit(Refused{Attempt: a, Reason: classifier.ReasonAllocatorUnknown})
	}
}

// expireHomes removes the homes whose lease has expired.
func (p *Pool) expireHomes(now time.Time) {
	for _, i := range sortedHomes(p.homes) {
		if h := p.homes[i]; !now.Before(h.leaseEnd) {
			p.expireHome(i, h, now)
			p.dropWaiting(i)
		}
	}
}

// expireHome removes a home and cancels its attempts.
func (p *Pool) expireHome(i identifier.Incarnation, h *home, now time.Time) {
	for _, g := range sortedGrants(h.grants) {
		for _, e := range [...]*endpoint{g.prefill, g.decode} {
			if e != nil {
				p.emit(CancelAt{Endpoint: e.name, Attempt: g.attempt})
			}
		}
		p.endGrant(g, now)
		p.released.add(g.attempt, now)
	}
	delete(p.homes, i)
}

func sortedGrants(grants map[identifier.Attempt]*grant) []*grant {
	sorted := make([]*grant, 0, len(grants))
	for _, g := range grants {
		sorted = append(sorted, g)
	}
	slices.SortFunc(sorted, func(a, b *grant) int {
		return cmp.Or(
			cmp.Compare(a.attempt.Incarnation, b.attempt.Incarnation),
			cmp.Compare(a.attempt.Sequence, b.attempt.Sequence),
		)
	})
	return sorted
}

func sortedHomes(homes map[identifier.Incarnation]*home) []identifier.Incarnation {
	sorted := make([]identifier.Incarnation, 0, len(homes))
	for i := range homes {
		sorted = append(sorted, i)
	}
	slices.Sort(sorted)
	return sorted
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
