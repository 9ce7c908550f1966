package earmarker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/admitter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/earmarker"
)

var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time {
	return start.Add(d)
}

func TestEarmarks(t *testing.T) {
	t.Run("exclude other requests from an engine until released", func(t *testing.T) {
		i := is.New(t)
		m := earmarker.New()
		m.Earmark(1, "e")
		i.Equal(len(m.EnginesOfOthers(1)), 0)
		i.Equal(m.EnginesOfOthers(2), []identifier.Endpoint{"e"})
		m.Release(1)
		i.Equal(len(m.EnginesOfOthers(2)), 0)
	})
	t.Run("are limited to a share of the engines", func(t *testing.T) {
		i := is.New(t)
		m := earmarker.New()
		i.True(m.CanEarmark(1)) // a pool of one engine allows one earmark
		m.Earmark(1, "e")
		i.True(!m.CanEarmark(7))
		i.True(m.CanEarmark(8))
	})
}

func TestEarliestEngine(t *testing.T) {
	need := earmarker.Demand{Tokens: 25, Memory: 40}
	t.Run("returns the engine whose requests complete first", func(t *testing.T) {
		i := is.New(t)
		runs := []earmarker.RunningRequest{
			{Engine: "a", Tokens: 30, ExpectedEnd: at(2 * time.Second)},
			{Engine: "b", Tokens: 10, ExpectedEnd: at(3 * time.Second)},
			{Engine: "b", Tokens: 10, ExpectedEnd: at(time.Second)},
		}
		e, free := earmarker.EarliestEngine([]identifier.Endpoint{"a", "b"}, runs, need, at(0))
		i.Equal(e, identifier.Endpoint("b"))
		i.Equal(free, at(time.Second))
	})
	t.Run("prefers an engine with free memory", func(t *testing.T) {
		i := is.New(t)
		runs := []earmarker.RunningRequest{{Engine: "a", Tokens: 30, ExpectedEnd: at(time.Second)}}
		e, free := earmarker.EarliestEngine([]identifier.Endpoint{"a", "b"}, runs, need, at(0))
		i.Equal(e, identifier.Endpoint("b"))
		i.Equal(free, at(0))
	})
	t.Run("predicts an early end for overdue requests", func(t *testing.T) {
		i := is.New(t)
		runs := []earmarker.RunningRequest{{Engine: "a", Tokens: 30, ExpectedEnd: at(0)}}
		_, free := earmarker.EarliestEngine([]identifier.Endpoint{"a"}, runs, need, at(time.Second))
		i.True(free.After(at(time.Second)))
		i.True(free.Before(at(2 * time.Second)))
	})
	t.Run("returns none if the demand exceeds an engine's memory", func(t *testing.T) {
		i := is.New(t)
		e, _ := earmarker.EarliestEngine([]identifier.Endpoint{"a"}, nil, earmarker.Demand{Tokens: 41, Memory: 40}, at(0))
		i.Equal(e, identifier.Endpoint(""))
	})
}

// TestMixedSizes guards against starvation of large requests. It simulates
// engines at twice their capacity, where one request in seven is seven times as
// large as the others and rarely fits the memory that one completion frees.
func TestMixedSizes(t *testing.T) {
	t.Run("without earmarks small requests starve large ones", func(t *testing.T) {
		small, large := simulateMixedSizes(false)
		is.New(t).True(large < 0.5*small)
	})
	t.Run("with earmarks large requests are granted at least half as often", func(t *testing.T) {
		small, large := simulateMixedSizes(true)
		is.New(t).True(large >= 0.5*small)
	})
}

const (
	simEngines         = 8
	simMemory          = 40_000
	simSmallTokens     = 5_000
	simLargeTokens     = 36_000
	simServiceTime     = 2 * time.Second
	simTick            = 10 * time.Millisecond
	simDuration        = 60 * time.Second
	simSearchesPerTick = 8
)

// simulation models one service's queue and engines in virtual time.
type simulation struct {
	earmarking bool
	queue      *admitter.Queue
	earmarks   *earmarker.Earmarks
	running    []earmarker.RunningRequest
	sizes      map[admitter.Key]identifier.Tokens
	requested  map[identifier.Tokens]int
	granted    map[identifier.Tokens]int
}

