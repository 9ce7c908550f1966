package server

import (
	"context"
	"expvar"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/wire/operatorwire"
	"github.com/jackdawthread/jackdawthread/wire/operatorwire/operatorwireconnect"
)

// State is what an entry host is doing as a whole.
type State uint8

// States of an entry host, in their order.
const (
	StateStarting State = iota
	StateReady
	StateDraining
)

// String gives the state in lower case.
func (s State) String() string {
	switch s {
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	default:
		return "starting"
	}
}

// Inspected is the entry host that the operators' interface shows.
type Inspected interface {
	Status() *operatorwire.StatusResponse
	Hosts() []*operatorwire.HostStatus
	Endpoints() []*operatorwire.EndpointStatus
	Burn(now time.Time) []*operatorwire.BurnWindow
	Fleet() *compiler.Fleet
	State() State
	// DrainEndpoint marks an endpoint as leaving, at every host.
	DrainEndpoint(e identifier.Endpoint) error
	// Drain starts the planned stop of the host.
	Drain()
}

// Operators is the operators' interface.
type Operators struct {
	host Inspected
}

// NewOperators gives the operators' interface of a host.
func NewOperators(h Inspected) *Operators {
	return &Operators{host: h}
}

// Handler serves the interface, the metrics of expvar under /debug/vars, and
// /healthz and /readyz, which tells the balancer whether to send callers.
func (s *Operators) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operatorwireconnect.NewOperatorServiceHandler(s))
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { answerText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", s.ready)
	return mux
}

func (s *Operators) ready(w http.ResponseWriter, _ *http.Request) {
	state := s.host.State()
	if state != StateReady {
		answerText(w, http.StatusServiceUnavailable, state.String())
		return
	}
	answerText(w, http.StatusOK, state.String())
}

func answerText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // a reader that is gone needs no answer
}

// Status implements operatorwireconnect.OperatorServiceHandler.
func (s *Operators) Status(ctx context.Context, _ *connect.Request[operatorwire.StatusRequest]) (*connect.Response[operatorwire.StatusResponse], error) {
	begin(ctx)
	return connect.NewResponse(s.host.Status()), nil
}

// ListHosts implements operatorwireconnect.OperatorServiceHandler.
func (s *Operators) ListHosts(ctx context.Context, _ *connect.Request[operatorwire.ListHostsRequest]) (*connect.Response[operatorwire.ListHostsResponse], error) {
	begin(ctx)
	return connect.NewResponse(&operatorwire.ListHostsResponse{Hosts: s.host.Hosts()}), nil
}

// ListEndpoints implements operatorwireconnect.OperatorServiceHandler.
func (s *Operators) ListEndpoints(ctx context.Context, _ *connect.Request[operatorwire.ListEndpointsRequest]) (*connect.Response[operatorwire.ListEndpointsResponse], error) {
	begin(ctx)
	return connect.NewResponse(&operatorwire.ListEndpointsResponse{Endpoints: s.host.Endpoints()}), nil
}

// Drain implements operatorwireconnect.OperatorServiceHandler.
func (s *Operators) Drain(ctx context.Context, r *connect.Request[operatorwire.DrainRequest]) (*connect.Response[operatorwire.DrainResponse], error) {
	begin(ctx)
	if strings.TrimSpace(r.Msg.GetEndpoint()) == "" {
		s.host.Drain()
		return connect.NewResponse(&operatorwire.DrainResponse{}), nil
	}
	if err := s.host.DrainEndpoint(identifier.Endpoint(r.Msg.GetEndpoint())); err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(&operatorwire.DrainResponse{}), nil
}

// Burn implements operatorwireconnect.OperatorServiceHandler.
func (s *Operators) Burn(ctx context.Context, _ *connect.Request[operatorwire.BurnRequest]) (*connect.Response[operatorwire.BurnResponse], error) {
	begin(ctx)
	return connect.NewResponse(&operatorwire.BurnResponse{Windows: s.host.Burn(time.Now())}), nil
}

// GetDeclarations implements operatorwireconnect.OperatorServiceHandler.
func (s *Operators) GetDeclarations(ctx context.Context, _ *connect.Request[operatorwire.GetDeclarationsRequest]) (*connect.Response[operatorwire.GetDeclarationsResponse], error) {
	begin(ctx)
	f := s.host.Fleet()
	if f == nil {
		return connect.NewResponse(&operatorwire.GetDeclarationsResponse{}), nil
	}
	return connect.NewResponse(&operatorwire.GetDeclarationsResponse{Revision: uint64(f.Revision), Source: f.Source}), nil
}
