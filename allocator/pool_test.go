package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
)

const dataCenter = identifier.DataCenter("tw-north-1")

var epoch = time.Date(2026, 12, 1, 5, 0, 0, 0, time.UTC)

// at gives a time after the start of a test.
func at(d time.Duration) time.Time {
	return epoch.Add(d)
}

func newService(prefills, decodes, slots int) *compiler.Service {
	s := &compiler.Service{Name: "dealer-desk", FirstToken: 1600 * time.Millisecond, FloorShare: 0.1, AgeLimit: 30 * time.Second}
	add := func(role compiler.Role, name string, n int) {
		for i := range n {
			s.Endpoints = append(s.Endpoints, &compiler.Endpoint{
				Name: identifier.Endpoint(fmt.Sprintf("%s-%d", name, i)), DataCenter: dataCenter, Role: role,
				Slots: slots, Pieces: 2000, TokensPerPiece: 16, Service: s.Name,
			})
		}
	}
	add(compiler.RolePrefill, "prefill", prefills)
	add(compiler.RoleDecode, "decode", decodes)
	return s
}

func newPool(s *compiler.Service) *allocator.Pool {
	p := allocator.New(s, dataCenter, nil, allocator.Options{Firm: "tamsui"}, 1)
	for _, e := range s.Endpoints {
		p.Report(e.Name, allocator.Report{}, epoch)
	}
	return p
}

func attempt(home, n int) identifier.Attempt {
	return identifier.Attempt{Incarnation: identifier.Incarnation(home), Sequence: uint64(n)}
}

func ask(n int, u compiler.Urgency) allocator.Ask {
	return allocator.Ask{Attempt: attempt(1, n), Urgency: u, PromptTokens: 400, MaxTokens: 100, Left: 20 * time.Second}
}

func count[T allocator.Action](actions []allocator.Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(T); ok {
			n++
		}
	}
	return n
}

func TestPoolGrants(t *testing.T) {
	t.Run("at an engine of each role", func(t *testing.T) {
		is := is.New(t)
		actions := newPool(newService(1, 1, 2)).Ask(ask(1, compiler.UrgencyUrgent), epoch)
		is.Equal(len(actions), 1)
		g, ok := actions[0].(allocator.Granted)
		is.True(ok)
		is.Equal(g.Prefill, identifier.Endpoint("prefill-0"))
		is.Equal(g.Decode, identifier.Endpoint("decode-0"))
		is.Equal(g.Pieces, identifier.Pieces(32)) // (400+100)/16, rounded up
	})
	t.Run("only while a decode slot is free", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(4, 1, 2))
		is.Equal(count[allocator.Granted](p.Ask(ask(1, compiler.UrgencyUrgent), epoch)), 1)
		is.Equal(count[allocator.Granted](p.Ask(ask(2, compiler.UrgencyUrgent), epoch)), 1)
		is.Equal(len(p.Ask(ask(3, compiler.UrgencyUrgent), epoch)), 0)
		freed := p.Release(attempt(1, 1), allocator.Outcome{Ending: allocator.EndingDone}, at(time.Second))
		is.Equal(count[allocator.Granted](freed), 1)
	})
	t.Run("urgent before patient", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(4, 1, 1))
		p.Ask(ask(1, compiler.UrgencyUrgent), epoch)
		p.Ask(ask(2, compiler.UrgencyPatient), epoch)
		p.Ask(ask(3, compiler.UrgencyUrgent), epoch)
		freed := p.Release(attempt(1, 1), allocator.Outcome{Ending: allocator.EndingDone}, at(time.Second))
		is.Equal(freed[0].(allocator.Granted).Attempt, attempt(1, 3))
	})
}

func TestPoolRefuses(t *testing.T) {
	t.Run("at once when the wait is too long", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 1, 1))
		p.Ask(ask(1, compiler.UrgencyUrgent), epoch)
		p.Ask(ask(2, compiler.UrgencyUrgent), epoch)
		actions := p.Tick(at(1600 * time.Millisecond))
		is.Equal(len(actions), 1)
		r, ok := actions[0].(allocator.Refused)
		is.True(ok)
		is.Equal(r.Reason, classifier.ReasonDeadline)
		is.True(r.RetryAfter > 0)
	})
	t.Run("without endpoints", func(t *testing.T) {
		is := is.New(t)
		actions := newPool(newService(1, 0, 1)).Ask(ask(1, compiler.UrgencyUrgent), epoch)
		is.Equal(actions[0].(allocator.Refused).Reason, classifier.ReasonNoEndpoint)
	})
}

func TestPoolCancels(t *testing.T) {
	t.Run("what a dead home held", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 1, 1))
		p.Ask(ask(1, compiler.UrgencyUrgent), epoch)
		is.Equal(count[allocator.CancelAt](p.HomeDead(1, at(time.Second))), 2)
		lists := allocator.Report{Slots: 1, SlotsUsed: 1, Attempts: []identifier.Attempt{attempt(1, 1)}}
		is.Equal(count[allocator.CancelAt](p.Report("decode-0", lists, at(2*time.Second))), 1)
		is.Equal(count[allocator.CancelAt](p.Report("decode-0", allocator.Report{}, at(3*time.Second))), 0)
	})
	t.Run("nothing of a home that renews", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 1, 1))
		p.Ask(ask(1, compiler.UrgencyUrgent), epoch)
		for s := range 60 {
			now := at(time.Duration(s) * time.Second)
			is.Equal(len(p.Renew(1, allocator.Digest(attempt(1, 1)), now)), 0)
			is.Equal(len(p.Tick(now)), 0)
		}
	})
}
