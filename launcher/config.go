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

// config keeps the host's declarations up to date: from the platform, where
// this host is one of its readers, and from peers.
type config struct {
	host    *Host
	keeper  *keeper.Keeper
	archive *archiver.Archive
}

func newConfig(h *Host) *config {
	options := keeper.DefaultOptions()
	options.Firm = h.settings.Firm
	options.AllowOlder = h.settings.Platform.AllowOlder
	c := &config{host: h, keeper: keeper.New(options, time.Now()), archive: archiver.New()}
	h.messenger.Handle(peerwire.KindDeclarations, c.handleAsk)
	return c
}

// fleet gives the declarations in force; nil: none yet.
func (c *config) fleet() *compiler.Fleet {
	return c.keeper.Current()
}

func (c *config) start() {
	c.keeper.Subscribe(func(previous, next *compiler.Fleet) {
		c.host.reconfigure(next)
		c.markServing(previous, next)
	})
	h := c.host
	platform := platformwireconnect.NewPlatformServiceClient(h.connector.HTTP(), "http://"+string(h.settings.Platform.Address))
	options := watcher.DefaultOptions()
	options.Key = h.settings.Platform.Key
	options.Wait = h.settings.Platform.Wait
	options.HostsPeriod = h.settings.Platform.HostsPeriod
	options.PeersPeriod = h.settings.Periods.Declarations
	options.Seed = uint64(h.incarnation)
	watcher.Start(watcher.Dependencies{
		Keeper:   c.keeper,
		Archive:  c.archive,
		Platform: platform,
		Readers:  c,
		Peers:    c,
		Fences:   &fences{host: h},
		HostList: c.takeHostList,
		Timers:   h.timer,
		Group:    h.group,
		Log:      h.log,
	}, options)
}

// markServing undoes the leaving marks of endpoints that a new revision takes
// back into service.
func (c *config) markServing(previous, next *compiler.Fleet) {
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

// Reads implements watcher.Readers: the hosts highest in hash order read.
func (c *config) Reads() bool {
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
func (c *config) Revisions() []watcher.PeerRevision {
	var all []watcher.PeerRevision
	for _, m := range c.host.gossiper.View().Members() {
		if m.Incarnation != c.host.incarnation && m.State != gossiper.StateDead {
			all = append(all, watcher.PeerRevision{Host: m.Host, Revision: m.Revision})
		}
	}
	return all
}

// Fetch implements watcher.Peers.
func (c *config) Fetch(ctx context.Context, host identifier.Host, ask *peerwire.DeclarationsAsk) (*peerwire.Declarations, error) {
	m, ok := c.host.gossiper.View().ByHost(host)
	if !ok {
		return nil, classifier.NotRun(classifier.ReasonHostUnreachable, 0, "host %q is not known", host)
	}
	answer := &peerwire.Declarations{}
	if err := c.host.messenger.Call(ctx, m.Address, peerwire.KindDeclarations, ask, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

func (c *config) handleAsk(_ context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var ask peerwire.DeclarationsAsk
	if _, err := ask.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "question for declarations is malformed: %w", err)
	}
	return c.archive.Answer(&ask), nil
}

// kindEntry marks entry hosts in the platform's host list.
const kindEntry = "entry"

// takeHostList seeds the membership with entry hosts and spreads the news of
// endpoints that are leaving.
func (c *config) takeHostList(hosts []*platformwire.Host) {
	f := c.fleet()
	var seeds []identifier.Address
	for _, p := range hosts {
		if p.GetKind() == kindEntry {
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
