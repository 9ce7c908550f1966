// Package registrar holds what an entry host knows of the calls that it may
// forward: routes by host name and path prefix, the services that they lead
// to, the limits on callers, and the endpoints that serve.
//
// # Usage
//
//	r := registrar.New()
//	r.Declare(declarations)         // a newer version replaces an older one
//	r.SetEndpoints(endpoints)       // whoever is registered now
//	s := r.Snapshot()
//	route, ok := s.Declarations.Match("quotes.example", "/quotes/2")
//	for _, e := range s.Serving(route.Splits[0].Service) { ... }
//
// A [Snapshot] is read-only; each change makes a new one behind an atomic
// pointer, so that the path of a request takes no lock.
package registrar

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Kind says what may be repeated of a route's requests.
type Kind uint8

// Kinds of routes.
const (
	// KindUnrepeatable requests run at most once.
	KindUnrepeatable Kind = iota
	// KindIdempotent requests may run more than once.
	KindIdempotent
	// KindStream requests are answered by an event stream. They run at most
	// once unless the route is resumable.
	KindStream
)

// String gives the kind in kebab case.
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

// Split is a service that gets a share of a route's requests.
type Split struct {
	Service identifier.Service
	// Weight against those of the route's other splits.
	Weight int
}

// Route says where the requests of a host name and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable streams may go on at another endpoint behind the event that
	// the caller got last.
	Resumable bool
	// Timeout is the longest that a request may take; 0: no bound.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, that
	// the operator aims for; 0: none.
	Objective time.Duration
	// GapObjective is the longest pause between a stream's events.
	GapObjective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Attempts is the most endpoints that one request may be sent to.
	Attempts int
	Splits   []Split
}

// Repeatable tells whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Pick chooses the service by weight; draw is in [0, 1).
func (r *Route) Pick(draw float64) identifier.Service {
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

// EngineTraits is what a service's model engines are declared to do.
type EngineTraits struct {
	Slots int
	// Memory is how many tokens' KV cache an engine holds.
	Memory identifier.Tokens
	// ResultLife is how long a prefill's result is kept.
	ResultLife time.Duration
	// ReservationLimit is the longest that room may be reserved; 0: engines
	// take no reservations.
	ReservationLimit time.Duration
}

// Service is what routes lead to.
type Service struct {
	Name       identifier.Service
	HealthPath string
	// MaxConnections is what one endpoint accepts from all hosts together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *EngineTraits
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
}

// Declarations are one version of what the operator declares.
type Declarations struct {
	Version  identifier.Revision
	Services map[identifier.Service]*Service
	Limits   Limits
	// routes by host name in lower case, the longest prefix first.
	routes map[string][]*Route
}

// NewDeclarations indexes routes and services.
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

// Match gives the route with the longest prefix that begins the path. The
// host name may carry a port.
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

// Stage is the part of a request's work that an engine does.
type Stage uint8

// Stages. StageAny is that of plain services and of engines that do both.
const (
	StageAny Stage = iota
	StagePrefill
	StageDecode
)

// String gives the stage in kebab case.
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

// Endpoint is a registered endpoint. It is read-only.
type Endpoint struct {
	Name       identifier.Endpoint
	Service    identifier.Service
	Address    identifier.Address
	DataCenter identifier.DataCenter
	Slots      int
	Stage      Stage
	// Leaving endpoints get no new work.
	Leaving bool
	// Started tells starts under one name apart; 0: unknown.
	Started int64
}

// Decodes tells whether an endpoint generates answers and takes new work.
func (e *Endpoint) Decodes() bool {
	return e.Stage != StagePrefill && !e.Leaving
}

// Snapshot is all that is known at one time. It is read-only.
type Snapshot struct {
	// Declarations is nil until some are known.
	Declarations *Declarations
	byService    map[identifier.Service][]*Endpoint
	byName       map[identifier.Endpoint]*Endpoint
}

// Endpoints gives all endpoints of a service, sorted by name.
func (s *Snapshot) Endpoints(name identifier.Service) []*Endpoint {
	return s.byService[name]
}

// Each calls f with every endpoint.
func (s *Snapshot) Each(f func(*Endpoint)) {
	for _, e := range s.byName {
		f(e)
	}
}

// Count gives the number of endpoints.
func (s *Snapshot) Count() int {
	return len(s.byName)
}

// Endpoint gives an endpoint by its name; nil: it isn't registered.
func (s *Snapshot) Endpoint(name identifier.Endpoint) *Endpoint {
	return s.byName[name]
}

// Registrar swaps snapshots. It is safe for use by several goroutines.
type Registrar struct {
	mu          sync.Mutex
	current     atomic.Pointer[Snapshot]
	subscribers []func(*Snapshot)
}

// New gives a Registrar that knows nothing.
func New() *Registrar {
	r := &Registrar{}
	r.current.Store(&Snapshot{})
	return r
}

// Snapshot gives what is known now.
func (r *Registrar) Snapshot() *Snapshot {
	return r.current.Load()
}

// Subscribe has f called with each new snapshot, in order.
func (r *Registrar) Subscribe(f func(*Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers = append(r.subscribers, f)
}

// Declare puts d in force; false: a version as new is in force already.
func (r *Registrar) Declare(d *Declarations) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.current.Load()
	if old.Declarations != nil && old.Declarations.Version >= d.Version {
		return false
	}
	r.swap(&Snapshot{Declarations: d, byService: old.byService, byName: old.byName})
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
	r.swap(&Snapshot{Declarations: old.Declarations, byService: byService, byName: byName})
}

// swap shows a new snapshot; r.mu is held.
func (r *Registrar) swap(s *Snapshot) {
	r.current.Store(s)
	for _, f := range r.subscribers {
		f(s)
	}
}
