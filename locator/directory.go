package locator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Directory maps each request to its home, the entry host that serves it. It does
// no I/O and reads no clock: callers pass in the time. It is not safe for
// concurrent use.
type Directory struct {
	homes      map[identifier.Request]entry
	maxEntries int
}

type entry struct {
	home     identifier.Incarnation
	received time.Time
}

// ClaimResult is a directory's answer to a claim.
type ClaimResult struct {
	// Previous is the home that the claimant replaced, or 0 if there was none.
	Previous identifier.Incarnation
	// Replaced reports that another home received the request later.
	Replaced bool
}

// NewDirectory returns a directory of at most limit requests. A full directory
// does not record new requests, so their resends go undetected.
func NewDirectory(limit int) *Directory {
	return &Directory{homes: make(map[identifier.Request]entry), maxEntries: limit}
}

// Claim records home as the home of the request. If several hosts claim the
// same request, the one that received it last becomes its home.
func (d *Directory) Claim(r identifier.Request, home identifier.Incarnation, received time.Time) ClaimResult {
	old, found := d.homes[r]
	if found && old.home != home && received.Before(old.received) {
		return ClaimResult{Replaced: true}
	}
	if !found && len(d.homes) >= d.maxEntries {
		return ClaimResult{}
	}
	d.homes[r] = entry{home: home, received: received}
	if found && old.home != home {
		return ClaimResult{Previous: old.home}
	}
	return ClaimResult{}
}

// Remove deletes a request if home is still its home.
func (d *Directory) Remove(r identifier.Request, home identifier.Incarnation) {
	if d.homes[r].home == home {
		delete(d.homes, r)
	}
}

// RemoveHome deletes all requests of a home.
func (d *Directory) RemoveHome(home identifier.Incarnation) {
	for r, e := range d.homes {
		if e.home == home {
			delete(d.homes, r)
		}
	}
}

// Len returns the number of recorded requests.
func (d *Directory) Len() int {
	return len(d.homes)
}
