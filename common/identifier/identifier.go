// Package identifier defines the identifier types shared by all packages, for
// hosts, data centers, endpoints, services, customers, requests and attempts.
// Each is a distinct type, so that the compiler rejects mix-ups.
//
// # Usage
//
// An entry host generates an [Incarnation] when its process starts. Its
// dispatcher then numbers attempts with a [Sequence]:
//
//	incarnation := identifier.NewIncarnation()
//	var attempts identifier.Sequence
//	attempt := identifier.Attempt{Incarnation: incarnation, Sequence: attempts.Next()}
//
// An attempt identifies one try of one request at its endpoints. Attempts are
// unique across hosts and restarts, since incarnations are 64-bit random
// numbers.
package identifier

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Host is the name of an entry host, unique among the entry hosts of a firm.
type Host string

// DataCenter is the name of a data center.
type DataCenter string

// Endpoint is the name of a model engine (runner) or of a plain service
// instance.
type Endpoint string

// Service is the name of a service that callers send requests to.
type Service string

// Model is the name of the model that a service's engines run.
type Model string

// Customer is the name of a customer, whose requests share one limit.
type Customer string

// Firm is the name of one of the firms that share endpoints.
type Firm string

// Request is the ID of a caller's request. It stays the same across resends.
type Request string

// Ticket authorizes a single call to a non-repeatable service.
type Ticket string

// Address is an IP address and port, as host:port.
type Address string

// Revision is the version number of the declarations; 0 means none.
type Revision uint64

// Digest is the hash of a value of the configuration store, by which hosts identify it; 0
// means none.
type Digest uint64

// DigestOf returns the digest of a value.
func DigestOf(value []byte) Digest {
	return Digest(xxhash.Sum64(value))
}

// Incarnation is a random number that identifies one run of an entry host's
// process. A restarted host has a new one.
type Incarnation uint64

// Tokens is a number of prompt or output tokens.
type Tokens uint32

// Pieces is a number of an engine's memory allocation units.
type Pieces uint32

// Trait is what requests have in common: the ID of a part of their prompts, or the request as a
// whole if it is repeated.
type Trait string

// TraitStrings returns traits as strings, for messages and logs.
func TraitStrings(all []Trait) []string {
	names := make([]string, len(all))
	for i, g := range all {
		names[i] = string(g)
	}
	return names
}

// Fingerprint is what repeats of a request have in common.
type Fingerprint string

// BlockHash is the chained hash of a prompt prefix that consists of whole
// blocks.
type BlockHash uint64

// NewIncarnation generates a random incarnation other than zero.
func NewIncarnation() Incarnation {
	var raw [8]byte
	for {
		_, _ = rand.Read(raw[:]) // documented never to fail
		if n := binary.LittleEndian.Uint64(raw[:]); n != 0 {
			return Incarnation(n)
		}
	}
}

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string {
	return fmt.Sprintf("%016x", uint64(i))
}

// NewRequest generates a random request ID.
func NewRequest() Request {
	return Request(rand.Text())
}

// Attempt identifies one try of one request. The zero value means none.
type Attempt struct {
	// Incarnation is that of the entry host that made the attempt.
	Incarnation Incarnation
	// Sequence numbers the attempts of the incarnation, from 1.
	Sequence uint64
}

// String returns the attempt as incarnation-sequence.
func (a Attempt) String() string {
	return fmt.Sprintf("%s-%d", a.Incarnation, a.Sequence)
}

// IsZero reports whether a is the zero value.
func (a Attempt) IsZero() bool {
	return a == Attempt{}
}

// Sequence generates sequence numbers. It is safe for concurrent use.
type Sequence struct {
	last atomic.Uint64
}

// Next returns the next number, from 1.
func (s *Sequence) Next() uint64 {
	return s.last.Add(1)
}
