package launcher

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/keeper"
	"github.com/jackdawthread/jackdawthread/wire/platformwire"
	"github.com/jackdawthread/jackdawthread/wire/platformwire/platformwireconnect"
)

// config keeps the host's declarations up to date.
type config struct {
	host   *Host
	keeper *keeper.Keeper
}

func newConfig(h *Host) *config {
	return &config{host: h, keeper: keeper.New(keeper.DefaultOptions(), time.Now())}
}

// fleet gives the declarations in force; nil: none yet.
func (c *config) fleet() *compiler.Fleet {
	return c.keeper.Current()
}

// refused gives the newest revision that was refused and why.
func (c *config) refused() (uint64, string) {
	r := c.keeper.Status().Refusal
	if r == nil {
		return 0, ""
	}
	return uint64(r.Revision), r.Err.Error()
}

func (c *config) start() {
	c.keeper.Subscribe(func(_, next *compiler.Fleet) { c.host.reconfigure(next) })
	c.host.group.Run(c.watch)
}

func (c *config) watch(ctx context.Context) {
	platform := platformwireconnect.NewPlatformServiceClient(c.host.connector.HTTP(), "http://"+string(c.host.settings.Platform.Address))
	var seen uint64
	for ctx.Err() == nil {
		r, err := platform.Watch(ctx, connect.NewRequest(&platformwire.WatchRequest{Key: c.host.settings.Platform.Key, AfterRevision: seen, WaitMs: 5000}))
		if err != nil || !r.Msg.GetChanged() {
			_ = wait(ctx, 100*time.Millisecond)
			continue
		}
		seen = r.Msg.GetRevision()
		c.keeper.Handle(keeper.PeersAsked{}, time.Now())
		revision := identifier.Revision(seen)
		c.keeper.Handle(keeper.Offered{Revision: revision, File: r.Msg.GetValue(), Source: keeper.SourceService}, time.Now())
		c.keeper.Handle(keeper.FencesAsked{Candidate: revision}, time.Now())
	}
}
