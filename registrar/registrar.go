// Package registrar stores an entry host's routing state: routes by host name
// and path prefix, their services, the limits on callers, and the registered
// endpoints.
//
// # Usage
//
//	r := registrar.New()
//	r.SetDeclarations(declarations) // a newer version replaces an older one
//	r.SetEndpoints(endpoints)       // replaces the whole endpoint list
//	s := r.Snapshot()
//	route, ok := s.Declarations.Match("quotes.example", "/quotes/2")
//	for _, e := range s.Endpoints(route.Splits[0].Service) { ... }
//
// A [Snapshot] is immutable. Each change publishes a new one through an atomic
// pointer, so the request path takes no lock.
package registrar

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Kind determines whether a route's requests may be retried.
type Kind uint8

// Route kinds.
const (
	// KindUnrepeatable requests run at most once.
	KindUnrepeatable Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests return an event stream. They run at most once
	// unless the route is resumable.
	KindStream
)

// String returns the kind in kebab case.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindStream:
		return "stream"
	default:
		return "unrepeatable"
	}
}

// Split assigns a weighted share of a route's requests to a service.
type Split struct {
	Service identifier.Service
	// Weight is relative to the weights of the route's other splits.
	Weight int
}

// Route maps a host name and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may continue on another endpoint after the last event
	// that the caller received.
	Resumable bool
	// Timeout is the maximum duration of a request; 0 means no limit.
	Timeout time.Duration
	// Objective is the operator's latency target for the response, or for the
	// first event of a stream; 0 means none.
	Objective time.Duration
	// GapObjective is the target for the longest gap between events of a
	// stream.
	GapObjective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of endpoints that a request is sent to.
	Attempts int
	// Public routes serve callers without a key.
	Public bool
	Splits []Split
}

