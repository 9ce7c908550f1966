package allocator

import (
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// capacity summarizes the endpoints that are not leaving.
type capacity struct {
	canPrefill, canDecode bool
	// maxTokens is the number of tokens that the largest decode engine holds.
	maxTokens identifier.Tokens
}

// updateCapacity must be called when endpoints are added or start to leave.
func (p *Pool) updateCapacity() {
	p.capacity = capacity{}
	for _, e := range p.endpoints {
		if e.leaving {
			continue
		}
		p.capacity.canPrefill = p.capacity.canPrefill || e.prefills
		if e.decodes {
			p.capacity.canDecode = true
			p.capacity.maxTokens = max(p.capacity.maxTokens, identifier.Tokens(e.pieces)*e.tokensPerPiece)
		}
	}
}

// markLeaving marks an endpoint as leaving. Only SetServing clears the mark.
func (p *Pool) markLeaving(e *endpoint) {
	if e.leaving {
		return
	}
	e.leaving = true
	p.updateCapacity()
}
