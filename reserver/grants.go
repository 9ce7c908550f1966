package reserver

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// grantLife bounds how long room counts as taken whose home says nothing:
	// longer than any answer takes.
	grantLife    = 30 * time.Second
	expiryPeriod = time.Second
)

// grantID names room that this host has given.
type grantID uint64

// grant is room that this host has given and that counts as taken.
type grant struct {
	home    identifier.Incarnation
	ask     uint64              // of the home; 0: this host's own
	prefill *registrar.Endpoint // nil: none, or it has ended
	decode  *registrar.Endpoint
	prompt  identifier.Tokens
	tokens  identifier.Tokens
	service identifier.Service
	// reservation at the decode engine; "": it takes none.
	reservation Reservation
	given       time.Time
	expires     time.Time
	// alone is set if the prefill engine had nothing else to read.
	alone bool
}

// grants are kept under the reserver's lock.
type grants struct {
	last grantID
	all  map[grantID]*grant
}

func newGrants() grants {
	return grants{all: map[grantID]*grant{}}
}

// give counts room as taken.
func (r *Reserver) give(g *grant) grantID {
	r.deps.Placer.Begin(g.decode, g.tokens)
	if g.prefill != nil {
		g.alone = r.deps.Placer.Begin(g.prefill, g.prompt) == 1
	}
	g.given = time.Now()
	g.expires = g.given.Add(grantLife)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grants.last++
	r.grants.all[r.grants.last] = g
	return r.grants.last
}

// take back a grant's prefill, or all that is left of it.
func (r *Reserver) takeBack(id grantID, prefill bool) *grant {
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
	desk := r.desks[g.service]
	r.mu.Unlock()
	if ended.prefill != nil {
		r.deps.Placer.End(ended.prefill, ended.prompt)
	}
	if !prefill {
		r.deps.Placer.End(ended.decode, ended.tokens)
	}
	if desk != nil {
		desk.released()
	}
	return &ended
}

// endHere takes in what became of a part of a grant of this host.
func (r *Reserver) endHere(id grantID, prefill bool, v placer.Verdict, home identifier.Incarnation) {
	g := r.takeBack(id, prefill)
	if g == nil {
		return // forgotten
	}
	r.desk(g.service).learn(g, prefill, v, time.Now())
	if home == r.deps.Self {
		return // judged already
	}
	at := g.decode
	if prefill {
		at = g.prefill
	}
	if at != nil {
		r.judge(at, placer.Outcome{Verdict: v})
	}
}

// expire forgets grants whose home has been silent about them for too long.
func (r *Reserver) expire(now time.Time) {
	r.forget(func(g *grant) bool { return now.After(g.expires) })
}

// dropDead forgets the grants of hosts that died.
func (r *Reserver) dropDead(v *gossiper.View) {
	dead := map[identifier.Incarnation]bool{}
	for _, m := range v.Members() {
		if m.State == gossiper.StateDead {
			dead[m.Incarnation] = true
		}
	}
	r.forget(func(g *grant) bool { return dead[g.home] })
}

// forget takes back grants whose home ends them no more, and what may still be
// reserved for them.
func (r *Reserver) forget(which func(*grant) bool) {
	r.mu.Lock()
	var ids []grantID
	for id, g := range r.grants.all {
		if which(g) {
			ids = append(ids, id)
		}
	}
	r.mu.Unlock()
	for _, id := range ids {
		if g := r.takeBack(id, false); g != nil && time.Since(g.given) < reservationLife {
			r.Cancel(Plan{Decode: g.decode, Reservation: g.reservation})
		}
	}
}
