package replicator

import "time"

// contact is what is known of the way to the store. Its methods are called
// with the replicator's lock held.
type contact struct {
	options Options
	// failingSince is when this host's own reads began to fail; zero: they
	// succeed, or none is made.
	failingSince time.Time
	// lost is set while no host that this one hears of reaches the store.
	lost   bool
	lostAt time.Time
	backAt time.Time
	// askedAt is when a peer was last asked.
	askedAt time.Time
}

// failed notes a failed read of this host. Age is how long ago the store has
// confirmed what is known, by whatever way. It tells whether the store counts
// as lost since just now.
func (c *contact) failed(now time.Time, age time.Duration) bool {
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
	if c.lost || age < c.options.OutageAfter {
		return false
	}
	c.lost = true
	c.lostAt = now.Add(-age)
	return true
}

// succeeded notes an answer of the store to this host.
func (c *contact) succeeded(now time.Time) (outage time.Duration, back bool) {
	c.failingSince = time.Time{}
	return c.confirmed(now)
}

// confirmed notes that some host was in touch with the store, and tells
// whether that ends an outage.
func (c *contact) confirmed(now time.Time) (outage time.Duration, back bool) {
	if !c.lost {
		return 0, false
	}
	c.lost = false
	c.backAt = now
	return now.Sub(c.lostAt), true
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
