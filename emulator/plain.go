package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

// PlainSettings configures an instance of a plain service.
type PlainSettings struct {
	Name identifier.Endpoint
	// Latency is the duration of a call.
	Latency time.Duration
	// Concurrency bounds the number of concurrent calls; 0 means unlimited.
	Concurrency int
	// Leaving instances refuse calls.
	Leaving bool
	// Seed initializes the random generator that selects faulty calls.
	Seed uint64
}

// PlainFaults configures the faults of a plain service. Shares are fractions of
// calls between 0 and 1.
type PlainFaults struct {
	// Refuse is the share of calls refused with a RefusalDetail before they
	// run.
	Refuse float64
	// ResetBefore is the share of calls whose connection is reset before they
	// run.
	ResetBefore float64
	// ResetAfter is the share of calls whose connection is reset after they
	// ran.
	ResetAfter float64
	// Slow is added to the latency of each call.
	Slow time.Duration
}

// Execution records one execution of a plain call.
type Execution struct {
	Key     string
	Attempt identifier.Attempt
	Service identifier.Service
	At      time.Time
}

// Plain emulates an instance of a plain service and records every call that it
// executes. It implements enginewireconnect.PlainServiceHandler.
type Plain struct {
	settings PlainSettings
	faults   atomic.Pointer[PlainFaults]
	leaving  atomic.Bool

	mu         sync.Mutex
	random     *rand.Rand
	running    int
	refused    int
	executions []Execution
}

var _ enginewireconnect.PlainServiceHandler = (*Plain)(nil)

// NewPlain creates an instance of a plain service.
func NewPlain(s PlainSettings) *Plain {
	p := &Plain{settings: s, random: rand.New(rand.NewPCG(s.Seed, 0))}
	p.faults.Store(&PlainFaults{})
	p.leaving.Store(s.Leaving)
	return p
}

// Name returns the instance's name.
func (p *Plain) Name() identifier.Endpoint {
	return p.settings.Name
}

// Handler returns the HTTP handler of the instance's RPC service.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(enginewireconnect.NewPlainServiceHandler(p, handlerOptions()))
	return mux
}

// SetFaults replaces the instance's faults.
func (p *Plain) SetFaults(f PlainFaults) {
	p.faults.Store(&f)
}

// SetLeaving sets whether the instance refuses calls.
func (p *Plain) SetLeaving(leaving bool) {
	p.leaving.Store(leaving)
}

// Confirmation returns the response of a plain service to a payload.
func Confirmation(service string, payload []byte) []byte {
	return fmt.Appendf(nil, "%s %016x", service, xxhash.Sum64(payload))
}

// Invoke runs a call. A call that was executed is not undone if its caller
// disconnects.
func (p *Plain) Invoke(ctx context.Context, r *connect.Request[enginewire.InvokeRequest]) (*connect.Response[enginewire.InvokeResponse], error) {
	answer, err := p.InvokeDirect(ctx, r.Msg)
	if errors.Is(err, errReset) {
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(answer), nil
}

// InvokeDirect is Invoke without a connection. Where Invoke would reset the
// connection, it returns an error without a RefusalDetail.
func (p *Plain) InvokeDirect(ctx context.Context, m *enginewire.InvokeRequest) (*enginewire.InvokeResponse, error) {
	f := p.faults.Load()
	if err := p.admit(f); err != nil {
		return nil, err
	}
	defer p.endCall()
	if p.drawFault(f.ResetBefore) {
		return nil, errReset
	}
	p.recordExecution(m)
	if err := sleeper.Sleep(ctx, p.settings.Latency+f.Slow); err != nil {
		return nil, err
	}
	if p.drawFault(f.ResetAfter) {
		return nil, errReset
	}
	return &enginewire.InvokeResponse{Payload: Confirmation(m.GetService(), m.GetPayload())}, nil
}

func (p *Plain) admit(f *PlainFaults) error {
	refuse := p.drawFault(f.Refuse)
	p.mu.Lock()
	defer p.mu.Unlock()
	full := p.settings.Concurrency > 0 && p.running >= p.settings.Concurrency
	switch {
	case p.leaving.Load():
		p.refused++
		return refusalError(RefusalLeaving, "instance %q is leaving", p.settings.Name)
	case full || refuse:
		p.refused++
		return refusalError(RefusalSlotsFull, "instance %q accepts no more calls", p.settings.Name)
	}
	p.running++
	return nil
}

func (p *Plain) endCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

func (p *Plain) drawFault(share float64) bool {
	if share <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < share
}

func (p *Plain) recordExecution(m *enginewire.InvokeRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.executions = append(p.executions, Execution{
		Key:     m.GetKey(),
		Attempt: attemptFromWire(m.GetAttempt()),
		Service: identifier.Service(m.GetService()),
		At:      time.Now(),
	})
}

// RecordedExecutions returns the executed calls in order of execution.
func (p *Plain) RecordedExecutions() []Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.executions)
}

// Refused returns the number of calls refused before they ran.
func (p *Plain) Refused() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// Executions returns the executed calls in order of execution.
func (p *Plain) Executions(context.Context, *connect.Request[enginewire.ExecutionsRequest]) (*connect.Response[enginewire.ExecutionsResponse], error) {
	m := &enginewire.ExecutionsResponse{}
	for _, x := range p.RecordedExecutions() {
		m.Executions = append(m.Executions, &enginewire.Execution{
			Key:     x.Key,
			Attempt: attemptToWire(x.Attempt),
			Service: string(x.Service),
		})
	}
	return connect.NewResponse(m), nil
}
