// Package placer is a load balancer: it chooses the endpoint for a call from
// this host's calls in flight and the endpoints' reported load, latency and
// failures. It only makes decisions: it performs no I/O, reads no clock and
// starts no goroutines.
//
// # Usage
//
//	p := placer.New(placer.Options{DataCenter: "tw-north-1"}, seed)
//	e := p.ChoosePlain(snapshot.Endpoints("dealer-desk"), exclude, now)
//	p.Begin(e, placer.Size{})
//	...
//	p.End(e, placer.Size{})
//	p.RecordOutcome(e, placer.Outcome{...}, now)
//
// # Health of endpoints
//
// An endpoint that refuses connections, stops responding or sends malformed
// data is avoided until a connection to it succeeds. [Placer.DueProbes] returns the
// endpoints to probe, at intervals that double with each failure. An endpoint
// that responds slowly or with errors only gets a higher cost, since healthy
// endpoints also return such responses. An avoided endpoint gets calls only if
// there is no other; an unreachable one gets none.
//
// After several consecutive calls to endpoints in a data center got no
// response, the data center is suspect for a while: all of its endpoints rank
// below healthy ones, but above those that failed themselves.
package placer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/estimator"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// successRateExponent is the exponent of the success rate by which the
	// cost of an endpoint is divided.
	successRateExponent = 4
	// maxAssumedLatency is the highest latency that is assumed of an endpoint without
	// measurements.
	maxAssumedLatency = 20 * time.Millisecond
	// remoteFactor multiplies the cost of endpoints in other data centers.
	remoteFactor = 1.15
	// remoteDecodeFactor multiplies the cost of decode engines outside the
	// request's preferred data center.
	remoteDecodeFactor = 1.4
	// loadReportTTL is how long a load report of an endpoint is used.
	loadReportTTL = 500 * time.Millisecond
)

// Options configures a Placer.
type Options struct {
	// DataCenter is this host's data center. Its endpoints are preferred.
	DataCenter identifier.DataCenter
}

// Verdict classifies the result of a call by what it implies for the
// endpoint's health.
type Verdict uint8

// Verdicts on endpoints.
const (
	// VerdictSuccess means that the endpoint responded successfully.
	VerdictSuccess Verdict = iota
	// VerdictServerError means that the endpoint responded with an error.
	VerdictServerError
	// VerdictAtCapacity means that the endpoint refused the call for lack of
	// capacity.
	VerdictAtCapacity
	// VerdictReservationRefused means that the endpoint refused a call that
	// it had a reservation for.
	VerdictReservationRefused
	// VerdictResponseFailed means that the response was interrupted, was malformed
	// or timed out.
	VerdictResponseFailed
	// VerdictUnreachable means that no connection could be opened.
	VerdictUnreachable
	// VerdictNone means that the call doesn't count: the caller canceled it,
	// or another endpoint responded first.
	VerdictNone
)

// Outcome is the result of a call to an endpoint.
type Outcome struct {
	Verdict Verdict
	// Latency is the time until the response of a successful call was
	// complete, or a plain stream's first event arrived; 0 means unknown.
	Latency time.Duration
	// FirstEvent is the time until the first event of a model engine's response;
	// 0 means unknown.
	FirstEvent time.Duration
	// EventInterval is the mean time between two events of a model engine's response,
	// complete or not; 0 means unknown.
	EventInterval time.Duration
}

// Load is the load that an endpoint reports.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual work takes on the endpoint's machine
	// at this moment; 0 means unknown.
	Slowdown float64
}

// Placer tracks the load and health of endpoints. It is safe for concurrent
// use.
type Placer struct {
	options Options

	mu          sync.Mutex
	random      *rand.Rand
	states      map[identifier.Endpoint]*endpointState
	dataCenters map[identifier.DataCenter]*dataCenterHealth
}

// endpointState is what this host has observed of an endpoint.
type endpointState struct {
	started        int64
	running        int // calls of this host in flight
	tokens         identifier.Tokens
	outputs        float64 // sum of the squares of expected outputs, in tokens
	latency        float64 // seconds; 0: unknown
	failureRate    float64 // moving average, between 0 and 1
	slowness       estimator.Slowness
	load           Load
	loadReportedAt time.Time
	sharesMachine  bool // has reported a slowdown of its machine

	consecutiveFailures int
	// unreachable is set by a failed connection attempt and cleared by a
	// successful one.
	unreachable      bool
	avoidUntil       time.Time
	probing          bool // a probe is in flight
	fullUntil        time.Time
	refusedAt        time.Time // last refusal for lack of capacity since a success
	consecutiveUnfit int       // refusals of reserved requests
}

