package allocator

import (
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// room sums up the endpoints that stay.
type room struct {
	prefills, decodes bool
	// largest is the tokens that the largest decode engine holds.
	largest identifier.Tokens
}

// sumUp is called when endpoints come or leave.
func (p *Pool) sumUp() {
	p.room = room{}
	for _, e := range p.endpoints {
		if e.leaving {
			continue
		}
		p.room.prefills = p.room.prefills || e.prefills
		if e.decodes {
			p.room.decodes = true
			p.room.largest = max(p.room.largest, identifier.Tokens(e.pieces)*e.perPiece)
		}
	}
}

// leave marks an endpoint as leaving. Only SetServing undoes it.
func (p *Pool) leave(e *endpoint) {
	if e.leaving {
		return
	}
	e.leaving = true
	p.sumUp()
}
