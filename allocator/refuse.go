package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// Maximum intervals between ticks. While slot requests wait, ticks are frequent
// because the decrease of the expected backlogs causes no events. Lease expiry,
// probes and report ages cause none at any time.
const (
	busyInterval = 20 * time.Millisecond
	idleInterval = 200 * time.Millisecond
)

// intervalWeight is the smoothing factor of the moving average of the interval
// between grants.
const intervalWeight = 0.05

// maxIntervalGrowth caps one interval at a multiple of the average. A paused
// host would otherwise count its own pause as a slow queue. The average still
// follows a pool that becomes slower, within some grants.
const maxIntervalGrowth = 10

// maxFirstInterval caps the first interval, for which there is no average yet.
const maxFirstInterval = 100 * time.Millisecond

// drainRate measures the rate of grants while slot requests wait.
type drainRate struct {
	interval      float64 // seconds between grants, 0: unknown
	intervalStart time.Time
	busy          bool
}

func (d *drainRate) recordGrant(now time.Time) {
	if d.busy {
		passed := now.Sub(d.intervalStart).Seconds()
		if d.interval == 0 {
			d.interval = min(passed, maxFirstInterval.Seconds())
		}
		passed = min(passed, maxIntervalGrowth*d.interval)
		d.interval += intervalWeight * (passed - d.interval)
	}
	d.intervalStart = now
}

// setBusy records whether slot requests wait after an event.
func (d *drainRate) setBusy(busy bool, now time.Time) {
	if busy && !d.busy {
		d.intervalStart = now
	}
	d.busy = busy
}

// expectedWait returns the wait of a request with count others ahead of it.
func (d *drainRate) expectedWait(count int) time.Duration {
	return time.Duration(float64(count) * d.interval * float64(time.Second))
}

// checkAdmission returns false and the reason if a slot request must be refused at
// once.
func (p *Pool) checkAdmission(a *pendingRequest, now time.Time) (classifier.Reason, bool) {
	firm := p.firm(a.Firm)
	switch {
	case firm != p.options.Firm && p.slotLimit(firm, now) == 0:
		return classifier.ReasonLimit, false
	case !p.capacity.canPrefill || !p.capacity.canDecode:
		return classifier.ReasonNoEndpoint, false
	case a.PromptTokens+a.MaxTokens > p.capacity.maxTokens:
		return classifier.ReasonTooLarge, false
	case p.service.QueueLimit > 0 && p.queue.Len() >= p.service.QueueLimit:
		return classifier.ReasonQueueFull, false
	}
	startBy := a.latestStart()
	if !startBy.IsZero() && now.Add(p.expectedWait(a.Urgency)).After(startBy) {
		return classifier.ReasonDeadline, false
	}
	return "", true
}

// expectedWait returns the expected wait of a request that arrives now.
func (p *Pool) expectedWait(u compiler.Urgency) time.Duration {
	if u != compiler.UrgencyUrgent {
		return p.drain.expectedWait(p.queue.Len())
	}
	ahead := p.queue.LenUrgent()
	if p.queue.LenPatient() > 0 {
		ahead = int(float64(ahead) / max(0.1, 1-p.service.FloorShare))
	}
	return p.drain.expectedWait(ahead)
}

// ExpectedWait returns how long a request of the urgency that arrives now is
// expected to wait for its grant.
func (p *Pool) ExpectedWait(u compiler.Urgency) time.Duration {
	return p.expectedWait(u)
}

func (p *Pool) refuseExpired(now time.Time) {
	for e := p.queue.PopExpired(now); e != nil; e = p.queue.PopExpired(now) {
		p.refuse(e.Key, e.Value.Urgency, classifier.ReasonDeadline)
	}
}

func (p *Pool) refuse(a identifier.Attempt, u compiler.Urgency, reason classifier.Reason) {
	retry := p.retryAfter(u)
	if reason == classifier.ReasonTooLarge {
		retry = 0
	}
	p.emit(Refused{Attempt: a, Reason: reason, RetryAfter: retry})
}

// retryAfter returns the time that the queue needs to drain, with a jitter of
// 50% to either side.
func (p *Pool) retryAfter(u compiler.Urgency) time.Duration {
	base := max(p.options.MinRetryAfter, p.expectedWait(u))
	jittered := time.Duration((0.5 + p.random.Float64()) * float64(base))
	return min(p.options.MaxRetryAfter, max(p.options.MinRetryAfter, jittered))
}

// Due returns the latest time for the next call of Tick.
func (p *Pool) Due() time.Time {
	due := p.lastEvent.Add(idleInterval)
	if p.queue.Len() > 0 || len(p.unbound) > 0 {
		due = p.lastEvent.Add(busyInterval)
	}
	if expiry, ok := p.queue.NextExpiry(); ok && expiry.Before(due) {
		due = expiry
	}
	return due
}
