package allocator

import (
	"slices"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// hold is what a grant takes at one endpoint.
type hold struct {
	grant  *grant
	pieces identifier.Pieces
}

// endpoint is what the pool knows of an endpoint.
type endpoint struct {
	name     identifier.Endpoint
	index    int32
	prefills bool
	decodes  bool
	slots    int
	pieces   identifier.Pieces
	perPiece identifier.Tokens
	leaving  bool
	// heldBack is set while the endpoint is in the pool's list of those that
	// are looked at again at each tick.
	heldBack bool

	holds      []hold
	heldPieces identifier.Pieces
	// foreignSlots and foreignPieces are held by attempts that the pool
	// didn't grant, by the latest report.
	foreignSlots  int
	foreignPieces identifier.Pieces

	backlog backlog
	rate    float64
	step    time.Duration

	reported   bool
	stale      bool
	reportedAt time.Time
	orphans    map[identifier.Attempt]time.Time
	health     health
}

func (e *endpoint) declare(d *compiler.Endpoint, index int32, o Options) {
	e.name = d.Name
	e.index = index
	e.prefills = d.Role.Takes(compiler.RolePrefill)
	e.decodes = d.Role.Takes(compiler.RoleDecode)
	e.slots = d.Slots
	e.pieces = d.Pieces
	e.perPiece = max(1, d.TokensPerPiece)
	if d.TokensPerPiece == 0 {
		e.perPiece = defaultTokensPerPiece
	}
	// A leaving mark is not undone by a declaration, which may be older.
	e.leaving = e.leaving || d.Leaving
	if e.rate == 0 {
		e.rate = o.PrefillRate
		e.step = o.Step
		e.orphans = map[identifier.Attempt]time.Time{}
	}
}

// piecesFor gives the pieces that tokens' KV cache takes.
func (e *endpoint) piecesFor(tokens identifier.Tokens) identifier.Pieces {
	return identifier.Pieces((tokens + e.perPiece - 1) / e.perPiece)
}

// fits tells whether a slot and the pieces are free.
func (e *endpoint) fits(pieces identifier.Pieces) bool {
	return len(e.holds)+e.foreignSlots < e.slots && e.heldPieces+e.foreignPieces+pieces <= e.pieces
}

func (e *endpoint) hold(g *grant, pieces identifier.Pieces) {
	e.holds = append(e.holds, hold{grant: g, pieces: pieces})
	e.heldPieces += pieces
}

func (e *endpoint) release(g *grant) {
	for i := range e.holds {
		if e.holds[i].grant == g {
			e.heldPieces -= e.holds[i].pieces
			e.holds = slices.Delete(e.holds, i, i+1)
			return
		}
	}
}

// waiting gives the seconds of prefill that are expected to wait at now.
func (e *endpoint) waiting(now time.Time) float64 {
	return e.backlog.waiting(e.rate, now)
}

func (e *endpoint) utilization() float64 {
	slots := float64(len(e.holds)+e.foreignSlots) / float64(max(1, e.slots))
	pieces := float64(e.heldPieces+e.foreignPieces) / float64(max(1, e.pieces))
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
