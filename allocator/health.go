package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
)

const (
	// maxBackoff bounds the doublings of the probe interval.
	maxBackoff = 5
	// staleChecks is how many endpoints' reports are looked at in one tick.
	staleChecks = 64
	// slowFactor is how many times the pool's mean a decode step may take.
	slowFactor = 2
)

// health says whether an endpoint is to be avoided. An avoided endpoint gets
// one request at a time as a probe, after a wait that doubles.
type health struct {
	failures int
	backoff  int
	avoided  bool
	probing  bool // a probe is under way
	slow     bool
	probeAt  time.Time
}

// usable tells whether the endpoint may get a request now.
func (h *health) usable(now time.Time, busy bool) bool {
	return !h.avoided || !busy && !now.Before(h.probeAt)
}

// entered notes that the endpoint got a request; for an avoided one it is a
// probe.
func (h *health) entered(now time.Time) {
	if h.avoided && !now.Before(h.probeAt) {
		h.probeAt = now.Add(time.Second << min(h.backoff, maxBackoff))
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

// failed notes a failure. Attempts that were under way when the endpoint came
// to be avoided may fail together; the wait doubles only with a probe's.
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
	h.probeAt = now.Add(o.ProbeInterval << min(h.backoff, maxBackoff))
	h.backoff++
}

// judgeStep avoids an endpoint whose decode steps are far above the pool's
// mean and above the target between tokens.
func (h *health) judgeStep(step time.Duration, mean float64, target time.Duration, o Options, now time.Time) {
	slow := step.Seconds() > slowFactor*mean && step > target
	if slow && !h.slow {
		h.avoid(o, now)
	}
	h.slow = slow
}

// refreshStale looks at some endpoints, in turn, for the age of their reports.
func (p *Pool) refreshStale(now time.Time) {
	for range min(staleChecks, len(p.endpoints)) {
		p.staleTurn = (p.staleTurn + 1) % len(p.endpoints)
		e := p.endpoints[p.staleTurn]
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
		p.stale++
	} else {
		p.stale--
	}
}

// trustsReports is false while most endpoints' reports are old: then the
// reports fail, and not the endpoints.
func (p *Pool) trustsReports() bool {
	return 2*p.stale <= len(p.endpoints)
}

// judge draws the consequences of an attempt's end for its endpoints.
func (p *Pool) judge(a identifier.Attempt, outcome Outcome, now time.Time) {
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
	case EndingCancelled:
	}
}
