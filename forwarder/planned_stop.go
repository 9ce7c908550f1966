package forwarder

import "time"

// PlannedStop holds the times of a planned stop of the host.
type PlannedStop struct {
	// Announced is when the load balancer has stopped sending requests. Requests that
	// arrive earlier are served, however long they may take.
	Announced time.Time
	// End is when the host interrupts the requests that still run.
	End time.Time
}

// refuses reports whether a request that arrived at the given time, and may run until
// expectedEnd, should go to another host instead of being interrupted.
func (p *PlannedStop) refuses(arrived, expectedEnd time.Time) bool {
	return arrived.After(p.Announced) && expectedEnd.After(p.End)
}
