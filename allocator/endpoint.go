package allocator

import (
	"slices"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// allocation is the slot and the pieces of a grant at one endpoint.
type allocation struct {
	grant  *grant
	pieces identifier.Pieces
}

// endpoint is the pool's state for an endpoint.
type endpoint struct {
	name           identifier.Endpoint
	index          int32
	prefills       bool
	decodes        bool
	slots          int
	pieces         identifier.Pieces
	tokensPerPiece identifier.Tokens
	leaving        bool
	// inRecheck is set while the endpoint is in the pool's recheck list.
	inRecheck bool

	allocations     []allocation
	allocatedPieces identifier.Pieces
	// foreignSlots and foreignPieces are held by attempts that the pool did
	// not grant, according to the latest report.
	foreignSlots  int
	foreignPieces identifier.Pieces

	backlog     backlog
	prefillRate float64
	stepTime    time.Duration

	reported   bool
	stale      bool
	reportedAt time.Time
	orphans    map[identifier.Attempt]time.Time
	health     health
}

func (e *endpoint) configure(d *compiler.Endpoint, index int32, o Options) {
	e.name = d.Name
	e.index = index
	e.prefills = d.Role.Accepts(compiler.RolePrefill)
	e.decodes = d.Role.Accepts(compiler.RoleDecode)
	e.slots = d.Slots
	e.pieces = d.Pieces
	e.tokensPerPiece = max(1, d.TokensPerPiece)
	if d.TokensPerPiece == 0 {
		e.tokensPerPiece = defaultTokensPerPiece
	}
	// A declaration does not clear the leaving mark, since it may be older
	// than the mark.
	e.leaving = e.leaving || d.Leaving
	if e.prefillRate == 0 {
		e.prefillRate = o.PrefillRate
		e.stepTime = o.StepTime
		e.orphans = map[identifier.Attempt]time.Time{}
	}
}

// piecesFor returns the number of pieces for the KV cache of tokens.
func (e *endpoint) piecesFor(tokens identifier.Tokens) identifier.Pieces {
	return identifier.Pieces((tokens + e.tokensPerPiece - 1) / e.tokensPerPiece)
}

// fits reports whether a slot and the pieces are free.
func (e *endpoint) fits(pieces identifier.Pieces) bool {
	return len(e.allocations)+e.foreignSlots < e.slots && e.allocatedPieces+e.foreignPieces+pieces <= e.pieces
}

func (e *endpoint) allocate(g *grant, pieces identifier.Pieces) {
	e.allocations = append(e.allocations, allocation{grant: g, pieces: pieces})
	e.allocatedPieces += pieces
}

func (e *endpoint) release(g *grant) {
	for i := range e.allocations {
		if e.allocations[i].grant == g {
			e.allocatedPieces -= e.allocations[i].pieces
			e.allocations = slices.Delete(e.allocations, i, i+1)
			return
		}
	}
}

// prefillWait returns the expected seconds until queued prefills have ended.
func (e *endpoint) prefillWait(now time.Time) float64 {
	return e.backlog.wait(e.prefillRate, now)
}

// utilization returns the used share of the slots or pieces, whichever is
// larger.
func (e *endpoint) utilization() float64 {
	slots := float64(len(e.allocations)+e.foreignSlots) / float64(max(1, e.slots))
	pieces := float64(e.allocatedPieces+e.foreignPieces) / float64(max(1, e.pieces))
	return max(slots, pieces)
}

func sortedEndpoints(all map[identifier.Endpoint]*endpoint) []*endpoint {
	sorted := make([]*endpoint, 0, len(all))
	for _, e := range all {
		sorted = append(sorted, e)
	}
	slices.SortFunc(sorted, func(a, b *endpoint) int {
		return strings.Compare(string(a.name), string(b.name))
	})
	return sorted
}
