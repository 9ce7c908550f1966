// Package pacer decides how many requests hosts send to endpoints that name a limit: the
// requests a second that they take from all hosts together. The package holds policy only: it
// does no I/O, reads no clock and starts no goroutines.
//
// # Usage
//
//	p := pacer.New()
//	version := p.Version(endpoint)  // right before a request is sent
//	p.Observe(endpoint, statement, version, now) // with its response
//	if _, limited := p.Limit(endpoint); limited { ... }
//	wait, ok := p.Grant(endpoint, pacer.Share(granters, live), maxWait, now) // at a granting host
//
// # Facts
//
// What is known of the limit of an endpoint's incarnation is a [Fact] with a version. A response
// makes a new fact only if its request was sent by a host that knew the current one: any other
// response may be older than the fact. A response that names no limit therefore ends it only if
// its request was sent after the limit was known. Hosts exchange facts and keep the newest; of
// two that were made at the same time, the stricter one. A later incarnation has no limit.
//
// # Permits
//
// A request to such an endpoint needs a permit. A few hosts grant them, each from a token bucket
// that is filled at its share of the limit (see [Share]) and starts empty. Which hosts these are
// follows from the hosts that are known, live or not. A wrong view of who is live therefore
// changes no more than the shares, and the shares of all granting hosts together stay within
// maxTotalShare of the limit whatever each of them believes.
package pacer

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// MinRate is the lowest rate that is kept. An endpoint with a lower limit still gets a
	// request now and then, since only a response says that its limit has ended.
	MinRate Rate = 0.1
	// MaxRate is the highest rate that is kept.
	MaxRate Rate = 1e6
	// removedRetention is how long a fact is kept while its incarnation isn't registered.
	removedRetention = time.Minute
	// maxFacts bounds the facts about endpoints.
	maxFacts = 10_000
)

// Rate is a number of requests a second.
type Rate float64

// Version orders the facts about an endpoint's incarnation; 0 means that none is known.
type Version uint64

// Fact is what is known of the limit of an endpoint's incarnation.
type Fact struct {
	Endpoint identifier.Endpoint
	StartID  int64
	Version  Version
	// Limited is unset if the endpoint has no limit any more.
	Limited bool
	// Rate is the limit, within MinRate and MaxRate; 0 without one.
	Rate Rate
}

// Bounded returns the fact with a rate within MinRate and MaxRate.
func (f Fact) Bounded() Fact {
	f.Rate = min(MaxRate, max(MinRate, f.Rate))
	if !f.Limited {
		f.Rate = 0
	}
	return f
}

// newerThan reports whether the fact replaces another one about the same endpoint.
func (f Fact) newerThan(o Fact) bool {
	switch {
	case f.StartID != o.StartID:
		return f.StartID > o.StartID
	case f.Version != o.Version:
		return f.Version > o.Version
	case f.Limited != o.Limited:
		return f.Limited
	default:
		return f.Limited && f.Rate < o.Rate
	}
}

// StatementKind is what a response says about its endpoint's limit.
type StatementKind uint8

// Kinds of statements.
const (
	// StatementNone says nothing: the response needn't name a limit, or is malformed.
	StatementNone StatementKind = iota
	// StatementLimited names a limit.
	StatementLimited
	// StatementUnlimited names none where one would be named.
	StatementUnlimited
)

// Statement is what a response says about its endpoint's limit.
type Statement struct {
	Kind StatementKind
	Rate Rate
	// Malformed is the text of a limit that can't be read.
	Malformed string
}

// Pacer holds the facts about all endpoints, and the token buckets of a granting host. It is
// not safe for concurrent use.
type Pacer struct {
	records map[identifier.Endpoint]*record
}

// record is what is known of one endpoint.
type record struct {
	fact   Fact
	bucket bucket
	// unlistedSince is since when the incarnation has not been registered; zero if it is.
	unlistedSince time.Time
}

// New returns a Pacer without facts.
func New() *Pacer {
	return &Pacer{records: map[identifier.Endpoint]*record{}}
}

