package emulator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// ephemeralAddress is a loopback address with a port chosen by the operating
// system.
const ephemeralAddress = "127.0.0.1:0"

// SiteSettings configures a Site.
type SiteSettings struct {
	// Fleet declares the endpoints to run.
	Fleet *compiler.Fleet
	// DataCenter restricts the site to one data center; empty means all.
	DataCenter identifier.DataCenter
	// EphemeralPorts ignores the declared addresses and uses ports chosen by the
	// operating system.
	EphemeralPorts bool
	// Engine and Plain are the base settings of the endpoints. The fleet's
	// declarations override them.
	Engine EngineSettings
	Plain  PlainSettings
	// Platform runs on PlatformAddress. If empty, the operating system chooses
	// a port.
	Platform        PlatformSettings
	PlatformAddress string
	// NoPlatform disables the platform.
	NoPlatform bool
	// Weights is the source from which models are loaded. If nil, engines use
	// the weight store of the site's own platform.
	Weights WeightSource
	// Scale divides the durations and multiplies the rates of engines and
	// links; 0 means 1.
	Scale float64
	// Listen opens the endpoints' listeners, and Client connects engines to
	// each other. Both default to TCP.
	Listen Listen
	Client *http.Client
}

// Site runs a fleet's endpoints and a platform in one process, each on its own
// address.
type Site struct {
	// Platform is nil if SiteSettings.NoPlatform is set.
	Platform        *Platform
	PlatformAddress identifier.Address
	Links           *Links

	settings SiteSettings
	ctx      context.Context
	group    *grouper.Group
	client   *http.Client

	mu        sync.Mutex
	endpoints map[identifier.Endpoint]*siteEndpoint
}

// siteEndpoint is a running endpoint. Exactly one of engine and plain is set.
type siteEndpoint struct {
	address identifier.Address
	engine  *Engine
	plain   *Plain
	group   *grouper.Group
}

// stop closes the endpoint's connections and waits for its goroutines to exit.
func (n *siteEndpoint) stop() error {
	n.group.Stop()
	err := n.group.Wait()
	if n.engine != nil {
		n.engine.Close()
	}
	return err
}

// StartSite starts a site that runs until ctx is canceled or the group stops.
func StartSite(ctx context.Context, g *grouper.Group, s SiteSettings) (*Site, error) {
	setDefault(&s.Scale, 1)
	if s.Listen == nil {
		s.Listen = listenTCP
	}
	if s.Client == nil {
		s.Client = NewHTTPClient()
	}
	t := &Site{
		Links:     NewLinks(s.Fleet.Links, s.Scale),
		settings:  s,
		ctx:       ctx,
		group:     g,
		client:    s.Client,
		endpoints: make(map[identifier.Endpoint]*siteEndpoint),
	}
	if err := t.startPlatform(); err != nil {
		return nil, err
	}
	for _, e := range t.declaredEndpoints() {
		if err := t.startEndpoint(e, t.listenAddress(e)); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// declaredEndpoints returns the endpoints of the site's data centers, sorted by
// name.
func (t *Site) declaredEndpoints() []*compiler.Endpoint {
	var found []*compiler.Endpoint
	for _, name := range slices.Sorted(maps.Keys(t.settings.Fleet.Endpoints)) {
		e := t.settings.Fleet.Endpoints[name]
		if t.settings.DataCenter == "" || e.DataCenter == t.settings.DataCenter {
			found = append(found, e)
		}
	}
	return found
}

func (t *Site) startPlatform() (err error) {
	if t.settings.NoPlatform {
		return nil
	}
	address := t.settings.PlatformAddress
	setDefault(&address, ephemeralAddress)
	t.Platform = NewPlatform(t.settings.Platform)
	t.PlatformAddress, err = serveOn(t.ctx, t.group, t.settings.Listen, address, t.Platform.Handler())
	return err
}

func (t *Site) listenAddress(e *compiler.Endpoint) string {
	if t.settings.EphemeralPorts || e.Address == "" {
		return ephemeralAddress
	}
	return string(e.Address)
}

// startEndpoint starts one endpoint.
func (t *Site) startEndpoint(e *compiler.Endpoint, address string) error {
	n := &siteEndpoint{group: grouper.New(t.ctx), plain: t.Plain(e.Name)}
	handler := t.newHandler(n, e)
	bound, err := serveOn(n.group.Context(), n.group, t.settings.Listen, address, handler)
	if err != nil {
		return errors.Join(err, n.stop())
	}
	n.address = bound
	t.group.Go(func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-n.group.Context().Done():
		}
		return n.stop()
	})
	t.mu.Lock()
	t.endpoints[e.Name] = n
	t.mu.Unlock()
	t.publishHost(e, bound)
	return nil
}

