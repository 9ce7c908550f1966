// Package assembler runs a whole system in one process, over loopback or an
// in-process network: an emulated platform and endpoints, and entry hosts in each
// data center. The demo and the tests of the system's promises use it.
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

// Options configures a System.
type Options struct {
	// Source is the declarations file. Its endpoint addresses are replaced by
	// free ports.
	Source             []byte
	HostsPerDataCenter int
	// Engine, Plain and Scale configure the emulated endpoints; see emulator.
	Engine emulator.EngineSettings
	Plain  emulator.PlainSettings
	Scale  float64
	// MemoryNetwork runs the system on an in-process network instead of
	// loopback. System.Faults sets the network's faults.
	MemoryNetwork bool
	// Seed determines the random choices of the network's faults.
	Seed uint64
	// Settings changes a host's settings before it starts; it may be nil.
	Settings func(*settings.Settings)
	// LaunchOptions changes a host's launch options before it starts; it may be
	// nil.
	LaunchOptions func(identifier.Host, *launcher.Options)
	Log           *zap.Logger
}

// System is a running system. It is not safe for concurrent use, but its hosts
// are.
type System struct {
	options       Options
	group         *grouper.Group
	memoryNetwork *faulter.MemoryNetwork // nil on loopback
	// Faults sets the faults of the in-process network; nil on loopback.
	Faults      *faulter.Network
	Site        *emulator.Site
	Fleet       *compiler.Fleet
	hosts       map[identifier.Host]*launcher.Host
	startOrder  []identifier.Host
	dataCenters map[identifier.Host]identifier.DataCenter
	seeds       []identifier.Address
}

// Start starts the emulated platform and endpoints and then the entry hosts.
func Start(ctx context.Context, o Options) (*System, error) {
	s := &System{
		options:     o,
		group:       grouper.New(ctx),
		hosts:       make(map[identifier.Host]*launcher.Host),
		dataCenters: make(map[identifier.Host]identifier.DataCenter),
	}
	if o.MemoryNetwork {
		s.memoryNetwork = faulter.NewMemoryNetwork()
		s.Faults = faulter.NewWithDialer(s.memoryNetwork.Dial, o.Seed, s.group)
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
	if s.memoryNetwork != nil {
		site.Listen = s.memoryNetwork.Listen
		site.Client = httpClient(s.memoryNetwork.Dial)
	}
	if s.Site, err = emulator.StartSite(s.group.Context(), s.group, site); err != nil {
		return err
	}
	source, err := ReplaceEndpointAddresses(s.options.Source, declared, s.Site.Addresses())
	if err != nil {
		return err
	}
	if s.Fleet, err = compiler.FromBytes("declarations", source, 1); err != nil {
		return err
	}
	if err := s.Publish(source); err != nil {
		return err
	}
	s.registerEmulators()
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

// StartHost starts an entry host, or restarts one that has stopped.
func (s *System) StartHost(name identifier.Host, dc identifier.DataCenter) (*launcher.Host, error) {
	o := launcher.Options{Log: s.options.Log}
	if s.memoryNetwork != nil {
		s.useMemoryNetwork(name, &o)
	}
	if s.options.LaunchOptions != nil {
		s.options.LaunchOptions(name, &o)
	}
	h, err := launcher.Start(s.group.Context(), s.hostSettings(name, dc), o)
	if err != nil {
		return nil, eris.Wrapf(err, "failed to start host %q", name)
	}
	if _, ok := s.hosts[name]; !ok {
		s.startOrder = append(s.startOrder, name)
	}
	s.registerHost(name, h.Addresses())
	s.hosts[name] = h
	s.dataCenters[name] = dc
	s.seeds = append(s.seeds, h.Addresses().Peers)
	return h, nil
}

func (s *System) hostSettings(name identifier.Host, dc identifier.DataCenter) *settings.Settings {
	hostSettings := settings.Default()
	hostSettings.Host = name
	hostSettings.Firm = s.Fleet.Firm
	hostSettings.DataCenter = dc
	hostSettings.Seeds = slices.Clone(s.seeds)
	hostSettings.Listeners = settings.Listeners{Callers: loopback, Peers: loopback, Operators: loopback}
	hostSettings.Platform.Address = s.Site.PlatformAddress
	hostSettings.Drain.Announce = 0
	if s.options.Settings != nil {
		s.options.Settings(hostSettings)
	}
	return hostSettings
}

// DataCenter returns the data center of an entry host.
func (s *System) DataCenter(name identifier.Host) identifier.DataCenter {
	return s.dataCenters[name]
}

// Host returns the entry host with a name, or nil if there is none.
func (s *System) Host(name identifier.Host) *launcher.Host {
	return s.hosts[name]
}

// Hosts returns the names of the entry hosts in the order of their first start.
func (s *System) Hosts() []identifier.Host {
	return s.startOrder
}

// CallerAddresses returns the caller listener addresses of all entry hosts, in the
// order of Hosts. Hosts that were killed or stopped are included.
func (s *System) CallerAddresses() []identifier.Address {
	var all []identifier.Address
	for _, name := range s.startOrder {
		all = append(all, s.hosts[name].Addresses().Callers)
	}
	return all
}

// WaitReady waits until every host is ready and knows every other one.
func (s *System) WaitReady(ctx context.Context) error {
	for {
		if s.allReady() {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "entry hosts did not become ready")
		case <-time.After(readyPollPeriod):
		}
	}
}

func (s *System) allReady() bool {
	for _, h := range s.hosts {
		if h.State() != server.StateReady || len(h.Hosts()) < len(s.hosts) {
			return false
		}
	}
	return true
}

// Close kills the hosts and stops the emulators.
func (s *System) Close() {
	for _, h := range s.hosts {
		h.Kill()
	}
	s.group.Stop()
	_ = s.group.Wait() // errors are expected, since the hosts were killed
}
