package orderer

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/wire/enginewire"
)

// Observe converts an engine's report that was received at time now.
func Observe(report *enginewire.LoadResponse, now time.Time) Observation {
	models := make([]identifier.Model, len(report.GetModels()))
	for i, name := range report.GetModels() {
		models[i] = identifier.Model(name)
	}
	return Observation{
		Endpoint: identifier.Endpoint(report.GetEndpoint()),
		State: State{
			Role:     parseRole(report.GetRole()),
			Models:   sorted(models),
			Adapters: sorted(report.GetAdapters()),
			Version:  report.GetVersion(),
		},
		Fence: identifier.Revision(report.GetFence()),
		Time:  now.Add(-time.Duration(report.GetAgeMs()) * time.Millisecond),
	}
}

// Request returns the order in wire format.
func (o Order) Request() *enginewire.OrderRequest {
	request := &enginewire.OrderRequest{
		Fence:    uint64(o.Fence),
		Role:     o.State.Role.String(),
		Adapters: o.State.Adapters,
		Version:  o.State.Version,
	}
	for _, name := range o.State.Models {
		request.Models = append(request.Models, string(name))
	}
	return request
}

func parseRole(text string) compiler.Role {
	for _, r := range []compiler.Role{compiler.RolePrefill, compiler.RoleDecode, compiler.RoleBoth} {
		if r.String() == text {
			return r
		}
	}
	return 0
}
