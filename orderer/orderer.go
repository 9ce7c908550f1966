// Package orderer decides which orders (role, models, adapters, version) are
// due at model engines. Orders are level-triggered: whenever an engine's
// report differs from the declarations in force, it is ordered to what they
// say, and so is an engine that has not seen their revision yet.
//
// An order's fencing number is the revision that it comes from, so that two
// hosts never give different orders with the same number. An engine that
// checks fencing refuses an order from a host that is behind. At an engine
// that doesn't check, a late order has its effect until the next report shows
// it; then it is corrected. A host that learns of a higher fencing number than
// its own revision gives that engine no orders.
//
// # Usage
//
//	m := orderer.New("tamsui", orderer.DefaultOptions())
//	actions := m.Step(orderer.Adopted{Fleet: fleet}, now)
//	actions = m.Step(orderer.Observed{Observation: orderer.Observe(report, now)}, now)
//
// The shell asks [Order.Fresh] right before it sends an order, since it may
// have been paused. Only the host that allocates an engine's slots observes
// and orders it; the shell tells Released when another host takes over.
package orderer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// Options of a Machine.
type Options struct {
	// Resend is the time after which an order without effect is given again.
	Resend time.Duration
	// Forget is the age of a report after which an engine isn't ordered until
	// the next one, since another host may give it its orders by then.
	Forget time.Duration
}

// DefaultOptions gives the options of a host for which nothing is set.
func DefaultOptions() Options {
	return Options{Resend: 10 * time.Second, Forget: 10 * time.Second}
}

// maxOrderAge is the time after its decision within which an order is sent.
const maxOrderAge = 500 * time.Millisecond

// State is what an engine is, or is ordered to be.
type State struct {
	Role     compiler.Role
	Models   []identifier.Model // sorted
	Adapters []string           // sorted
	Version  string
}

// meets tells whether s is what is wanted. A wanted state without a version
// leaves the version open.
func (s State) meets(wanted State) bool {
	version := wanted.Version == "" || s.Version == wanted.Version
	return version && s.Role == wanted.Role &&
		slices.Equal(s.Models, wanted.Models) && slices.Equal(s.Adapters, wanted.Adapters)
}

// Observation is what an engine reported.
type Observation struct {
	Endpoint identifier.Endpoint
	State    State
	// Fence is the highest fencing number that the engine remembers; 0: none.
	Fence identifier.Revision
	// Time at which it was so.
	Time time.Time
}

// Order is to be given to an engine.
type Order struct {
	Endpoint identifier.Endpoint
	Address  identifier.Address
	State    State
	Fence    identifier.Revision
	// Decided is the time of the decision.
	Decided time.Time
}

// Fresh tells whether the order may still be sent at time now, with the fleet
// that is in force then.
func (o Order) Fresh(current *compiler.Fleet, now time.Time) bool {
	age := now.Sub(o.Decided)
	return current != nil && current.Revision == o.Fence && age >= 0 && age < maxOrderAge
}

// Event is what a Machine is told: Adopted, Observed or Released.
type Event interface{ event() }

// Adopted tells that a fleet came into force.
type Adopted struct {
	Fleet *compiler.Fleet
}

// Observed tells of an engine's report.
type Observed struct {
	Observation Observation
}

// Released tells that another host gives the engine its orders from now on.
type Released struct {
	Endpoint identifier.Endpoint
}

func (Adopted) event()  {}
func (Observed) event() {}
func (Released) event() {}

// Action is what a Machine wants done: Send or Overtaken.
type Action interface{ action() }

// Send gives an engine an order.
type Send struct {
	Order Order
}

// Overtaken reports that an engine has seen a newer revision than that in
// force here; it is for the keeper's Known.
type Overtaken struct {
	Endpoint identifier.Endpoint
	Fence    identifier.Revision
}

func (Send) action()      {}
func (Overtaken) action() {}

