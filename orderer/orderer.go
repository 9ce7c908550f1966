// Package orderer decides which orders (role, models, adapters, version) to send
// to model engines. Orders are level-triggered: an engine is sent the declared
// state whenever its report differs from the declarations in force, and also if
// it has not seen their revision yet.
//
// An order's fencing number is the revision that it is derived from, so two hosts
// never send different orders with the same number. An engine that checks fencing
// numbers refuses orders from a host with an older revision. At an engine that
// doesn't check them, a late order stays in effect until the next report reveals
// it and a correcting order is sent. A host sends no orders to an engine that
// reports a higher fencing number than the host's own revision.
//
// # Usage
//
//	m := orderer.New("tamsui", orderer.DefaultOptions())
//	actions := m.Step(orderer.Adopted{Fleet: fleet}, now)
//	actions = m.Step(orderer.Observed{Observation: orderer.Observe(report, now)}, now)
//
// The caller must check [Order.Fresh] right before it sends an order, since its
// process may have been paused. Only the host that allocates an engine's slots
// observes the engine and sends it orders. When another host takes over, the
// caller can report Released; otherwise Options.MaxReportAge prevents orders
// based on outdated reports.
package orderer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// Options configures a Machine.
type Options struct {
	// ResendAfter is the time after which an order that had no effect is resent.
	ResendAfter time.Duration
	// MaxReportAge is the age of a report above which an engine gets no order until
	// it reports again, since another host may have taken it over by then.
	MaxReportAge time.Duration
}

// DefaultOptions returns the options used when nothing is configured.
func DefaultOptions() Options {
	return Options{ResendAfter: 10 * time.Second, MaxReportAge: 10 * time.Second}
}

// maxOrderAge is the age at which a decided order may no longer be sent.
const maxOrderAge = 500 * time.Millisecond

// State is the reported or desired state of an engine.
type State struct {
	Role     compiler.Role
	Models   []identifier.Model // sorted
	Adapters []string           // sorted
	Version  string
}

// satisfies reports whether s matches the desired state. A desired state without
// a version accepts any version.
func (s State) satisfies(desired State) bool {
	version := desired.Version == "" || s.Version == desired.Version
	return version && s.Role == desired.Role &&
		slices.Equal(s.Models, desired.Models) && slices.Equal(s.Adapters, desired.Adapters)
}

// Observation is an engine's report.
type Observation struct {
	Endpoint identifier.Endpoint
	State    State
	// Fence is the highest fencing number that the engine has recorded; 0: none.
	Fence identifier.Revision
	// Time is when the reported state was current.
	Time time.Time
}

// Order tells an engine to change to a state.
type Order struct {
	Endpoint identifier.Endpoint
	Address  identifier.Address
	State    State
	Fence    identifier.Revision
	// DecidedAt is when the order was decided; see Fresh.
	DecidedAt time.Time
}

// Fresh reports whether the order may still be sent at time now, when the fleet
// current is in force.
func (o Order) Fresh(current *compiler.Fleet, now time.Time) bool {
	age := now.Sub(o.DecidedAt)
	return current != nil && current.Revision == o.Fence && age >= 0 && age < maxOrderAge
}

// Event is an input of Machine: Adopted, Observed or Released.
type Event interface{ event() }

// Adopted reports that a fleet came into force.
type Adopted struct {
	Fleet *compiler.Fleet
}

// Observed passes on an engine's report.
type Observed struct {
	Observation Observation
}

// Released reports that another host is responsible for the engine from now on.
type Released struct {
	Endpoint identifier.Endpoint
}

func (Adopted) event()  {}
func (Observed) event() {}
func (Released) event() {}

// Action is an output of Machine: Send or Overtaken.
type Action interface{ action() }

// Send requests that an order be sent to an engine.
type Send struct {
	Order Order
}

// Superseded reports that an engine has seen a newer revision than the one in
// force on this host. The caller passes the revision to the keeper as
// RevisionSeen.
type Superseded struct {
	Endpoint identifier.Endpoint
	Fence    identifier.Revision
}

func (Send) action()       {}
func (Superseded) action() {}

// Machine decides which orders one host sends. It performs no I/O.
type Machine struct {
	firm    identifier.Firm
	options Options
	fleet   *compiler.Fleet
	engines map[identifier.Endpoint]*engineState
}

// engineState holds the last report of an engine and the last order sent to it.
type engineState struct {
	observed Observation
	// sentFence and sentAt are the fencing number and time of the last order;
	// zero: none.
	sentFence identifier.Revision
	sentAt    time.Time
}

// New returns the Machine of a host that belongs to the firm.
func New(firm identifier.Firm, o Options) *Machine {
	return &Machine{firm: firm, options: o, engines: map[identifier.Endpoint]*engineState{}}
}

// Step processes an event at time now and returns the resulting actions.
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
		state := m.engines[name]
		if fleet.Endpoints[name] == nil || now.Sub(state.observed.Time) > m.options.MaxReportAge {
			delete(m.engines, name)
			continue
		}
		actions = append(actions, m.decide(name, state, now)...)
	}
	return actions
}

func (m *Machine) observed(o Observation, now time.Time) []Action {
	if m.fleet == nil || m.fleet.Endpoints[o.Endpoint] == nil {
		return nil
	}
	state := m.engines[o.Endpoint]
	if state == nil {
		state = &engineState{}
		m.engines[o.Endpoint] = state
	}
	if o.Time.Before(state.observed.Time) {
		return nil
	}
	state.observed = o
	return m.decide(o.Endpoint, state, now)
}

// decide returns the action required for an engine, if any.
func (m *Machine) decide(name identifier.Endpoint, state *engineState, now time.Time) []Action {
	endpoint := m.fleet.Endpoints[name]
	if !m.controls(endpoint) {
		return nil
	}
	if state.observed.Fence > m.fleet.Revision {
		return []Action{Superseded{Endpoint: name, Fence: state.observed.Fence}}
	}
	desired := desiredState(m.fleet.Services[endpoint.Service], endpoint)
	if !m.orderDue(endpoint, state, desired, now) {
		return nil
	}
	state.sentFence, state.sentAt = m.fleet.Revision, now
	return []Action{Send{Order: Order{
		Endpoint:  name,
		Address:   endpoint.Address,
		State:     desired,
		Fence:     m.fleet.Revision,
		DecidedAt: now,
	}}}
}

// controls reports whether the host's firm sends orders to the endpoint.
func (m *Machine) controls(e *compiler.Endpoint) bool {
	return e.Owner == m.firm && e.Role != compiler.RolePlain && !e.Leaving
}

// orderDue reports whether an order must be sent to the engine now.
func (m *Machine) orderDue(e *compiler.Endpoint, state *engineState, desired State, now time.Time) bool {
	if !state.sentAt.IsZero() && state.sentFence == m.fleet.Revision {
		reportedSince := state.observed.Time.After(state.sentAt)
		if !reportedSince || now.Sub(state.sentAt) < m.options.ResendAfter {
			return false
		}
	}
	if !state.observed.State.satisfies(desired) {
		return true
	}
	unseen := state.observed.Fence < m.fleet.Revision
	return unseen && (e.ChecksFence || state.sentFence < m.fleet.Revision)
}

// desiredState returns the declared state of an engine.
func desiredState(s *compiler.Service, e *compiler.Endpoint) State {
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