// newHandler creates the engine or plain service of n and returns its handler.
// A restarted plain service keeps its record of executions.
func (t *Site) newHandler(n *siteEndpoint, e *compiler.Endpoint) http.Handler {
	if e.Role != compiler.RolePlain {
		n.engine = NewEngine(n.group.Context(), t.engineSettings(e), t.engineDeps())
		return n.engine.Handler()
	}
	if n.plain == nil {
		n.plain = NewPlain(t.plainSettings(e))
	}
	return n.plain.Handler()
}

func (t *Site) engineDeps() EngineDeps {
	d := EngineDeps{Links: t.Links, Client: t.client, Weights: t.settings.Weights}
	if d.Weights == nil && t.Platform != nil {
		d.Weights = NewWeightSource(t.client, t.PlatformAddress)
	}
	return d
}

func (t *Site) engineSettings(e *compiler.Endpoint) EngineSettings {
	s := t.settings.Engine
	s.Name, s.DataCenter, s.Role = e.Name, e.DataCenter, e.Role
	s.Slots, s.Pieces, s.TokensPerPiece = e.Slots, int(e.Pieces), int(e.TokensPerPiece)
	s.ChecksFence, s.Leaving = e.ChecksFence, e.Leaving
	s.Scale = t.settings.Scale
	if service, ok := t.settings.Fleet.Services[e.Service]; ok {
		s.Model, s.Version = service.Model, service.Version
	}
	return s
}

func (t *Site) plainSettings(e *compiler.Endpoint) PlainSettings {
	s := t.settings.Plain
	s.Name, s.Leaving, s.Concurrency = e.Name, e.Leaving, e.Slots
	return s
}

func (t *Site) publishHost(e *compiler.Endpoint, address identifier.Address) {
	if t.Platform != nil {
		t.Platform.SetHost(EndpointHost(e, address))
	}
}

// Addresses returns the addresses of the running endpoints.
func (t *Site) Addresses() map[identifier.Endpoint]identifier.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := make(map[identifier.Endpoint]identifier.Address, len(t.endpoints))
	for name, n := range t.endpoints {
		addresses[name] = n.address
	}
	return addresses
}

// Engine returns a running engine, or nil.
func (t *Site) Engine(name identifier.Endpoint) *Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n, ok := t.endpoints[name]; ok {
		return n.engine
	}
	return nil
}

// Plain returns a running instance of a plain service, or nil.
func (t *Site) Plain(name identifier.Endpoint) *Plain {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n, ok := t.endpoints[name]; ok {
		return n.plain
	}
	return nil
}

// Engines returns the running engines, sorted by name.
func (t *Site) Engines() []*Engine {
	var found []*Engine
	for _, e := range t.declaredEndpoints() {
		if n := t.Engine(e.Name); n != nil {
			found = append(found, n)
		}
	}
	return found
}

// Plains returns the running instances of plain services, sorted by name.
func (t *Site) Plains() []*Plain {
	var found []*Plain
	for _, e := range t.declaredEndpoints() {
		if n := t.Plain(e.Name); n != nil {
			found = append(found, n)
		}
	}
	return found
}

// Kill stops an endpoint like a crash: its connections are closed and its state
// is lost.
func (t *Site) Kill(name identifier.Endpoint) error {
	t.mu.Lock()
	n, ok := t.endpoints[name]
	t.mu.Unlock()
	if !ok {
		return fmt.Errorf("endpoint %q is not running", name)
	}
	return n.stop()
}

// Restart starts a killed endpoint with empty state on its previous address. A
// plain service keeps its record of executions.
func (t *Site) Restart(name identifier.Endpoint) error {
	t.mu.Lock()
	n, ok := t.endpoints[name]
	t.mu.Unlock()
	if !ok {
		return fmt.Errorf("endpoint %q was never started", name)
	}
	if err := n.stop(); err != nil {
		return err
	}
	return t.startEndpoint(t.settings.Fleet.Endpoints[name], string(n.address))
}
