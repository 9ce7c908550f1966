package emulator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/platformwire"
	"github.com/jackdawthread/jackdawthread/wire/platformwire/platformwireconnect"
)

const (
	// KeyDeclarations is the key under which the declarations are kept.
	KeyDeclarations = "declarations"
	// MaxValueBytes bounds a value of the configuration service.
	MaxValueBytes = 1 << 20
)

// PlatformSettings says how fast the platform is. Zero fields take the values
// of DefaultPlatformSettings, but for those that say otherwise.
type PlatformSettings struct {
	// ReadsPerSecond bounds the calls of all readers together.
	ReadsPerSecond float64
	// HostLag delays changes of the host list; zero means none.
	HostLag time.Duration
	// WeightBytes is the size of a model's weights, WeightRate what the
	// weight store gives all its readers together, in bytes a second.
	WeightBytes int
	WeightRate  float64
	// FirstRevision is that of the first value set; 0: 1.
	FirstRevision identifier.Revision
}

// DefaultPlatformSettings gives the platform of today.
func DefaultPlatformSettings() PlatformSettings {
	return PlatformSettings{
		ReadsPerSecond: 2000,
		WeightBytes:    1 << 20,
		WeightRate:     1 << 20,
		FirstRevision:  1,
	}
}

// PlatformCalls counts the calls that reached the platform, those refused
// included; a waiting watch counts as one.
type PlatformCalls struct {
	Gets, Watches, HostLists, WeightFetches uint64
	// Refused calls came while the platform was down or over its rate.
	Refused uint64
}

// version is a value with its revision.
type version struct {
	revision identifier.Revision
	value    []byte
}

// hostList is a host list with the time from which it is told.
type hostList struct {
	hosts   []*platformwire.Host
	visible time.Time
}

// Platform is the configuration service, the host list and the weight store.
// Its protocol only reads; the process that owns it sets values.
type Platform struct {
	settings PlatformSettings
	limiter  *rate.Limiter
	weights  *rate.Limiter

	gets, watches, hostLists, fetches, refused atomic.Uint64

	mu       sync.Mutex
	down     bool
	stale    identifier.Revision // highest revision told; 0: the newest
	versions map[string][]version
	hosts    []hostList
	change   chan struct{} // closed at the next change
}

var (
	_ platformwireconnect.PlatformServiceHandler    = (*Platform)(nil)
	_ platformwireconnect.WeightStoreServiceHandler = (*Platform)(nil)
)

// NewPlatform gives a platform without values and hosts.
func NewPlatform(s PlatformSettings) *Platform {
	d := DefaultPlatformSettings()
	setDefault(&s.ReadsPerSecond, d.ReadsPerSecond)
	setDefault(&s.WeightBytes, d.WeightBytes)
	setDefault(&s.WeightRate, d.WeightRate)
	setDefault(&s.FirstRevision, d.FirstRevision)
	return &Platform{
		settings: s,
		limiter:  rate.NewLimiter(rate.Limit(s.ReadsPerSecond), max(1, int(s.ReadsPerSecond/10))),
		weights:  rate.NewLimiter(rate.Limit(s.WeightRate), weightBlockBytes),
		versions: make(map[string][]version),
		change:   make(chan struct{}),
	}
}

// Handler serves the platform over HTTP.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformwireconnect.NewPlatformServiceHandler(p, handlerOptions()))
	mux.Handle(platformwireconnect.NewWeightStoreServiceHandler(p, handlerOptions()))
	return mux
}

// SetDeclarations publishes declarations under the next revision.
func (p *Platform) SetDeclarations(value []byte) (identifier.Revision, error) {
	return p.SetValue(KeyDeclarations, value)
}

// SetValue publishes a value under the key's next revision.
func (p *Platform) SetValue(key string, value []byte) (identifier.Revision, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("value of key %q has %d bytes, limit is %d", key, len(value), MaxValueBytes)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	next := p.settings.FirstRevision
	if old := p.versions[key]; len(old) > 0 {
		next = old[len(old)-1].revision + 1
	}
	p.versions[key] = append(p.versions[key], version{next, slices.Clone(value)})
	p.announce()
	return next, nil
}

// SetDown makes all calls fail, those that wait included, or succeed again.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.announce()
}

// SetStale makes the service tell no revision above the one given; 0 ends it.
func (p *Platform) SetStale(r identifier.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = r
	p.announce()
}

// Calls gives the counts of calls.
func (p *Platform) Calls() PlatformCalls {
	return PlatformCalls{
		Gets:          p.gets.Load(),
		Watches:       p.watches.Load(),
		HostLists:     p.hostLists.Load(),
		WeightFetches: p.fetches.Load(),
		Refused:       p.refused.Load(),
	}
}

// announce wakes all watches. The mutex is held.
func (p *Platform) announce() {
	close(p.change)
	p.change = make(chan struct{})
}

// begin counts a call and refuses it while the platform is down or over its
// rate.
func (p *Platform) begin(counter *atomic.Uint64) error {
	counter.Add(1)
	p.mu.Lock()
	down := p.down
	p.mu.Unlock()
	if down {
		p.refused.Add(1)
		return errDown()
	}
	if !p.limiter.Allow() {
		p.refused.Add(1)
		return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("more than %v reads a second", p.settings.ReadsPerSecond))
	}
	return nil
}

func errDown() error {
	return connect.NewError(connect.CodeUnavailable, errors.New("platform is down"))
}

// read gives a key's newest version that may be told, whether the platform is
// down, and a channel that is closed by the next change.
func (p *Platform) read(key string) (v version, down bool, change <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range slices.Backward(p.versions[key]) {
		if p.stale == 0 || o.revision <= p.stale {
			v = o
			break
		}
	}
	return v, p.down, p.change
}

// Get gives a key's value.
func (p *Platform) Get(_ context.Context, r *connect.Request[platformwire.GetRequest]) (*connect.Response[platformwire.GetResponse], error) {
	if err := p.begin(&p.gets); err != nil {
		return nil, err
	}
	v, _, _ := p.read(r.Msg.GetKey())
	if v.revision == 0 {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("key %q does not exist", r.Msg.GetKey()))
	}
	return connect.NewResponse(&platformwire.GetResponse{Value: v.value, Revision: uint64(v.revision)}), nil
}

// Watch waits until a key has a revision above the one given.
func (p *Platform) Watch(ctx context.Context, r *connect.Request[platformwire.WatchRequest]) (*connect.Response[platformwire.WatchResponse], error) {
	if err := p.begin(&p.watches); err != nil {
		return nil, err
	}
	alarm := time.NewTimer(time.Duration(r.Msg.GetWaitMs()) * time.Millisecond)
	defer alarm.Stop()
	for {
		v, down, change := p.read(r.Msg.GetKey())
		if down {
			p.refused.Add(1)
			return nil, errDown()
		}
		if uint64(v.revision) > r.Msg.GetAfterRevision() {
			return connect.NewResponse(&platformwire.WatchResponse{Changed: true, Value: v.value, Revision: uint64(v.revision)}), nil
		}
		select {
		case <-change:
		case <-alarm.C:
			return connect.NewResponse(&platformwire.WatchResponse{Revision: uint64(v.revision)}), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
