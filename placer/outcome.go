package placer

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// minAvoidance and maxAvoidance limit how long a failed endpoint is
	// avoided before the next probe.
	minAvoidance = 300 * time.Millisecond
	maxAvoidance = time.Second
	// latencySmoothing and failureSmoothing are the weights of a call in the
	// exponential moving averages of latency and failure rate.
	latencySmoothing = 0.1
	failureSmoothing = 0.12
	// maxDoublings limits the exponential backoff of minAvoidance and
	// unfitBackoff.
	maxDoublings = 4
	// unfitBackoff is how long an engine is skipped after it refused a request
	// that it had a reservation for: it may be changing its stage. The backoff
	// doubles with each further refusal.
	unfitBackoff = 200 * time.Millisecond
	// fullBackoff is how long an engine is skipped after it refused a request
	// for lack of capacity.
	fullBackoff = 60 * time.Millisecond
)

// DueProbes returns the registered endpoints that are avoided and due for a
// probe. An endpoint is not returned again until RecordProbe records the result.
func (p *Placer) DueProbes(registered func(identifier.Endpoint) bool, now time.Time) []identifier.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []identifier.Endpoint
	for name, s := range p.states {
		if s.consecutiveFailures == 0 || s.probing || now.Before(s.avoidUntil) || !registered(name) {
			continue
		}
		s.probing = true
		due = append(due, name)
	}
	return due
}

// RecordProbe records whether a probe reached an avoided endpoint.
func (p *Placer) RecordProbe(e *registrar.Endpoint, reached bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(e)
	s.probing = false
	s.unreachable = !reached
	if reached {
		s.consecutiveFailures = 0
		p.dataCenter(e).reset()
		return
	}
	s.avoid(now)
}

// Begin records the start of a call to e of the given size.
func (p *Placer) Begin(e *registrar.Endpoint, z Size) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(e)
	s.running++
	s.tokens += z.Tokens
	s.outputs += z.squaredOutput()
}

// End reverses the effect of Begin at the end of a call.
func (p *Placer) End(e *registrar.Endpoint, z Size) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(e)
	s.running = max(0, s.running-1)
	s.tokens -= min(s.tokens, z.Tokens)
	s.outputs = max(0, s.outputs-z.squaredOutput())
}

// RecordOutcome updates the state of e with the outcome of a call, and reports
// whether that outcome caused e to be avoided.
func (p *Placer) RecordOutcome(e *registrar.Endpoint, o Outcome, now time.Time) (avoided bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(e)
	failuresBefore := s.consecutiveFailures
	p.dataCenter(e).recordVerdict(o.Verdict, now)
	switch o.Verdict {
	case VerdictSuccess:
		s.recordSuccess(o.Latency)
	case VerdictServerError:
		s.clearFailures()
		s.failureRate += failureSmoothing * (1 - s.failureRate)
	case VerdictAtCapacity:
		s.clearFailures()
		s.fullUntil = now.Add(fullBackoff)
		s.refusedAt = now
	case VerdictReservationRefused:
		s.consecutiveUnfit++
		s.fullUntil = now.Add(unfitBackoff << min(s.consecutiveUnfit-1, maxDoublings))
	case VerdictResponseFailed:
		s.recordFailure(now)
	case VerdictUnreachable:
		s.unreachable = true
		s.recordFailure(now)
	case VerdictNone:
	}
	return failuresBefore == 0 && s.consecutiveFailures > 0
}

// RecordSlowness records that an engine took ratio times as long as expected for a call.
func (p *Placer) RecordSlowness(e *registrar.Endpoint, ratio float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(e).slowness.Record(ratio, now)
}

// RecordMinSlowness records that a call to an engine was given up after ratio times as
// long as expected.
func (p *Placer) RecordMinSlowness(e *registrar.Endpoint, ratio float64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(e).slowness.RecordAtLeast(ratio, now)
}

// Slowness returns how many times as long as expected an engine takes.
func (p *Placer) Slowness(e *registrar.Endpoint, now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(e).slowness.At(now)
}

// recentRefusal is how long after a refusal an endpoint that has accepted nothing since
// is likely to refuse another call.
const recentRefusal = time.Second

// LikelyRefuses reports whether e refused its last call for lack of capacity a short
// time ago.
func (p *Placer) LikelyRefuses(e *registrar.Endpoint, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.state(e).refusedAt) < recentRefusal
}

// RecordLoad stores the load that an endpoint reported.
func (p *Placer) RecordLoad(e *registrar.Endpoint, l Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(e)
	s.load = l
	s.loadReportedAt = now
	s.sharesMachine = s.sharesMachine || l.Slowdown > 0
}

// SharesMachines reports whether any of the endpoints shares its machine with others: whether
// it has ever reported a slowdown of it.
func (p *Placer) SharesMachines(all []*registrar.Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range all {
		if p.state(e).sharesMachine {
			return true
		}
	}
	return false
}

func (s *endpointState) clearFailures() {
	s.consecutiveFailures = 0
	s.unreachable = false
}

func (s *endpointState) recordSuccess(latency time.Duration) {
	s.clearFailures()
	s.consecutiveUnfit = 0
	s.refusedAt = time.Time{}
	s.failureRate -= failureSmoothing * s.failureRate
	if latency <= 0 {
		return
	}
	if s.latency == 0 {
		s.latency = latency.Seconds()
	}
	s.latency += latencySmoothing * (latency.Seconds() - s.latency)
}

// recordFailure starts or extends the avoidance of an endpoint that failed.
// Failures during the avoidance, such as those of concurrent calls, don't extend
// it.
func (s *endpointState) recordFailure(now time.Time) {
	s.failureRate += failureSmoothing * (1 - s.failureRate)
	if s.consecutiveFailures > 0 && now.Before(s.avoidUntil) {
		return
	}
	s.avoid(now)
}

func (s *endpointState) avoid(now time.Time) {
	s.avoidUntil = now.Add(min(maxAvoidance, minAvoidance<<min(s.consecutiveFailures, maxDoublings)))
	s.consecutiveFailures++
}
