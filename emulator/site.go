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

// anyPort is the address of an endpoint whose port the system picks.
const anyPort = "127.0.0.1:0"

// SiteSettings says what a site runs.
type SiteSettings struct {
	// Fleet whose endpoints run.
	Fleet *compiler.Fleet
	// DataCenter whose endpoints run; empty: all.
	DataCenter identifier.DataCenter
	// AnyPorts ignores the declared addresses and lets the system pick.
	AnyPorts bool
	// Engine and Plain are the endpoints' settings, but for what the fleet
	// declares.
	Engine EngineSettings
	Plain  PlainSettings
	// Platform runs at PlatformAddress; empty: at a port that the system
	// picks.
	Platform        PlatformSettings
	PlatformAddress string
	// NoPlatform leaves the platform out.
	NoPlatform bool
	// Weights that models are loaded from; nil: the site's own platform's.
	Weights WeightSource
	// Scale divides the times and multiplies the rates of engines and
	// links; 0: 1.
	Scale float64
	// Listen opens the endpoints' listeners, and Client connects engines to
	// each other; nil: TCP.
	Listen Listen
	Client *http.Client
}

// Site runs a fleet's endpoints and a platform in one process, each at an
// address of its own.
type Site struct {
	// Platform is nil if it was left out.
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

// siteEndpoint is one running endpoint; engine or plain is nil.
type siteEndpoint struct {
	address identifier.Address
	engine  *Engine
	plain   *Plain
	group   *grouper.Group
}

// stop cuts the endpoint's connections and waits until it is gone.
func (n *siteEndpoint) stop() error {
	n.group.Stop()
	err := n.group.Wait()
	if n.engine != nil {
		n.engine.Close()
	}
	return err
}

// StartSite starts a site; it runs until ctx ends or the group stops.
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
	for _, e := range t.declared() {
		if err := t.start(e, t.listenAddress(e)); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// declared lists the endpoints of the site's data centres, sorted by name.
func (t *Site) declared() []*compiler.Endpoint {
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
	setDefault(&address, anyPort)
	t.Platform = NewPlatform(t.settings.Platform)
	t.PlatformAddress, err = serveOn(t.ctx, t.group, t.settings.Listen, address, t.Platform.Handler())
	return err
}

func (t *Site) listenAddress(e *compiler.Endpoint) string {
	if t.settings.AnyPorts || e.Address == "" {
		return anyPort
	}
	return string(e.Address)
}

// start runs one endpoint.
func (t *Site) start(e *compiler.Endpoint, address string) error {
	n := &siteEndpoint{group: grouper.New(t.ctx), plain: t.Plain(e.Name)}
	handler := t.create(n, e)
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
	t.tellPlatform(e, bound)
	return nil
}

// create makes the engine or the plain service of n. A restarted plain service
// goes on with its record of executions.
func (t *Site) create(n *siteEndpoint, e *compiler.Endpoint) http.Handler {
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

func (t *Site) tellPlatform(e *compiler.Endpoint, address identifier.Address) {
	if t.Platform != nil {
		t.Platform.SetHost(EndpointHost(e, address))
	}
}

// Addresses gives where the endpoints are reached.
func (t *Site) Addresses() map[identifier.Endpoint]identifier.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := make(map[identifier.Endpoint]identifier.Address, len(t.endpoints))
	for name, n := range t.endpoints {
		addresses[name] = n.address
	}
	return addresses
}

// Engine gives a running engine, or nil.
func (t *Site) Engine(name identifier.Endpoint) *Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n, ok := t.endpoints[name]; ok {
		return n.engine
	}
	return nil
}

// Plain gives a running instance of a plain service, or nil.
func (t *Site) Plain(name identifier.Endpoint) *Plain {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n, ok := t.endpoints[name]; ok {
		return n.plain
	}
	return nil
}

// Engines lists the running engines, sorted by name.
func (t *Site) Engines() []*Engine {
	var found []*Engine
	for _, e := range t.declared() {
		if n := t.Engine(e.Name); n != nil {
			found = append(found, n)
		}
	}
	return found
}

// Plains lists the running instances of plain services, sorted by name.
func (t *Site) Plains() []*Plain {
	var found []*Plain
	for _, e := range t.declared() {
		if n := t.Plain(e.Name); n != nil {
			found = append(found, n)
		}
	}
	return found
}

// Kill ends an endpoint at once: its connections are cut, what it holds is
// lost.
func (t *Site) Kill(name identifier.Endpoint) error {
	t.mu.Lock()
	n, ok := t.endpoints[name]
	t.mu.Unlock()
	if !ok {
		return fmt.Errorf("endpoint %q does not run", name)
	}
	return n.stop()
}

// Restart starts a killed endpoint afresh at its address.
func (t *Site) Restart(name identifier.Endpoint) error {
	t.mu.Lock()
	n, ok := t.endpoints[name]
	t.mu.Unlock()
	if !ok {
		return fmt.Errorf("endpoint %q never ran", name)
	}
	if err := n.stop(); err != nil {
		return err
	}
	return t.start(t.settings.Fleet.Endpoints[name], string(n.address))
}
