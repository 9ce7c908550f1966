package pacer

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// PermitLifetime is how long a permit may be used. It is short, since permits that were
	// granted over a longer time could be used at once.
	PermitLifetime = 500 * time.Millisecond
	// maxPermits bounds the permits that a host holds.
	maxPermits = 10_000
)

// Permit allows one request to be sent to an endpoint.
type Permit struct {
	// Granter is the host that granted it.
	Granter identifier.Host
	// Expires is the time from which it must not be used.
	Expires time.Time
}

// permitKey identifies the call that a permit is for.
type permitKey struct {
	endpoint identifier.Endpoint
	startID  int64
	request  identifier.Request
}

func keyOf(e *registrar.Endpoint, r identifier.Request) permitKey {
	return permitKey{endpoint: e.Name, startID: e.StartID, request: r}
}

// Permits holds the unused permits of a host. It is not safe for concurrent use.
type Permits struct {
	all map[permitKey]Permit
}

// NewPermits returns an empty Permits.
func NewPermits() *Permits {
	return &Permits{all: map[permitKey]Permit{}}
}

// Add adds the permit for a request's next call to an endpoint. It reports false if there are
// too many.
func (p *Permits) Add(e *registrar.Endpoint, r identifier.Request, permit Permit) bool {
	if len(p.all) >= maxPermits {
		return false
	}
	p.all[keyOf(e, r)] = permit
	return true
}

// Take removes and returns the permit for a request's call to an endpoint; ok is false if there
// is none.
func (p *Permits) Take(e *registrar.Endpoint, r identifier.Request) (permit Permit, ok bool) {
	permit, ok = p.all[keyOf(e, r)]
	delete(p.all, keyOf(e, r))
	return permit, ok
}

// Valid reports whether the permit for a request's call to an endpoint may be used at a time.
func (p *Permits) Valid(e *registrar.Endpoint, r identifier.Request, at time.Time) bool {
	return at.Before(p.all[keyOf(e, r)].Expires)
}

// Expire removes the permits that can't be used any more.
func (p *Permits) Expire(now time.Time) {
	for k, permit := range p.all {
		if !now.Before(permit.Expires) {
			delete(p.all, k)
		}
	}
}
