package allocator

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

// Longest times between ticks: expected backlogs have no events of their own
// while something waits; leases, probes and reports' ages never have.
const (
	busyInterval = 20 * time.Millisecond
	idleInterval = 200 * time.Millisecond
)

// drainWeight is the weight of one interval in the mean between grants.
const drainWeight = 0.05

// maxIntervalGrowth bounds one interval against the mean: a host that stood
// still has measured its own standstill. A pool that does become slower is
// still followed, within some grants.
const maxIntervalGrowth = 10

// maxFirstInterval bounds the first interval, which has no mean to go by.
const maxFirstInterval = 100 * time.Millisecond

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
			d.interval = min(passed, maxFirstInterval.Seconds())
		}
		passed = min(passed, maxIntervalGrowth*d.interval)
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
	case !p.room.prefills || !p.room.decodes:
		return classifier.ReasonNoEndpoint, false
	case a.PromptTokens+a.MaxTokens > p.room.largest:
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

// ExpectedWait gives how long a request of the urgency that comes now is
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

// retryAfter spreads the time that the queue needs to drain, by half of it to
// either side.
func (p *Pool) retryAfter(u compiler.Urgency) time.Duration {
	base := max(p.options.MinRetryAfter, p.expectedWait(u))
	spread := time.Duration((0.5 + p.random.Float64()) * float64(base))
	return min(p.options.MaxRetryAfter, max(p.options.MinRetryAfter, spread))
}

// Due gives when Tick is to be called next, at the latest.
func (p *Pool) Due() time.Time {
	due := p.lastEvent.Add(idleInterval)
	if p.queue.Len() > 0 || len(p.promised) > 0 {
		due = p.lastEvent.Add(busyInterval)
	}
	if expiry, ok := p.queue.NextExpiry(); ok && expiry.Before(due) {
		due = expiry
	}
	return due
}
