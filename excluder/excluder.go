// Package excluder decides which endpoints get no calls because they asked for
// that in their responses: an endpoint that announces that it is leaving, and one
// that asks this host to pause. The package holds policy only: it does no I/O,
// reads no clock and starts no goroutines.
//
// # Usage
//
//	x := excluder.New()
//	x.Observe(endpoint, excluder.Notice{Leaving: true}, now)
//	for _, e := range x.Usable(snapshot.Endpoints("dealer-desk"), now) { ... }
//	if r := x.Check(endpoint, now); r != excluder.RefusalNone { ... } // before each send
//	x.Update(snapshot, now) // from time to time
//
// # What ends a notice
//
// A notice is about one incarnation of an endpoint, and nothing but the end of
// its time takes back what that incarnation said: neither a later response
// without it, nor the store's entry, whether it came before or after and whatever
// state it gives. A later incarnation is free of it: an entry of the same name
// with a higher start ID, or with another address if start IDs are unknown. An
// entry with a lower start ID is an older copy, to which the notice applies too.
// An endpoint under another name has no notice, also at the same address.
//
// Notices outlive the removal or the restart of their endpoint by
// removedRetention, since a store that was restored from a copy may list it again. A host that restarts
// knows no notices; it learns of leaving endpoints from other hosts.
//
// # Leaving
//
// A leaving endpoint gets no new calls while its service has another endpoint. For
// drainTime it is the last resort, and calls that were planned for it are still
// sent; after that nothing is. What another host reports only lowers the
// endpoint's rank: the news may be wrong or late, and it binds the host that got
// it.
//
// # Pauses
//
// A paused endpoint gets no call of any kind until the pause ends. Cancellations
// and discards are calls too: reservations and prefill results expire without
// them. A pause is meant for the host that asked and isn't passed on.
package excluder

import (
	"time"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// drainTime is how long calls are still sent to a leaving endpoint. Endpoints
	// serve for two seconds after they have announced that they are leaving.
	drainTime = 1500 * time.Millisecond
	// MaxPause is the longest pause that an endpoint is granted. An endpoint that
	// wants no calls for longer has to leave.
	MaxPause = 5 * time.Minute
	// removedRetention is how long a notice is kept while its incarnation isn't
	// registered.
	removedRetention = time.Minute
	// maxRemoved bounds the notices of removed endpoints.
	maxRemoved = 10_000
)

// Notice is what an endpoint's response says about further calls.
type Notice struct {
	// Leaving is set if the endpoint is about to stop.
	Leaving bool
	// Pause is the time for which the endpoint wants no calls from this host; 0
	// means that it didn't ask for a pause.
	Pause time.Duration
	// Malformed is the text of a request for a pause that states no time.
	Malformed string
}

// Refusal is the reason why an endpoint gets no call.
type Refusal uint8

// Refusals.
const (
	// RefusalNone means that a call may be sent.
	RefusalNone Refusal = iota
	// RefusalLeaving means that the endpoint has announced that it is leaving.
	RefusalLeaving
	// RefusalPaused means that the endpoint has asked for a pause.
	RefusalPaused
)

// String returns the refusal in kebab case.
func (r Refusal) String() string {
	switch r {
	case RefusalLeaving:
		return "leaving"
	case RefusalPaused:
		return "paused"
	default:
		return "none"
	}
}

// Excluder holds the notices of all endpoints. It is not safe for concurrent use.
type Excluder struct {
	records map[identifier.Endpoint]*record
}

// New returns an Excluder without notices.
func New() *Excluder {
	return &Excluder{records: map[identifier.Endpoint]*record{}}
}

// record is what is known from the notices of one incarnation of an endpoint.
type record struct {
	startID int64
	address identifier.Address
	// leavingSince is when the endpoint told this host that it is leaving, and
	// reportedLeaving whether another host reported it.
	leavingSince    time.Time
	reportedLeaving bool
	// pausedUntil is the end of the latest pause.
	pausedUntil time.Time
	// unlistedSince is since when the incarnation has not been registered; zero if
	// it is.
	unlistedSince time.Time
}

// supersededBy reports whether e is a later incarnation than the record's.
func (r *record) supersededBy(e *registrar.Endpoint) bool {
	if r.startID != 0 && e.StartID != 0 {
		return e.StartID > r.startID
	}
	return e.Address != r.address
}

// isOf reports whether the record is about the incarnation e itself.
func (r *record) isOf(e *registrar.Endpoint) bool {
	return r.startID == e.StartID && (r.startID != 0 || r.address == e.Address)
}

// find returns the record that applies to e, or nil.
func (x *Excluder) find(e *registrar.Endpoint) *record {
	r := x.records[e.Name]
	if r == nil || r.supersededBy(e) {
		return nil
	}
	return r
}

// findOrAdd returns the record of the incarnation e. It returns nil if a later
// incarnation is known.
func (x *Excluder) findOrAdd(e *registrar.Endpoint) *record {
	r := x.find(e)
	if r == nil {
		r = &record{startID: e.StartID, address: e.Address}
		x.records[e.Name] = r
	}
	if !r.isOf(e) {
		return nil
	}
	return r
}

// Changes states what a notice changed.
type Changes struct {
	// Left is set if the endpoint was not known to be leaving.
	Left bool
	// Pause is the length of a pause that began or was extended; 0 means none.
	Pause time.Duration
}

// Observe records the notice of a response from e.
func (x *Excluder) Observe(e *registrar.Endpoint, n Notice, now time.Time) Changes {
	var c Changes
	if !n.Leaving && n.Pause <= 0 {
		return c
	}
	r := x.findOrAdd(e)
	if r == nil {
		return c
	}
	if n.Leaving && r.leavingSince.IsZero() {
		r.leavingSince = now
		c.Left = true
	}
	pause := min(n.Pause, MaxPause)
	if until := now.Add(pause); pause > 0 && until.After(r.pausedUntil) {
		r.pausedUntil = until
		c.Pause = pause
	}
	return c
}

