package stager_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/stager"
)

var start = time.Unix(1_000_000, 0)

const memory = 60_000

// pool gives engines, the first ones for prefill.
func pool(prefill, decode int) []*registrar.Endpoint {
	var all []*registrar.Endpoint
	for n := range prefill + decode {
		e := &registrar.Endpoint{Name: identifier.Endpoint(fmt.Sprintf("e%d", n)), Stage: registrar.StagePrefill}
		if n >= prefill {
			e.Stage = registrar.StageDecode
		}
		all = append(all, e)
	}
	return all
}

// measured gives a stager that has seen requests of 5,000 tokens of prompt, of
// which engines read 50 in a ms beside a fixed 100 ms, with answers of a time.
func measured(answer time.Duration) *stager.Stager {
	s := stager.New()
	for n := range 40 {
		prompt := identifier.Tokens(3000 + 100*n)
		s.Prefilled(prompt, 100*time.Millisecond+time.Duration(prompt)*20*time.Microsecond)
		s.Expected(5000, 5500, time.Second) // answers tell better
		s.Answered(5500, answer)
	}
	return s
}

// settle plays a pool in which orders are carried out, and gives the engines of
// each stage and the orders that it took.
func settle(s *stager.Stager, all []*registrar.Endpoint) (prefill, decode, orders int) {
	for now := time.Duration(0); now < 2*time.Minute; now += 100 * time.Millisecond {
		for _, o := range s.Next(all, memory, start.Add(now)) {
			o.Engine.Stage = o.Stage
			orders++
		}
	}
	for _, e := range all {
		if e.Stage == registrar.StagePrefill {
			prefill++
		} else {
			decode++
		}
	}
	return prefill, decode, orders
}

