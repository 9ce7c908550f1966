package dispatcher

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// plainPicker balances calls to plain services by the power of two random choices:
// of two random instances it picks the one with fewer calls in flight from this
// host. It uses another data center only if the host's own has no instance.
type plainPicker struct {
	dataCenter identifier.DataCenter
	inFlight   sync.Map // identifier.Endpoint -> *atomic.Int64
}

func newPlainPicker(dc identifier.DataCenter) *plainPicker {
	return &plainPicker{dataCenter: dc}
}

// pick returns an instance and a function to call when the call has ended. It
// returns nil if no instance accepts work.
func (p *plainPicker) pick(s *compiler.Service, leaving func(identifier.Endpoint) bool, exclude []identifier.Endpoint) (*compiler.Endpoint, func()) {
	near, far := p.candidates(s, leaving, exclude)
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil, nil
	}
	e := p.lessLoaded(near[rand.IntN(len(near))], near[rand.IntN(len(near))])
	n := p.inFlightCalls(e)
	n.Add(1)
	return e, func() { n.Add(-1) }
}

func (p *plainPicker) candidates(s *compiler.Service, leaving func(identifier.Endpoint) bool, exclude []identifier.Endpoint) (near, far []*compiler.Endpoint) {
	for _, e := range s.Endpoints {
		if e.Leaving || leaving(e.Name) || slices.Contains(exclude, e.Name) {
			continue
		}
		if e.DataCenter == p.dataCenter {
			near = append(near, e)
		} else {
			far = append(far, e)
		}
	}
	return near, far
}

func (p *plainPicker) lessLoaded(a, b *compiler.Endpoint) *compiler.Endpoint {
	if p.inFlightCalls(b).Load() < p.inFlightCalls(a).Load() {
		return b
	}
	return a
}

func (p *plainPicker) inFlightCalls(e *compiler.Endpoint) *atomic.Int64 {
	if n, ok := p.inFlight.Load(e.Name); ok {
		return n.(*atomic.Int64)
	}
	n, _ := p.inFlight.LoadOrStore(e.Name, new(atomic.Int64))
	return n.(*atomic.Int64)
}
