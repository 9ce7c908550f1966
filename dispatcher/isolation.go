package dispatcher

import (
	"context"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/fingerprinter"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/quarantiner"
)

// requestTraits returns the traits of a request to a service as a whole.
func requestTraits(procedure string, s *compiler.Service, c *compiler.Customer, content []byte) []identifier.Trait {
	return quarantiner.RequestTraits(fingerprinter.Of(fingerprinter.Request{
		Method: procedure,
		Target: string(s.Name),
		Body:   content,
		Caller: []string{string(c.Name)},
	}))
}

// enter checks, right before a call to an endpoint, whether the request may end it.
func (d *Dispatcher) enter(ctx context.Context, s *compiler.Service, at *compiler.Endpoint, p quarantiner.Phase, id identifier.Request, traits []identifier.Trait) (*isolator.Call, error) {
	return d.deps.Isolator.Enter(ctx, isolator.Engine{Service: s.Name, Name: at.Name, Address: at.Address}, p, id, traits)
}
