package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/quarantiner"
)

var start = time.Unix(1_700_000_000, 0)

// settled is later than any of the tests' ends by more than the time that a verdict
// waits.
const settled = time.Second

// scene is a Quarantiner with a clock.
type scene struct {
	is   *is.I
	q    *quarantiner.Quarantiner
	now  time.Time
	ends int
}

func newScene(t *testing.T) *scene {
	t.Helper()
	return &scene{is: is.New(t), q: quarantiner.New(), now: start}
}

// end records the end of another engine under requests with these traits each.
func (s *scene) end(calls ...[]identifier.Trait) {
	s.ends++
	e := quarantiner.End{Engine: identifier.Endpoint(fmt.Sprintf("e%d", s.ends)), StartID: 1, At: s.now}
	for n, c := range calls {
		e.Calls = append(e.Calls, quarantiner.Call{Request: identifier.Request(fmt.Sprintf("q%d-%d", s.ends, n)), Traits: c})
	}
	s.q.AddEnd(e, s.now)
}

func (s *scene) begun(count int, traits ...identifier.Trait) {
	for range count {
		s.q.Begun(quarantiner.PhaseDecode, traits, s.now)
	}
}

func (s *scene) advance(d time.Duration) {
	s.now = s.now.Add(d)
}

// decide lets the evidence settle and returns what is decided.
func (s *scene) decide() []identifier.Trait {
	s.advance(settled)
	var all []identifier.Trait
	for _, v := range s.q.Decide(s.now) {
		all = append(all, v.Trait)
	}
	return all
}

func parts(all ...identifier.Trait) []identifier.Trait { return all }

func (s *scene) assertDecides(want ...identifier.Trait) {
	s.is.Helper()
	s.is.Equal(s.decide(), want)
}

func (s *scene) assertQuarantined(g identifier.Trait, want bool) {
	s.is.Helper()
	_, got := s.q.Check(parts(g), s.now)
	s.is.Equal(got, want)
}

func TestVerdicts(t *testing.T) {
	t.Run("after three ends and no begun answer", func(t *testing.T) {
		s := newScene(t)
		for n := range 3 {
			s.assertDecides()
			s.end(parts("common", "crash", identifier.Trait(fmt.Sprintf("topic%d", n))))
			s.begun(2, "common")
		}
		s.assertDecides("crash")
		s.assertQuarantined("crash", true)
		s.assertQuarantined("common", false)
	})
	t.Run("not before the evidence has settled", func(t *testing.T) {
		s := newScene(t)
		for range 3 {
			s.end(parts("crash"))
		}
		s.is.Equal(len(s.q.Decide(s.now)), 0)
		s.assertDecides("crash") // without further news
	})
	t.Run("on the first trait if it is what the requests share", func(t *testing.T) {
		s := newScene(t)
		for n := range 3 {
			s.end(parts("crash", identifier.Trait(fmt.Sprintf("topic%d", n))))
		}
		s.assertDecides("crash")
	})
	t.Run("on the last one of those that always occur together", func(t *testing.T) {
		s := newScene(t)
		for range 3 {
			s.end(parts("new", "crash"))
		}
		s.assertDecides("crash")
		s.assertQuarantined("new", false)
	})
	t.Run("on the other one if the first verdict was mistaken", func(t *testing.T) {
		s := newScene(t)
		for range 3 {
			s.end(parts("crash", "topic"))
		}
		s.assertDecides("topic")
		for n := range 3 {
			s.end(parts("crash", identifier.Trait(fmt.Sprintf("other%d", n))))
		}
		s.assertDecides("crash")
	})
	t.Run("on two at the same time", func(t *testing.T) {
		s := newScene(t)
		for range 5 {
			s.end(parts("common", "one"))
			s.end(parts("common", "two"))
			s.begun(5, "common")
			s.advance(300 * time.Millisecond)
		}
		decided := s.decide()
		s.is.Equal(len(decided), 2)
		s.assertQuarantined("one", true)
		s.assertQuarantined("two", true)
		s.assertQuarantined("common", false)
	})
	t.Run("on a trait that ends most engines", func(t *testing.T) {
		s := newScene(t)
		for n := range 10 {
			if n%4 == 3 {
				s.begun(1, "crash")
			} else {
				s.end(parts("crash"))
			}
			s.advance(2 * time.Second)
		}
		s.assertDecides("crash")
	})
	t.Run("separately for prefill and decode", func(t *testing.T) {
		s := newScene(t)
		for n := range 3 {
			call := quarantiner.Call{Request: identifier.Request(fmt.Sprintf("q%d", n)), Traits: parts("crash")}
			s.q.Begun(quarantiner.PhasePrefill, parts("crash"), s.now)
			s.q.AddEnd(quarantiner.End{Engine: identifier.Endpoint(fmt.Sprint(n)), At: s.now, Calls: []quarantiner.Call{call}}, s.now)
		}
		s.assertDecides("crash")
	})
}

