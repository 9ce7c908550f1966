package replicator

import "time"

// contact is what is known of the way to the store. Its methods are called
// with the replicator's lock held.
type contact struct {
	options Options
	// failingSince is when reads began to fail; zero: they succeed.
	failingSince time.Time
	lost         bool
	backAt       time.Time
	askedAt      time.Time
}

// failed notes a failed read and tells whether the store counts as lost since
// just now.
func (c *contact) failed(now time.Time) bool {
	if c.failingSince.IsZero() {
		c.failingSince = now
		return false
	}
	if c.lost || now.Sub(c.failingSince) < c.options.OutageAfter {
		return false
	}
	c.lost = true
	return true
}

// succeeded notes an answer and tells whether it ends an outage.
func (c *contact) succeeded(now time.Time) (outage time.Duration, back bool) {
	back = c.lost
	if back {
		outage = now.Sub(c.failingSince)
		c.backAt = now
	}
	c.failingSince = time.Time{}
	c.lost = false
	return outage, back
}

// doubtUntil gives until when a deletion that is seen now is doubted; a time
// that has passed: not at all.
func (c *contact) doubtUntil(now time.Time) time.Time {
	if c.lost {
		return now.Add(c.options.DeletionGrace)
	}
	if c.backAt.IsZero() {
		return time.Time{}
	}
	return c.backAt.Add(c.options.DeletionGrace)
}

// askDue tells whether a peer is to be asked now: often while the store is
// failing or nothing is known.
func (c *contact) askDue(now time.Time, unknown bool) bool {
	period := c.options.PeersPeriod
	if unknown || !c.failingSince.IsZero() {
		period = c.options.LostPeriod
	}
	if now.Sub(c.askedAt) < period {
		return false
	}
	c.askedAt = now
	return true
}