// Report records that another host reported that e is leaving, and reports whether
// that is news. Reports are ignored if the incarnation can't be told from others.
func (x *Excluder) Report(e *registrar.Endpoint, startID int64) bool {
	if startID == 0 || startID != e.StartID {
		return false
	}
	r := x.findOrAdd(e)
	if r == nil || r.reportedLeaving || !r.leavingSince.IsZero() {
		return false
	}
	r.reportedLeaving = true
	return true
}

// Check returns why no call may be sent to e at this time, or RefusalNone.
func (x *Excluder) Check(e *registrar.Endpoint, now time.Time) Refusal {
	r := x.find(e)
	switch {
	case r == nil:
		return RefusalNone
	case now.Before(r.pausedUntil):
		return RefusalPaused
	case !r.leavingSince.IsZero() && !now.Before(r.leavingSince.Add(drainTime)):
		return RefusalLeaving
	default:
		return RefusalNone
	}
}

// preference ranks endpoints that may get calls; lower is better.
type preference uint8

const (
	preferNormal preference = iota
	// preferReported is the rank of endpoints that are leaving according to
	// another host.
	preferReported
	// preferLeaving is the rank of endpoints that told this host that they are
	// leaving, during drainTime.
	preferLeaving
	preferenceCount
)

// preference returns the rank of e; ok is false if it may get no calls, or is
// leaving according to the store.
func (x *Excluder) preference(e *registrar.Endpoint, now time.Time) (p preference, ok bool) {
	if e.Leaving || x.Check(e, now) != RefusalNone {
		return 0, false
	}
	r := x.find(e)
	switch {
	case r == nil:
		return preferNormal, true
	case !r.leavingSince.IsZero():
		return preferLeaving, true
	case r.reportedLeaving:
		return preferReported, true
	default:
		return preferNormal, true
	}
}

// Usable returns the endpoints that may get new calls: those of the best rank,
// separately for prefill engines and for all others. The result may be all itself.
func (x *Excluder) Usable(all []*registrar.Endpoint, now time.Time) []*registrar.Endpoint {
	if len(x.records) == 0 {
		return all
	}
	best := map[bool]preference{false: preferenceCount, true: preferenceCount}
	for _, e := range all {
		if p, ok := x.preference(e, now); ok {
			best[isPrefill(e)] = min(best[isPrefill(e)], p)
		}
	}
	usable := make([]*registrar.Endpoint, 0, len(all))
	for _, e := range all {
		if p, ok := x.preference(e, now); ok && p == best[isPrefill(e)] {
			usable = append(usable, e)
		}
	}
	return usable
}

// Staying returns the endpoints that are not known to be leaving, from their own
// responses or from other hosts.
func (x *Excluder) Staying(all []*registrar.Endpoint) []*registrar.Endpoint {
	if len(x.records) == 0 {
		return all
	}
	staying := make([]*registrar.Endpoint, 0, len(all))
	for _, e := range all {
		if r := x.find(e); r == nil || r.leavingSince.IsZero() && !r.reportedLeaving {
			staying = append(staying, e)
		}
	}
	return staying
}

func isPrefill(e *registrar.Endpoint) bool {
	return e.Stage == registrar.StagePrefill
}

// EarliestReturn returns the time until the first of the endpoints ends its pause;
// ok is false unless all endpoints that aren't leaving are paused.
func (x *Excluder) EarliestReturn(all []*registrar.Endpoint, now time.Time) (wait time.Duration, ok bool) {
	for _, e := range all {
		r := x.find(e)
		if e.Leaving || r != nil && !r.leavingSince.IsZero() {
			continue
		}
		if r == nil || !now.Before(r.pausedUntil) {
			return 0, false
		}
		if left := r.pausedUntil.Sub(now); !ok || left < wait {
			wait, ok = left, true
		}
	}
	return wait, ok
}

// Update adapts the notices to the registered endpoints and to the time. It
// returns the endpoints whose pause has ended.
func (x *Excluder) Update(s *registrar.Snapshot, now time.Time) []identifier.Endpoint {
	var resumed []identifier.Endpoint
	for name, r := range x.records {
		if !r.pausedUntil.IsZero() && !now.Before(r.pausedUntil) {
			r.pausedUntil = time.Time{}
			resumed = append(resumed, name)
		}
		if x.obsolete(r, s.Endpoint(name), now) {
			delete(x.records, name)
		}
	}
	return resumed
}

// obsolete reports whether a record has no further effect. e is the endpoint that
// is registered under its name, or nil.
func (x *Excluder) obsolete(r *record, e *registrar.Endpoint, now time.Time) bool {
	if r.leavingSince.IsZero() && !r.reportedLeaving && r.pausedUntil.IsZero() {
		return true
	}
	if e != nil && r.isOf(e) {
		r.unlistedSince = time.Time{}
		return false
	}
	if r.unlistedSince.IsZero() {
		r.unlistedSince = now
	}
	return now.Sub(r.unlistedSince) >= removedRetention || len(x.records) > maxRemoved
}

// Counts returns the number of registered endpoints that are known to be leaving, from their
// own responses or from other hosts, and of those that are paused.
func (x *Excluder) Counts(now time.Time) (leaving, paused int) {
	for _, r := range x.records {
		if !r.unlistedSince.IsZero() {
			continue
		}
		if r.reportedLeaving || !r.leavingSince.IsZero() {
			leaving++
		}
		if now.Before(r.pausedUntil) {
			paused++
		}
	}
	return leaving, paused
}
