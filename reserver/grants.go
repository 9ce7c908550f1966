package reserver

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// grantTTL is how long a grant counts as in use if its origin doesn't end it.
	// It exceeds the duration of any response.
	grantTTL     = 30 * time.Second
	expiryPeriod = time.Second
)

// grantID identifies a grant of this process.
type grantID uint64

// firstGrant returns the number before that of the first grant. It differs between the
// incarnations of a host, which may be told of the grants of an earlier one.
func firstGrant(self identifier.Incarnation) grantID {
	return grantID(uint64(self) << 32)
}

// grant is engine capacity that this host has assigned to a request.
type grant struct {
	origin    identifier.Incarnation
	originSeq uint64              // the origin's number for the request; 0 for this host's own
	prefill   *registrar.Endpoint // nil if there is none or it has ended
	decode    *registrar.Endpoint
	prompt    identifier.Tokens
	tokens    identifier.Tokens
	service   identifier.Service
	// reservation at the decode engine; empty if the engine doesn't support them.
	reservation   Reservation
	reservedUntil time.Time // when the reservation has expired if it wasn't used
	grantedAt     time.Time
	expires       time.Time
	// prefillWork is the length of the prompts that the prefill engine had to process
	// when the grant was made, including this one.
	prefillWork identifier.Tokens
}

// decodeSize and prefillSize return the memory that the request occupies at its
// engines.
func (g *grant) decodeSize() placer.Size {
	return placer.Size{Tokens: g.tokens, Output: outputTokens(g.prompt, g.tokens)}
}

func (g *grant) prefillSize() placer.Size {
	return placer.Size{Tokens: g.prompt}
}

// grants holds the active grants. It is guarded by Reserver.mu.
type grants struct {
	last grantID
	all  map[grantID]*grant
}

func newGrants(self identifier.Incarnation) grants {
	return grants{last: firstGrant(self), all: map[grantID]*grant{}}
}

// addGrant records a grant and adds its load to the engines.
func (r *Reserver) addGrant(g *grant) grantID {
	r.deps.Placer.Begin(g.decode, g.decodeSize())
	if g.prefill != nil {
		r.deps.Placer.Begin(g.prefill, g.prefillSize())
		g.prefillWork = r.deps.Placer.AssignedTokens(g.prefill)
	}
	g.grantedAt = time.Now()
	g.expires = g.grantedAt.Add(grantTTL)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grants.last++
	r.grants.all[r.grants.last] = g
	return r.grants.last
}

// removeGrant ends a grant's prefill part, or the whole grant, and removes its
// load from the engines. It returns the grant as it was before, or nil if it is
// unknown.
func (r *Reserver) removeGrant(id grantID, prefill bool) *grant {
	r.mu.Lock()
	g := r.grants.all[id]
	if g == nil {
		r.mu.Unlock()
		return nil
	}
	ended := *g
	g.prefill = nil
	if !prefill {
		delete(r.grants.all, id)
	}
	q := r.serviceQueues[g.service]
	r.mu.Unlock()
	if ended.prefill != nil {
		r.deps.Placer.End(ended.prefill, ended.prefillSize())
	}
	if !prefill {
		r.deps.Placer.End(ended.decode, ended.decodeSize())
	}
	if q != nil {
		q.notifyReleased()
	}
	return &ended
}

// holdsGrant reports whether a grant is in use by a host.
func (r *Reserver) holdsGrant(id grantID, origin identifier.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.grants.all[id]
	return g != nil && g.origin == origin
}

// endGrant processes the outcome of a part of a grant that this host issued to an origin.
func (r *Reserver) endGrant(id grantID, prefill bool, o placer.Outcome, origin identifier.Incarnation) {
	if !r.holdsGrant(id, origin) {
		return // expired or revoked, or of an earlier process
	}
	g := r.removeGrant(id, prefill)
	if g == nil {
		return // revoked just now
	}
	q := r.serviceQueue(g.service)
	now := time.Now()
	q.recordSlowness(g, prefill, o, now)
	if o.Verdict == placer.VerdictSuccess {
		q.recordMeasured(g, prefill, o, now)
	}
	if origin == r.deps.Self {
		return // the outcome was recorded by RecordPrefillOutcome or RecordOutcome
	}
	at := g.decode
	if prefill {
		at = g.prefill
	}
	if at != nil {
		r.recordEndpointOutcome(at, placer.Outcome{Verdict: o.Verdict})
	}
}

// expireGrants revokes grants that their origin hasn't ended within grantTTL.
func (r *Reserver) expireGrants(now time.Time) {
	r.revokeGrants(func(g *grant) bool { return now.After(g.expires) })
}

// revokeDeadOrigins revokes the grants and slots of dead hosts.
func (r *Reserver) revokeDeadOrigins(v *gossiper.View) {
	dead := map[identifier.Incarnation]bool{}
	for _, m := range v.Members() {
		if m.State == gossiper.StateDead {
			dead[m.Incarnation] = true
		}
	}
	r.revokeGrants(func(g *grant) bool { return dead[g.origin] })
	r.revokeSlots(func(g *slotGrant) bool { return dead[g.origin] })
}

// revokeGrants removes the matching grants, which their origin will no longer end,
// and cancels reservations that may still be active.
func (r *Reserver) revokeGrants(match func(*grant) bool) {
	r.mu.Lock()
	var ids []grantID
	for id, g := range r.grants.all {
		if match(g) {
			ids = append(ids, id)
		}
	}
	r.mu.Unlock()
	for _, id := range ids {
		if g := r.removeGrant(id, false); g != nil && time.Now().Before(g.reservedUntil) {
			r.Cancel(Plan{Decode: g.decode, Reservation: g.reservation})
		}
	}
}
