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

// at returns the time d after the start of a test.
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

func ask(n int, u compiler.Urgency) allocator.SlotRequest {
	return allocator.SlotRequest{Attempt: attempt(1, n), Urgency: u, PromptTokens: 400, MaxTokens: 100, TimeLeft: 20 * time.Second}
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
	t.Run("but not a slot request that resumes", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 1, 1))
		p.Ask(ask(1, compiler.UrgencyUrgent), epoch)
		resumes := ask(2, compiler.UrgencyUrgent)
		resumes.Resumes = true
		p.Ask(resumes, epoch)
		is.Equal(count[allocator.Refused](p.Tick(at(1600*time.Millisecond))), 0)
	})
	t.Run("without a retry what no engine can hold", func(t *testing.T) {
		is := is.New(t)
		a := ask(1, compiler.UrgencyPatient)
		a.MaxTokens = 2000*16 - 400 + 1
		actions := newPool(newService(1, 1, 1)).Ask(a, epoch)
		is.Equal(actions[0], allocator.Action(allocator.Refused{Attempt: a.Attempt, Reason: classifier.ReasonTooLarge}))
		a.MaxTokens--
		a.TimeLeft = 0
		is.Equal(count[allocator.Granted](newPool(newService(1, 1, 1)).Ask(a, epoch)), 1)
	})
	t.Run("when the queue is full", func(t *testing.T) {
		is := is.New(t)
		s := newService(1, 1, 1)
		s.QueueLimit = 2
		p := newPool(s)
		for n := range 3 {
			is.Equal(count[allocator.Refused](p.Ask(ask(n+1, compiler.UrgencyPatient), epoch)), 0)
		}
		actions := p.Ask(ask(4, compiler.UrgencyPatient), epoch)
		is.Equal(actions[0].(allocator.Refused).Reason, classifier.ReasonQueueFull)
	})
	t.Run("a slot request that was released before it arrived", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 1, 1))
		p.Release(attempt(1, 1), allocator.Outcome{Ending: allocator.EndingCanceled}, epoch)
		actions := p.Ask(ask(1, compiler.UrgencyUrgent), epoch)
		is.Equal(len(actions), 1)
		is.Equal(actions[0].(allocator.Refused).Reason, classifier.ReasonCanceled)
	})
	for name, end := range map[string]func(*allocator.Pool) []allocator.Action{
		"the waiting slot requests of a home that is considered dead": func(p *allocator.Pool) []allocator.Action { return p.RemoveHome(1, at(time.Second)) },
		"the waiting slot requests of a home whose lease expired":     func(p *allocator.Pool) []allocator.Action { return p.Tick(at(10 * time.Second)) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool(newService(1, 1, 1))
			p.Ask(ask(1, compiler.UrgencyPatient), epoch)
			is.Equal(len(p.Ask(ask(2, compiler.UrgencyPatient), epoch)), 0)
			var refused []allocator.Refused
			for _, a := range end(p) {
				if r, ok := a.(allocator.Refused); ok {
					refused = append(refused, r)
				}
			}
			is.Equal(refused, []allocator.Refused{{Attempt: attempt(1, 2), Reason: classifier.ReasonAllocatorUnknown}})
		})
	}
	t.Run("without endpoints", func(t *testing.T) {
		is := is.New(t)
		actions := newPool(newService(1, 0, 1)).Ask(ask(1, compiler.UrgencyUrgent), epoch)
		is.Equal(actions[0].(allocator.Refused).Reason, classifier.ReasonNoEndpoint)
	})
}

func TestPoolCancels(t *testing.T) {
	t.Run("the attempts of a dead home", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 1, 1))
		p.Ask(ask(1, compiler.UrgencyUrgent), epoch)
		is.Equal(count[allocator.CancelAt](p.RemoveHome(1, at(time.Second))), 2)
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

