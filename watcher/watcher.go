// Package watcher obtains the declarations and the host list. It passes the
// declarations to the keeper and the host list to Dependencies.OnHostList.
//
// Only a few hosts of each data center, the readers, access the platform: each
// keeps one long-polling watch on the configuration service open and polls the
// host list. All other hosts learn of a new revision of the declarations from the
// revisions that their peers report, and fetch it from one of them. After a start,
// a host queries its peers before it trusts the configuration service, which may
// return stale data.
//
// # Usage
//
//	watcher.Start(watcher.Dependencies{Keeper: k, Platform: client, ...}, options)
//
// Peers serve these fetches from their archiver.Archive.
package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/keeper"
)

// Watcher runs in the goroutines of its group until the group ends.
type Watcher struct {
	Dependencies
	options Options
}

// Stream numbers of the random generators, one per loop.
const (
	streamService uint64 = iota + 1
	streamHosts
	streamPeers
)

// tickPeriod is the interval at which the keeper checks its timeouts while
// no revision is in force.
const tickPeriod = 100 * time.Millisecond

// Start starts the goroutines that keep the keeper up to date.
func Start(d Dependencies, o Options) *Watcher {
	w := &Watcher{Dependencies: d, options: o}
	d.Keeper.Subscribe(d.Archive.Record)
	w.tickUntilInForce()
	d.Group.Run(w.watchService)
	d.Group.Run(w.pollHostList)
	d.Group.Run(w.followPeers)
	return w
}

func (w *Watcher) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.options.Seed, stream))
}

// tickUntilInForce sends ticks to the keeper until a revision is in force.
func (w *Watcher) tickUntilInForce() {
	w.Timers.After(tickPeriod, func(now time.Time) {
		w.handle(keeper.Ticked{}, now)
		if w.Keeper.Current() == nil && w.Group.Context().Err() == nil {
			w.tickUntilInForce()
		}
	})
}

// handle passes an event to the keeper and executes the resulting actions.
func (w *Watcher) handle(e keeper.Event, now time.Time) {
	for _, a := range w.Keeper.Handle(e, now) {
		switch a := a.(type) {
		case keeper.Adopt:
			w.Log.Info("declarations-in-force",
				zap.Uint64("revision", uint64(a.Fleet.Revision)),
				zap.Uint64("digest", a.Fleet.Digest))
		case keeper.Refuse:
			w.Log.Error("declarations-refused",
				zap.Uint64("revision", uint64(a.Refusal.Revision)),
				zap.Stringer("source", a.Refusal.Source),
				zap.Error(a.Refusal.Err))
		case keeper.QueryFences:
			w.Group.Run(func(ctx context.Context) { w.queryFences(ctx, a) })
		}
	}
}

// queryFences queries the highest fencing number of a candidate's engines. If no
// engine answers, the keeper continues when its timeout expires.
func (w *Watcher) queryFences(ctx context.Context, a keeper.QueryFences) {
	ctx, cancel := context.WithTimeout(ctx, w.options.CallTimeout)
	defer cancel()
	fence, answered := w.Fences.HighestFence(ctx, a.Candidate)
	if !answered {
		return
	}
	w.handle(keeper.RevisionSeen{Revision: fence}, time.Now())
	w.handle(keeper.FencesQueried{Candidate: a.Candidate.Revision}, time.Now())
}

// pause waits for d, or until ctx ends.
func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	expired := make(chan struct{})
	timer := w.Timers.After(d, func(time.Time) { close(expired) })
	defer timer.Cancel()
	select {
	case <-expired:
	case <-ctx.Done():
	}
}
