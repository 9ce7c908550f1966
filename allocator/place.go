package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/router"
)

const (
	// decodeCandidates is the maximum number of decode engines that one
	// placement considers.
	decodeCandidates = 8
	// linkShare is the share of ResultTTL within which the link must be able
	// to complete all granted transfers.
	linkShare = 0.8
)

// plan is the placement of an attempt.
type plan struct {
	prefill       *endpoint
	decode        *endpoint
	promptPieces  identifier.Pieces
	decodePieces  identifier.Pieces
	prefillTokens float64
	wait          time.Duration
}

// place plans an attempt; false: it has to wait. It allocates no memory.
func (p *Pool) place(a *pendingRequest, now time.Time) (plan, bool) {
	exclude := p.excluded(a)
	var chosen plan
	if !p.hasUnbound(a.Urgency) {
		chosen.decode = p.placeDecode(a, exclude)
	}
	if chosen.decode == nil && !p.options.LateBinding {
		return plan{}, false
	}
	index, cached, ok := p.prefillPolicy.Pick(p.prefillTable, router.Query{
		Blocks:       a.Blocks,
		PromptTokens: a.PromptTokens,
		Clock:        p.secondsSinceStart(now),
		Rate:         p.prefillRate(),
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
	if chosen.decode == nil && !p.canBindLate(a, &chosen, now) {
		return plan{}, false
	}
	return chosen, p.canStart(&chosen, now)
}

// canStart reports whether the prefill may start now.
func (p *Pool) canStart(chosen *plan, now time.Time) bool {
	if chosen.prefill.prefillWait(now) > p.options.MaxPrefillWait.Seconds() {
		return false
	}
	if p.options.IgnoreReservations {
		return true
	}
	return chosen.prefill.fits(chosen.promptPieces) && p.link.fits(chosen.promptPieces)
}

// placeDecode returns the least utilized decode engine with capacity; nil: none.
func (p *Pool) placeDecode(a *pendingRequest, exclude []int32) *endpoint {
	for rank := range min(decodeCandidates, p.decodeTable.Len()) {
		e := p.endpoints[p.decodeTable.At(rank)]
		if containsIndex(exclude, e.index) {
			continue
		}
		if p.options.IgnoreReservations || e.fits(e.piecesFor(a.PromptTokens+a.MaxTokens)) {
			return e
		}
	}
	return nil
}

// excluded returns the indexes of the endpoints that a slot request excludes. They
// are cached per endpoint list.
func (p *Pool) excluded(a *pendingRequest) []int32 {
	if a.excludedVersion != p.endpointsVersion {
		a.excludedVersion = p.endpointsVersion
		a.excludedIndexes = a.excludedIndexes[:0]
		for _, name := range a.Exclude {
			if e := p.byName[name]; e != nil {
				a.excludedIndexes = append(a.excludedIndexes, e.index)
			}
		}
	}
	return a.excludedIndexes
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
	return float64(p.prefixCache.BlockTokens())
}

// refresh updates an endpoint's entries in the placement tables.
func (p *Pool) refresh(e *endpoint, now time.Time) {
	usable := p.usable(e, now)
	if !usable && !e.leaving && !e.inRecheck {
		e.inRecheck = true
		p.recheck = append(p.recheck, e)
	}
	if usable && e.prefills {
		p.prefillTable.Set(e.index, p.secondsSinceStart(now)+e.prefillWait(now))
	} else {
		p.prefillTable.Remove(e.index)
	}
	if usable && e.decodes {
		p.decodeTable.Set(e.index, e.utilization())
	} else {
		p.decodeTable.Remove(e.index)
	}
}

// recheckUnusable refreshes the endpoints that were temporarily unusable, for
// example during warm-up or after failures.
func (p *Pool) recheckUnusable(now time.Time) {
	endpoints := p.recheck
	p.recheck = nil
	for _, e := range endpoints {
		e.inRecheck = false
		p.refresh(e, now)
	}
}

// secondsSinceStart returns a time as secondsSinceStart since the pool's first event.
func (p *Pool) secondsSinceStart(now time.Time) float64 {
	return now.Sub(p.startedAt).Seconds()
}

// usable reports whether an endpoint may get new work.
func (p *Pool) usable(e *endpoint, now time.Time) bool {
	if e.leaving {
		return false
	}
	if !e.reported && now.Sub(p.startedAt) < p.options.WarmUp {
		return false
	}
	if e.stale && p.trustsReports() {
		return false
	}
	return e.health.usable(now, len(e.allocations) > 0)
}

// linkBudget counts the pieces that are granted but not yet transferred over
// the link. Its limit ensures that all transfers complete within ResultTTL
// even if they start at the same time.
type linkBudget struct {
	rate        float64           // pieces per second, 0: no limit
	limit       identifier.Pieces // 0: no limit
	outstanding identifier.Pieces
}

func (l *linkBudget) configure(link *compiler.Link, resultTTL time.Duration) {
	l.limit, l.rate = 0, 0
	if link != nil && link.Rate > 0 {
		l.rate = link.Rate
		l.limit = max(1, identifier.Pieces(link.Rate*resultTTL.Seconds()*linkShare))
	}
}

// transferTime returns the duration of a prompt's transfer on an idle link.
func (l *linkBudget) transferTime(prompt, perPiece identifier.Tokens) time.Duration {
	if l.rate == 0 {
		return 0
	}
	return seconds(float64(prompt) / float64(max(1, perPiece)) / l.rate)
}

// fits reports whether the link has capacity for a transfer. A transfer above
// the limit fits only on an idle link.
func (l *linkBudget) fits(pieces identifier.Pieces) bool {
	return l.limit == 0 || l.outstanding == 0 || l.outstanding+pieces <= l.limit
}
