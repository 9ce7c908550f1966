package emulator

import (
	"context"
	"sync"

	"golang.org/x/time/rate"

	"github.com/jackdawthread/jackdawthread/compiler"
)

// linkBurst is the number of pieces that can be transferred over a link at
// once.
const linkBurst = 8

// Links holds the network links between data centers, one per ordered pair. A
// nil *Links imposes no limits.
type Links struct {
	mu    sync.Mutex
	links map[compiler.LinkKey]*Link
}

// NewLinks creates links with the declared rates multiplied by scale. Pairs
// that are not declared are unlimited.
func NewLinks(declared map[compiler.LinkKey]*compiler.Link, scale float64) *Links {
	l := &Links{links: make(map[compiler.LinkKey]*Link)}
	for key, d := range declared {
		l.links[key] = newLink(d.Rate * scale)
	}
	return l
}

// Link returns the link of a pair of data centers. The first call for an
// undeclared pair creates an unlimited link.
func (l *Links) Link(key compiler.LinkKey) *Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	link, ok := l.links[key]
	if !ok {
		link = newLink(0)
		l.links[key] = link
	}
	return link
}

// transfer blocks until the pieces have been transferred over the link from one
// data center to another.
func (l *Links) transfer(ctx context.Context, key compiler.LinkKey, pieces int) error {
	if l == nil {
		return ctx.Err()
	}
	return l.Link(key).transfer(ctx, pieces)
}

// Link transfers KV cache pieces at a limited rate that all its transfers
// share.
type Link struct {
	limiter *rate.Limiter
	mu      sync.Mutex
	resumed chan struct{} // closed when the stall ends; nil if not stalled
}

func newLink(piecesPerSecond float64) *Link {
	limit := rate.Limit(piecesPerSecond)
	if piecesPerSecond <= 0 {
		limit = rate.Inf
	}
	return &Link{limiter: rate.NewLimiter(limit, linkBurst)}
}

// SetRate sets the rate in pieces per second; 0 means unlimited.
func (l *Link) SetRate(piecesPerSecond float64) {
	if piecesPerSecond <= 0 {
		l.limiter.SetLimit(rate.Inf)
		return
	}
	l.limiter.SetLimit(rate.Limit(piecesPerSecond))
}

// SetStalled stalls or resumes all transfers.
func (l *Link) SetStalled(stalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case stalled && l.resumed == nil:
		l.resumed = make(chan struct{})
	case !stalled && l.resumed != nil:
		close(l.resumed)
		l.resumed = nil
	}
}

func (l *Link) transfer(ctx context.Context, pieces int) error {
	for pieces > 0 {
		if err := l.waitWhileStalled(ctx); err != nil {
			return err
		}
		n := min(pieces, linkBurst)
		if err := l.limiter.WaitN(ctx, n); err != nil {
			return err
		}
		pieces -= n
	}
	return l.waitWhileStalled(ctx)
}

func (l *Link) waitWhileStalled(ctx context.Context) error {
	l.mu.Lock()
	resumed := l.resumed
	l.mu.Unlock()
	if resumed == nil {
		return ctx.Err()
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
