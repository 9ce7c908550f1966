// Package fencer issues the fencing tokens of one service's orders at one host. It
// does no I/O and reads no clock.
//
// An engine refuses an order whose token is lower than one that it has seen. So the
// tokens of a host that takes over must exceed those of the host before, and no two
// hosts may ever use the same one.
//
// # Usage
//
//	f := fencer.New("front-a-1")
//	c := f.Claim(position, names, now) // before the first order of a tenure
//	for _, answer := range tellOthers(c) {
//		f.Hear(answer)
//	}
//	if f.Contested(c) { /* claim again */ }
//	order(c.Token)
//	f.Refuse() // if an engine has seen a higher token: claim again
//
// # Order of tokens
//
// A token consists of a counter and of a place, which breaks ties (Lamport's order of
// events). The counter starts from the position of the store, which is the same for
// all hosts, unlike their clocks, and exceeds all counters that the host has
// heard of. A holder claims one token for its whole tenure, and tells the others before it
// gives its first order: whoever takes over knows the token although its
// holder has died, and one that was cut off or has just started is told by the
// others.
//
// After a refusal nothing that the host knows is sufficient: all that had heard of
// the higher token are gone. The next claim is taken from the time of day, in a
// range above all positions. It exceeds earlier claims of this kind if the hosts'
// clocks differ by less than the time between two holders.
//
// # Places
//
// Hosts that know the same names have different places, as long as there are
// at most 1,000 of them. Among others, two hosts have the same place with a probability
// of 1 in 1,000, and the same token only if, in addition, they claim the same counter
// and reach no host that has heard of the other's claim.
//
// # Range
//
// Tokens stay below 2^53, so that JSON readers that use floating-point numbers read
// them exactly. An era has 10^7 counters. Eras up to 3*10^5, and clocks
// up to the year 2126, keep to their ranges.
package fencer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// places is the number of tokens with the same counter.
	places = 1000
	// countersPerEra lets a restored store lose as many revisions until tokens are used
	// again.
	countersPerEra = 10_000_000
	// base makes tokens exceed those of early versions, which were a
	// thousand times the Unix time in milliseconds.
	base = 2_000_000_000_000_000
	// clockBase is the start of the range of claims that follow a refusal.
	clockBase = 5_000_000_000_000_000
	// maxToken is the highest token, with the last place.
	maxToken = 1<<53 - 1 - (1<<53)%places
)

// clockEpoch is the time of day that corresponds to clockBase.
var clockEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Token is a fencing token. Zero is none.
type Token uint64

// Claim is a token together with the only host that may use it.
type Claim struct {
	Token  Token
	Holder identifier.Host
}

// Fencer holds what a host knows of the tokens of one service. It is not safe for
// concurrent use.
type Fencer struct {
	self    identifier.Host
	highest Claim
	// rival has claimed the same token as the holder of highest; empty if none has.
	rival identifier.Host
	// refused is set if an engine has refused the last claim.
	refused bool
}

// New returns a Fencer that knows of no tokens.
func New(self identifier.Host) *Fencer {
	return &Fencer{self: self}
}

// Highest returns the claim with the highest token that the host knows of.
func (f *Fencer) Highest() Claim {
	return f.highest
}

// Hear records a claim of another host. Tokens that no host can have claimed are ignored.
func (f *Fencer) Hear(c Claim) {
	switch {
	case c.Token > maxToken:
	case c.Token > f.highest.Token:
		f.highest, f.rival = c, ""
	case c.Token == f.highest.Token && c.Holder != f.highest.Holder:
		f.rival = c.Holder
	}
}

// Contested reports whether another host is known to have claimed a token that isn't
// lower than that of c, the last claim of this host.
func (f *Fencer) Contested(c Claim) bool {
	return f.highest.Token > c.Token || f.rival != ""
}

// Claim returns a token for this host that is higher than all that it knows of, and
// than those of hosts that knew an earlier position. The names are those of all known
// hosts.
func (f *Fencer) Claim(known identifier.Position, names []identifier.Host, now time.Time) Claim {
	counter := max(positionCounter(known), uint64(f.highest.Token)/places+1)
	if f.rival != "" && f.rival < f.self {
		counter++ // the rival claims the counter before
	}
	if f.refused {
		counter = max(counter, clockCounter(now))
	}
	counter = min(counter, maxToken/places)
	f.highest = Claim{Token: Token(counter*places + place(f.self, names)), Holder: f.self}
	f.rival, f.refused = "", false
	return f.highest
}

// Refuse records that an engine has refused the last claim since it has seen a higher one.
func (f *Fencer) Refuse() {
	f.refused = true
}

// positionCounter returns a counter that exceeds those of earlier positions. It exceeds
// the counter of an earlier build at the same position by one.
func positionCounter(p identifier.Position) uint64 {
	return base/places + uint64(p.Era)*countersPerEra + uint64(p.Revision) + 1
}

func clockCounter(now time.Time) uint64 {
	return clockBase/places + uint64(max(0, now.Sub(clockEpoch).Milliseconds()))
}

// place returns the place of a host among the hosts with the given names: the
// remainder of its name's hash, or the next one that no host before it in the
// order of names has.
func place(self identifier.Host, names []identifier.Host) uint64 {
	all := append(slices.Clone(names), self)
	slices.Sort(all)
	all = slices.Compact(all)
	var taken [places]bool
	for n, name := range all {
		p := xxhash.Sum64String(string(name)) % places
		for n < places && taken[p] {
			p = (p + 1) % places
		}
		if name == self {
			return p
		}
		taken[p] = true
	}
	panic("unreachable: all contains self")
}
