// Package compiler turns validated declarations into an immutable Fleet, which
// hosts consult to serve requests. A new revision of the declarations is compiled
// into a new Fleet, which replaces the old one by an atomic swap of a pointer.
//
// # Usage
//
//	fleet, err := compiler.Compile(file, revision)
//	service, ok := fleet.Services["dealer-desk"]
//	for _, e := range service.Pool("tw-north-1", compiler.RoleDecode) { ... }
//
// The data model: a firm has data centers, connected by links. It offers
// services, each served by endpoints in the data centers. Contracts lend the
// slots of a service to an affiliated firm. Customers have rate limits.
package compiler

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Fleet is the compiled form of one revision of the declarations.
type Fleet struct {
	Revision    identifier.Revision
	Firm        identifier.Firm
	DataCenters map[identifier.DataCenter]*DataCenter
	Services    map[identifier.Service]*Service
	Endpoints   map[identifier.Endpoint]*Endpoint
	Links       map[LinkKey]*Link
	Contracts   []*Contract
	Customers   map[identifier.Customer]*Customer
	// DefaultCustomer applies to customers without an entry. If it is nil, such
	// customers are refused.
	DefaultCustomer *Customer
	// Source is the file as it was published.
	Source []byte
	// Digest is the 64-bit xxHash of Source.
	Digest uint64
}

// DataCenter is a site with its own entry hosts and endpoints.
type DataCenter struct {
	Name   identifier.DataCenter
	Region string
}

// Kind says whether a service is served by model engines or by plain instances.
type Kind uint8

// Kinds of services.
const (
	KindModel Kind = iota + 1
	KindPlain
)

// Urgency is the scheduling class of a service's requests.
type Urgency uint8

// Values of Urgency.
const (
	UrgencyPatient Urgency = iota + 1
	UrgencyUrgent
)

// Role says which stages of a request an endpoint handles.
type Role uint8

// Roles of endpoints. Instances of plain services have RolePlain.
const (
	RolePrefill Role = iota + 1
	RoleDecode
	RoleBoth
	RolePlain
)

// String returns the role as spelled in declarations.
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

// Service is a model or plain service that callers request by name.
type Service struct {
	Name    identifier.Service
	Kind    Kind
	Model   identifier.Model
	Version string
	// Adapters are those that the service's engines must have loaded.
	Adapters []string
	Urgency  Urgency
	// Repeatable is false if calls must run at most once.
	Repeatable bool
	// FirstToken and BetweenTokens are the latency targets for the first token
	// and between tokens; 0: none.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	// Objective is the fraction of requests, between 0 and 1, that must meet the
	// latency targets.
	Objective float64
	// Timeout limits requests whose caller sets no deadline.
	Timeout time.Duration
	// QueueLimit is the maximum number of requests queued in one data center.
	QueueLimit int
	// FloorShare is the fraction of slots, between 0 and 1, that patient
	// requests get while urgent requests exceed capacity.
	FloorShare float64
	// AgeLimit is the queueing time after which a patient request is treated as
	// urgent.
	AgeLimit time.Duration
	// MaxPromptTokens and MaxOutputTokens limit the size of a request.
	MaxPromptTokens identifier.Tokens
	MaxOutputTokens identifier.Tokens
	Retry           RetryBudget
	// Endpoints are those that serve it, sorted by name.
	Endpoints []*Endpoint
}

// Pool returns the service's endpoints in dc that can do the work of role r,
// sorted by name. RoleBoth endpoints are in both the prefill and the decode pool.
func (s *Service) Pool(dc identifier.DataCenter, r Role) []*Endpoint {
	var pool []*Endpoint
	for _, e := range s.Endpoints {
		if e.DataCenter == dc && e.Role.Accepts(r) {
			pool = append(pool, e)
		}
	}
	return pool
}

// Accepts reports whether an endpoint of role r can do the work of role other.
func (r Role) Accepts(other Role) bool {
	return r == other || r == RoleBoth && (other == RolePrefill || other == RoleDecode)
}

// RetryBudget limits the retries sent to a service's endpoints.
type RetryBudget struct {
	// Ratio is the number of retries allowed per first attempt.
	Ratio float64
	// Capacity is the maximum burst, in retries.
	Capacity float64
	// MaxAttempts limits the attempts of one request, including the first.
	MaxAttempts int
}

// Endpoint is a model engine or an instance of a plain service.
type Endpoint struct {
	Name       identifier.Endpoint
	Service    identifier.Service
	DataCenter identifier.DataCenter
	Address    identifier.Address
	Role       Role
	// Owner is the firm that owns the endpoint.
	Owner identifier.Firm
	// Slots and Pieces are the declared capacity: concurrent requests and pieces
	// of KV cache.
	Slots  int
	Pieces identifier.Pieces
	// TokensPerPiece is the number of tokens whose KV cache fits in a piece.
	TokensPerPiece identifier.Tokens
	// ChecksFence is true if the engine refuses orders with an outdated fencing
	// number.
	ChecksFence bool
	// Leaving endpoints are being drained and get no new work.
	Leaving bool
}

// LinkKey identifies a link by its endpoints. From and To are equal for the
// network inside a data center.
type LinkKey struct {
	From, To identifier.DataCenter
}

// Link is a network connection that transfers KV cache from prefill to decode
// engines.
type Link struct {
	Key LinkKey
	// Rate is the throughput in pieces per second.
	Rate float64
}

// Contract lends slots of a service to an affiliated firm.
type Contract struct {
	Name     string
	Service  identifier.Service
	Borrower identifier.Firm
	// Share is the fraction of the service's slots, between 0 and 1, that is lent.
	Share float64
	// Start and End are times of day, measured from midnight UTC. If End is before
	// Start, the period spans midnight.
	Start, End time.Duration
}

// ActiveAt reports whether the contract lends slots at time now.
func (c *Contract) ActiveAt(now time.Time) bool {
	utc := now.UTC()
	midnight := time.Date(utc.Year(), utc.Month(), utc.Day(), 0, 0, 0, 0, time.UTC)
	since := utc.Sub(midnight)
	if c.Start <= c.End {
		return since >= c.Start && since < c.End
	}
	return since >= c.Start || since < c.End
}

// Customer has limits that apply to all entry hosts together.
type Customer struct {
	Name identifier.Customer
	Firm identifier.Firm
	// RequestsPerSecond and Burst limit its request rate; 0: no limit.
	RequestsPerSecond float64
	Burst             float64
	// TokensPerSecond limits its prompt and output tokens; 0: no limit.
	TokensPerSecond float64
}

// Customer returns the customer with the given name. An undeclared customer gets
// its own copy of DefaultCustomer; without a default, Customer returns nil and
// the customer must be refused.
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
