package replicator

import "time"

// connectivity tracks whether the store can be reached, directly or through
// other hosts. The replicator's lock must be held to call its methods.
type connectivity struct {
	options Options
	// failingSince is when this host's own reads began to fail; zero if they
	// succeed or none is made.
	failingSince time.Time
	// outage is set while no host known to this one reaches the store.
	outage      bool
	outageStart time.Time
	recoveredAt time.Time
	// peerQueriedAt is when a peer was last queried.
	peerQueriedAt time.Time
}

// readFailed records a failed read of this host. Age is the time since the store
// last confirmed the replica, directly or through peers. It reports whether an
// outage has just begun.
func (c *connectivity) readFailed(now time.Time, age time.Duration) bool {
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
	if c.outage || age < c.options.OutageAfter {
		return false
	}
	c.outage = true
	c.outageStart = now.Add(-age)
	return true
}

// readSucceeded records an answer of the store to this host.
func (c *connectivity) readSucceeded(now time.Time) (outage time.Duration, recovered bool) {
	c.failingSince = time.Time{}
	return c.confirmed(now)
}

// confirmed records that some host has reached the store, and reports whether
// that ends an outage.
func (c *connectivity) confirmed(now time.Time) (outage time.Duration, recovered bool) {
	if !c.outage {
		return 0, false
	}
	c.outage = false
	c.recoveredAt = now
	return now.Sub(c.outageStart), true
}

// deletionGraceEnd returns until when a deletion that is seen now has to be
// deferred. A time in the past means that it takes effect at once.
func (c *connectivity) deletionGraceEnd(now time.Time) time.Time {
	if c.outage {
		return now.Add(c.options.DeletionGrace)
	}
	if c.recoveredAt.IsZero() {
		return time.Time{}
	}
	return c.recoveredAt.Add(c.options.DeletionGrace)
}

// peerQueryDue reports whether to query a peer now. Queries are more frequent
// while reads fail or the replica is empty or stale.
func (c *connectivity) peerQueryDue(now time.Time, stale bool) bool {
	period := c.options.PeerQueryPeriod
	if stale || !c.failingSince.IsZero() {
		period = c.options.OutageQueryPeriod
	}
	if now.Sub(c.peerQueriedAt) < period {
		return false
	}
	c.peerQueriedAt = now
	return true
}
