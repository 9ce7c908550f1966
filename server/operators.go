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

// State is the lifecycle state of an entry host.
type State uint8

// Lifecycle states of an entry host, in order.
const (
	StateStarting State = iota
	StateReady
	StateDraining
)

// String returns the state's name in lower case.
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

// EntryHost is the entry host that the operators' API shows and controls.
type EntryHost interface {
	Status() *operatorwire.StatusResponse
	Hosts() []*operatorwire.HostStatus
	Endpoints() []*operatorwire.EndpointStatus
	Burn(now time.Time) []*operatorwire.BurnWindow
	Fleet() *compiler.Fleet
	State() State
	// DrainEndpoint marks an endpoint as leaving at every host.
	DrainEndpoint(e identifier.Endpoint) error
	// Drain starts the planned stop of the host.
	Drain()
}

// Operators serves the operators' API.
type Operators struct {
	host EntryHost
}

// NewOperators returns the operators' API of a host.
func NewOperators(h EntryHost) *Operators {
	return &Operators{host: h}
}

// Handler returns the HTTP handler of the API, of the expvar metrics under
// /debug/vars, and of the health checks /healthz and /readyz. The load balancer
// uses /readyz to decide whether to send requests to this host.
func (s *Operators) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operatorwireconnect.NewOperatorServiceHandler(s))
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", s.handleReady)
	return mux
}

func (s *Operators) handleReady(w http.ResponseWriter, _ *http.Request) {
	state := s.host.State()
	if state != StateReady {
		writeText(w, http.StatusServiceUnavailable, state.String())
		return
	}
	writeText(w, http.StatusOK, state.String())
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // the client may have disconnected
}

// Status implements operatorwireconnect.OperatorServiceHandler.
func (s *Operators) Status(ctx context.Context, _ *connect.Request[operatorwire.StatusRequest]) (*connect.Response[operatorwire.StatusResponse], error) {
	markRequestRead(ctx)
	return connect.NewResponse(s.host.Status()), nil
}

// ListHosts implements operatorwireconnect.OperatorServiceHandler.
func (s *Operators) ListHosts(ctx context.Context, _ *connect.Request[operatorwire.ListHostsRequest]) (*connect.Response[operatorwire.ListHostsResponse], error) {
	markRequestRead(ctx)
	return connect.NewResponse(&operatorwire.ListHostsResponse{Hosts: s.host.Hosts()}), nil
}

// ListEndpoints implements operatorwireconnect.OperatorServiceHandler.
func (s *Operators) ListEndpoints(ctx context.Context, _ *connect.Request[operatorwire.ListEndpointsRequest]) (*connect.Response[operatorwire.ListEndpointsResponse], error) {
	markRequestRead(ctx)
	return connect.NewResponse(&operatorwire.ListEndpointsResponse{Endpoints: s.host.Endpoints()}), nil
}

// Drain implements operatorwireconnect.OperatorServiceHandler.
func (s *Operators) Drain(ctx context.Context, r *connect.Request[operatorwire.DrainRequest]) (*connect.Response[operatorwire.DrainResponse], error) {
	markRequestRead(ctx)
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
	markRequestRead(ctx)
	return connect.NewResponse(&operatorwire.BurnResponse{Windows: s.host.Burn(time.Now())}), nil
}

// GetDeclarations implements operatorwireconnect.OperatorServiceHandler.
func (s *Operators) GetDeclarations(ctx context.Context, _ *connect.Request[operatorwire.GetDeclarationsRequest]) (*connect.Response[operatorwire.GetDeclarationsResponse], error) {
	markRequestRead(ctx)
	f := s.host.Fleet()
	if f == nil {
		return connect.NewResponse(&operatorwire.GetDeclarationsResponse{}), nil
	}
	return connect.NewResponse(&operatorwire.GetDeclarationsResponse{Revision: uint64(f.Revision), Source: f.Source}), nil
}
