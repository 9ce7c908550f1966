// Package authenticator finds the customer that a request's key belongs to. It only
// makes decisions: it does no I/O, reads no clock and starts no goroutines.
//
// # Usage
//
//	index, err := authenticator.NewIndex([]authenticator.Holder{
//		{Customer: authenticator.Customer{Name: "harbour-yard"}, Keys: []authenticator.Key{"..."}},
//	})
//	customer, ok := index.Authenticate(key)
//
// # Keys
//
// A key is a secret. An Index keeps no key, but a digest of each under a random secret
// of its own, which never leaves the process. A lookup by digest takes a time that tells
// nothing about the keys. A [Key] can't be logged or encoded by accident: as text it is a
// placeholder.
package authenticator

import (
	"crypto/rand"
	"crypto/sha256"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// MaxKeyBytes bounds the length of a key. Longer ones belong to nobody.
const MaxKeyBytes = 256

const secretBytes = sha256.BlockSize

// Key is the secret with which a caller shows which customer it is.
type Key string

// String hides the key in logs and errors.
func (k Key) String() string {
	return "(secret)"
}

// GoString hides the key from the verb %#v.
func (k Key) GoString() string {
	return k.String()
}

// MarshalText hides the key in encoded values.
func (k Key) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// Customer is a customer as operators declare it. It is immutable.
type Customer struct {
	Name identifier.Customer
	// HasPriority is set if Priority ranks the customer's requests before the priorities of
	// their routes do. 0 is the most urgent.
	HasPriority bool
	Priority    int
	Quota       Quota
}

// Unit is what a quota counts.
type Unit uint8

// Units of quotas.
const (
	// UnitRequests counts requests.
	UnitRequests Unit = iota
	// UnitTokens counts the prompt's tokens and the largest number of output tokens.
	UnitTokens
)

// String returns the unit in kebab case.
func (u Unit) String() string {
	if u == UnitTokens {
		return "tokens"
	}
	return "requests"
}

// Quota limits what a customer sends to all hosts together.
type Quota struct {
	Unit Unit
	// Rate is the number of units a second; 0 means no limit. Burst is the number of units
	// that may come at once beyond that.
	Rate, Burst float64
	// PlainTokens is the cost in tokens of a request that states none.
	PlainTokens identifier.Tokens
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool {
	return q.Rate > 0
}

// Cost returns the units that a request takes, given the tokens that it states: those
// of its prompt and the most of its output, 0 if it states none.
func (q Quota) Cost(prompt, maxOutput identifier.Tokens) float64 {
	if q.Unit == UnitRequests {
		return 1
	}
	if prompt == 0 && maxOutput == 0 {
		return float64(q.PlainTokens)
	}
	return float64(prompt) + float64(maxOutput)
}

// Holder is a customer with its keys.
type Holder struct {
	Customer Customer
	Keys     []Key
}

// Index maps keys to their customers. It is immutable.
type Index struct {
	secret    [secretBytes]byte
	digests   map[digest]*Customer
	customers []*Customer
}

type digest [sha256.Size]byte

// NewIndex returns an Index of the customers' keys. A key of several customers belongs to
// the first of them. Empty and overlong keys belong to nobody.
func NewIndex(holders []Holder) (*Index, error) {
	x := &Index{digests: make(map[digest]*Customer, len(holders))}
	if _, err := rand.Read(x.secret[:]); err != nil {
		return nil, eris.Wrap(err, "draw the secret for digests of keys")
	}
	for i := range holders {
		c := holders[i].Customer
		x.customers = append(x.customers, &c)
		for _, k := range holders[i].Keys {
			x.add(k, &c)
		}
	}
	return x, nil
}

func (x *Index) add(k Key, c *Customer) {
	if k == "" || len(k) > MaxKeyBytes {
		return
	}
	d := x.digestOf(k)
	if _, taken := x.digests[d]; !taken {
		x.digests[d] = c
	}
}

// digestOf returns the digest of a key of at most MaxKeyBytes.
func (x *Index) digestOf(k Key) digest {
	var buffer [secretBytes + MaxKeyBytes]byte
	copy(buffer[:], x.secret[:])
	n := copy(buffer[secretBytes:], k)
	return sha256.Sum256(buffer[:secretBytes+n])
}

// Authenticate returns the customer that a key belongs to.
func (x *Index) Authenticate(k Key) (*Customer, bool) {
	if k == "" || len(k) > MaxKeyBytes {
		return nil, false
	}
	c, ok := x.digests[x.digestOf(k)]
	return c, ok
}

// Customers returns all customers in the order of their declaration. The result must not
// be modified.
func (x *Index) Customers() []*Customer {
	return x.customers
}

// ParseKey returns the key in a header field's value.
func ParseKey(value string) Key {
	return Key(strings.TrimSpace(value))
}
