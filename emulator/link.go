package emulator

import (
	"context"
	"sync"

	"golang.org/x/time/rate"

	"github.com/jackdawthread/jackdawthread/compiler"
)

// linkBurst is how many pieces cross a link at once.
const linkBurst = 8

// Links are the links of a process's engines, one for each pair of data
// centres. A nil *Links has no limits.
type Links struct {
	mu    sync.Mutex
	links map[compiler.LinkKey]*Link
}

// NewLinks gives links with the rates declared, times scale. A pair that is
// not declared has no limit.
func NewLinks(declared map[compiler.LinkKey]*compiler.Link, scale float64) *Links {
	l := &Links{links: make(map[compiler.LinkKey]*Link)}
	for key, d := range declared {
		l.links[key] = newLink(d.Rate * scale)
	}
	return l
}

// Link gives the link of a pair; the first call for a pair that was not
// declared makes one without limit.
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

// cross waits until pieces have crossed the link from one data centre to
// another.
func (l *Links) cross(ctx context.Context, key compiler.LinkKey, pieces int) error {
	if l == nil {
		return ctx.Err()
	}
	return l.Link(key).cross(ctx, pieces)
}

// Link carries KV cache at a limited rate, shared by all its transfers.
type Link struct {
	limiter *rate.Limiter
	mu      sync.Mutex
	healed  chan struct{} // nil: not stalled
}

func newLink(piecesPerSecond float64) *Link {
	limit := rate.Limit(piecesPerSecond)
	if piecesPerSecond <= 0 {
		limit = rate.Inf
	}
	return &Link{limiter: rate.NewLimiter(limit, linkBurst)}
}

// SetRate changes the rate, in pieces a second; 0: no limit.
func (l *Link) SetRate(piecesPerSecond float64) {
	if piecesPerSecond <= 0 {
		l.limiter.SetLimit(rate.Inf)
		return
	}
	l.limiter.SetLimit(rate.Limit(piecesPerSecond))
}

// SetStalled stops all transfers, or lets them go on.
func (l *Link) SetStalled(stalled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case stalled && l.healed == nil:
		l.healed = make(chan struct{})
	case !stalled && l.healed != nil:
		close(l.healed)
		l.healed = nil
	}
}

func (l *Link) cross(ctx context.Context, pieces int) error {
	for pieces > 0 {
		if err := l.waitHealed(ctx); err != nil {
			return err
		}
		n := min(pieces, linkBurst)
		if err := l.limiter.WaitN(ctx, n); err != nil {
			return err
		}
		pieces -= n
	}
	return l.waitHealed(ctx)
}

func (l *Link) waitHealed(ctx context.Context) error {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	if healed == nil {
		return ctx.Err()
	}
	select {
	case <-healed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