func TestNoVerdict(t *testing.T) {
	t.Run("for one engine, however many requests", func(t *testing.T) {
		s := newScene(t)
		s.end(parts("a"), parts("a"), parts("a"), parts("a"))
		s.assertDecides()
	})
	t.Run("for one request, however many engines", func(t *testing.T) {
		s := newScene(t)
		for n := range 5 {
			s.q.AddEnd(quarantiner.End{
				Engine: identifier.Endpoint(fmt.Sprint(n)), At: s.now,
				Calls: []quarantiner.Call{{Request: "q1", Traits: parts("a")}},
			}, s.now)
		}
		s.assertDecides()
	})
	t.Run("if answers began shortly before", func(t *testing.T) {
		s := newScene(t)
		s.begun(3, "a")
		s.advance(4 * time.Second)
		for range 5 {
			s.end(parts("a"))
		}
		s.assertDecides()
	})
	t.Run("if answers have begun since", func(t *testing.T) {
		s := newScene(t)
		for range 10 {
			s.end(parts("a"))
			s.begun(1, "a")
			s.advance(time.Second)
		}
		s.assertDecides()
	})
	t.Run("if another host tells of begun answers", func(t *testing.T) {
		s := newScene(t)
		for range 4 {
			s.end(parts("a"))
		}
		s.q.AddBegun(quarantiner.BegunCount{Trait: "a", Count: 2})
		s.assertDecides()
	})
	t.Run("if all engines end at once", func(t *testing.T) {
		s := newScene(t)
		for n := range 12 {
			if n < 4 {
				s.end(parts("rare"), parts(identifier.Trait(fmt.Sprint(n))))
			} else {
				s.end(parts(identifier.Trait(fmt.Sprint(n))))
			}
		}
		s.assertDecides()
	})
	t.Run("for ends long ago", func(t *testing.T) {
		s := newScene(t)
		for range 3 {
			s.end(parts("a"))
			s.advance(6 * time.Minute)
			s.q.Update(s.now)
		}
		s.assertDecides()
	})
	t.Run("for bystanders of ends that are explained", func(t *testing.T) {
		s := newScene(t)
		for range 4 {
			s.end(parts("common", "crash"), parts("common", "rare"))
			s.begun(2, "common")
		}
		s.end(parts("common", "crash"))
		s.assertDecides("crash")
		s.assertQuarantined("rare", false)
	})
}

func TestEndOfAQuarantine(t *testing.T) {
	quarantine := func(t *testing.T) *scene {
		s := newScene(t)
		for range 3 {
			s.end(parts("crash"))
		}
		s.assertDecides("crash")
		return s
	}
	t.Run("doesn't come while such requests do", func(t *testing.T) {
		s := quarantine(t)
		for range 30 {
			s.advance(9 * time.Minute)
			s.is.Equal(len(s.q.Update(s.now)), 0)
			s.assertQuarantined("crash", true)
		}
	})
	t.Run("doesn't come while another host sees such requests", func(t *testing.T) {
		s := quarantine(t)
		seen := s.q.Verdicts(s.now)[0]
		s.advance(9 * time.Minute)
		seen.LastSeen = s.now
		s.is.True(!s.q.Merge(seen, s.now)) // no new verdict
		s.advance(9 * time.Minute)
		s.assertQuarantined("crash", true)
	})
	t.Run("comes after a time without any", func(t *testing.T) {
		s := quarantine(t)
		s.advance(11 * time.Minute)
		s.is.Equal(s.q.Update(s.now), parts("crash"))
		s.assertQuarantined("crash", false)
		s.is.Equal(len(s.q.Update(s.now)), 0) // once
		s.is.Equal(len(s.q.Verdicts(s.now)), 0)
	})
	t.Run("is followed by another quarantine after one end", func(t *testing.T) {
		s := quarantine(t)
		s.advance(11 * time.Minute)
		s.q.Update(s.now)
		s.end(parts("crash"))
		s.assertDecides("crash")
	})
	t.Run("isn't undone by a host that has not heard of it", func(t *testing.T) {
		s := quarantine(t)
		old := s.q.Verdicts(s.now)[0]
		s.advance(11 * time.Minute)
		s.q.Update(s.now)
		s.is.True(!s.q.Merge(old, s.now))
		s.assertQuarantined("crash", false)
	})
}

