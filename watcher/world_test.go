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

var errCut = errors.New("connection is cut")

// platform is a fake of the platform's services.
type platform struct {
	watches   atomic.Int64
	hostLists atomic.Int64

	mu     sync.Mutex
	down   bool
	stale  identifier.Revision // newest revision told; 0: all
	files  [][]byte            // by revision-1
	change chan struct{}
}

func newPlatform() *platform {
	return &platform{change: make(chan struct{})}
}

// set changes the platform under its mutex and wakes the watches.
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
	if p.stale > 0 {
		r = min(r, p.stale)
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
			return nil, errCut
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
		return nil, errCut
	}
	return connect.NewResponse(&platformwire.ListHostsResponse{}), nil
}

// world is a firm's entry hosts in one process.
type world struct {
	seed     uint64
	platform *platform
	fence    atomic.Uint64 // what the engines remember; 0: they can't be reached
	bytes    atomic.Int64  // of questions and answers between hosts
	fetches  atomic.Int64
	spoilt   atomic.Bool  // steps between hosts are damaged
	cut      atomic.Int64 // number of the data center that is cut off; -1: none

	nodes []*node
}

// node is an entry host over its incarnations.
type node struct {
	world  *world
	name   identifier.Host
	number int
	life   atomic.Pointer[life] // nil: not running
}

// life is what one incarnation of a node has.
type life struct {
	group   *grouper.Group
	keeper  *keeper.Keeper
	archive *archiver.Archive
	seen    []identifier.Revision // that came into force, in order
	started time.Time
}

const (
	dataCenters = 3
	readers     = 2
	// gossipDelay is the time until a host that has started knows of peers.
	gossipDelay = 500 * time.Millisecond
)

func newWorld(hosts int, seed uint64) *world {
	w := &world{seed: seed, platform: newPlatform()}
	w.cut.Store(-1)
	for n := range hosts {
		w.nodes = append(w.nodes, &node{world: w, name: identifier.Host(fmt.Sprintf("entry-%d", n)), number: n})
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func (w *world) stop() {
	for _, n := range w.nodes {
		n.stop()
	}
}

// start gives the node a fresh incarnation.
func (n *node) start() {
	l := &life{
		group:   grouper.New(context.Background()),
		archive: archiver.New(),
		started: time.Now(),
		keeper:  keeper.New(keeper.DefaultOptions(), time.Now()),
	}
	l.keeper.Subscribe(func(_, next *compiler.Fleet) { l.seen = append(l.seen, next.Revision) })
	n.life.Store(l)
	options := watcher.DefaultOptions()
	options.Seed = n.world.seed<<32 + uint64(n.number)
	watcher.Start(watcher.Dependencies{
		Keeper: l.keeper, Archive: l.archive, Platform: (*service)(n), Readers: n, Peers: n, Fences: n,
		HostList: func([]*platformwire.Host) {},
		Timers:   timer.New(l.group), Group: l.group, Log: zap.NewNop(),
	}, options)
}

func (n *node) stop() {
	l := n.life.Swap(nil)
	l.group.Stop()
	_ = l.group.Wait()
}

// status is that of the running node's keeper.
func (n *node) status() keeper.Status { return n.life.Load().keeper.Status() }

func (n *node) dataCenter() int { return n.number % dataCenters }

// isolated tells whether the node's data center is cut off.
func (n *node) isolated() bool { return int64(n.dataCenter()) == n.world.cut.Load() }

// peer is a running node that another reaches.
type peer struct {
	*node
	*life
}

// peers gives the running nodes that n reaches.
func (n *node) peers() []peer {
	var peers []peer
	for _, o := range n.world.nodes {
		l := o.life.Load()
		apart := o.dataCenter() != n.dataCenter() && (o.isolated() || n.isolated())
		if o != n && l != nil && !apart {
			peers = append(peers, peer{node: o, life: l})
		}
	}
	return peers
}

func (n *node) Reads() bool {
	before := 0
	for _, o := range n.peers() {
		if o.dataCenter() == n.dataCenter() && o.number < n.number {
			before++
		}
	}
	return before < readers
}

func (n *node) Revisions() []watcher.PeerRevision {
	var revisions []watcher.PeerRevision
	if l := n.life.Load(); l == nil || time.Since(l.started) < gossipDelay {
		return nil
	}
	for _, o := range n.peers() {
		revisions = append(revisions, watcher.PeerRevision{Host: o.name, Revision: o.keeper.Status().Revision})
	}
	return revisions
}

// Fetch sends the question and the answer through their codecs.
func (n *node) Fetch(_ context.Context, host identifier.Host, ask *peerwire.DeclarationsRequest) (*peerwire.Declarations, error) {
	peers := n.peers()
	i := slices.IndexFunc(peers, func(o peer) bool { return o.name == host })
	if i < 0 {
		return nil, errCut
	}
	question, err := ask.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	encoded, err := peers[i].archive.Answer(ask).MarshalMsg(nil)
	if err != nil {
		return nil, err
	}
	n.world.fetches.Add(1)
	n.world.bytes.Add(int64(len(question) + len(encoded)))
	answer := &peerwire.Declarations{}
	_, err = answer.UnmarshalMsg(encoded)
	if n.world.spoilt.Load() && len(answer.Steps) > 0 {
		answer.Steps[0].Patch = nil
	}
	return answer, err
}

func (n *node) Highest(context.Context, *compiler.Fleet) (identifier.Revision, bool) {
	fence := n.world.fence.Load()
	return identifier.Revision(fence), fence > 0
}

// service is the platform as a node reaches it.
type service node

func (s *service) Watch(ctx context.Context, r *connect.Request[platformwire.WatchRequest]) (*connect.Response[platformwire.WatchResponse], error) {
	if (*node)(s).isolated() {
		return nil, errCut
	}
	response, err := s.world.platform.Watch(ctx, r)
	if (*node)(s).isolated() {
		return nil, errCut
	}
	return response, err
}

func (s *service) ListHosts(ctx context.Context, r *connect.Request[platformwire.ListHostsRequest]) (*connect.Response[platformwire.ListHostsResponse], error) {
	if (*node)(s).isolated() {
		return nil, errCut
	}
	return s.world.platform.ListHosts(ctx, r)
}
