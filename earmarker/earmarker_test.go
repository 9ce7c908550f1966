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
	t.Run("keep an engine from others until it is released", func(t *testing.T) {
		i := is.New(t)
		m := earmarker.New()
		m.Keep(1, "e")
		i.Equal(len(m.Others(1)), 0)
		i.Equal(m.Others(2), []identifier.Endpoint{"e"})
		m.Release(1)
		i.Equal(len(m.Others(2)), 0)
	})
	t.Run("keep some of the engines only", func(t *testing.T) {
		i := is.New(t)
		m := earmarker.New()
		i.True(m.Spare(1)) // the only engine may be kept
		m.Keep(1, "e")
		i.True(!m.Spare(7))
		i.True(m.Spare(8))
	})
}

func TestSoonest(t *testing.T) {
	need := earmarker.Need{Tokens: 25, Memory: 40}
	t.Run("is the engine whose answers end first", func(t *testing.T) {
		i := is.New(t)
		runs := []earmarker.Run{
			{Engine: "a", Tokens: 30, Ends: at(2 * time.Second)},
			{Engine: "b", Tokens: 10, Ends: at(3 * time.Second)},
			{Engine: "b", Tokens: 10, Ends: at(time.Second)},
		}
		e, free := earmarker.Soonest([]identifier.Endpoint{"a", "b"}, runs, need, at(0))
		i.Equal(e, identifier.Endpoint("b"))
		i.Equal(free, at(time.Second))
	})
	t.Run("is one that has room now", func(t *testing.T) {
		i := is.New(t)
		runs := []earmarker.Run{{Engine: "a", Tokens: 30, Ends: at(time.Second)}}
		e, free := earmarker.Soonest([]identifier.Endpoint{"a", "b"}, runs, need, at(0))
		i.Equal(e, identifier.Endpoint("b"))
		i.Equal(free, at(0))
	})
	t.Run("expects overdue answers to end soon", func(t *testing.T) {
		i := is.New(t)
		runs := []earmarker.Run{{Engine: "a", Tokens: 30, Ends: at(0)}}
		_, free := earmarker.Soonest([]identifier.Endpoint{"a"}, runs, need, at(time.Second))
		i.True(free.After(at(time.Second)))
		i.True(free.Before(at(2 * time.Second)))
	})
	t.Run("is none for what is larger than any engine", func(t *testing.T) {
		i := is.New(t)
		e, _ := earmarker.Soonest([]identifier.Endpoint{"a"}, nil, earmarker.Need{Tokens: 41, Memory: 40}, at(0))
		i.Equal(e, identifier.Endpoint(""))
	})
}

// TestLargeAmongSmall plays engines under twice the load that they can carry: one
// request in seven is seven times as large as the others, and room that becomes
// free is seldom enough for it.
func TestLargeAmongSmall(t *testing.T) {
	t.Run("without kept engines small requests take all room", func(t *testing.T) {
		small, large := playLargeAmongSmall(false)
		is.New(t).True(large < 0.5*small)
	})
	t.Run("large requests get at least half of the share of small ones", func(t *testing.T) {
		small, large := playLargeAmongSmall(true)
		is.New(t).True(large >= 0.5*small)
	})
}

const (
	simEngines = 8
	simMemory  = 40_000
	simSmall   = 5_000
	simLarge   = 36_000
	simAnswer  = 2 * time.Second
	simTick    = 10 * time.Millisecond
	simLength  = 60 * time.Second
	simSearch  = 8 // for each tick
)

// simulation is a desk before engines, in virtual time.
type simulation struct {
	keeps    bool
	queue    *admitter.Queue
	earmarks *earmarker.Earmarks
	runs     []earmarker.Run
	sizes    map[admitter.Key]identifier.Tokens
	asked    map[identifier.Tokens]int
	given    map[identifier.Tokens]int
}

// playLargeAmongSmall gives the shares of small and of large requests that were
// given room.
func playLargeAmongSmall(keeps bool) (small, large float64) {
	s := &simulation{
		keeps: keeps, queue: admitter.New(admitter.Options{}), earmarks: earmarker.New(),
		sizes: map[admitter.Key]identifier.Tokens{},
		asked: map[identifier.Tokens]int{}, given: map[identifier.Tokens]int{},
	}
	arrivals := admitter.Key(0)
	for now := time.Duration(0); now < simLength; now += simTick {
		s.end(at(now))
		if now%(25*time.Millisecond) < simTick {
			arrivals++
			s.arrive(arrivals, at(now))
		}
		for _, k := range s.queue.Expired(at(now)) {
			s.earmarks.Release(k)
		}
		for range simSearch {
			s.search(at(now))
		}
	}
	share := func(t identifier.Tokens) float64 { return float64(s.given[t]) / float64(s.asked[t]) }
	return share(simSmall), share(simLarge)
}

func (s *simulation) end(now time.Time) {
	var left []earmarker.Run
	for _, r := range s.runs {
		if r.Ends.After(now) {
			left = append(left, r)
		}
	}
	s.runs = left
}

func (s *simulation) arrive(k admitter.Key, now time.Time) {
	s.sizes[k] = simSmall
	if k%7 == 0 {
		s.sizes[k] = simLarge
	}
	s.asked[s.sizes[k]]++
	w := admitter.Wish{Key: k, Arrived: now, OnTimeBy: now.Add(500 * time.Millisecond), StartBy: now.Add(3 * time.Second)}
	if s.keeps {
		w.Tokens = s.sizes[k]
	}
	if s.keeps && s.queue.Underserved(&w) && s.earmarks.Spare(simEngines) {
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
	if e, ok := s.room(k); ok {
		s.runs = append(s.runs, earmarker.Run{Engine: e, Tokens: s.sizes[k], Ends: now.Add(simAnswer)})
		s.given[s.sizes[k]]++
		s.queue.Granted(&w, now)
		s.earmarks.Release(k)
		return
	}
	if s.keeps && !w.Kept && s.queue.Underserved(&w) && s.earmarks.Spare(simEngines) {
		e, _ := earmarker.Soonest(s.engines(s.earmarks.Others(k)), s.runs, earmarker.Need{Tokens: s.sizes[k], Memory: simMemory}, now)
		s.earmarks.Keep(k, e)
		w.Kept = true
	}
	s.queue.Return(w)
}

func (s *simulation) next(now time.Time) (admitter.Key, bool) {
	for k, e := range s.earmarks.All() {
		if s.queue.Waits(k) && s.free(e) >= s.sizes[k] {
			return k, true
		}
	}
	if s.keeps && s.earmarks.Spare(simEngines) {
		if k, ok := s.queue.MostUnderserved(); ok {
			return k, true
		}
	}
	return s.queue.Next(now)
}

// room gives the emptiest engine that has room.
func (s *simulation) room(k admitter.Key) (identifier.Endpoint, bool) {
	var best identifier.Endpoint
	for _, e := range s.engines(s.earmarks.Others(k)) {
		if s.free(e) >= s.sizes[k] && (best == "" || s.free(e) > s.free(best)) {
			best = e
		}
	}
	return best, best != ""
}

func (s *simulation) free(e identifier.Endpoint) identifier.Tokens {
	free := identifier.Tokens(simMemory)
	for _, r := range s.runs {
		if r.Engine == e {
			free -= r.Tokens
		}
	}
	return free
}

func (s *simulation) engines(without []identifier.Endpoint) []identifier.Endpoint {
	var all []identifier.Endpoint
next:
	for n := range simEngines {
		e := identifier.Endpoint(rune('a' + n))
		for _, o := range without {
			if o == e {
				continue next
			}
		}
		all = append(all, e)
	}
	return all
}
