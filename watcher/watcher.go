// Package watcher brings declarations and the host list to a host, from the
// platform and from its peers, and offers them to its keeper.
//
// Only a few hosts of each data center read the platform: they hold one
// waiting watch each and poll the host list. All others learn of a new
// revision from what peers say to have in force, and fetch it from one of
// them. A host that has started asks its peers before it trusts the service.
//
// # Usage
//
//	watcher.Start(watcher.Dependencies{Keeper: k, Platform: client, ...}, options)
//
// The peer's side of a fetch is archiver.Archive.Answer.
package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/keeper"
)

// Watcher runs as members of a group until the group ends.
type Watcher struct {
	Dependencies
	options Options
}

// Streams of random numbers, one for each loop.
const (
	streamService uint64 = iota + 1
	streamHosts
	streamPeers
)

// startPeriod is the time between two looks at a host's time-outs while
// nothing is in force.
const startPeriod = 100 * time.Millisecond

// Start has the keeper kept up to date.
func Start(d Dependencies, o Options) *Watcher {
	w := &Watcher{Dependencies: d, options: o}
	d.Keeper.Subscribe(d.Archive.Record)
	w.tickUntilInForce()
	d.Group.Run(w.watchService)
	d.Group.Run(w.pollHosts)
	d.Group.Run(w.followPeers)
	return w
}

func (w *Watcher) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.options.Seed, stream))
}

// tickUntilInForce tells the keeper the time while it has nothing in force.
func (w *Watcher) tickUntilInForce() {
	w.Timers.After(startPeriod, func(now time.Time) {
		w.handle(keeper.Ticked{}, now)
		if w.Keeper.Current() == nil && w.Group.Context().Err() == nil {
			w.tickUntilInForce()
		}
	})
}

// handle tells the keeper of an event and carries out what it wants done.
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
			w.Group.Run(func(ctx context.Context) { w.askFences(ctx, a) })
		}
	}
}

// askFences asks the engines of a candidate. If none answers, the keeper's
// time-out decides.
func (w *Watcher) askFences(ctx context.Context, a keeper.QueryFences) {
	ctx, cancel := context.WithTimeout(ctx, w.options.CallTimeout)
	defer cancel()
	fence, answered := w.Fences.Highest(ctx, a.Candidate)
	if !answered {
		return
	}
	w.handle(keeper.RevisionSeen{Revision: fence}, time.Now())
	w.handle(keeper.FencesQueried{Candidate: a.Candidate.Revision}, time.Now())
}

// pause waits for d, or until ctx ends.
func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	due := make(chan struct{})
	alarm := w.Timers.After(d, func(time.Time) { close(due) })
	defer alarm.Cancel()
	select {
	case <-due:
	case <-ctx.Done():
	}
}
