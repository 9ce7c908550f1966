package locator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Directory says which host is the home of each request. It is pure: the time
// is passed in. It is not safe for concurrent use.
type Directory struct {
	homes map[identifier.Request]entry
	limit int
}

type entry struct {
	home     identifier.Incarnation
	received time.Time
}

// Claim is what a directory answers to a home.
type Claim struct {
	// Previous is the home that the claimer replaced; 0: none.
	Previous identifier.Incarnation
	// Replaced says that another home received the request later.
	Replaced bool
}

// NewDirectory gives a directory of at most limit requests; beyond that new
// requests are not entered, and a resend of them is not noticed.
func NewDirectory(limit int) *Directory {
	return &Directory{homes: make(map[identifier.Request]entry), limit: limit}
}

// Claim enters home as the home of the request, which it received at a time.
// Of two homes the one that received it later counts.
func (d *Directory) Claim(r identifier.Request, home identifier.Incarnation, received time.Time) Claim {
	old, found := d.homes[r]
	if found && old.home != home && received.Before(old.received) {
		return Claim{Replaced: true}
	}
	if !found && len(d.homes) >= d.limit {
		return Claim{}
	}
	d.homes[r] = entry{home: home, received: received}
	if found && old.home != home {
		return Claim{Previous: old.home}
	}
	return Claim{}
}

// End takes out a request whose home is done with it.
func (d *Directory) End(r identifier.Request, home identifier.Incarnation) {
	if d.homes[r].home == home {
		delete(d.homes, r)
	}
}

// HomeDead takes out all requests of a home.
func (d *Directory) HomeDead(home identifier.Incarnation) {
	for r, e := range d.homes {
		if e.home == home {
			delete(d.homes, r)
		}
	}
}

// Len gives the number of requests.
func (d *Directory) Len() int {
	return len(d.homes)
}
