package placer

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// firstAvoidance and longestAvoidance bound how long an endpoint that
	// failed gets no calls.
	firstAvoidance   = 300 * time.Millisecond
	longestAvoidance = time.Second
	// latencyWeight and failureWeight are those of one call in the means.
	latencyWeight = 0.1
	failureWeight = 0.12
	// maxDoublings bounds how often firstAvoidance and unfitTime are doubled.
	maxDoublings = 4
	// unfitTime is how long an engine is left alone that refused what it had
	// reserved room for: it may be changing its stage. It doubles with each
	// further refusal.
	unfitTime = 200 * time.Millisecond
	// fullTime is how long an engine that refused for want of room is left
	// alone.
	fullTime = 60 * time.Millisecond
)

// Due gives the avoided endpoints that are to be probed now, of those that are
// registered. Each is given once, until Probed tells how it went.
func (p *Placer) Due(registered func(identifier.Endpoint) bool, now time.Time) []identifier.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []identifier.Endpoint
	for name, s := range p.states {
		if s.broken == 0 || s.probing || now.Before(s.avoidUntil) || !registered(name) {
			continue
		}
		s.probing = true
		due = append(due, name)
	}
	return due
}

// Probed notes whether an avoided endpoint can be reached again.
func (p *Placer) Probed(e *registrar.Endpoint, reached bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(e)
	s.probing = false
	s.unreachable = !reached
	if reached {
		s.broken = 0
		p.place(e).answered()
		return
	}
	s.avoid(now)
}

// Begin counts a call to e, and the tokens that it takes there. It gives the
// calls that run there now.
func (p *Placer) Begin(e *registrar.Endpoint, tokens identifier.Tokens) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(e)
	s.running++
	s.tokens += tokens
	return s.running
}

// End takes back what Begin has counted.
func (p *Placer) End(e *registrar.Endpoint, tokens identifier.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(e)
	s.running = max(0, s.running-1)
	s.tokens -= min(s.tokens, tokens)
}

// Judge draws the consequences of how a call to e ended, and tells whether e is
// avoided since just now.
func (p *Placer) Judge(e *registrar.Endpoint, o Outcome, now time.Time) (avoided bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(e)
	before := s.broken
	p.place(e).judge(o.Verdict, now)
	switch o.Verdict {
	case VerdictSound:
		s.sound(o.Latency)
	case VerdictFailure:
		s.recover()
		s.failures += failureWeight * (1 - s.failures)
	case VerdictFull:
		s.recover()
		s.fullUntil = now.Add(fullTime)
	case VerdictUnfit:
		s.unfit++
		s.fullUntil = now.Add(unfitTime << min(s.unfit-1, maxDoublings))
	case VerdictBroken:
		s.fail(now)
	case VerdictUnreachable:
		s.unreachable = true
		s.fail(now)
	case VerdictNone:
	}
	return before == 0 && s.broken > 0
}

// Loaded notes what an endpoint said of its load.
func (p *Placer) Loaded(e *registrar.Endpoint, l Load, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(e)
	s.load = l
	s.loadAt = now
}

func (s *state) recover() {
	s.broken = 0
	s.unreachable = false
}

func (s *state) sound(latency time.Duration) {
	s.recover()
	s.unfit = 0
	s.failures -= failureWeight * s.failures
	if latency <= 0 {
		return
	}
	if s.latency == 0 {
		s.latency = latency.Seconds()
	}
	s.latency += latencyWeight * (latency.Seconds() - s.latency)
}

// fail notes a failure that rules the endpoint out for now. Failures of calls
// that were under way at the same time count as one.
func (s *state) fail(now time.Time) {
	s.failures += failureWeight * (1 - s.failures)
	if s.broken > 0 && now.Before(s.avoidUntil) {
		return
	}
	s.avoid(now)
}

func (s *state) avoid(now time.Time) {
	s.avoidUntil = now.Add(min(longestAvoidance, firstAvoidance<<min(s.broken, maxDoublings)))
	s.broken++
}