// Repeatable reports whether a request may be resent after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// PickService chooses a service by weight. The random number draw must be in
// [0, 1).
func (r *Route) PickService(draw float64) identifier.Service {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	if total == 0 {
		return r.Splits[0].Service
	}
	point := int(draw * float64(total))
	for _, s := range r.Splits {
		if point < s.Weight {
			return s.Service
		}
		point -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// EngineConfig holds the declared capacity and limits of a service's model
// engines.
type EngineConfig struct {
	Slots int
	// Memory is the capacity of an engine's KV cache in tokens.
	Memory identifier.Tokens
	// ResultTTL is how long an engine keeps the result of a prefill.
	ResultTTL time.Duration
	// ReservationLimit is the maximum lifetime of a reservation; 0 means that
	// engines don't accept reservations.
	ReservationLimit time.Duration
}

// Service is the target of routes, served by a set of endpoints.
type Service struct {
	Name       identifier.Service
	HealthPath string
	// MaxConnections is the maximum number of connections that one endpoint
	// accepts from all hosts together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineConfig
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum idle time of a caller's connection.
	IdleTimeout time.Duration
}

// Declarations is one version of the operator's configuration.
type Declarations struct {
	Version  identifier.Revision
	Services map[identifier.Service]*Service
	Limits   Limits
	// Customers are the customers by their keys; nil if callers need none.
	Customers *authenticator.Index
	// routes is keyed by host name in lower case and sorted by descending
	// prefix length.
	routes map[string][]*Route
}

// NewDeclarations indexes routes by host name and services by name.
func NewDeclarations(version identifier.Revision, routes []*Route, services []*Service, limits Limits) *Declarations {
	d := &Declarations{
		Version:  version,
		Services: make(map[identifier.Service]*Service, len(services)),
		Limits:   limits,
		routes:   make(map[string][]*Route),
	}
	for _, s := range services {
		d.Services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		d.routes[host] = append(d.routes[host], r)
	}
	for _, list := range d.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return d
}

// Match returns the route with the longest prefix of path. The host name may
// include a port.
func (d *Declarations) Match(host, path string) (*Route, bool) {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, r := range d.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Stage is the inference stage that an engine performs.
type Stage uint8

// Inference stages. StageAny applies to plain services and to engines that
// perform both prefill and decode.
const (
	StageAny Stage = iota
	StagePrefill
	StageDecode
)

// String returns the stage in kebab case.
func (s Stage) String() string {
	switch s {
	case StagePrefill:
		return "prefill"
	case StageDecode:
		return "decode"
	default:
		return "any"
	}
}

// Endpoint describes a registered instance of a service. It is immutable.
type Endpoint struct {
	Name       identifier.Endpoint
	Service    identifier.Service
	Address    identifier.Address
	DataCenter identifier.DataCenter
	Slots      int
	Stage      Stage
	// Leaving endpoints are draining and get no new requests.
	Leaving bool
	// StartID distinguishes restarts of an endpoint under the same name; 0
	// means unknown.
	StartID int64
}

// AcceptsDecode reports whether the endpoint performs decode and accepts new
// requests.
func (e *Endpoint) AcceptsDecode() bool {
	return e.Stage != StagePrefill && !e.Leaving
}

// Snapshot is a consistent view of the routing state. It is immutable.
type Snapshot struct {
	// Declarations is nil until a version has been received.
	Declarations *Declarations
	byService    map[identifier.Service][]*Endpoint
	byName       map[identifier.Endpoint]*Endpoint
}

// Endpoints returns all endpoints of a service, sorted by name.
func (s *Snapshot) Endpoints(name identifier.Service) []*Endpoint {
	return s.byService[name]
}

// ForEach calls f for every endpoint, in no particular order.
func (s *Snapshot) ForEach(f func(*Endpoint)) {
	for _, e := range s.byName {
		f(e)
	}
}

// Count returns the number of endpoints.
func (s *Snapshot) Count() int {
	return len(s.byName)
}

// Endpoint looks up an endpoint by name. It returns nil if the endpoint isn't
// registered.
func (s *Snapshot) Endpoint(name identifier.Endpoint) *Endpoint {
	return s.byName[name]
}

// Registrar holds the current snapshot and notifies subscribers of changes. It
// is safe for concurrent use.
type Registrar struct {
	mu          sync.Mutex
	current     atomic.Pointer[Snapshot]
	subscribers []func(*Snapshot)
}

// New creates a Registrar without declarations or endpoints.
func New() *Registrar {
	r := &Registrar{}
	r.current.Store(&Snapshot{})
	return r
}

// Snapshot returns the current snapshot.
func (r *Registrar) Snapshot() *Snapshot {
	return r.current.Load()
}

// Subscribe registers f to be called with each new snapshot, in order.
func (r *Registrar) Subscribe(f func(*Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// SetDeclarations replaces the current declarations with d. It returns false if the
// current version is the same or newer.
func (r *Registrar) SetDeclarations(d *Declarations) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load()
	if old.Declarations != nil && old.Declarations.Version >= d.Version {
		return false
	}
	r.publish(&Snapshot{Declarations: d, byService: old.byService, byName: old.byName})
	return true
}

// SetEndpoints replaces the list of endpoints.
func (r *Registrar) SetEndpoints(all []*Endpoint) {
	byService := make(map[identifier.Service][]*Endpoint)
	byName := make(map[identifier.Endpoint]*Endpoint, len(all))
	for _, e := range all {
		byService[e.Service] = append(byService[e.Service], e)
		byName[e.Name] = e
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b *Endpoint) int {
			return strings.Compare(string(a.Name), string(b.Name))
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load()
	r.publish(&Snapshot{Declarations: old.Declarations, byService: byService, byName: byName})
}

// publish stores a new snapshot and notifies the subscribers. The caller must
// hold r.mu.
func (r *Registrar) publish(s *Snapshot) {
	r.current.Store(s)
	for _, f := range r.subscribers {
		f(s)
	}
}