// Machine decides on the orders of one host. It does no input or output.
type Machine struct {
	firm    identifier.Firm
	options Options
	fleet   *compiler.Fleet
	engines map[identifier.Endpoint]*engine
}

// engine is what is known of one engine.
type engine struct {
	observed Observation
	// sentFence and sentAt are those of the last order; zero: none.
	sentFence identifier.Revision
	sentAt    time.Time
}

// New gives the machine of a host of the firm.
func New(firm identifier.Firm, o Options) *Machine {
	return &Machine{firm: firm, options: o, engines: map[identifier.Endpoint]*engine{}}
}

// Step tells the machine of an event at time now and gives what is to be done.
func (m *Machine) Step(e Event, now time.Time) []Action {
	switch e := e.(type) {
	case Adopted:
		return m.adopted(e.Fleet, now)
	case Observed:
		return m.observed(e.Observation, now)
	case Released:
		delete(m.engines, e.Endpoint)
	}
	return nil
}

func (m *Machine) adopted(fleet *compiler.Fleet, now time.Time) []Action {
	if m.fleet != nil && fleet.Revision <= m.fleet.Revision {
		return nil
	}
	m.fleet = fleet
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(m.engines)) {
		known := m.engines[name]
		if fleet.Endpoints[name] == nil || now.Sub(known.observed.Time) > m.options.Forget {
			delete(m.engines, name)
			continue
		}
		actions = append(actions, m.decide(name, known, now)...)
	}
	return actions
}

func (m *Machine) observed(o Observation, now time.Time) []Action {
	if m.fleet == nil || m.fleet.Endpoints[o.Endpoint] == nil {
		return nil
	}
	known := m.engines[o.Endpoint]
	if known == nil {
		known = &engine{}
		m.engines[o.Endpoint] = known
	}
	if o.Time.Before(known.observed.Time) {
		return nil
	}
	known.observed = o
	return m.decide(o.Endpoint, known, now)
}

// decide gives the order that is due at an engine, if any.
func (m *Machine) decide(name identifier.Endpoint, known *engine, now time.Time) []Action {
	endpoint := m.fleet.Endpoints[name]
	if !m.commands(endpoint) {
		return nil
	}
	if known.observed.Fence > m.fleet.Revision {
		return []Action{Overtaken{Endpoint: name, Fence: known.observed.Fence}}
	}
	wanted := wantedState(m.fleet.Services[endpoint.Service], endpoint)
	if !m.due(endpoint, known, wanted, now) {
		return nil
	}
	known.sentFence, known.sentAt = m.fleet.Revision, now
	return []Action{Send{Order: Order{
		Endpoint: name,
		Address:  endpoint.Address,
		State:    wanted,
		Fence:    m.fleet.Revision,
		Decided:  now,
	}}}
}

// commands tells whether the host's firm gives the endpoint orders.
func (m *Machine) commands(e *compiler.Endpoint) bool {
	return e.Owner == m.firm && e.Role != compiler.RolePlain && !e.Leaving
}

// due tells whether the engine is to be ordered now.
func (m *Machine) due(e *compiler.Endpoint, known *engine, wanted State, now time.Time) bool {
	if !known.sentAt.IsZero() && known.sentFence == m.fleet.Revision {
		reportedSince := known.observed.Time.After(known.sentAt)
		if !reportedSince || now.Sub(known.sentAt) < m.options.Resend {
			return false
		}
	}
	if !known.observed.State.meets(wanted) {
		return true
	}
	unseen := known.observed.Fence < m.fleet.Revision
	return unseen && (e.ChecksFence || known.sentFence < m.fleet.Revision)
}

// wantedState gives what the declarations say of an engine.
func wantedState(s *compiler.Service, e *compiler.Endpoint) State {
	return State{
		Role:     e.Role,
		Models:   []identifier.Model{s.Model},
		Adapters: sorted(s.Adapters),
		Version:  s.Version,
	}
}

func sorted[T cmp.Ordered](values []T) []T {
	return slices.Sorted(slices.Values(values))
}
