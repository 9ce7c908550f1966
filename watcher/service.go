package watcher

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/keeper"
	"github.com/jackdawthread/jackdawthread/wire/platformwire"
)

const (
	// watchSlack is added to a watch's wait for its time-out.
	watchSlack = 2 * time.Second
	// idlePeriod is the time between two looks whether a host that doesn't
	// read the platform has come to be a reader.
	idlePeriod = time.Second
)

// watchService holds a watch at the configuration service while this host is
// a reader.
func (w *Watcher) watchService(ctx context.Context) {
	random := w.random(streamService)
	failures := &backoff{random: random}
	var told identifier.Revision
	for ctx.Err() == nil {
		if !w.Readers.Reads() {
			w.pause(ctx, jitter(random, idlePeriod))
			continue
		}
		next, err := w.watchOnce(ctx, w.after(told))
		if err != nil {
			w.warn(ctx, "watch-failed", err)
			w.pause(ctx, failures.next())
			continue
		}
		failures.reset()
		told = max(told, next)
	}
}

// warn logs a failure of the service. One that comes of the host's own stop is
// none.
func (w *Watcher) warn(ctx context.Context, event string, err error) {
	if ctx.Err() == nil {
		w.Log.Warn(event, zap.Error(err))
	}
}

// after gives the revision above which a watch is to answer.
func (w *Watcher) after(told identifier.Revision) identifier.Revision {
	if fleet := w.Keeper.Current(); fleet != nil {
		return max(told, fleet.Revision)
	}
	return told
}

// watchOnce waits for a revision above after, and gives that which the
// service told.
func (w *Watcher) watchOnce(ctx context.Context, after identifier.Revision) (identifier.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, w.options.Wait+watchSlack)
	defer cancel()
	response, err := w.Platform.Watch(ctx, connect.NewRequest(&platformwire.WatchRequest{
		Key:           w.options.Key,
		AfterRevision: uint64(after),
		WaitMs:        uint32(w.options.Wait.Milliseconds()),
	}))
	if err != nil {
		return 0, eris.Wrapf(err, "watch key %q", w.options.Key)
	}
	if !response.Msg.GetChanged() {
		return 0, nil
	}
	revision := identifier.Revision(response.Msg.GetRevision())
	if revision <= after {
		return 0, fmt.Errorf("watch for a revision above %d was answered with %d", after, revision)
	}
	w.handle(keeper.Offered{
		Revision: revision,
		File:     response.Msg.GetValue(),
		Source:   keeper.SourceService,
	}, time.Now())
	return revision, nil
}

// pollHosts reads the host list while this host is a reader or knows of no
// peer.
func (w *Watcher) pollHosts(ctx context.Context) {
	random := w.random(streamHosts)
	failures := &backoff{random: random}
	for ctx.Err() == nil {
		if !w.Readers.Reads() && len(w.Peers.Revisions()) > 0 {
			w.pause(ctx, jitter(random, idlePeriod))
			continue
		}
		if err := w.pollOnce(ctx); err != nil {
			w.warn(ctx, "host-list-failed", err)
			w.pause(ctx, failures.next())
			continue
		}
		failures.reset()
		w.pause(ctx, jitter(random, w.options.HostsPeriod))
	}
}

func (w *Watcher) pollOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.options.CallTimeout)
	defer cancel()
	response, err := w.Platform.ListHosts(ctx, connect.NewRequest(&platformwire.ListHostsRequest{}))
	if err != nil {
		return eris.Wrap(err, "read the host list")
	}
	w.HostList(response.Msg.GetHosts())
	return nil
}
