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
	// KeyDeclarations is the configuration key of the declarations.
	KeyDeclarations = "declarations"
	// MaxValueBytes is the maximum size of a value in the configuration
	// service.
	MaxValueBytes = 1 << 20
)

// PlatformSettings configures the rates and delays of the platform. Zero fields
// take the values of DefaultPlatformSettings unless documented otherwise.
type PlatformSettings struct {
	// ReadsPerSecond limits the combined call rate of all readers.
	ReadsPerSecond float64
	// HostLag delays changes to the host list; zero means no delay.
	HostLag time.Duration
	// WeightBytes is the size of a model's weights. WeightRate is the rate of
	// the weight store in bytes per second, shared by all readers.
	WeightBytes int
	WeightRate  float64
	// FirstRevision is the revision of the first value set for a key; 0 means
	// 1.
	FirstRevision identifier.Revision
}

// DefaultPlatformSettings returns the parameters of the current platform.
func DefaultPlatformSettings() PlatformSettings {
	return PlatformSettings{
		ReadsPerSecond: 2000,
		WeightBytes:    1 << 20,
		WeightRate:     1 << 20,
		FirstRevision:  1,
	}
}

// PlatformCalls counts the calls that reached the platform, including refused
// ones. A long-polling watch counts as one call.
type PlatformCalls struct {
	Gets, Watches, HostLists, WeightFetches uint64
	// Refused counts the calls made while the platform was down or over its
	// rate limit.
	Refused uint64
}

// valueVersion is a value with its revision.
type valueVersion struct {
	revision identifier.Revision
	value    []byte
}

// hostList is a host list with the time from which readers can see it.
type hostList struct {
	hosts     []*platformwire.Host
	visibleAt time.Time
}

// Platform emulates the configuration service, the host list and the weight
// store. Its protocol is read-only; values are set by the process that owns it.
type Platform struct {
	settings      PlatformSettings
	limiter       *rate.Limiter
	weightLimiter *rate.Limiter

	gets, watches, hostLists, weightFetches, refused atomic.Uint64

	mu          sync.Mutex
	down        bool
	maxRevision identifier.Revision // highest revision returned to readers; 0 means the newest
	versions    map[string][]valueVersion
	hosts       []hostList
	changed     chan struct{} // closed at the next change
}

var (
	_ platformwireconnect.PlatformServiceHandler    = (*Platform)(nil)
	_ platformwireconnect.WeightStoreServiceHandler = (*Platform)(nil)
)

// NewPlatform creates a platform without values and hosts.
func NewPlatform(s PlatformSettings) *Platform {
	d := DefaultPlatformSettings()
	setDefault(&s.ReadsPerSecond, d.ReadsPerSecond)
	setDefault(&s.WeightBytes, d.WeightBytes)
	setDefault(&s.WeightRate, d.WeightRate)
	setDefault(&s.FirstRevision, d.FirstRevision)
	return &Platform{
		settings:      s,
		limiter:       rate.NewLimiter(rate.Limit(s.ReadsPerSecond), max(1, int(s.ReadsPerSecond/10))),
		weightLimiter: rate.NewLimiter(rate.Limit(s.WeightRate), weightBlockBytes),
		versions:      make(map[string][]valueVersion),
		changed:       make(chan struct{}),
	}
}

// Handler returns the HTTP handler of the platform's RPC services.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(platformwireconnect.NewPlatformServiceHandler(p, handlerOptions()))
	mux.Handle(platformwireconnect.NewWeightStoreServiceHandler(p, handlerOptions()))
	return mux
}

// SetDeclarations publishes declarations with the next revision.
func (p *Platform) SetDeclarations(value []byte) (identifier.Revision, error) {
	return p.SetValue(KeyDeclarations, value)
}

// SetValue publishes a value with the key's next revision.
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
	p.versions[key] = append(p.versions[key], valueVersion{next, slices.Clone(value)})
	p.wakeWatchers()
	return next, nil
}

// SetDown makes all calls fail, including pending watches, or ends the outage.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	p.wakeWatchers()
}

// SetMaxRevision makes the service return no revision above r; 0 ends it.
func (p *Platform) SetMaxRevision(r identifier.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxRevision = r
	p.wakeWatchers()
}

// Calls returns the call counters.
func (p *Platform) Calls() PlatformCalls {
	return PlatformCalls{
		Gets:          p.gets.Load(),
		Watches:       p.watches.Load(),
		HostLists:     p.hostLists.Load(),
		WeightFetches: p.weightFetches.Load(),
		Refused:       p.refused.Load(),
	}
}

// wakeWatchers wakes all pending watches. The caller must hold p.mu.
func (p *Platform) wakeWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// admitCall counts a call and refuses it while the platform is down or over its
// rate limit.
func (p *Platform) admitCall(counter *atomic.Uint64) error {
	counter.Add(1)
	p.mu.Lock()
	down := p.down
	p.mu.Unlock()
	if down {
		p.refused.Add(1)
		return downError()
	}
	if !p.limiter.Allow() {
		p.refused.Add(1)
		return connect.NewError(connect.CodeResourceExhausted, fmt.Errorf("rate limit of %v reads per second exceeded", p.settings.ReadsPerSecond))
	}
	return nil
}

func downError() error {
	return connect.NewError(connect.CodeUnavailable, errors.New("platform is down"))
}

// newestValue returns the newest version of a key that readers may see, whether
// the platform is down, and a channel that is closed at the next change.
func (p *Platform) newestValue(key string) (v valueVersion, down bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range slices.Backward(p.versions[key]) {
		if p.maxRevision == 0 || o.revision <= p.maxRevision {
			v = o
			break
		}
	}
	return v, p.down, p.changed
}

// Get returns the value of a key.
func (p *Platform) Get(_ context.Context, r *connect.Request[platformwire.GetRequest]) (*connect.Response[platformwire.GetResponse], error) {
	if err := p.admitCall(&p.gets); err != nil {
		return nil, err
	}
	v, _, _ := p.newestValue(r.Msg.GetKey())
	if v.revision == 0 {
		return nil, connect.NewError(connect.CodeNotFound, fmt.Errorf("key %q does not exist", r.Msg.GetKey()))
	}
	return connect.NewResponse(&platformwire.GetResponse{Value: v.value, Revision: uint64(v.revision)}), nil
}

// Watch waits until the revision of a key exceeds the given one.
func (p *Platform) Watch(ctx context.Context, r *connect.Request[platformwire.WatchRequest]) (*connect.Response[platformwire.WatchResponse], error) {
	if err := p.admitCall(&p.watches); err != nil {
		return nil, err
	}
	waitTimer := time.NewTimer(time.Duration(r.Msg.GetWaitMs()) * time.Millisecond)
	defer waitTimer.Stop()
	for {
		v, down, changed := p.newestValue(r.Msg.GetKey())
		if down {
			p.refused.Add(1)
			return nil, downError()
		}
		if uint64(v.revision) > r.Msg.GetAfterRevision() {
			return connect.NewResponse(&platformwire.WatchResponse{Changed: true, Value: v.value, Revision: uint64(v.revision)}), nil
		}
		select {
		case <-changed:
		case <-waitTimer.C:
			return connect.NewResponse(&platformwire.WatchResponse{Revision: uint64(v.revision)}), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