// New creates a Placer without observations. Its random choices are determined
// by seed.
func New(o Options, seed uint64) *Placer {
	return &Placer{
		options:     o,
		random:      rand.New(rand.NewPCG(seed, seed)),
		states:      map[identifier.Endpoint]*endpointState{},
		dataCenters: map[identifier.DataCenter]*dataCenterHealth{},
	}
}

// state returns the state of e, which is reset if e has restarted, but for whether it
// shares its machine. The caller must hold p.mu.
func (p *Placer) state(e *registrar.Endpoint) *endpointState {
	s := p.states[e.Name]
	if s == nil || s.started != e.StartID {
		s = &endpointState{started: e.StartID, sharesMachine: s != nil && s.sharesMachine}
		p.states[e.Name] = s
	}
	return s
}

// Forget removes the state of endpoints that are no longer registered.
func (p *Placer) Forget(registered func(identifier.Endpoint) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.states {
		if !registered(name) {
			delete(p.states, name)
		}
	}
}

// ChoosePlain chooses an endpoint of a plain service. It returns nil if none is
// available. Suspect and avoided endpoints are chosen only if there are no
// others.
func (p *Placer) ChoosePlain(all []*registrar.Endpoint, exclude []identifier.Endpoint, now time.Time) *registrar.Endpoint {
	unmeasured := sync.OnceValue(func() float64 { return p.unmeasuredLatency(all) })
	return p.cheapest(all, exclude, now, func(e *registrar.Endpoint, s *endpointState) float64 {
		latency := s.latency
		if latency == 0 {
			latency = unmeasured()
		}
		return latency * p.plainFactor(e, s, now)
	})
}

// Healthiest returns the endpoints of the best health that any has, without those that are
// excluded, leaving or unreachable.
func (p *Placer) Healthiest(all []*registrar.Endpoint, exclude []identifier.Endpoint, now time.Time) []*registrar.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best []*registrar.Endpoint
	least := rankCount
	for _, e := range all {
		if e.Leaving || p.state(e).unreachable || contains(exclude, e.Name) {
			continue
		}
		k := p.rank(e, now)
		if k < least {
			best, least = nil, k
		}
		if k == least {
			best = append(best, e)
		}
	}
	return best
}

// FailureFactor returns the factor by which the failures of e raise its cost; at least 1.
func (p *Placer) FailureFactor(e *registrar.Endpoint) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(e).failureFactor()
}

// failureFactor returns the inverse of the success rate, raised to a power.
func (s *endpointState) failureFactor() float64 {
	return 1 / math.Pow(max(0.05, 1-s.failureRate), successRateExponent)
}

// unmeasuredLatency returns the latency in seconds that is assumed of an endpoint
// without measurements: no more than the least that was measured at the others, so that
// it gets calls and can be measured. The caller must hold p.mu.
func (p *Placer) unmeasuredLatency(all []*registrar.Endpoint) float64 {
	least := maxAssumedLatency.Seconds()
	for _, e := range all {
		if l := p.state(e).latency; l > 0 {
			least = min(least, l)
		}
	}
	return least
}

// plainFactor returns the factor by which the load, the failure rate and the locality
// of the endpoint increase the cost of a call.
func (p *Placer) plainFactor(e *registrar.Endpoint, s *endpointState, now time.Time) float64 {
	slots := float64(max(1, e.Slots))
	inFlight := float64(s.running)
	if now.Sub(s.loadReportedAt) < loadReportTTL {
		inFlight = max(inFlight, float64(s.load.Running+s.load.Waiting))
	}
	return (1 + inFlight/slots) * s.failureFactor() * p.localityFactor(e)
}

func decodeLocalityFactor(e *registrar.Endpoint, near identifier.DataCenter) float64 {
	if e.DataCenter == near {
		return 1
	}
	return remoteDecodeFactor
}