// simulateMixedSizes returns the shares of small and of large requests that were
// granted.
func simulateMixedSizes(earmarking bool) (small, large float64) {
	s := &simulation{
		earmarking: earmarking, queue: admitter.New(admitter.Options{}), earmarks: earmarker.New(),
		sizes:     map[admitter.Key]identifier.Tokens{},
		requested: map[identifier.Tokens]int{}, granted: map[identifier.Tokens]int{},
	}
	arrivals := admitter.Key(0)
	for now := time.Duration(0); now < simDuration; now += simTick {
		s.completeRequests(at(now))
		if now%(25*time.Millisecond) < simTick {
			arrivals++
			s.arrive(arrivals, at(now))
		}
		for _, k := range s.queue.RemoveExpired(at(now)) {
			s.earmarks.Release(k)
		}
		for range simSearchesPerTick {
			s.search(at(now))
		}
	}
	share := func(t identifier.Tokens) float64 { return float64(s.granted[t]) / float64(s.requested[t]) }
	return share(simSmallTokens), share(simLargeTokens)
}

func (s *simulation) completeRequests(now time.Time) {
	var running []earmarker.RunningRequest
	for _, r := range s.running {
		if r.ExpectedEnd.After(now) {
			running = append(running, r)
		}
	}
	s.running = running
}

func (s *simulation) arrive(k admitter.Key, now time.Time) {
	s.sizes[k] = simSmallTokens
	if k%7 == 0 {
		s.sizes[k] = simLargeTokens
	}
	s.requested[s.sizes[k]]++
	w := admitter.Entry{Key: k, Arrived: now, LatestOnTimeStart: now.Add(500 * time.Millisecond), LatestStart: now.Add(3 * time.Second)}
	if s.earmarking {
		w.Tokens = s.sizes[k]
	}
	if s.earmarking && s.queue.Underserved(&w) && s.earmarks.CanEarmark(simEngines) {
		s.queue.Admit(w)
		return
	}
	s.queue.Push(w, now)
}

func (s *simulation) search(now time.Time) {
	k, ok := s.next(now)
	if !ok {
		return
	}
	w, _ := s.queue.Take(k, now)
	if e, ok := s.leastLoaded(k); ok {
		s.running = append(s.running, earmarker.RunningRequest{Engine: e, Tokens: s.sizes[k], ExpectedEnd: now.Add(simServiceTime)})
		s.granted[s.sizes[k]]++
		s.queue.RecordGrant(&w, now)
		s.earmarks.Release(k)
		return
	}
	if s.earmarking && !w.Earmarked && s.queue.Underserved(&w) && s.earmarks.CanEarmark(simEngines) {
		e, _ := earmarker.EarliestEngine(s.engines(s.earmarks.EnginesOfOthers(k)), s.running, earmarker.Demand{Tokens: s.sizes[k], Memory: simMemory}, now)
		s.earmarks.Earmark(k, e)
		w.Earmarked = true
	}
	s.queue.Requeue(w)
}

func (s *simulation) next(now time.Time) (admitter.Key, bool) {
	for k, e := range s.earmarks.All() {
		if s.queue.Contains(k) && s.freeTokens(e) >= s.sizes[k] {
			return k, true
		}
	}
	if s.earmarking && s.earmarks.CanEarmark(simEngines) {
		if k, ok := s.queue.MostUnderserved(); ok {
			return k, true
		}
	}
	return s.queue.Next(now)
}

// leastLoaded returns the engine with the most free memory among those that fit
// request k.
func (s *simulation) leastLoaded(k admitter.Key) (identifier.Endpoint, bool) {
	var best identifier.Endpoint
	for _, e := range s.engines(s.earmarks.EnginesOfOthers(k)) {
		if s.freeTokens(e) >= s.sizes[k] && (best == "" || s.freeTokens(e) > s.freeTokens(best)) {
			best = e
		}
	}
	return best, best != ""
}

func (s *simulation) freeTokens(e identifier.Endpoint) identifier.Tokens {
	free := identifier.Tokens(simMemory)
	for _, r := range s.running {
		if r.Engine == e {
			free -= r.Tokens
		}
	}
	return free
}

func (s *simulation) engines(exclude []identifier.Endpoint) []identifier.Endpoint {
	var all []identifier.Endpoint
next:
	for n := range simEngines {
		e := identifier.Endpoint(rune('a' + n))
		for _, o := range exclude {
			if o == e {
				continue next
			}
		}
		all = append(all, e)
	}
	return all
}
