package reserver

import (
	"slices"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// maxSharedExclusions bounds the engines that a placement request excludes
// because they asked this host for no calls. A plan that names another such
// engine isn't carried out, and the request is placed again.
const maxSharedExclusions = 64

// usableEngines returns the engines that may get new calls from this host.
func (r *Reserver) usableEngines(all []*registrar.Endpoint) []*registrar.Endpoint {
	if r.deps.Exclusions == nil {
		return all
	}
	return r.deps.Exclusions.Usable(all)
}

// stayingEngines returns the engines that are not known to be leaving.
func (r *Reserver) stayingEngines(all []*registrar.Endpoint) []*registrar.Endpoint {
	if r.deps.Exclusions == nil {
		return all
	}
	return r.deps.Exclusions.Staying(all)
}

// noDecoder returns the refusal of a request for which no decode engine is usable.
func (r *Reserver) noDecoder(all []*registrar.Endpoint, s identifier.Service) error {
	if countDecoders(all) == 0 || r.deps.Exclusions == nil {
		return classifier.NotRun(classifier.ReasonNoEndpoint, classifier.Jitter(noEndpointRetryAfter), "service %q has no decode engine", s)
	}
	wait := r.deps.Exclusions.RetryAfter(decoders(all), noEndpointRetryAfter)
	return classifier.NotRun(classifier.ReasonNoEndpoint, wait, "all decode engines of service %q asked for no calls", s)
}

// excludeUnusable excludes the engines that asked this host for no calls from a
// request, since another host may place it. It returns an error if no decode
// engine is left.
func (r *Reserver) excludeUnusable(req *PlacementRequest) error {
	all := r.deps.Registry.Snapshot().Endpoints(req.Service)
	usable := r.usableEngines(all)
	if len(usable) == len(all) {
		return nil
	}
	if countDecoders(usable) == 0 && countDecoders(all) > 0 {
		return r.noDecoder(all, req.Service)
	}
	req.Exclude = slices.Clip(req.Exclude)
	req.ExcludePrefill = slices.Clip(req.ExcludePrefill)
	shared := 0
	for _, e := range all {
		if e.Leaving || slices.Contains(usable, e) || shared == maxSharedExclusions {
			continue
		}
		shared++
		req.Exclude = append(req.Exclude, e.Name)
		req.ExcludePrefill = append(req.ExcludePrefill, e.Name)
	}
	return nil
}

// decoders returns the engines that decode.
func decoders(all []*registrar.Endpoint) []*registrar.Endpoint {
	var list []*registrar.Endpoint
	for _, e := range all {
		if e.AcceptsDecode() {
			list = append(list, e)
		}
	}
	return list
}
