package rationer

import (
	"context"
	"math"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/announcer"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/pacer"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// Bounds of what is accepted from another host.
	maxNewsFacts = 10_000
	maxNameBytes = 256
	maxVersion   = math.MaxInt64
)

// announce tells all other hosts of the new facts that this host has learned from responses.
func (r *Rationer) announce(time.Time) {
	r.mu.Lock()
	var facts []pacer.Fact
	for name, e := range r.unannounced {
		facts = append(facts, r.pacer.Fact(e))
		delete(r.unannounced, name)
	}
	r.mu.Unlock()
	if len(facts) == 0 {
		return
	}
	m := encodeNews(facts)
	forward := *m
	forward.Forward = true
	r.announcer.Tell(m, &forward)
}

// share sends what this host knows, if anything, to a random host.
func (r *Rationer) share(time.Time) {
	if known := r.known(); len(known) > 0 {
		r.announcer.Share(encodeNews(known))
	}
}

func (r *Rationer) known() []pacer.Fact {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pacer.Facts()
}

// learnFrom asks a host for what it knows.
func (r *Rationer) learnFrom(ctx context.Context, peer gossiper.Member) error {
	var reply peerwire.LimitNews
	if err := r.deps.Links.Call(ctx, peer.Address, peerwire.KindLimitNews, &peerwire.LimitNews{Want: true}, &reply); err != nil {
		return err
	}
	facts, err := decodeNews(&reply)
	if err != nil {
		return err
	}
	now := time.Now()
	r.record(facts, string(peer.Host), now)
	r.recordHosts(reply.Hosts, now)
	r.answered.Store(true)
	if !reply.Joined {
		return announcer.ErrNotJoined
	}
	r.joined.Store(true)
	return nil
}

// recordHosts records the hosts that another host knows and this one may not.
func (r *Rationer) recordHosts(hosts []peerwire.KnownHost, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		if h.Host != "" && len(h.Host) <= maxNameBytes && len(h.DataCenter) <= maxNameBytes {
			r.granters.tell(identifier.Host(h.Host), identifier.DataCenter(h.DataCenter), now)
		}
	}
}

// answer returns what this host knows, for a host that starts.
func (r *Rationer) answer(now time.Time) *peerwire.LimitNews {
	m := encodeNews(r.known())
	v := r.deps.Members.View()
	m.Joined = r.joined.Load() || r.untilReady(now) <= 0
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.granters.known(v, now) {
		m.Hosts = append(m.Hosts, peerwire.KnownHost{Host: string(k.Host), DataCenter: string(k.DataCenter)})
	}
	return m
}

// handleNews records what another host tells.
func (r *Rationer) handleNews(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.LimitNews
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, malformed("%v", err)
	}
	facts, err := decodeNews(&m)
	if err != nil {
		return nil, err
	}
	fresh := r.record(facts, string(from.Host), time.Now())
	if m.Forward && len(fresh) > 0 {
		r.announcer.PassOn(encodeNews(fresh), from.Incarnation)
	}
	if m.Want {
		return r.answer(time.Now()), nil
	}
	return &peerwire.LimitNews{}, nil
}

// record records facts and returns those that are news here.
func (r *Rationer) record(facts []pacer.Fact, source string, now time.Time) []pacer.Fact {
	s := r.deps.Registry.Snapshot()
	var fresh []pacer.Fact
	for _, f := range facts {
		e := &registrar.Endpoint{Name: f.Endpoint, StartID: f.StartID}
		if known := s.Endpoint(f.Endpoint); known != nil {
			e.Service = known.Service
		}
		r.mu.Lock()
		old := r.pacer.Fact(e)
		isNews := r.pacer.Merge(f, now)
		r.mu.Unlock()
		if isNews {
			fresh = append(fresh, f)
			r.logFact(e, old, f, source)
		}
	}
	if len(fresh) > 0 {
		r.mu.Lock()
		r.stats.ChangesTold += uint64(len(fresh))
		r.noteLimits()
		r.mu.Unlock()
	}
	return fresh
}

func encodeNews(facts []pacer.Fact) *peerwire.LimitNews {
	m := &peerwire.LimitNews{}
	for _, f := range facts {
		m.Facts = append(m.Facts, encodeFact(f))
	}
	return m
}

func encodeFact(f pacer.Fact) peerwire.LimitFact {
	return peerwire.LimitFact{
		Endpoint: string(f.Endpoint), StartID: f.StartID, Version: uint64(f.Version), Limited: f.Limited, Rate: float64(f.Rate),
	}
}

func decodeNews(m *peerwire.LimitNews) ([]pacer.Fact, error) {
	if len(m.Facts) > maxNewsFacts {
		return nil, malformed("%d facts", len(m.Facts))
	}
	var facts []pacer.Fact
	for n := range m.Facts {
		f, err := decodeFact(&m.Facts[n])
		if err != nil {
			return nil, err
		}
		facts = append(facts, f)
	}
	return facts, nil
}

// decodeFact converts a message to a fact. It rejects what no host of this program sends.
func decodeFact(m *peerwire.LimitFact) (pacer.Fact, error) {
	switch {
	case m.Endpoint == "" || len(m.Endpoint) > maxNameBytes:
		return pacer.Fact{}, malformed("endpoint name of %d bytes", len(m.Endpoint))
	case m.Version > maxVersion:
		return pacer.Fact{}, malformed("version %d", m.Version)
	case !(m.Rate >= 0) || math.IsInf(m.Rate, 0): // NaN isn't either
		return pacer.Fact{}, malformed("limit %v", m.Rate)
	}
	f := pacer.Fact{
		Endpoint: identifier.Endpoint(m.Endpoint), StartID: m.StartID,
		Version: pacer.Version(m.Version), Limited: m.Limited, Rate: pacer.Rate(m.Rate),
	}
	return f.Bounded(), nil
}

func malformed(format string, args ...any) error {
	return classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed news of limits: "+format, args...)
}