// find returns the record about the incarnation e, or nil.
func (p *Pacer) find(e *registrar.Endpoint) *record {
	r := p.records[e.Name]
	if r == nil || r.fact.StartID != e.StartID {
		return nil
	}
	return r
}

// Limit returns the limit of an endpoint; ok is false if it has none.
func (p *Pacer) Limit(e *registrar.Endpoint) (limit Rate, ok bool) {
	r := p.find(e)
	if r == nil || !r.fact.Limited {
		return 0, false
	}
	return r.fact.Rate, true
}

// Version returns the version of the current fact about an endpoint.
func (p *Pacer) Version(e *registrar.Endpoint) Version {
	if r := p.find(e); r != nil {
		return r.fact.Version
	}
	return 0
}

// Fact returns the current fact about an endpoint, which has version 0 if nothing is known.
func (p *Pacer) Fact(e *registrar.Endpoint) Fact {
	if r := p.find(e); r != nil {
		return r.fact
	}
	return Fact{Endpoint: e.Name, StartID: e.StartID}
}

// Observe records the statement of a response whose request was sent when the fact of version
// sent was current. It reports whether that makes a new fact.
func (p *Pacer) Observe(e *registrar.Endpoint, s Statement, sent Version, now time.Time) (f Fact, changed bool) {
	old := p.Fact(e)
	if s.Kind == StatementNone || sent < old.Version {
		return old, false
	}
	f = Fact{Endpoint: e.Name, StartID: e.StartID, Version: old.Version + 1, Limited: s.Kind == StatementLimited, Rate: s.Rate}.Bounded()
	if f.Limited == old.Limited && f.Rate == old.Rate {
		return old, false
	}
	return f, p.Merge(f, now)
}

// Merge records a fact, and reports whether it is newer than the current one.
func (p *Pacer) Merge(f Fact, now time.Time) bool {
	r := p.records[f.Endpoint]
	switch {
	case r == nil && (f.Version == 0 || len(p.records) >= maxFacts):
		return false
	case r != nil && !f.newerThan(r.fact):
		return false
	case r == nil || r.fact.StartID != f.StartID:
		r = &record{}
		p.records[f.Endpoint] = r
	}
	if f.Limited && !r.fact.Limited {
		r.bucket = bucket{filledAt: now}
	}
	r.fact = f
	return true
}

// Facts returns all facts about registered endpoints.
func (p *Pacer) Facts() []Fact {
	var all []Fact
	for _, r := range p.records {
		if r.unlistedSince.IsZero() {
			all = append(all, r.fact)
		}
	}
	return all
}

// Update removes the facts about incarnations that are no longer registered.
func (p *Pacer) Update(s *registrar.Snapshot, now time.Time) {
	for name, r := range p.records {
		e := s.Endpoint(name)
		if e != nil && e.StartID <= r.fact.StartID {
			r.unlistedSince = time.Time{}
			continue
		}
		if r.unlistedSince.IsZero() {
			r.unlistedSince = now
		}
		if e != nil || now.Sub(r.unlistedSince) >= removedRetention {
			delete(p.records, name)
		}
	}
}

// Grant grants a permit for a request to an endpoint from the granting host's share of its
// limit. The request may be sent after the wait, which is at most maxWait. If none is granted,
// there won't be one before the wait has passed. Without a limit no permit is needed.
func (p *Pacer) Grant(e *registrar.Endpoint, share float64, maxWait time.Duration, now time.Time) (wait time.Duration, ok bool) {
	r := p.find(e)
	if r == nil || !r.fact.Limited {
		return 0, true
	}
	return r.bucket.take(share*float64(r.fact.Rate), min(maxWait, MaxWait), now)
}

// Return takes back a permit that was not used.
func (p *Pacer) Return(e *registrar.Endpoint) {
	if r := p.find(e); r != nil {
		r.bucket.level++ // the next refill limits it to the capacity
	}
}
