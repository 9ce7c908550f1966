package watcher

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/keeper"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

// maxQueriedPeers limits the peers that a host queries in parallel while it has
// no declarations in force.
const maxQueriedPeers = 5

// followPeers checks the peers' revisions periodically and fetches newer
// declarations from them.
func (w *Watcher) followPeers(ctx context.Context) {
	random := w.random(streamPeers)
	for ctx.Err() == nil {
		revisions := w.Peers.Revisions()
		w.reportHighestRevision(revisions)
		if w.Keeper.Current() == nil {
			w.queryPeers(ctx, random, revisions)
		} else {
			w.fetchNewer(ctx, random, revisions)
		}
		w.pause(ctx, jitter(random, w.options.PeersPeriod))
	}
}

// reportHighestRevision reports to the keeper the highest revision that any peer
// has in force.
func (w *Watcher) reportHighestRevision(revisions []PeerRevision) {
	highest := identifier.Revision(0)
	for _, p := range revisions {
		highest = max(highest, p.Revision)
	}
	if highest > w.Keeper.Status().Known {
		w.handle(keeper.RevisionSeen{Revision: highest}, time.Now())
	}
}

// queryPeers fetches from several peers in parallel, preferring those with the
// highest revisions. When all requests have finished and at least one succeeded,
// it reports this to the keeper.
func (w *Watcher) queryPeers(ctx context.Context, random *rand.Rand, revisions []PeerRevision) {
	random.Shuffle(len(revisions), func(i, j int) { revisions[i], revisions[j] = revisions[j], revisions[i] })
	slices.SortStableFunc(revisions, func(a, b PeerRevision) int { return cmp.Compare(b.Revision, a.Revision) })
	var successes atomic.Int32
	group := grouper.New(ctx)
	for _, p := range revisions[:min(len(revisions), maxQueriedPeers)] {
		group.Run(func(ctx context.Context) {
			if w.fetch(ctx, p.Host) {
				successes.Add(1)
			}
		})
	}
	_ = group.Wait() // members return no errors
	if successes.Load() > 0 {
		w.handle(keeper.PeersQueried{}, time.Now())
	}
}

// fetchNewer fetches from a random peer that has a newer revision, if any.
// Peers with the revision that this host has refused are skipped.
func (w *Watcher) fetchNewer(ctx context.Context, random *rand.Rand, revisions []PeerRevision) {
	current := w.Keeper.Current().Revision
	refused := identifier.Revision(0)
	if r := w.Keeper.Status().Refusal; r != nil {
		refused = r.Revision
	}
	ahead := slices.DeleteFunc(revisions, func(p PeerRevision) bool {
		return p.Revision <= current || p.Revision == refused
	})
	if len(ahead) > 0 {
		w.fetch(ctx, ahead[random.IntN(len(ahead))].Host)
	}
}

// fetch fetches from a peer and reports whether that succeeded. If the patches
// since the current revision can't be applied, it requests the whole file.
func (w *Watcher) fetch(ctx context.Context, host identifier.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, w.options.CallTimeout)
	defer cancel()
	current := w.Keeper.Current()
	err := w.fetchNewerThan(ctx, host, current)
	if err != nil && current != nil && ctx.Err() == nil {
		w.Log.Warn("fetch-of-steps-failed", zap.String("peer", string(host)), zap.Error(err))
		err = w.fetchNewerThan(ctx, host, nil)
	}
	if err != nil {
		w.Log.Warn("fetch-failed", zap.String("peer", string(host)), zap.Error(err))
	}
	return err == nil
}

// fetchNewerThan requests the declarations newer than current from a peer and
// offers them to the keeper. With a nil current, it requests the whole file.
func (w *Watcher) fetchNewerThan(ctx context.Context, host identifier.Host, current *compiler.Fleet) error {
	request := &peerwire.DeclarationsRequest{}
	if current != nil {
		request.Revision, request.Digest = current.Revision, current.Digest
	}
	response, err := w.Peers.Fetch(ctx, host, request)
	if err != nil || response.Revision <= request.Revision {
		return err
	}
	source, err := w.Archive.Reconstruct(current, response)
	if err != nil {
		return err
	}
	w.handle(keeper.Offered{Revision: response.Revision, File: source, Source: keeper.SourcePeer}, time.Now())
	return nil
}
