package excluder_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/excluder"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// drainLimit is the time after an endpoint's first leaving notice from which it
// must get no calls.
const drainLimit = 2 * time.Second

// notices is a plain history of what each incarnation has said.
type notices map[registrar.Endpoint]*said

type said struct {
	leavingSince time.Time
	pausedUntil  time.Time
}

func (n notices) of(e *registrar.Endpoint) *said {
	if n[*e] == nil {
		n[*e] = &said{}
	}
	return n[*e]
}

// TestNoticesProperty checks, for random histories of notices, other hosts'
// reports, entries that come, go and return, and the time, that no call is allowed
// to an incarnation that asked for none, that a later incarnation and one that said
// nothing aren't excluded, and that only allowed endpoints are usable.
func TestNoticesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := excluder.New()
		now := start
		history := notices{}
		incarnations := make([]*registrar.Endpoint, 0, 6)
		for _, name := range []identifier.Endpoint{"a", "b"} {
			for startID := range int64(3) {
				incarnations = append(incarnations, endpoint(name, startID+1))
			}
		}
		newest := map[identifier.Endpoint]int64{} // highest start that said anything
		draw := func() *registrar.Endpoint { return rapid.SampledFrom(incarnations).Draw(t, "endpoint") }
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				e := draw()
				n := excluder.Notice{
					Leaving: rapid.Bool().Draw(t, "leaving"),
					Pause:   time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond,
				}
				x.Observe(e, n, now)
				if n.Pause > 0 || n.Leaving {
					recordNotice(history.of(e), n, now)
					newest[e.Name] = max(newest[e.Name], e.StartID)
				}
			case 1:
				e := draw()
				x.Report(e, e.StartID)
				newest[e.Name] = max(newest[e.Name], e.StartID)
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "passed")) * time.Millisecond)
			case 3:
				x.Update(snapshot(drawListing(t, incarnations)...), now)
			}
			if now.Sub(start) > 50*time.Second {
				break // notices of removed endpoints may be forgotten later
			}
			checkNotices(t, x, history, newest, incarnations, now)
		}
	})
}

func recordNotice(s *said, n excluder.Notice, now time.Time) {
	if n.Leaving && s.leavingSince.IsZero() {
		s.leavingSince = now
	}
	if until := now.Add(n.Pause); until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// drawListing draws a store's list, with at most one incarnation of each name.
func drawListing(t *rapid.T, all []*registrar.Endpoint) []*registrar.Endpoint {
	var list []*registrar.Endpoint
	for _, name := range []identifier.Endpoint{"a", "b"} {
		of := slices.DeleteFunc(slices.Clone(all), func(e *registrar.Endpoint) bool { return e.Name != name })
		if rapid.Bool().Draw(t, "listed") {
			list = append(list, rapid.SampledFrom(of).Draw(t, "incarnation"))
		}
	}
	return list
}

func checkNotices(t *rapid.T, x *excluder.Excluder, history notices, newest map[identifier.Endpoint]int64, all []*registrar.Endpoint, now time.Time) {
	for _, e := range all {
		s := history.of(e)
		allowed := x.Check(e, now) == excluder.RefusalNone
		if e.StartID == newest[e.Name] {
			if allowed && now.Before(s.pausedUntil) {
				t.Fatalf("%s of start %d may be called during its pause", e.Name, e.StartID)
			}
			if allowed && !s.leavingSince.IsZero() && !now.Before(s.leavingSince.Add(drainLimit)) {
				t.Fatalf("%s of start %d may be called %v after it left", e.Name, e.StartID, now.Sub(s.leavingSince))
			}
			if !allowed && s.leavingSince.IsZero() && !now.Before(s.pausedUntil) {
				t.Fatalf("%s of start %d is excluded without a notice", e.Name, e.StartID)
			}
		}
		if !allowed && e.StartID > newest[e.Name] {
			t.Fatalf("%s of start %d is excluded for an earlier one", e.Name, e.StartID)
		}
		if list := x.Usable([]*registrar.Endpoint{e}, now); allowed != (len(list) == 1) {
			t.Fatalf("%s of start %d: allowed %v, but usable %v", e.Name, e.StartID, allowed, list)
		}
	}
}
