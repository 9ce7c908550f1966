// Package identifier names the things that jackdawthread's parts talk about:
// hosts, data centres, endpoints, services, customers, requests and attempts.
// Each has a type of its own, so that the compiler keeps them apart.
//
// # Usage
//
// An entry host draws one [Incarnation] when its process starts. Its
// dispatcher then counts attempts with a [Sequence]:
//
//	incarnation := identifier.NewIncarnation()
//	var attempts identifier.Sequence
//	attempt := identifier.Attempt{Incarnation: incarnation, Sequence: attempts.Next()}
//
// An attempt names one try of one request at its endpoints. No two attempts
// of the system are equal, since incarnations are 64-bit random numbers.
package identifier

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync/atomic"
)

// Host is the name of an entry host, unique among the entry hosts of a firm.
type Host string

// DataCenter is the name of a data centre.
type DataCenter string

// Endpoint is the name of a model engine (runner) or of an instance of a
// plain service.
type Endpoint string

// Service is the name of a service that callers ask for.
type Service string

// Model is the name of the model that a service's engines run.
type Model string

// Customer is the name of a customer, whose requests share one limit.
type Customer string

// Firm is the name of one of the firms that share endpoints.
type Firm string

// Request is the id of a caller's request; it stays the same over resends.
type Request string

// Ticket is the right to make one call to a non-repeatable service.
type Ticket string

// Address is a host:port with an IP number.
type Address string

// Revision orders the versions of the declarations; 0 means none.
type Revision uint64

// Incarnation is a random number that an entry host's process draws when it
// starts; a restarted host has another one.
type Incarnation uint64

// Tokens counts tokens of prompts and outputs.
type Tokens uint32

// Pieces counts the units in which an engine hands out its memory.
type Pieces uint32

// BlockHash is the chained hash of a prompt's leading blocks.
type BlockHash uint64

// NewIncarnation draws a fresh incarnation, never zero.
func NewIncarnation() Incarnation {
	var raw [8]byte
	for {
		_, _ = rand.Read(raw[:]) // never fails, by its documentation
		if n := binary.LittleEndian.Uint64(raw[:]); n != 0 {
			return Incarnation(n)
		}
	}
}

// String gives the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string {
	return fmt.Sprintf("%016x", uint64(i))
}

// NewRequest draws a fresh request id.
func NewRequest() Request {
	return Request(rand.Text())
}

// Attempt names one try of one request. The zero value names none.
type Attempt struct {
	// Incarnation is that of the entry host that made the attempt.
	Incarnation Incarnation
	// Sequence counts the attempts of the incarnation, from 1.
	Sequence uint64
}

// String gives the attempt as incarnation-sequence.
func (a Attempt) String() string {
	return fmt.Sprintf("%s-%d", a.Incarnation, a.Sequence)
}

// IsZero tells whether a names no attempt.
func (a Attempt) IsZero() bool {
	return a == Attempt{}
}

// Sequence counts attempts. It is safe for use by several goroutines.
type Sequence struct {
	last atomic.Uint64
}

// Next gives the next number, from 1.
func (s *Sequence) Next() uint64 {
	return s.last.Add(1)
}
