// Package assembler runs a whole system in one process over loopback: the
// stand-ins of a fleet and entry hosts in each data centre. The demo and the
// tests of promises use it.
//
// # Usage
//
//	s, err := assembler.Start(ctx, assembler.Options{Source: source, HostsPerDataCenter: 2, Log: log})
//	defer s.Close()
//	err = s.WaitReady(ctx)
//	s.Host("tw-north-1-a").Kill()
package assembler

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/faulter"
	"github.com/jackdawthread/jackdawthread/launcher"
	"github.com/jackdawthread/jackdawthread/server"
	"github.com/jackdawthread/jackdawthread/settings"
)

const (
	readyPollPeriod = 10 * time.Millisecond
	loopback        = "127.0.0.1:0"
)

// Options of a System.
type Options struct {
	// Source is the declarations file; its addresses are replaced by free
	// ports.
	Source             []byte
	HostsPerDataCenter int
	// Engine and Scale are the stand-ins' settings; see emulator.
	Engine emulator.EngineSettings
	Plain  emulator.PlainSettings
	Scale  float64
	// Memory runs the system on a network inside the process, whose faults
	// System.Faults sets, instead of on loopback.
	Memory bool
	// Seed decides the random choices of the network's faults.
	Seed uint64
	// Settings changes a host's settings before it starts; it may be nil.
	Settings func(*settings.Settings)
	// Launch changes a host's options before it starts; it may be nil.
	Launch func(identifier.Host, *launcher.Options)
	Log    *zap.Logger
}

// System is a running system. It is not safe for concurrent use, but its
// hosts are.
type System struct {
	options Options
	group   *grouper.Group
	memory  *faulter.Memory // nil: loopback
	// Faults of the network inside the process; nil on loopback.
	Faults *faulter.Network
	Site   *emulator.Site
	Fleet  *compiler.Fleet
	hosts  map[identifier.Host]*launcher.Host
	names  []identifier.Host
	places map[identifier.Host]identifier.DataCenter
	seeds  []identifier.Address
}

// Start starts the stand-ins and then the entry hosts.
func Start(ctx context.Context, o Options) (*System, error) {
	s := &System{
		options: o,
		group:   grouper.New(ctx),
		hosts:   make(map[identifier.Host]*launcher.Host),
		places:  make(map[identifier.Host]identifier.DataCenter),
	}
	if o.Memory {
		s.memory = faulter.NewMemory()
		s.Faults = faulter.NewOver(s.memory.Dial, o.Seed, s.group)
	}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *System) start() error {
	declared, err := compiler.FromBytes("declarations", s.options.Source, 1)
	if err != nil {
		return err
	}
	site := emulator.SiteSettings{
		Fleet:          declared,
		EphemeralPorts: true,
		Engine:         s.options.Engine,
		Plain:          s.options.Plain,
		Scale:          s.options.Scale,
	}
	if s.memory != nil {
		site.Listen = s.memory.Listen
		site.Client = httpClient(s.memory.Dial)
	}
	if s.Site, err = emulator.StartSite(s.group.Context(), s.group, site); err != nil {
		return err
	}
	source, err := Readdress(s.options.Source, declared, s.Site.Addresses())
	if err != nil {
		return err
	}
	if s.Fleet, err = compiler.FromBytes("declarations", source, 1); err != nil {
		return err
	}
	if err := s.Publish(source); err != nil {
		return err
	}
	s.registerSite()
	return s.startHosts()
}

// Publish sets the declarations at the platform.
func (s *System) Publish(source []byte) error {
	_, err := s.Site.Platform.SetDeclarations(source)
	return err
}

func (s *System) startHosts() error {
	for _, dc := range sortedDataCenters(s.Fleet) {
		for i := range s.options.HostsPerDataCenter {
			name := identifier.Host(fmt.Sprintf("%s-%c", dc, 'a'+i))
			if _, err := s.StartHost(name, dc); err != nil {
				return err
			}
		}
	}
	return nil
}

func sortedDataCenters(f *compiler.Fleet) []identifier.DataCenter {
	var all []identifier.DataCenter
	for dc := range f.DataCenters {
		all = append(all, dc)
	}
	slices.Sort(all)
	return all
}

// StartHost starts an entry host, also in place of a stopped one.
func (s *System) StartHost(name identifier.Host, dc identifier.DataCenter) (*launcher.Host, error) {
	o := launcher.Options{Log: s.options.Log}
	if s.memory != nil {
		s.joinMemory(name, &o)
	}
	if s.options.Launch != nil {
		s.options.Launch(name, &o)
	}
	h, err := launcher.Start(s.group.Context(), s.settings(name, dc), o)
	if err != nil {
		return nil, eris.Wrapf(err, "host %q did not start", name)
	}
	if _, ok := s.hosts[name]; !ok {
		s.names = append(s.names, name)
	}
	s.register(name, h.Addresses())
	s.hosts[name] = h
	s.places[name] = dc
	s.seeds = append(s.seeds, h.Addresses().Peers)
	return h, nil
}

func (s *System) settings(name identifier.Host, dc identifier.DataCenter) *settings.Settings {
	v := settings.Default()
	v.Host = name
	v.Firm = s.Fleet.Firm
	v.DataCenter = dc
	v.Seeds = slices.Clone(s.seeds)
	v.Listeners = settings.Listeners{Callers: loopback, Peers: loopback, Operators: loopback}
	v.Platform.Address = s.Site.PlatformAddress
	v.Drain.Announce = 0
	if s.options.Settings != nil {
		s.options.Settings(v)
	}
	return v
}

// DataCenter gives the data centre of an entry host.
func (s *System) DataCenter(name identifier.Host) identifier.DataCenter {
	return s.places[name]
}

// Host gives an entry host by name; nil if there is none.
func (s *System) Host(name identifier.Host) *launcher.Host {
	return s.hosts[name]
}

// Hosts gives the names of the entry hosts, in the order of their first start.
func (s *System) Hosts() []identifier.Host {
	return s.names
}

// Callers gives the callers' addresses of all entry hosts that were started.
func (s *System) Callers() []identifier.Address {
	var all []identifier.Address
	for _, name := range s.names {
		all = append(all, s.hosts[name].Addresses().Callers)
	}
	return all
}

// WaitReady waits until every host serves and sees every other one.
func (s *System) WaitReady(ctx context.Context) error {
	for {
		if s.ready() {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "entry hosts did not become ready")
		case <-time.After(readyPollPeriod):
		}
	}
}

func (s *System) ready() bool {
	for _, h := range s.hosts {
		if h.State() != server.StateReady || len(h.Hosts()) < len(s.hosts) {
			return false
		}
	}
	return true
}

// Close kills what still runs.
func (s *System) Close() {
	for _, h := range s.hosts {
		h.Kill()
	}
	s.group.Stop()
	_ = s.group.Wait() // the parts were cut off on purpose
}