func TestNewPoolRecoversRunningAttempts(t *testing.T) {
	t.Run("grants nothing before it has a report or is warm", func(t *testing.T) {
		is := is.New(t)
		p := allocator.New(newService(1, 1, 1), dataCenter, nil, allocator.Options{Firm: "tamsui"}, 1)
		is.Equal(len(p.Ask(ask(1, compiler.UrgencyPatient), epoch)), 0)
		is.Equal(count[allocator.Granted](p.Tick(at(1100*time.Millisecond))), 1)
	})
	t.Run("counts attempts that it did not grant", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 1, 1))
		foreign := allocator.Report{Slots: 1, SlotsUsed: 1, Attempts: []identifier.Attempt{attempt(2, 1)}}
		is.Equal(count[allocator.RequestGrantList](p.Report("decode-0", foreign, epoch)), 1)
		is.Equal(len(p.Ask(ask(1, compiler.UrgencyPatient), epoch)), 0)
		is.Equal(count[allocator.Granted](p.Report("decode-0", allocator.Report{}, at(time.Second))), 1)
	})
	t.Run("binds a grant that another pool left unbound", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 1, 1))
		held := allocator.HeldGrant{Attempt: attempt(1, 1), Prefill: "prefill-0", Phase: allocator.PhasePrefilled, PromptTokens: 400, MaxTokens: 100}
		actions := p.ReconcileGrants(1, []allocator.HeldGrant{held}, epoch)
		is.Equal(count[allocator.Bound](actions), 1)
		is.Equal(actions[0].(allocator.Bound).Decode, identifier.Endpoint("decode-0"))
	})
	t.Run("drops grants that their home does not list", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 1, 1))
		p.Ask(ask(1, compiler.UrgencyPatient), epoch)
		p.Ask(ask(2, compiler.UrgencyPatient), epoch)
		is.Equal(count[allocator.RequestGrantList](p.Renew(1, 0, at(3*time.Second))), 1)
		actions := p.ReconcileGrants(1, nil, at(3*time.Second))
		is.Equal(count[allocator.Granted](actions), 1)
		is.Equal(count[allocator.CancelAt](actions), 0)
	})
}

func TestPoolAvoids(t *testing.T) {
	fail := func(p *allocator.Pool, n int, now time.Time) {
		p.Ask(ask(n, compiler.UrgencyPatient), now)
		p.Release(attempt(1, n), allocator.Outcome{Ending: allocator.EndingFailed, Endpoint: "decode-0"}, now)
	}
	t.Run("an endpoint that fails, and probes it", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 1, 4))
		for n := range 3 {
			fail(p, n+1, epoch)
		}
		is.Equal(len(p.Ask(ask(10, compiler.UrgencyPatient), epoch)), 0)
		is.Equal(len(p.Ask(ask(11, compiler.UrgencyPatient), epoch)), 0)
		is.Equal(count[allocator.Granted](p.Tick(at(1100*time.Millisecond))), 1) // the probe
		done := p.Release(attempt(1, 10), allocator.Outcome{Ending: allocator.EndingDone}, at(1200*time.Millisecond))
		is.Equal(count[allocator.Granted](done), 1)
	})
	// Attempts that fail together must not double the probe interval.
	t.Run("an endpoint for one probe interval when all its attempts fail", func(t *testing.T) {
		is := is.New(t)
		const runningCount = 20
		p := newPool(newService(1, 1, runningCount))
		for n := range runningCount {
			p.Ask(ask(n+1, compiler.UrgencyPatient), epoch)
		}
		for n := range runningCount {
			p.Release(attempt(1, n+1), allocator.Outcome{Ending: allocator.EndingFailed, Endpoint: "decode-0"}, epoch)
		}
		is.Equal(len(p.Ask(ask(runningCount+1, compiler.UrgencyPatient), epoch)), 0)
		is.Equal(count[allocator.Granted](p.Tick(at(1100*time.Millisecond))), 1)
	})
	t.Run("an endpoint with slow steps", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 2, 4))
		p.Report("decode-0", allocator.Report{StepTime: 30 * time.Millisecond}, epoch)
		p.Report("decode-1", allocator.Report{StepTime: 300 * time.Millisecond}, epoch)
		for n := range 4 {
			granted := p.Ask(ask(n+1, compiler.UrgencyPatient), at(10*time.Millisecond))
			is.Equal(granted[0].(allocator.Granted).Decode, identifier.Endpoint("decode-0"))
		}
	})
	t.Run("an endpoint without fresh reports", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 3, 4))
		for _, name := range []identifier.Endpoint{"prefill-0", "decode-0", "decode-1"} {
			p.Report(name, allocator.Report{}, at(4*time.Second))
		}
		p.Tick(at(4 * time.Second))
		for n := range 4 {
			granted := p.Ask(ask(n+1, compiler.UrgencyPatient), at(4*time.Second))
			is.True(granted[0].(allocator.Granted).Decode != "decode-2")
		}
	})
}

