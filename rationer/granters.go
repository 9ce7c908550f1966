package rationer

import (
	"context"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/pacer"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// warmUp is how long a host grants no permits after its start. In that time it learns
	// which other hosts there are, and they learn of it.
	warmUp = 2 * time.Second
	// maxJoinTime is how long it grants none if no other host answers it, as if it is alone.
	maxJoinTime = 10 * time.Second
	// departedTime is how long a host that left in a planned stop counts as a granting host,
	// for its return.
	departedTime = 30 * time.Second
	// toldRetention is how long a host of which others told is known, and maxToldHosts bounds
	// their number.
	toldRetention = time.Hour
	maxToldHosts  = 10_000
)

// granters knows the granting hosts of endpoints.
type granters struct {
	view *gossiper.View
	// chosen are the granting hosts according to the view.
	chosen map[identifier.Endpoint][]gossiper.Member
	// departed has when hosts left in a planned stop.
	departed map[identifier.Host]time.Time
	// told are hosts that others know and the view doesn't have: those that were dead when
	// this process started.
	told map[identifier.Host]toldHost
}

// toldHost is a host that another host knows.
type toldHost struct {
	dataCenter identifier.DataCenter
	at         time.Time
}

func newGranters() granters {
	return granters{departed: map[identifier.Host]time.Time{}, told: map[identifier.Host]toldHost{}}
}

// tell records that another host knows a host.
func (g *granters) tell(h identifier.Host, dc identifier.DataCenter, now time.Time) {
	if len(g.told) < maxToldHosts {
		g.told[h] = toldHost{dataCenter: dc, at: now}
		g.view = nil
	}
}

// known returns the hosts among which granting hosts are chosen.
func (g *granters) known(v *gossiper.View, now time.Time) []gossiper.Member {
	var all []gossiper.Member
	for _, m := range v.Members() {
		if !g.left(m, now) {
			all = append(all, m)
		}
	}
	for h, t := range g.told {
		if _, ok := v.ByHost(h); !ok {
			all = append(all, gossiper.Member{Host: h, DataCenter: t.dataCenter, State: gossiper.StateDead})
		}
	}
	return all
}

// KnownHosts returns the hosts among which granting hosts are chosen, live or not.
func (r *Rationer) KnownHosts(now time.Time) []gossiper.Member {
	v := r.deps.Members.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.granters.known(v, now)
}

// Ready reports whether this host knows the other hosts well enough to grant anything.
func (r *Rationer) Ready(now time.Time) bool {
	return r.untilReady(now) <= 0
}

// Acquainted reports whether another host has told this one which hosts there are, or there is
// none according to the settings.
func (r *Rationer) Acquainted() bool {
	return r.answered.Load() || !r.deps.Seeded && len(r.deps.Members.View().Members()) <= 1
}

// of returns the granting hosts of an endpoint, live or not.
func (g *granters) of(e *registrar.Endpoint, v *gossiper.View, now time.Time) []gossiper.Member {
	if g.view != v {
		g.view = v
		g.chosen = map[identifier.Endpoint][]gossiper.Member{}
	}
	list, ok := g.chosen[e.Name]
	if !ok {
		key := xxhash.Sum64String("limit\x00" + string(e.Name))
		list = gossiper.Spread(g.known(v, now), e.DataCenter, key, pacer.Granters)
		g.chosen[e.Name] = list
	}
	return list
}

// left reports whether a host left in a planned stop and hasn't returned.
func (g *granters) left(m gossiper.Member, now time.Time) bool {
	since, ok := g.departed[m.Host]
	return ok && now.Sub(since) >= departedTime
}

// recordDepartures records which hosts have left in planned stops, and forgets hosts of which
// nothing was heard for long.
func (g *granters) recordDepartures(v *gossiper.View, now time.Time) {
	before := len(g.departed)
	for _, m := range v.Members() {
		_, departed := g.departed[m.Host]
		switch {
		case isLive(m):
			delete(g.departed, m.Host)
		case m.State == gossiper.StateLeaving && !departed:
			g.departed[m.Host] = now
		}
	}
	maps.DeleteFunc(g.told, func(_ identifier.Host, t toldHost) bool { return now.Sub(t.at) >= toldRetention })
	if before+len(g.departed) > 0 {
		g.view = nil // the choice depends on the time
	}
}

func isLive(m gossiper.Member) bool {
	return m.State == gossiper.StateAlive || m.State == gossiper.StateSuspect
}

// grant grants a permit from this host's share of an endpoint's limit; see pacer.Grant.
func (r *Rationer) grant(e *registrar.Endpoint, maxWait time.Duration, now time.Time) (wait time.Duration, ok bool) {
	v := r.deps.Members.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.granters.of(e, v, now)
	live, self := 0, false
	for _, m := range list {
		own := m.Host == r.deps.Host
		self = self || own
		if own || isLive(m) {
			live++
		}
	}
	if !self {
		return maxGap, false
	}
	if left := r.untilReady(now); left > 0 {
		return left, false
	}
	wait, ok = r.pacer.Grant(e, pacer.Share(len(list), live), maxWait, now)
	if ok {
		r.stats.Granted++
	}
	return wait, ok
}

// untilReady returns the time until this host may grant permits.
func (r *Rationer) untilReady(now time.Time) time.Duration {
	wait := maxJoinTime
	if r.answered.Load() {
		wait = warmUp
	}
	return wait - now.Sub(r.started)
}

// Registry registers handlers for messages from other hosts.
type Registry interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Register registers the message handlers.
func (r *Rationer) Register(to Registry) {
	to.Handle(peerwire.KindLimitNews, r.handleNews)
	to.Handle(peerwire.KindPermit, r.handlePermit)
	to.Handle(peerwire.KindPermitReturn, r.handleReturn)
}

// handlePermit grants a permit to another host.
func (r *Rationer) handlePermit(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.PermitRequest
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed PermitRequest: %w", err)
	}
	f, err := decodeFact(&m.Fact)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	r.record([]pacer.Fact{f}, string(from.Host), now)
	e := &registrar.Endpoint{Name: f.Endpoint, StartID: f.StartID}
	if known := r.deps.Registry.Snapshot().Endpoint(f.Endpoint); known != nil {
		e.DataCenter = known.DataCenter
	}
	wait, ok := r.grant(e, time.Duration(max(0, m.MaxWaitUs))*time.Microsecond, now)
	return &peerwire.PermitReply{Granted: ok, WaitUs: wait.Microseconds(), Fact: encodeFact(r.fact(e))}, nil
}

// handleReturn takes back a permit that another host hasn't used.
func (r *Rationer) handleReturn(_ context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.PermitReturn
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed PermitReturn: %w", err)
	}
	r.takeBack(&registrar.Endpoint{Name: identifier.Endpoint(m.Endpoint), StartID: m.StartID})
	return nil, nil
}

// takeBack returns a permit to this host's bucket.
func (r *Rationer) takeBack(e *registrar.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pacer.Return(e)
	r.stats.Returned++
}

// fact returns the current fact about an endpoint.
func (r *Rationer) fact(e *registrar.Endpoint) pacer.Fact {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pacer.Fact(e)
}
