package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/router"
)

const (
	// decodeCandidates bounds the decode engines that one decision looks at.
	decodeCandidates = 8
	// linkShare is the share of a result's life in which all transfers that
	// are granted must be able to pass the link.
	linkShare = 0.8
)

// plan is where an attempt is to run.
type plan struct {
	prefill       *endpoint
	decode        *endpoint
	promptPieces  identifier.Pieces
	decodePieces  identifier.Pieces
	prefillTokens float64
	wait          time.Duration
}

// place plans an attempt; false: it has to wait. It allocates nothing.
func (p *Pool) place(a *wish, now time.Time) (plan, bool) {
	exclude := p.excluded(a)
	var chosen plan
	if !p.owes(a.Urgency) {
		chosen.decode = p.placeDecode(a, exclude)
	}
	if chosen.decode == nil && !p.options.LateBinding {
		return plan{}, false
	}
	index, cached, ok := p.choice.Pick(p.prefill, router.Query{
		Blocks:       a.Blocks,
		PromptTokens: a.PromptTokens,
		Clock:        p.seconds(now),
		Rate:         p.rate(),
		Exclude:      exclude,
	}, now)
	if !ok {
		return plan{}, false
	}
	chosen.prefill = p.endpoints[index]
	chosen.promptPieces = chosen.prefill.piecesFor(a.PromptTokens)
	chosen.decodePieces = p.piecesFor(a)
	if chosen.decode != nil {
		chosen.decodePieces = chosen.decode.piecesFor(a.PromptTokens + a.MaxTokens)
	}
	chosen.prefillTokens = max(1, float64(a.PromptTokens)-float64(cached)*p.blockTokens())
	if chosen.decode == nil && !p.promises(a, &chosen, now) {
		return plan{}, false
	}
	return chosen, p.admits(&chosen, now)
}

// admits tells whether the prefill may start now.
func (p *Pool) admits(chosen *plan, now time.Time) bool {
	if chosen.prefill.waiting(now) > p.options.PrefillDepth.Seconds() {
		return false
	}
	if p.options.Unreserved {
		return true
	}
	return chosen.prefill.fits(chosen.promptPieces) && p.link.fits(chosen.promptPieces)
}

// placeDecode gives the least used decode engine that has room; nil: none.
func (p *Pool) placeDecode(a *wish, exclude []int32) *endpoint {
	for place := range min(decodeCandidates, p.decode.Len()) {
		e := p.endpoints[p.decode.At(place)]
		if containsIndex(exclude, e.index) {
			continue
		}
		if p.options.Unreserved || e.fits(e.piecesFor(a.PromptTokens+a.MaxTokens)) {
			return e
		}
	}
	return nil
}

// excluded gives the numbers of the endpoints that an ask excludes; they are
// looked up once for each revision of the declarations.
func (p *Pool) excluded(w *wish) []int32 {
	if w.installed != p.installed {
		w.installed = p.installed
		w.exclude = w.exclude[:0]
		for _, name := range w.Exclude {
			if e := p.byName[name]; e != nil {
				w.exclude = append(w.exclude, e.index)
			}
		}
	}
	return w.exclude
}

func containsIndex(list []int32, index int32) bool {
	for _, i := range list {
		if i == index {
			return true
		}
	}
	return false
}

func (p *Pool) blockTokens() float64 {
	return float64(p.cache.BlockTokens())
}

// refresh brings the tables up to date with an endpoint.
func (p *Pool) refresh(e *endpoint, now time.Time) {
	usable := p.usable(e, now)
	if !usable && !e.leaving && !e.heldBack {
		e.heldBack = true
		p.heldBack = append(p.heldBack, e)
	}
	if usable && e.prefills {
		p.prefill.Set(e.index, p.seconds(now)+e.waiting(now))
	} else {
		p.prefill.Remove(e.index)
	}
	if usable && e.decodes {
		p.decode.Set(e.index, e.utilization())
	} else {
		p.decode.Remove(e.index)
	}
}

// refreshHeldBack looks again at the endpoints that could get no work for a
// time: they warm up or are avoided.
func (p *Pool) refreshHeldBack(now time.Time) {
	held := p.heldBack
	p.heldBack = nil
	for _, e := range held {
		e.heldBack = false
		p.refresh(e, now)
	}
}

// seconds gives a time as seconds since the pool's first event.
func (p *Pool) seconds(now time.Time) float64 {
	return now.Sub(p.born).Seconds()
}

// usable tells whether an endpoint may get new work.
func (p *Pool) usable(e *endpoint, now time.Time) bool {
	if e.leaving {
		return false
	}
	if !e.reported && now.Sub(p.born) < p.options.WarmUp {
		return false
	}
	if e.stale && p.trustsReports() {
		return false
	}
	return e.health.usable(now, len(e.holds) > 0)
}

// linkRoom counts the pieces that are granted and have not passed the link.
// Even if all came at once, the last must arrive within its result's life.
type linkRoom struct {
	rate        float64           // pieces a second, 0: no limit
	limit       identifier.Pieces // 0: no limit
	outstanding identifier.Pieces
}

func (l *linkRoom) configure(link *compiler.Link, resultLife time.Duration) {
	l.limit, l.rate = 0, 0
	if link != nil && link.Rate > 0 {
		l.rate = link.Rate
		l.limit = max(1, identifier.Pieces(link.Rate*resultLife.Seconds()*linkShare))
	}
}

// time gives how long a prompt's transfer takes by itself.
func (l *linkRoom) time(prompt, perPiece identifier.Tokens) time.Duration {
	if l.rate == 0 {
		return 0
	}
	return seconds(float64(prompt) / float64(max(1, perPiece)) / l.rate)
}

// fits lets a transfer that is above the limit by itself pass alone.
func (l *linkRoom) fits(pieces identifier.Pieces) bool {
	return l.limit == 0 || l.outstanding == 0 || l.outstanding+pieces <= l.limit
}
