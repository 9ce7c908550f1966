package watcher_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/archiver"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/keeper"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/timer"
	"github.com/jackdawthread/jackdawthread/watcher"
	"github.com/jackdawthread/jackdawthread/wire/platformwire"
)

var errUnreachable = errors.New("host is unreachable")

// platform is a fake of the platform services.
type platform struct {
	watches   atomic.Int64
	hostLists atomic.Int64

	mu            sync.Mutex
	down          bool
	staleRevision identifier.Revision // newest revision served; 0: no limit
	files         [][]byte            // indexed by revision-1
	change        chan struct{}
}

func newPlatform() *platform {
	return &platform{change: make(chan struct{})}
}

// set calls f with the mutex held and wakes all pending watches.
func (p *platform) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.change)
	p.change = make(chan struct{})
}

func (p *platform) publish(source []byte) identifier.Revision {
	p.set(func() { p.files = append(p.files, source) })
	return identifier.Revision(len(p.files))
}

func (p *platform) read() (r identifier.Revision, source []byte, down bool, change chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r = identifier.Revision(len(p.files))
	if p.staleRevision > 0 {
		r = min(r, p.staleRevision)
	}
	if r > 0 {
		source = p.files[r-1]
	}
	return r, source, p.down, p.change
}

func (p *platform) Watch(ctx context.Context, request *connect.Request[platformwire.WatchRequest]) (*connect.Response[platformwire.WatchResponse], error) {
	p.watches.Add(1)
	wait := time.NewTimer(time.Duration(request.Msg.GetWaitMs()) * time.Millisecond)
	defer wait.Stop()
	for {
		revision, source, down, change := p.read()
		if down {
			return nil, errUnreachable
		}
		if uint64(revision) > request.Msg.GetAfterRevision() {
			return connect.NewResponse(&platformwire.WatchResponse{Changed: true, Value: source, Revision: uint64(revision)}), nil
		}
		select {
		case <-change:
		case <-wait.C:
			return connect.NewResponse(&platformwire.WatchResponse{}), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (p *platform) ListHosts(context.Context, *connect.Request[platformwire.ListHostsRequest]) (*connect.Response[platformwire.ListHostsResponse], error) {
	p.hostLists.Add(1)
	if _, _, down, _ := p.read(); down {
		return nil, errUnreachable
	}
	return connect.NewResponse(&platformwire.ListHostsResponse{}), nil
}

// cluster runs a firm's entry hosts in one process.
type cluster struct {
	seed               uint64
	platform           *platform
	fence              atomic.Uint64 // highest fence the engines have seen; 0: unreachable
	bytes              atomic.Int64  // of requests and responses between hosts
	fetches            atomic.Int64
	corruptPatches     atomic.Bool  // removes patches from responses between hosts
	isolatedDataCenter atomic.Int64 // number of the partitioned data center; -1: none

	nodes []*node
}

// node is an entry host across its restarts.
type node struct {
	cluster *cluster
	name    identifier.Host
	number  int
	current atomic.Pointer[incarnation] // nil while stopped
}

// incarnation holds the state of a node between a start and a stop.
type incarnation struct {
	group   *grouper.Group
	keeper  *keeper.Keeper
	archive *archiver.Archive
	adopted []identifier.Revision // revisions that came into force, in order
	started time.Time
}

const (
	dataCenters          = 3
	readersPerDataCenter = 2
	// gossipDelay is the time after its start at which a host discovers its
	// peers.
	gossipDelay = 500 * time.Millisecond
)

func newCluster(hosts int, seed uint64) *cluster {
	c := &cluster{seed: seed, platform: newPlatform()}
	c.isolatedDataCenter.Store(-1)
	for n := range hosts {
		c.nodes = append(c.nodes, &node{cluster: c, name: identifier.Host(fmt.Sprintf("entry-%d", n)), number: n})
	}
	for _, n := range c.nodes {
		n.start()
	}
	return c
}

func (c *cluster) stop() {
	for _, n := range c.nodes {
		n.stop()
	}
}

// start starts the node with empty state.
func (n *node) start() {
	inc := &incarnation{
		group:   grouper.New(context.Background()),
		archive: archiver.New(),
		started: time.Now(),
		keeper:  keeper.New(keeper.DefaultOptions(), time.Now()),
	}
	inc.keeper.Subscribe(func(_, next *compiler.Fleet) { inc.adopted = append(inc.adopted, next.Revision) })
	n.current.Store(inc)
	options := watcher.DefaultOptions()
	options.Seed = n.cluster.seed<<32 + uint64(n.number)
	watcher.Start(watcher.Dependencies{
		Keeper: inc.keeper, Archive: inc.archive, Platform: (*service)(n), Readers: n, Peers: n, Fences: n,
		OnHostList: func([]*platformwire.Host) {},
		Timers:     timer.New(inc.group), Group: inc.group, Log: zap.NewNop(),
	}, options)
}

func (n *node) stop() {
	inc := n.current.Swap(nil)
	inc.group.Stop()
	_ = inc.group.Wait()
}

// status returns the keeper status of the running node.
func (n *node) status() keeper.Status { return n.current.Load().keeper.Status() }

func (n *node) dataCenter() int { return n.number % dataCenters }

// isolated reports whether the node's data center is partitioned from the
// others and from the platform.
func (n *node) isolated() bool { return int64(n.dataCenter()) == n.cluster.isolatedDataCenter.Load() }

// peer is a running node that another node can reach.
type peer struct {
	*node
	*incarnation
}

// peers returns the running nodes that n can reach.
func (n *node) peers() []peer {
	var peers []peer
	for _, o := range n.cluster.nodes {
		inc := o.current.Load()
		separated := o.dataCenter() != n.dataCenter() && (o.isolated() || n.isolated())
		if o != n && inc != nil && !separated {
			peers = append(peers, peer{node: o, incarnation: inc})
		}
	}
	return peers
}

func (n *node) IsReader() bool {
	before := 0
	for _, o := range n.peers() {
		if o.dataCenter() == n.dataCenter() && o.number < n.number {
			before++
		}
	}
	return before < readersPerDataCenter
}

func (n *node) Revisions() []watcher.PeerRevision {
	var revisions []watcher.PeerRevision
	if inc := n.current.Load(); inc == nil || time.Since(inc.started) < gossipDelay {
		return nil
	}
	for _, o := range n.peers() {
		revisions = append(revisions, watcher.PeerRevision{Host: o.name, Revision: o.keeper.Status().Revision})
	}
	return revisions
}

// Fetch encodes and decodes the request and the response like a connection does.
func (n *node) Fetch(_ context.Context, host identifier.Host, message *peerwire.DeclarationsRequest) (*peerwire.Declarations, error) {
	peers := n.peers()
	i := slices.IndexFunc(peers, func(o peer) bool { return o.name == host })
	if i < 0 {
		return nil, errUnreachable
	}
	request, err := message.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	encoded, err := peers[i].archive.Answer(message).MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	n.cluster.fetches.Add(1)
	n.cluster.bytes.Add(int64(len(request) + len(encoded)))
	response := &peerwire.Declarations{}
	_, err = response.UnmarshalMsg(encoded)
	if n.cluster.corruptPatches.Load() && len(response.Steps) > 0 {
		response.Steps[0].Patch = nil
	}
	return response, err
}

func (n *node) HighestFence(context.Context, *compiler.Fleet) (identifier.Revision, bool) {
	fence := n.cluster.fence.Load()
	return identifier.Revision(fence), fence > 0
}

// service is a node's connection to the platform.
type service node

func (s *service) Watch(ctx context.Context, r *connect.Request[platformwire.WatchRequest]) (*connect.Response[platformwire.WatchResponse], error) {
	if (*node)(s).isolated() {
		return nil, errUnreachable
	}
	response, err := s.cluster.platform.Watch(ctx, r)
	if (*node)(s).isolated() {
		return nil, errUnreachable
	}
	return response, err
}

func (s *service) ListHosts(ctx context.Context, r *connect.Request[platformwire.ListHostsRequest]) (*connect.Response[platformwire.ListHostsResponse], error) {
	if (*node)(s).isolated() {
		return nil, errUnreachable
	}
	return s.cluster.platform.ListHosts(ctx, r)
}
