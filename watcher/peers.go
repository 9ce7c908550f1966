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

// maxAsked bounds the peers that a host asks at once when it has started.
const maxAsked = 5

// followPeers looks at what the peers have in force and fetches what is
// newer.
func (w *Watcher) followPeers(ctx context.Context) {
	random := w.random(streamPeers)
	for ctx.Err() == nil {
		revisions := w.Peers.Revisions()
		w.learnKnown(revisions)
		if w.Keeper.Current() == nil {
			w.askPeers(ctx, random, revisions)
		} else {
			w.fetchNewer(ctx, random, revisions)
		}
		w.pause(ctx, jitter(random, w.options.PeersPeriod))
	}
}

// learnKnown tells the keeper the highest revision that a peer has in force.
func (w *Watcher) learnKnown(revisions []PeerRevision) {
	highest := identifier.Revision(0)
	for _, p := range revisions {
		highest = max(highest, p.Revision)
	}
	if highest > w.Keeper.Status().Known {
		w.handle(keeper.RevisionSeen{Revision: highest}, time.Now())
	}
}

// askPeers asks several peers, those with the highest revisions first, and
// tells the keeper once any has answered and all have had their time.
func (w *Watcher) askPeers(ctx context.Context, random *rand.Rand, revisions []PeerRevision) {
	random.Shuffle(len(revisions), func(i, j int) { revisions[i], revisions[j] = revisions[j], revisions[i] })
	slices.SortStableFunc(revisions, func(a, b PeerRevision) int { return cmp.Compare(b.Revision, a.Revision) })
	var answers atomic.Int32
	group := grouper.New(ctx)
	for _, p := range revisions[:min(len(revisions), maxAsked)] {
		group.Run(func(ctx context.Context) {
			if w.fetch(ctx, p.Host) {
				answers.Add(1)
			}
		})
	}
	_ = group.Wait() // its members give no errors
	if answers.Load() > 0 {
		w.handle(keeper.PeersQueried{}, time.Now())
	}
}

// fetchNewer fetches from one of the peers that are ahead.
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

// fetch asks one peer, offers what it gives, and tells whether it answered. If
// its steps can't be used, it is asked for the whole file.
func (w *Watcher) fetch(ctx context.Context, host identifier.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, w.options.CallTimeout)
	defer cancel()
	current := w.Keeper.Current()
	err := w.fetchAfter(ctx, host, current)
	if err != nil && current != nil && ctx.Err() == nil {
		w.Log.Warn("fetch-of-steps-failed", zap.String("peer", string(host)), zap.Error(err))
		err = w.fetchAfter(ctx, host, nil)
	}
	if err != nil {
		w.Log.Warn("fetch-failed", zap.String("peer", string(host)), zap.Error(err))
	}
	return err == nil
}

// fetchAfter asks a peer for what is newer than current, which may be nil.
func (w *Watcher) fetchAfter(ctx context.Context, host identifier.Host, current *compiler.Fleet) error {
	ask := &peerwire.DeclarationsRequest{}
	if current != nil {
		ask.Revision, ask.Digest = current.Revision, current.Digest
	}
	answer, err := w.Peers.Fetch(ctx, host, ask)
	if err != nil || answer.Revision <= ask.Revision {
		return err
	}
	source, err := w.Archive.Reconstruct(current, answer)
	if err != nil {
		return err
	}
	w.handle(keeper.Offered{Revision: answer.Revision, File: source, Source: keeper.SourcePeer}, time.Now())
	return nil
}
