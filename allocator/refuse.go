package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// tickInterval is the longest time between ticks: probes, leases and expected
// backlogs have no events of their own.
const tickInterval = 20 * time.Millisecond

// drainWeight is the weight of one interval in the mean between grants.
const drainWeight = 0.05

// drainRate measures how fast the queue drains while something waits.
type drainRate struct {
	interval float64 // seconds between grants, 0: unknown
	last     time.Time
	busy     bool
}

func (d *drainRate) served(now time.Time) {
	if d.busy {
		passed := now.Sub(d.last).Seconds()
		if d.interval == 0 {
			d.interval = passed
		}
		d.interval += drainWeight * (passed - d.interval)
	}
	d.last = now
}

// waiting notes whether something waits after an event.
func (d *drainRate) waiting(waits bool, now time.Time) {
	if waits && !d.busy {
		d.last = now
	}
	d.busy = waits
}

// expected gives the wait of a request with count others before it.
func (d *drainRate) expected(count int) time.Duration {
	return time.Duration(float64(count) * d.interval * float64(time.Second))
}

// early refuses an ask that can't be served in time as things stand.
func (p *Pool) early(a *wish, now time.Time) (classifier.Reason, bool) {
	firm := p.firm(a.Firm)
	switch {
	case firm != p.options.Firm && p.lent(firm, now) == 0:
		return classifier.ReasonLimit, false
	case !p.serves():
		return classifier.ReasonNoEndpoint, false
	case !p.large(a):
		return classifier.ReasonTooLarge, false
	case p.service.QueueLimit > 0 && p.queue.Len() >= p.service.QueueLimit:
		return classifier.ReasonQueueFull, false
	}
	startBy := a.startBy()
	if !startBy.IsZero() && now.Add(p.expectedWait(a.Urgency)).After(startBy) {
		return classifier.ReasonDeadline, false
	}
	return "", true
}

// serves tells whether the pool has endpoints for both phases that stay.
func (p *Pool) serves() bool {
	prefills, decodes := false, false
	for _, e := range p.endpoints {
		prefills = prefills || e.prefills && !e.leaving
		decodes = decodes || e.decodes && !e.leaving
		if prefills && decodes {
			return true
		}
	}
	return false
}

// large tells whether some decode engine is large enough for the ask.
func (p *Pool) large(a *wish) bool {
	for _, e := range p.endpoints {
		if e.decodes && e.piecesFor(a.PromptTokens+a.MaxTokens) <= e.pieces {
			return true
		}
	}
	return false
}

// expectedWait gives the wait of a request that comes now.
func (p *Pool) expectedWait(u compiler.Urgency) time.Duration {
	if u != compiler.UrgencyUrgent {
		return p.drain.expected(p.queue.Len())
	}
	ahead := p.queue.LenUrgent()
	if p.queue.LenPatient() > 0 {
		ahead = int(float64(ahead) / max(0.1, 1-p.service.FloorShare))
	}
	return p.drain.expected(ahead)
}

func (p *Pool) refuseExpired(now time.Time) {
	for e := p.queue.Expired(now); e != nil; e = p.queue.Expired(now) {
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

// retryAfter spreads the time that the queue needs to drain, by half of it to
// either side.
func (p *Pool) retryAfter(u compiler.Urgency) time.Duration {
	base := max(p.options.MinRetryAfter, p.expectedWait(u))
	spread := time.Duration((0.5 + p.random.Float64()) * float64(base))
	return min(p.options.MaxRetryAfter, max(p.options.MinRetryAfter, spread))
}

// Due gives when Tick is to be called next, at the latest.
func (p *Pool) Due() time.Time {
	due := p.lastEvent.Add(tickInterval)
	if expiry, ok := p.queue.NextExpiry(); ok && expiry.Before(due) {
		due = expiry
	}
	return due
}