func TestTrials(t *testing.T) {
	t.Run("begin with the first end", func(t *testing.T) {
		s := newScene(t)
		s.begun(1, "common")
		s.end(parts("common", "crash"))
		s.is.Equal(s.q.OnTrial(parts("common", "crash", "other")), parts("crash"))
	})
	t.Run("end with a begun answer", func(t *testing.T) {
		s := newScene(t)
		s.end(parts("a"))
		s.begun(1, "a")
		s.assertDecides()
		s.is.Equal(len(s.q.OnTrial(parts("a"))), 0)
	})
	t.Run("end with the verdict on another trait", func(t *testing.T) {
		s := newScene(t)
		for n := range 3 {
			s.end(parts("crash", identifier.Trait(fmt.Sprint(n))))
		}
		s.assertDecides("crash")
		s.is.Equal(len(s.q.OnTrial(parts("crash", "0", "1", "2"))), 0)
	})
}

func TestOverrides(t *testing.T) {
	t.Run("release a quarantined trait", func(t *testing.T) {
		s := newScene(t)
		for range 3 {
			s.end(parts("crash"))
		}
		s.assertDecides("crash")
		s.q.Override(parts("crash"), nil)
		s.assertQuarantined("crash", false)
		s.q.Override(nil, nil)
		s.assertQuarantined("crash", true)
	})
	t.Run("pin a trait without evidence", func(t *testing.T) {
		s := newScene(t)
		s.q.Override(nil, parts("a"))
		s.assertQuarantined("a", true)
		s.assertQuarantined("b", false)
	})
	t.Run("release first", func(t *testing.T) {
		s := newScene(t)
		s.q.Override(parts("a"), parts("a"))
		s.assertQuarantined("a", false)
	})
}

func TestBegunAnswersThatOthersShouldKnow(t *testing.T) {
	t.Run("none without an end", func(t *testing.T) {
		s := newScene(t)
		s.begun(5, "a")
		s.is.Equal(len(s.q.TakeBegun()), 0)
	})
	t.Run("recent and later ones", func(t *testing.T) {
		s := newScene(t)
		s.begun(2, "a")
		s.end(parts("a", "b"))
		s.begun(1, "a")
		s.is.Equal(s.q.TakeBegun(), []quarantiner.BegunCount{{Trait: "a", Count: 3}})
		s.is.Equal(len(s.q.TakeBegun()), 0)
	})
	t.Run("no more than may matter", func(t *testing.T) {
		s := newScene(t)
		s.end(parts("a"))
		s.is.True(s.q.AddBegun(quarantiner.BegunCount{Trait: "a", Count: 100}))
		s.is.True(!s.q.AddBegun(quarantiner.BegunCount{Trait: "a", Count: 1}))
		s.begun(1, "a")
		s.is.Equal(len(s.q.TakeBegun()), 0)
	})
}

// TestOrderOfNews checks that hosts to which the same news comes in different orders
// quarantine the same traits.
func TestOrderOfNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := is.New(t)
		ends := drawEnds(t)
		var first map[identifier.Trait]bool
		for seed := range uint64(3) {
			q := quarantiner.New()
			shuffled := rand.New(rand.NewPCG(seed, seed)).Perm(len(ends))
			for _, n := range shuffled {
				q.AddEnd(ends[n], start.Add(time.Minute))
				q.AddEnd(ends[n], start.Add(time.Minute)) // told twice
			}
			got := map[identifier.Trait]bool{}
			for _, v := range q.Decide(start.Add(time.Minute + settled)) {
				got[v.Trait] = true
			}
			if first == nil {
				first = got
			}
			i.Equal(got, first)
		}
	})
}

// drawEnds draws ends of engines at different times, whose calls have a crashing trait
// and sound ones.
func drawEnds(t *rapid.T) []quarantiner.End {
	var ends []quarantiner.End
	for n := range rapid.IntRange(0, 12).Draw(t, "ends") {
		e := quarantiner.End{Engine: identifier.Endpoint(fmt.Sprint(n)), At: start.Add(time.Duration(n) * time.Second)}
		for c := range rapid.IntRange(1, 3).Draw(t, "calls") {
			traits := parts(identifier.Trait(fmt.Sprint("topic", rapid.IntRange(0, 9).Draw(t, "topic"))))
			if c == 0 && rapid.Bool().Draw(t, "crashing") {
				traits = append(traits, "crash")
			}
			e.Calls = append(e.Calls, quarantiner.Call{Request: identifier.Request(fmt.Sprintf("%d-%d", n, c)), Traits: traits})
		}
		ends = append(ends, e)
	}
	return ends
}

func TestBoundedState(t *testing.T) {
	s := newScene(t)
	for n := range 3_000 {
		s.advance(time.Millisecond)
		g := identifier.Trait(fmt.Sprint(n))
		s.begun(1, g)
		s.end(parts(g), parts(g+"x"))
		s.q.Merge(quarantiner.Verdict{Trait: "v" + g, Since: s.now, LastSeen: s.now}, s.now)
	}
	s.q.Decide(s.now)
	s.is.True(len(s.q.Verdicts(s.now)) <= 256)
	s.is.True(len(s.q.RecentEnds(1<<20, s.now)) <= 128)
	s.is.True(len(s.q.TakeBegun()) <= 256)
}
