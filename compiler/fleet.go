// Package compiler turns checked declarations into read-only values that
// requests are served from. A Fleet is never changed: a new revision of the
// declarations compiles into a new Fleet, and one pointer is swapped.
//
// # Usage
//
//	fleet, err := compiler.Compile(file, revision)
//	service, ok := fleet.Services["dealer-desk"]
//	for _, e := range service.Pool("tw-north-1", compiler.RoleDecode) { ... }
//
// The objects mirror the world: a firm has data centres, joined by links; it
// offers services, each served by endpoints that stand in data centres;
// contracts lend endpoints to a sister firm; customers have limits.
package compiler

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Fleet is everything that one revision of the declarations says.
type Fleet struct {
	Revision    identifier.Revision
	Firm        identifier.Firm
	DataCenters map[identifier.DataCenter]*DataCenter
	Services    map[identifier.Service]*Service
	Endpoints   map[identifier.Endpoint]*Endpoint
	Links       map[LinkKey]*Link
	Contracts   []*Contract
	Customers   map[identifier.Customer]*Customer
	// DefaultCustomer holds for customers without an entry; nil: such
	// customers are refused.
	DefaultCustomer *Customer
	// Source is the file as it was published.
	Source []byte
	// Digest is the xxhash of Source.
	Digest uint64
}

// DataCenter is a place with entry hosts and endpoints of its own.
type DataCenter struct {
	Name   identifier.DataCenter
	Region string
}

// Kind says what serves a service.
type Kind uint8

// Kinds of services.
const (
	KindModel Kind = iota + 1
	KindPlain
)

// Urgency orders the requests of a service.
type Urgency uint8

// Urgencies.
const (
	UrgencyPatient Urgency = iota + 1
	UrgencyUrgent
)

// Role says what a model engine is ordered to do.
type Role uint8

// Roles of endpoints. RolePlain is that of a plain service's instance.
const (
	RolePrefill Role = iota + 1
	RoleDecode
	RoleBoth
	RolePlain
)

// String gives the role as declarations spell it.
func (r Role) String() string {
	switch r {
	case RolePrefill:
		return "prefill"
	case RoleDecode:
		return "decode"
	case RoleBoth:
		return "both"
	case RolePlain:
		return "plain"
	default:
		return "unknown"
	}
}

// Service is what callers ask for by name.
type Service struct {
	Name    identifier.Service
	Kind    Kind
	Model   identifier.Model
	Version string
	// Adapters that the service's engines have to hold.
	Adapters []string
	Urgency  Urgency
	// Repeatable is false for calls that must run at most once.
	Repeatable bool
	// FirstToken and BetweenTokens are the latency targets; 0: none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Objective is the share of requests that have to meet the targets,
	// between 0 and 1.
	Objective float64
	// Timeout bounds a request whose caller gives no deadline.
	Timeout time.Duration
	// QueueLimit bounds the requests that wait in one data centre.
	QueueLimit int
	// FloorShare is the share of slots, between 0 and 1, that patient
	// requests get under urgent overload.
	FloorShare float64
	// AgeLimit is the wait after which a patient request counts as urgent.
	AgeLimit time.Duration
	// MaxPromptTokens and MaxOutputTokens bound a request.
	MaxPromptTokens identifier.Tokens
	MaxOutputTokens identifier.Tokens
	Retry           RetryBudget
	// Endpoints that serve it, sorted by name.
	Endpoints []*Endpoint
}

// Pool gives the service's endpoints in dc that can take the role, sorted by
// name. RoleBoth endpoints belong to the prefill and to the decode pool.
func (s *Service) Pool(dc identifier.DataCenter, r Role) []*Endpoint {
	var pool []*Endpoint
	for _, e := range s.Endpoints {
		if e.DataCenter == dc && e.Role.Takes(r) {
			pool = append(pool, e)
		}
	}
	return pool
}

// Takes tells whether an endpoint of role r does the work of role other.
func (r Role) Takes(other Role) bool {
	return r == other || r == RoleBoth && (other == RolePrefill || other == RoleDecode)
}

// RetryBudget bounds the retries that a service's endpoints see.
type RetryBudget struct {
	// Ratio of first attempts that may be followed by a retry.
	Ratio float64
	// Capacity in retries that may come in a burst.
	Capacity float64
	// MaxAttempts of one request, the first included.
	MaxAttempts int
}

// Endpoint is a model engine or an instance of a plain service.
type Endpoint struct {
	Name       identifier.Endpoint
	Service    identifier.Service
	DataCenter identifier.DataCenter
	Address    identifier.Address
	Role       Role
	// Owner is the firm whose endpoint it is.
	Owner identifier.Firm
	// Slots and Pieces are the engine's declared room.
	Slots  int
	Pieces identifier.Pieces
	// TokensPerPiece is how many tokens' KV cache a piece holds.
	TokensPerPiece identifier.Tokens
	// ChecksFence tells whether it refuses orders with an old fencing number.
	ChecksFence bool
	// Leaving endpoints get no new work.
	Leaving bool
}

// LinkKey names a link by its ends; From and To are equal for the network
// inside a data centre.
type LinkKey struct {
	From, To identifier.DataCenter
}

// Link carries KV cache from prefill to decode engines.
type Link struct {
	Key LinkKey
	// Rate in pieces a second.
	Rate float64
}

// Contract lends endpoints' slots to a sister firm.
type Contract struct {
	Name     string
	Service  identifier.Service
	Borrower identifier.Firm
	// Share of the service's slots that is lent, between 0 and 1.
	Share float64
	// Start and End are times of day, as time since midnight UTC; End before
	// Start means that the lending spans midnight.
	Start, End time.Duration
}

// InForce tells whether the contract lends at time now.
func (c *Contract) InForce(now time.Time) bool {
	utc := now.UTC()
	midnight := time.Date(utc.Year(), utc.Month(), utc.Day(), 0, 0, 0, 0, time.UTC)
	since := utc.Sub(midnight)
	if c.Start <= c.End {
		return since >= c.Start && since < c.End
	}
	return since >= c.Start || since < c.End
}

// Customer shares one limit over all entry hosts.
type Customer struct {
	Name identifier.Customer
	Firm identifier.Firm
	// RequestsPerSecond and Burst bound its requests; 0: no limit.
	RequestsPerSecond float64
	Burst             float64
	// TokensPerSecond bounds its prompt and output tokens; 0: no limit.
	TokensPerSecond float64
}

// Customer gives the customer called name; nil: refused. One that isn't
// declared has the default's limits, for itself.
func (f *Fleet) Customer(name identifier.Customer) *Customer {
	if c, ok := f.Customers[name]; ok {
		return c
	}
	if f.DefaultCustomer == nil {
		return nil
	}
	c := *f.DefaultCustomer
	c.Name = name
	return &c
}
