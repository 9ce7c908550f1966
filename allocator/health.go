package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// maxBackoffDoublings is the maximum number of doublings of the probe
	// interval.
	maxBackoffDoublings = 5
	// staleChecksPerTick is the number of endpoints whose report age is
	// checked in one tick.
	staleChecksPerTick = 64
	// slowFactor is the multiple of the pool's mean step time above which an
	// endpoint counts as slow.
	slowFactor = 2
)

// health is the circuit breaker of an endpoint. An avoided endpoint gets one
// request at a time as a probe, with exponential backoff between probes.
type health struct {
	failures int
	backoff  int
	avoided  bool
	probing  bool // a probe is running
	slow     bool
	probeAt  time.Time
}

// usable reports whether the endpoint may get a request now.
func (h *health) usable(now time.Time, busy bool) bool {
	return !h.avoided || !busy && !now.Before(h.probeAt)
}

// requestStarted records that the endpoint got a request. At an avoided
// endpoint the request is a probe.
func (h *health) requestStarted(now time.Time) {
	if h.avoided && !now.Before(h.probeAt) {
		h.probeAt = now.Add(time.Second << min(h.backoff, maxBackoffDoublings))
		h.probing = true
	}
}

func (h *health) succeeded() {
	h.failures = 0
	h.probing = false
	if h.slow {
		return
	}
	h.avoided = false
	h.backoff = 0
}

// failed records a failure. Attempts that were running when the endpoint
// became avoided may all fail together, so only a failed probe doubles the
// probe interval.
func (h *health) failed(o Options, now time.Time) {
	h.failures++
	if h.avoided && !h.probing {
		return
	}
	if h.failures >= o.FailuresToAvoid || h.avoided {
		h.avoid(o, now)
	}
}

func (h *health) avoid(o Options, now time.Time) {
	h.avoided = true
	h.probing = false
	h.probeAt = now.Add(o.ProbeInterval << min(h.backoff, maxBackoffDoublings))
	h.backoff++
}

// checkStepTime avoids an endpoint whose decode steps take more than
// slowFactor times the pool's mean and more than the between-tokens target.
func (h *health) checkStepTime(step time.Duration, mean float64, target time.Duration, o Options, now time.Time) {
	slow := step.Seconds() > slowFactor*mean && step > target
	if slow && !h.slow {
		h.avoid(o, now)
	}
	h.slow = slow
}

// refreshStale checks the report age of the next staleChecksPerTick
// endpoints, round-robin.
func (p *Pool) refreshStale(now time.Time) {
	for range min(staleChecksPerTick, len(p.endpoints)) {
		p.staleCursor = (p.staleCursor + 1) % len(p.endpoints)
		e := p.endpoints[p.staleCursor]
		p.setStale(e, e.reported && now.Sub(e.reportedAt) > p.options.StaleLimit)
		p.refresh(e, now)
	}
}

func (p *Pool) setStale(e *endpoint, stale bool) {
	if e.stale == stale {
		return
	}
	e.stale = stale
	if stale {
		p.staleCount++
	} else {
		p.staleCount--
	}
}

// trustsReports is false while most endpoints have old reports. In that case
// the reporting has probably failed rather than the endpoints.
func (p *Pool) trustsReports() bool {
	return 2*p.staleCount <= len(p.endpoints)
}

// recordOutcome updates the health of the endpoint that an outcome concerns.
func (p *Pool) recordOutcome(a identifier.Attempt, outcome Outcome, now time.Time) {
	switch outcome.Ending {
	case EndingDone:
		if g := p.grants[a]; g != nil && g.decode != nil {
			g.decode.health.succeeded()
		}
	case EndingFailed:
		e := p.byName[outcome.Endpoint]
		if e != nil && !outcome.Refused {
			e.health.failed(p.options, now)
			p.refresh(e, now)
		}
	case EndingCanceled:
	}
}
