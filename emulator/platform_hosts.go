package emulator

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/wire/platformwire"
)

// Kinds of hosts in the host list.
const (
	HostKindEntry    = "entry"
	HostKindEndpoint = "endpoint"
)

// EndpointHost returns the host list entry of an endpoint that listens on an
// address.
func EndpointHost(e *compiler.Endpoint, address identifier.Address) *platformwire.Host {
	state := platformwire.HostState_HOST_STATE_LIVE
	if e.Leaving {
		state = platformwire.HostState_HOST_STATE_LEAVING
	}
	return &platformwire.Host{
		Name:       string(e.Name),
		Address:    string(address),
		DataCenter: string(e.DataCenter),
		State:      state,
		Kind:       HostKindEndpoint,
	}
}

// SetHosts replaces the host list. Readers see the change after HostLag.
func (p *Platform) SetHosts(hosts []*platformwire.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addHosts(hosts)
}

// SetHost adds or replaces one host. Readers see the change after HostLag.
func (p *Platform) SetHost(h *platformwire.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := p.newestHosts()
	i := slices.IndexFunc(hosts, func(o *platformwire.Host) bool { return o.GetName() == h.GetName() })
	if i < 0 {
		p.addHosts(append(hosts, h))
		return
	}
	hosts[i] = h
	p.addHosts(hosts)
}

// RemoveHost removes a host from the list. Readers see the change after
// HostLag.
func (p *Platform) RemoveHost(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := p.newestHosts()
	p.addHosts(slices.DeleteFunc(hosts, func(o *platformwire.Host) bool { return o.GetName() == name }))
}

// newestHosts returns a copy of the newest list. The caller must hold p.mu.
func (p *Platform) newestHosts() []*platformwire.Host {
	if len(p.hosts) == 0 {
		return nil
	}
	return slices.Clone(p.hosts[len(p.hosts)-1].hosts)
}

// addHosts appends a host list and discards the lists that are no longer
// visible to any reader. The caller must hold p.mu.
func (p *Platform) addHosts(hosts []*platformwire.Host) {
	now := time.Now()
	copied := make([]*platformwire.Host, len(hosts))
	for i, h := range hosts {
		copied[i] = proto.CloneOf(h)
	}
	p.hosts = append(p.hosts, hostList{copied, now.Add(p.settings.HostLag)})
	for len(p.hosts) > 1 && !p.hosts[1].visibleAt.After(now) {
		p.hosts = p.hosts[1:]
	}
}

// ListHosts returns the host list, delayed by HostLag.
func (p *Platform) ListHosts(context.Context, *connect.Request[platformwire.ListHostsRequest]) (*connect.Response[platformwire.ListHostsResponse], error) {
	if err := p.admitCall(&p.hostLists); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	m := &platformwire.ListHostsResponse{}
	now := time.Now()
	for _, l := range slices.Backward(p.hosts) {
		if !l.visibleAt.After(now) {
			m.Hosts = l.hosts
			break
		}
	}
	return connect.NewResponse(m), nil
}
