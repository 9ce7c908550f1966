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
	// watchTimeoutMargin is added to Options.Wait for the timeout of a watch.
	watchTimeoutMargin = 2 * time.Second
	// readerCheckPeriod is the interval at which a host that is not a reader
	// checks whether it has become one.
	readerCheckPeriod = time.Second
)

// watchService keeps a watch open at the configuration service while this host
// is a reader.
func (w *Watcher) watchService(ctx context.Context) {
	random := w.random(streamService)
	retryBackoff := &backoff{random: random}
	var lastRevision identifier.Revision
	for ctx.Err() == nil {
		if !w.Readers.IsReader() {
			w.pause(ctx, jitter(random, readerCheckPeriod))
			continue
		}
		next, err := w.watchOnce(ctx, w.watchRevision(lastRevision))
		if err != nil {
			w.logFailure(ctx, "watch-failed", err)
			w.pause(ctx, retryBackoff.next())
			continue
		}
		retryBackoff.reset()
		lastRevision = max(lastRevision, next)
	}
}

// logFailure logs a failure of the service, unless ctx is done because the host
// is stopping.
func (w *Watcher) logFailure(ctx context.Context, event string, err error) {
	if ctx.Err() == nil {
		w.Log.Warn(event, zap.Error(err))
	}
}

// watchRevision returns the revision after which the next watch starts: the
// higher of the revision in force and the last one received.
func (w *Watcher) watchRevision(lastRevision identifier.Revision) identifier.Revision {
	if fleet := w.Keeper.Current(); fleet != nil {
		return max(lastRevision, fleet.Revision)
	}
	return lastRevision
}

// watchOnce waits for a revision above after, offers it to the keeper and
// returns it. It returns 0 if nothing changed within Options.Wait.
func (w *Watcher) watchOnce(ctx context.Context, after identifier.Revision) (identifier.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, w.options.Wait+watchTimeoutMargin)
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
		return 0, fmt.Errorf("watch after revision %d returned revision %d", after, revision)
	}
	w.handle(keeper.Offered{
		Revision: revision,
		File:     response.Msg.GetValue(),
		Source:   keeper.SourceService,
	}, time.Now())
	return revision, nil
}

// pollHostList reads the host list periodically while this host is a reader or
// knows no peers.
func (w *Watcher) pollHostList(ctx context.Context) {
	random := w.random(streamHosts)
	retryBackoff := &backoff{random: random}
	for ctx.Err() == nil {
		if !w.Readers.IsReader() && len(w.Peers.Revisions()) > 0 {
			w.pause(ctx, jitter(random, readerCheckPeriod))
			continue
		}
		if err := w.readHostList(ctx); err != nil {
			w.logFailure(ctx, "host-list-failed", err)
			w.pause(ctx, retryBackoff.next())
			continue
		}
		retryBackoff.reset()
		w.pause(ctx, jitter(random, w.options.HostsPeriod))
	}
}

func (w *Watcher) readHostList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.options.CallTimeout)
	defer cancel()
	response, err := w.Platform.ListHosts(ctx, connect.NewRequest(&platformwire.ListHostsRequest{}))
	if err != nil {
		return eris.Wrap(err, "read host list")
	}
	w.OnHostList(response.Msg.GetHosts())
	return nil
}