func TestPoolLends(t *testing.T) {
	contract := &compiler.Contract{Service: "dealer-desk", Borrower: "snyrtinams", Share: 0.5, Start: 5 * time.Hour, End: 6 * time.Hour}
	newLendingPool := func() *allocator.Pool {
		s := newService(4, 1, 4)
		p := newPool(s)
		p.SetContracts([]*compiler.Contract{contract}, epoch)
		return p
	}
	borrowerAsk := func(n int, u compiler.Urgency) allocator.SlotRequest {
		a := ask(n, u)
		a.Firm = "snyrtinams"
		return a
	}
	t.Run("the contract's share in its hours", func(t *testing.T) {
		is := is.New(t)
		p := newLendingPool()
		granted := 0
		for n := range 4 {
			granted += count[allocator.Granted](p.Ask(borrowerAsk(n+1, compiler.UrgencyPatient), epoch))
		}
		is.Equal(granted, 2)
		is.Equal(count[allocator.Granted](p.Ask(ask(9, compiler.UrgencyPatient), epoch)), 1)
	})
	t.Run("and refuses waiting patient requests when the contract ends", func(t *testing.T) {
		is := is.New(t)
		p := newLendingPool()
		for n := range 2 {
			p.Ask(borrowerAsk(n+1, compiler.UrgencyPatient), epoch)
		}
		long := borrowerAsk(3, compiler.UrgencyPatient)
		long.TimeLeft = 2 * time.Hour
		p.Ask(long, epoch)
		actions := p.Renew(1, 0, at(time.Hour))
		is.Equal(count[allocator.Refused](actions), 1)
		is.Equal(count[allocator.CancelAt](actions), 0)
	})
	t.Run("and refuses those of a firm that never got a slot", func(t *testing.T) {
		is := is.New(t)
		p := newLendingPool()
		for n := range 4 {
			p.Ask(ask(n+10, compiler.UrgencyPatient), epoch) // all slots
		}
		long := borrowerAsk(1, compiler.UrgencyPatient)
		long.TimeLeft = 2 * time.Hour
		is.Equal(len(p.Ask(long, epoch)), 0)
		is.Equal(count[allocator.Refused](p.Renew(1, 0, at(time.Hour))), 1)
	})
	t.Run("nothing without a contract", func(t *testing.T) {
		is := is.New(t)
		actions := newPool(newService(1, 1, 1)).Ask(borrowerAsk(1, compiler.UrgencyPatient), epoch)
		is.Equal(count[allocator.Refused](actions), 1)
	})
}

func TestPoolIsReconfigured(t *testing.T) {
	t.Run("and keeps its grants", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 1, 1))
		p.Ask(ask(1, compiler.UrgencyPatient), epoch)
		is.Equal(len(p.Configure(newService(1, 1, 1), nil, epoch)), 0)
		is.Equal(len(p.Ask(ask(2, compiler.UrgencyPatient), epoch)), 0)
		freed := p.Release(attempt(1, 1), allocator.Outcome{Ending: allocator.EndingDone}, at(time.Second))
		is.Equal(count[allocator.Granted](freed), 1)
	})
	t.Run("and gives no work to an endpoint that is no longer declared", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(1, 2, 2))
		p.Ask(ask(1, compiler.UrgencyPatient), epoch)
		p.Ask(ask(2, compiler.UrgencyPatient), epoch)
		p.Release(attempt(1, 1), allocator.Outcome{Ending: allocator.EndingDone}, epoch)
		p.Configure(newService(1, 1, 2), nil, epoch)
		granted := p.Ask(ask(3, compiler.UrgencyPatient), epoch)
		is.Equal(granted[0].(allocator.Granted).Decode, identifier.Endpoint("decode-0"))
	})
	t.Run("and keeps the prefix cache index", func(t *testing.T) {
		is := is.New(t)
		p := newPool(newService(4, 4, 8))
		chosen := func(n int) identifier.Endpoint {
			a := ask(n, compiler.UrgencyPatient)
			a.Blocks = []identifier.BlockHash{11, 12, 13, 14, 15}
			now := at(time.Duration(n) * time.Second)
			granted := p.Ask(a, now)[0].(allocator.Granted)
			p.Release(a.Attempt, allocator.Outcome{Ending: allocator.EndingDone}, now)
			return granted.Prefill
		}
		p.CacheEvents("prefill-2", []allocator.CacheEvent{{Block: 11}, {Block: 12}, {Block: 13}, {Block: 14}, {Block: 15}}, epoch)
		before := chosen(1)
		s := newService(4, 4, 8)
		s.Endpoints = s.Endpoints[1:]
		p.Configure(s, nil, at(2*time.Second))
		is.Equal(before, identifier.Endpoint("prefill-2"))
		is.Equal(chosen(3), before)
	})
}