func TestNext(t *testing.T) {
	cases := []struct {
		name            string
		prefill, decode int
		answer          time.Duration
		want            int
	}{
		{"a pool with too many prefill engines", 4, 5, 3500 * time.Millisecond, 2},
		{"a larger pool with too many prefill engines", 5, 7, 3500 * time.Millisecond, 3},
		{"long answers", 4, 5, 10 * time.Second, 2},
		{"short answers", 2, 7, 300 * time.Millisecond, 7},
		{"a pool in balance", 2, 7, 3500 * time.Millisecond, 2},
		{"two engines", 1, 1, 10 * time.Second, 1},
		{"many engines", 49, 91, 3500 * time.Millisecond, 33},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			prefill, decode, orders := settle(measured(c.answer), pool(c.prefill, c.decode))
			i.Equal(prefill+decode, c.prefill+c.decode)
			i.True(prefill >= c.want-c.want/8 && prefill <= c.want+c.want/8)
			i.True(orders <= max(c.prefill-c.want, c.want-c.prefill)+c.want/8) // none is taken back
		})
	}
	t.Run("nothing is ordered before enough was measured", func(t *testing.T) {
		_, _, orders := settle(stager.New(), pool(4, 5))
		is.New(t).Equal(orders, 0)
	})
	t.Run("what is expected of answers counts until some were whole", func(t *testing.T) {
		s := stager.New()
		for n := range 40 {
			prompt := identifier.Tokens(3000 + 100*n)
			s.Prefilled(prompt, 100*time.Millisecond+time.Duration(prompt)*20*time.Microsecond)
			s.Expected(5000, 5500, 3500*time.Millisecond)
		}
		prefill, _, _ := settle(s, pool(4, 5))
		is.New(t).Equal(prefill, 2)
	})
	t.Run("engines that leave don't count", func(t *testing.T) {
		all := pool(4, 5)
		all[0].Leaving = true
		prefill, _, _ := settle(measured(3500*time.Millisecond), all)
		is.New(t).Equal(prefill, 3) // two, and the one that leaves
	})
	t.Run("nothing is ordered while the pool changes", func(t *testing.T) {
		i := is.New(t)
		s := measured(3500 * time.Millisecond)
		for n := range 60 { // an engine comes or goes each half second
			orders := s.Next(pool(4, 5+n%2), memory, start.Add(time.Duration(n)*time.Second/2))
			i.Equal(len(orders), 0)
		}
	})
	t.Run("a large pool is shared anew within seconds while some engines come and go", func(t *testing.T) {
		i := is.New(t)
		s := measured(3500 * time.Millisecond)
		all := pool(21, 39)
		orders, last := 0, time.Duration(0)
		for now := time.Duration(0); now < 20*time.Second; now += 250 * time.Millisecond {
			absent := int(now/time.Second) % 4 // of the decode engines
			for _, o := range s.Next(all[:len(all)-absent], memory, start.Add(now)) {
				o.Engine.Stage = o.Stage
				orders++
				last = now
			}
		}
		i.True(orders >= 5)
		i.True(last < 9*time.Second)
	})
	t.Run("each data centre keeps engines of both stages", func(t *testing.T) {
		// A data centre that is cut off has to read its prompts by itself.
		i := is.New(t)
		all := pool(6, 9)
		for n, dc := range []identifier.DataCenter{"a", "a", "b", "b", "c", "c", "a", "a", "a", "b", "b", "b", "c", "c", "c"} {
			all[n].DataCenter = dc
		}
		prefill, _, _ := settle(measured(3500*time.Millisecond), all)
		i.True(prefill >= 3 && prefill < 6)
		left := map[identifier.DataCenter]int{}
		for _, e := range all {
			if e.Stage == registrar.StagePrefill {
				left[e.DataCenter]++
			}
		}
		i.Equal(len(left), 3)
	})
	t.Run("the prefill rate is the slope alone", func(t *testing.T) {
		i := is.New(t)
		_, ok := stager.New().PrefillRate()
		i.True(!ok)
		rate, ok := measured(time.Second).PrefillRate()
		i.True(ok)
		i.True(rate > 49_000 && rate < 51_000)
	})
	t.Run("nothing is ordered by measurements that scatter", func(t *testing.T) {
		s := stager.New()
		for n := range 30 { // as behind other hosts' prompts
			s.Prefilled(identifier.Tokens(3000+100*(n*7%30)), time.Duration(100+400*(n%3))*time.Millisecond)
			s.Expected(5000, 5500, 3500*time.Millisecond)
		}
		_, _, orders := settle(s, pool(4, 5))
		is.New(t).Equal(orders, 0)
	})
	t.Run("a pool that has all but lost its prefill engines gets some without measurements", func(t *testing.T) {
		s := stager.New()
		for range 20 {
			s.Expected(5000, 5500, 3500*time.Millisecond)
		}
		prefill, _, _ := settle(s, pool(1, 9))
		is.New(t).True(prefill >= 2)
	})
	t.Run("no engine is ordered to and fro", func(t *testing.T) {
		i := is.New(t)
		s := measured(3500 * time.Millisecond)
		all := pool(4, 5)
		turns, last := 0, registrar.StageAny
		for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
			if now%(10*time.Second) == 0 { // the traffic turns from long answers to short ones
				for range 150 {
					s.Answered(5500, 3500*time.Millisecond)
				}
			}
			if now%(10*time.Second) == 5*time.Second {
				for range 150 {
					s.Answered(5500, 200*time.Millisecond)
				}
			}
			for _, o := range s.Next(all, memory, start.Add(now)) {
				o.Engine.Stage = o.Stage
				if o.Stage != last {
					turns++
				}
				last = o.Stage
			}
		}
		i.True(turns <= 3)
	})
	t.Run("an engine that was ordered counts as changing for a while", func(t *testing.T) {
		i := is.New(t)
		s := measured(3500 * time.Millisecond)
		all := pool(4, 5)
		s.Next(all, memory, start)
		orders := s.Next(all, memory, start.Add(7*time.Second))
		i.Equal(len(orders), 1)
		i.True(s.Changing(orders[0].Engine, start.Add(8*time.Second)))
		i.True(!s.Changing(orders[0].Engine, start.Add(time.Minute)))
	})
	t.Run("until it shows the new stage", func(t *testing.T) {
		// An engine that was idle takes it after 6 s, one that ends long answers
		// first after 12 s.
		i := is.New(t)
		s, o := ordered()
		i.True(s.Changing(o.Engine, start.Add(19*time.Second)))
		o.Engine.Stage = o.Stage
		i.True(!s.Changing(o.Engine, start.Add(13*time.Second)))
	})
	t.Run("or has started anew", func(t *testing.T) {
		i := is.New(t)
		s, o := ordered()
		o.Engine.Started++
		i.True(!s.Changing(o.Engine, start.Add(8*time.Second)))
	})
}

// ordered gives a stager that has just ordered an engine, at 7 s.
func ordered() (*stager.Stager, stager.Order) {
	s := measured(3500 * time.Millisecond)
	all := pool(4, 5)
	s.Next(all, memory, start)
	return s, s.Next(all, memory, start.Add(7*time.Second))[0]
}
