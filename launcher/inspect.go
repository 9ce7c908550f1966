package launcher

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/coordinator"
	"github.com/jackdawthread/jackdawthread/server"
	"github.com/jackdawthread/jackdawthread/wire/operatorwire"
)

// Version is the program version, set at build time.
var Version = "development"

// Status implements server.Inspected.
func (h *Host) Status() *operatorwire.StatusResponse {
	s := &operatorwire.StatusResponse{
		Host:            string(h.settings.Host),
		Incarnation:     uint64(h.incarnation),
		DataCenter:      string(h.settings.DataCenter),
		State:           h.State().String(),
		RunningRequests: uint32(max(h.dispatcher.Running(), 0)),
		QueuedRequests:  uint32(h.coordinator.Waiting()),
		UptimeMs:        uint64(time.Since(h.started).Milliseconds()),
		Version:         Version,
	}
	if f := h.Fleet(); f != nil {
		s.Revision = uint64(f.Revision)
	}
	declarations := h.config.keeper.Status()
	s.Declarations = string(declarations.Phase)
	s.KnownRevision = uint64(declarations.Known)
	s.CandidateRevision = uint64(declarations.Candidate)
	if r := declarations.Refusal; r != nil {
		s.RefusedRevision, s.Refused = uint64(r.Revision), r.Err.Error()
	}
	return s
}

// Hosts implements server.Inspected.
func (h *Host) Hosts() []*operatorwire.HostStatus {
	var hosts []*operatorwire.HostStatus
	for _, m := range h.gossiper.View().Members() {
		hosts = append(hosts, &operatorwire.HostStatus{
			Host:        string(m.Host),
			Incarnation: uint64(m.Incarnation),
			DataCenter:  string(m.DataCenter),
			Address:     string(m.Address),
			State:       m.State.String(),
			Revision:    uint64(m.Revision),
		})
	}
	return hosts
}

// Endpoints implements server.Inspected.
func (h *Host) Endpoints() []*operatorwire.EndpointStatus {
	f := h.Fleet()
	if f == nil {
		return nil
	}
	view := h.gossiper.View()
	statuses := make([]*operatorwire.EndpointStatus, 0, len(f.Endpoints))
	for _, e := range f.Endpoints {
		s := h.endpoints.status(e, view.Leaving(e.Name))
		k := coordinator.Key{Service: e.Service, DataCenter: e.DataCenter}
		if owner, ok := view.Owner(k.DataCenter, k.Hash()); ok {
			s.Allocator = string(owner.Host)
		}
		statuses = append(statuses, s)
	}
	slices.SortFunc(statuses, func(a, b *operatorwire.EndpointStatus) int { return strings.Compare(a.GetEndpoint(), b.GetEndpoint()) })
	return statuses
}

// Fleet implements server.Inspected.
func (h *Host) Fleet() *compiler.Fleet {
	return h.config.fleet()
}

// State implements server.Inspected.
func (h *Host) State() server.State {
	return server.State(h.state.Load())
}

func (h *Host) setState(s server.State) {
	h.state.Store(uint32(s))
}

// DrainEndpoint implements server.Inspected.
func (h *Host) DrainEndpoint(e identifier.Endpoint) error {
	f := h.Fleet()
	if f == nil || f.Endpoints[e] == nil {
		return fmt.Errorf("endpoint %q is not declared", e)
	}
	h.gossiper.MarkLeaving(e, f.Revision)
	return nil
}

// Drain implements server.Inspected.
func (h *Host) Drain() {
	if h.drainRequested.CompareAndSwap(false, true) {
		close(h.draining)
	}
}
