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

// PlainSettings says what an instance of a plain service is.
type PlainSettings struct {
	Name identifier.Endpoint
	// Latency of a call.
	Latency time.Duration
	// Concurrency bounds the calls that run at once; 0: no bound.
	Concurrency int
	// Leaving instances refuse calls.
	Leaving bool
	// Seed drives the faults.
	Seed uint64
}

// PlainFaults are what goes wrong at a plain service, each as the share of
// calls between 0 and 1.
type PlainFaults struct {
	// Refuse answers with a RefusalDetail before the call runs.
	Refuse float64
	// ResetBefore cuts the connection before the call runs.
	ResetBefore float64
	// ResetAfter cuts the connection after the call ran.
	ResetAfter float64
	// Slow is added to the latency of each call.
	Slow time.Duration
}

// Execution is one run of a plain call.
type Execution struct {
	Key     string
	Attempt identifier.Attempt
	Service identifier.Service
	At      time.Time
}

// Plain is an instance of a plain service; it records each call that it runs.
// It implements enginewireconnect.PlainServiceHandler.
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

// NewPlain gives an instance of a plain service.
func NewPlain(s PlainSettings) *Plain {
	p := &Plain{settings: s, random: rand.New(rand.NewPCG(s.Seed, 0))}
	p.faults.Store(&PlainFaults{})
	p.leaving.Store(s.Leaving)
	return p
}

// Name gives the instance's name.
func (p *Plain) Name() identifier.Endpoint {
	return p.settings.Name
}

// Handler serves the instance over HTTP.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(enginewireconnect.NewPlainServiceHandler(p, handlerOptions()))
	return mux
}

// SetFaults replaces the instance's faults.
func (p *Plain) SetFaults(f PlainFaults) {
	p.faults.Store(&f)
}

// SetLeaving makes the instance refuse calls, or take them again.
func (p *Plain) SetLeaving(leaving bool) {
	p.leaving.Store(leaving)
}

// Confirmation is what a plain service answers to a payload.
func Confirmation(service string, payload []byte) []byte {
	return fmt.Appendf(nil, "%s %016x", service, xxhash.Sum64(payload))
}

// Invoke runs a call. A caller that goes away does not undo it.
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

// InvokeDirect is Invoke without a connection; where a connection would be
// cut it gives an error without a RefusalDetail.
func (p *Plain) InvokeDirect(ctx context.Context, m *enginewire.InvokeRequest) (*enginewire.InvokeResponse, error) {
	f := p.faults.Load()
	if err := p.admit(f); err != nil {
		return nil, err
	}
	defer p.leave()
	if p.happens(f.ResetBefore) {
		return nil, errReset
	}
	p.execute(m)
	if err := sleeper.Sleep(ctx, p.settings.Latency+f.Slow); err != nil {
		return nil, err
	}
	if p.happens(f.ResetAfter) {
		return nil, errReset
	}
	return &enginewire.InvokeResponse{Payload: Confirmation(m.GetService(), m.GetPayload())}, nil
}

func (p *Plain) admit(f *PlainFaults) error {
	refuse := p.happens(f.Refuse)
	p.mu.Lock()
	defer p.mu.Unlock()
	full := p.settings.Concurrency > 0 && p.running >= p.settings.Concurrency
	switch {
	case p.leaving.Load():
		p.refused++
		return refusalError(RefusalLeaving, "instance %q is leaving", p.settings.Name)
	case full || refuse:
		p.refused++
		return refusalError(RefusalSlotsFull, "instance %q takes no more calls", p.settings.Name)
	}
	p.running++
	return nil
}

func (p *Plain) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

func (p *Plain) happens(share float64) bool {
	if share <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < share
}

func (p *Plain) execute(m *enginewire.InvokeRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.executions = append(p.executions, Execution{
		Key:     m.GetKey(),
		Attempt: attemptOf(m.GetAttempt()),
		Service: identifier.Service(m.GetService()),
		At:      time.Now(),
	})
}

// Recorded lists what ran, in order.
func (p *Plain) Recorded() []Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.executions)
}

// Refused counts the calls that were refused before they ran.
func (p *Plain) Refused() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// Executions lists what ran, in order.
func (p *Plain) Executions(context.Context, *connect.Request[enginewire.ExecutionsRequest]) (*connect.Response[enginewire.ExecutionsResponse], error) {
	m := &enginewire.ExecutionsResponse{}
	for _, x := range p.Recorded() {
		m.Executions = append(m.Executions, &enginewire.Execution{
			Key:     x.Key,
			Attempt: wireAttempt(x.Attempt),
			Service: string(x.Service),
		})
	}
	return connect.NewResponse(m), nil
}