func (p *Placer) localityFactor(e *registrar.Endpoint) float64 {
	if e.DataCenter == p.options.DataCenter {
		return 1
	}
	return remoteFactor
}

// PrefillDemand describes a prefill.
type PrefillDemand struct {
	Prompt identifier.Tokens
	// PreferredDataCenter is where the prefill's result is needed.
	PreferredDataCenter identifier.DataCenter
}

// ChoosePrefill chooses the engine that is expected to complete a prefill first. It
// returns nil if all engines are avoided.
func (p *Placer) ChoosePrefill(all []*registrar.Endpoint, d PrefillDemand, exclude []identifier.Endpoint, now time.Time) *registrar.Endpoint {
	chosen, rank := p.choose(all, exclude, now, func(e *registrar.Endpoint, s *endpointState) float64 {
		if e.Stage == registrar.StageDecode {
			return math.Inf(1)
		}
		cost := float64(s.tokens) + baseCostTokens
		if now.Sub(s.loadReportedAt) < loadReportTTL {
			others := max(0, s.load.Running+s.load.Waiting-s.running)
			cost += float64(others) * assumedPromptTokens
		}
		slowness := s.slowness.At(now)
		cost = slowness*cost + (slowness-1)*float64(d.Prompt)
		if e.DataCenter != d.PreferredDataCenter {
			cost += remotePrefillTokens
		}
		return cost * s.failureFactor()
	})
	if rank == rankAvoided {
		return nil
	}
	return chosen
}

// AssignedTokens returns the number of tokens that calls of this host occupy on e.
func (p *Placer) AssignedTokens(e *registrar.Endpoint) identifier.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(e).tokens
}

const (
	// baseCostTokens keeps the cost of idle engines above zero, so that their
	// failure rates still distinguish them.
	baseCostTokens = 1000
	// assumedPromptTokens is the length assumed for prompts from other hosts.
	assumedPromptTokens = 5000
	// remotePrefillTokens is the cost of transferring a KV cache to another
	// data center, expressed in prompt tokens.
	remotePrefillTokens = 800
)

// Size is the memory that a call occupies at an endpoint. It is zero for calls to
// plain services.
type Size struct {
	// Tokens is the number of tokens, including those of Output, the output that is
	// expected.
	Tokens, Output identifier.Tokens
}

// squaredOutput returns the square of the expected output.
func (z Size) squaredOutput() float64 {
	return float64(z.Output) * float64(z.Output)
}

// CapacityDemand describes the decode capacity that a request needs.
type CapacityDemand struct {
	Size
	// Memory is the KV cache capacity of an engine in tokens; 0 means unknown.
	Memory identifier.Tokens
	// OutputSpread is the standard deviation of outputs as a share of the expected
	// ones; 0 means unknown.
	OutputSpread float64
	// MaxSlowness is the slowness of an engine from which the response would not be
	// complete in time; 0 means unknown.
	MaxSlowness float64
	// PreferredDataCenter is the preferred data center, that of the request's home
	// host: engines there stay reachable when the links to other data centers
	// fail. It defaults to this host's.
	PreferredDataCenter identifier.DataCenter
	// MaxEngines is the maximum number of engines to return.
	MaxEngines int
}

// DecodeCandidates returns up to r.MaxEngines engines that are expected to have
// capacity, by ascending cost. It returns avoided and suspect engines only if
// no healthy decode engine is registered, even a full one.
func (p *Placer) DecodeCandidates(all []*registrar.Endpoint, exclude []identifier.Endpoint, r CapacityDemand, now time.Time) []*registrar.Endpoint {
	preferred := cmp.Or(r.PreferredDataCenter, p.options.DataCenter)
	var list []*registrar.Endpoint
	anyHealthy := len(p.HealthyDecodeEngines(all, exclude, now)) > 0
	for len(list) < r.MaxEngines {
		e, rank := p.choose(all, append(exclude, names(list)...), now, func(e *registrar.Endpoint, s *endpointState) float64 {
			if e.Stage == registrar.StagePrefill || !r.fits(s, now) {
				return math.Inf(1)
			}
			cost := (float64(s.tokens) + baseCostTokens) * s.slowness.At(now)
			return cost * decodeLocalityFactor(e, preferred) * s.failureFactor()
		})
		if e == nil || rank != rankHealthy && anyHealthy {
			return list
		}
		list = append(list, e)
	}
	return list
}

