package forwarder

import "time"

// PlannedStop holds the times of a planned stop of the host.
type PlannedStop struct {
	// Announced is when the load balancer has stopped sending requests. Requests that are
	// sent to an endpoint earlier are served, however long they may take.
	Announced time.Time
	// End is when the host interrupts the requests that still run.
	End time.Time
}

// refuses reports whether a request that would be sent to its first endpoint now, and may run until its
// deadline, should go to another host instead of being interrupted. How long requests took before
// proves nothing: an endpoint may have become slow or silent just now.
func (p *PlannedStop) refuses(now, deadline time.Time) bool {
	return !now.Before(p.Announced) && deadline.After(p.End)
}

// BeginStop prepares a planned stop: every further response closes its connection, and
// requests that p refuses aren't forwarded.
func (f *Forwarder) BeginStop(p PlannedStop) {
	f.stop.Store(&p)
}

// EndAnnouncement refuses the requests that wait for an endpoint, if p of BeginStop refuses them. It
// is called at p.Announced.
func (f *Forwarder) EndAnnouncement() {
	f.endAnnouncement()
}
