package launcher

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"

	"github.com/jackdawthread/jackdawthread/archiver"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/keeper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/watcher"
	"github.com/jackdawthread/jackdawthread/wire/platformwire"
	"github.com/jackdawthread/jackdawthread/wire/platformwire/platformwireconnect"
)

// configSync keeps the host's declarations up to date. It fetches them from
// peers and, if this host is one of the readers, from the platform.
type configSync struct {
	host    *Host
	keeper  *keeper.Keeper
	archive *archiver.Archive
}

func newConfigSync(h *Host) *configSync {
	options := keeper.DefaultOptions()
	options.Firm = h.settings.Firm
	options.AllowOlder = h.settings.Platform.AllowOlder
	c := &configSync{host: h, keeper: keeper.New(options, time.Now()), archive: archiver.New()}
	h.messenger.Handle(peerwire.KindDeclarations, c.handleDeclarationsRequest)
	return c
}

// fleet returns the declarations in force, or nil if there are none yet.
func (c *configSync) fleet() *compiler.Fleet {
	return c.keeper.Current()
}

func (c *configSync) start() {
	c.keeper.Subscribe(func(previous, next *compiler.Fleet) {
		c.host.reconfigure(next)
		c.markServing(previous, next)
	})
	h := c.host
	platform := platformwireconnect.NewPlatformServiceClient(h.connector.HTTP(), "http://"+string(h.settings.Platform.Address), h.connector.MessageLimit())
	options := watcher.DefaultOptions()
	options.Key = h.settings.Platform.Key
	options.Wait = h.settings.Platform.Wait
	options.HostsPeriod = h.settings.Platform.HostsPeriod
	options.PeersPeriod = h.settings.Periods.Declarations
	options.Seed = uint64(h.incarnation)
	watcher.Start(watcher.Dependencies{
		Keeper:     c.keeper,
		Archive:    c.archive,
		Platform:   platform,
		Readers:    c,
		Peers:      c,
		Fences:     &fenceReader{host: h},
		OnHostList: c.applyHostList,
		Timers:     h.timer,
		Group:      h.group,
		Log:        h.log,
	}, options)
}

// markServing clears the leaving mark of endpoints that a new revision returns
// to service.
func (c *configSync) markServing(previous, next *compiler.Fleet) {
	if previous == nil {
		return
	}
	for name, e := range next.Endpoints {
		old := previous.Endpoints[name]
		if old != nil && old.Leaving && !e.Leaving {
			c.host.gossiper.MarkServing(name, next.Revision)
		}
	}
}

// IsReader implements watcher.Readers. The readers are the first hosts of the data
// center in rendezvous order. A host that knows no live host is a reader too.
func (c *configSync) IsReader() bool {
	h := c.host
	key := xxhash.Sum64String("platform-readers")
	for _, m := range h.gossiper.View().Owners(h.settings.DataCenter, key, h.settings.Platform.Readers) {
		if m.Incarnation == h.incarnation {
			return true
		}
	}
	return len(h.gossiper.View().Live(h.settings.DataCenter)) == 0
}

// Revisions implements watcher.Peers.
func (c *configSync) Revisions() []watcher.PeerRevision {
	var revisions []watcher.PeerRevision
	for _, m := range c.host.gossiper.View().Members() {
		if m.Incarnation != c.host.incarnation && m.State != gossiper.StateDead {
			revisions = append(revisions, watcher.PeerRevision{Host: m.Host, Revision: m.Revision})
		}
	}
	return revisions
}

// Fetch implements watcher.Peers.
func (c *configSync) Fetch(ctx context.Context, host identifier.Host, request *peerwire.DeclarationsRequest) (*peerwire.Declarations, error) {
	m, ok := c.host.gossiper.View().ByHost(host)
	if !ok {
		return nil, classifier.NotRun(classifier.ReasonHostUnreachable, 0, "unknown host %q", host)
	}
	response := &peerwire.Declarations{}
	if err := c.host.messenger.Call(ctx, m.Address, peerwire.KindDeclarations, request, response); err != nil {
		return nil, err
	}
	return response, nil
}

func (c *configSync) handleDeclarationsRequest(_ context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var request peerwire.DeclarationsRequest
	if _, err := request.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed declarations request: %w", err)
	}
	return c.archive.Answer(&request), nil
}

// entryHostKind is the kind of entry hosts in the platform's host list.
const entryHostKind = "entry"

// applyHostList adds the entry hosts of the platform's host list to the
// membership seeds, and announces leaving endpoints to the peers.
func (c *configSync) applyHostList(hosts []*platformwire.Host) {
	f := c.fleet()
	var seeds []identifier.Address
	for _, p := range hosts {
		if p.GetKind() == entryHostKind {
			seeds = append(seeds, identifier.Address(p.GetAddress()))
			continue
		}
		e := identifier.Endpoint(p.GetName())
		if f == nil || f.Endpoints[e] == nil || p.GetState() != platformwire.HostState_HOST_STATE_LEAVING {
			continue
		}
		if !c.host.gossiper.View().Leaving(e) {
			c.host.gossiper.MarkLeaving(e, f.Revision)
		}
	}
	if len(seeds) > 0 {
		c.host.gossiper.Seed(seeds)
	}
}