// HasCapacity reports whether an engine is expected to have capacity for a request.
func (p *Placer) HasCapacity(name identifier.Endpoint, r CapacityDemand, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[name]
	return s == nil || r.fits(s, now)
}

// fits reports whether an engine is expected to have capacity for the request and to
// be fast enough.
func (r *CapacityDemand) fits(s *endpointState, now time.Time) bool {
	return !now.Before(s.fullUntil) && !r.exceedsMemory(s) && !r.tooSlow(s, now)
}

// tooSlow reports whether the response would not be complete in time. An engine without
// calls never is, so that it is measured again.
func (r *CapacityDemand) tooSlow(s *endpointState, now time.Time) bool {
	return r.MaxSlowness > 0 && s.running > 0 && s.slowness.At(now) > max(1, r.MaxSlowness)
}

// HealthyDecodeEngines returns the decode engines that are neither avoided nor
// suspect, including full ones.
func (p *Placer) HealthyDecodeEngines(all []*registrar.Endpoint, exclude []identifier.Endpoint, now time.Time) []identifier.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var healthy []identifier.Endpoint
	for _, e := range all {
		if e.AcceptsDecode() && !contains(exclude, e.Name) && p.rank(e, now) == rankHealthy {
			healthy = append(healthy, e.Name)
		}
	}
	return healthy
}

// exceedsMemory reports whether the request would exceed the engine's memory,
// going by the calls of this host. Outputs vary around what is expected; engines
// don't hold memory for that and preempt requests when they run out of it, so one
// standard deviation of all outputs together is left free. An engine without calls
// always fits.
func (r *CapacityDemand) exceedsMemory(s *endpointState) bool {
	if r.Memory <= 0 || s.tokens == 0 {
		return false
	}
	deviation := r.OutputSpread * math.Sqrt(s.outputs+r.squaredOutput())
	return float64(s.tokens+r.Tokens)+deviation > float64(r.Memory)
}

func names(list []*registrar.Endpoint) []identifier.Endpoint {
	all := make([]identifier.Endpoint, len(list))
	for i, e := range list {
		all[i] = e.Name
	}
	return all
}

// cheapest returns the endpoint chosen by choose, without its rank.
func (p *Placer) cheapest(all []*registrar.Endpoint, exclude []identifier.Endpoint, now time.Time, cost func(*registrar.Endpoint, *endpointState) float64) *registrar.Endpoint {
	e, _ := p.choose(all, exclude, now, cost)
	return e
}

// rank orders endpoints by health; lower is better.
type rank uint8

const (
	rankHealthy rank = iota
	// rankSuspect is the rank of endpoints in a data center that is suspected
	// to be unreachable.
	rankSuspect
	// rankAvoided is the rank of endpoints that failed.
	rankAvoided
	rankCount
)

// rank returns the health rank of an endpoint. The caller must hold p.mu.
func (p *Placer) rank(e *registrar.Endpoint, now time.Time) rank {
	switch {
	case p.state(e).consecutiveFailures > 0:
		return rankAvoided
	case p.dataCenter(e).suspect(now):
		return rankSuspect
	default:
		return rankHealthy
	}
}

// choose returns the cheapest endpoint of the best rank that has any. Endpoints
// with infinite cost are ineligible.
func (p *Placer) choose(all []*registrar.Endpoint, exclude []identifier.Endpoint, now time.Time, cost func(*registrar.Endpoint, *endpointState) float64) (*registrar.Endpoint, rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best [rankCount]*registrar.Endpoint
	least := [rankCount]float64{math.Inf(1), math.Inf(1), math.Inf(1)}
	for _, e := range all {
		s := p.state(e)
		if e.Leaving || s.unreachable || contains(exclude, e.Name) {
			continue
		}
		c := cost(e, s) * (1 + costJitter*p.random.Float64())
		if k := p.rank(e, now); c < least[k] {
			best[k], least[k] = e, c
		}
	}
	for k, e := range best {
		if e != nil {
			return e, rank(k)
		}
	}
	return nil, rankAvoided
}

// costJitter is the maximum relative increase of a cost by randomization, which
// keeps hosts with the same observations from all choosing the same endpoint.
const costJitter = 0.02

func contains(list []identifier.Endpoint, name identifier.Endpoint) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}
