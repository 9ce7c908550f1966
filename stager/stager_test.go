package stager_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/estimator"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/stager"
)

var start = time.Unix(1_000_000, 0)

const memory = 60_000

// enginePool returns a pool of prefill engines followed by decode engines.
func enginePool(prefill, decode int) []*registrar.Endpoint {
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

// trainedModel returns a model with samples of 3,000 to 6,900 prompt tokens,
// processed at 50 tokens per ms after a fixed 100 ms, and of responses that occupy
// an engine for the given time.
func trainedModel(occupied time.Duration) *estimator.Model {
	m := estimator.New()
	for n := range 40 {
		prompt := identifier.Tokens(3000 + 100*n)
		m.RecordPrefill(estimator.Prefill{
			Prompt: prompt, Work: prompt, Delay: 100*time.Millisecond + time.Duration(prompt)*20*time.Microsecond,
		})
		m.RecordPlacement(prompt)
		m.RecordResponse(response(occupied))
	}
	return m
}

func response(occupied time.Duration) estimator.Response {
	return estimator.Response{Prompt: 5000, Output: 500, Occupied: occupied}
}

// runToConvergence simulates a pool that carries out every order immediately, and
// returns the engines of each stage and the number of orders.
func runToConvergence(m *estimator.Model, all []*registrar.Endpoint) (prefill, decode, orders int) {
	s := stager.New()
	for now := time.Duration(0); now < 2*time.Minute; now += 100 * time.Millisecond {
		for _, o := range s.NextOrders(all, stager.Workload{Model: m, Memory: memory}, start.Add(now)) {
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
		responseTime    time.Duration
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
			prefill, decode, orders := runToConvergence(trainedModel(c.responseTime), enginePool(c.prefill, c.decode))
			i.Equal(prefill+decode, c.prefill+c.decode)
			i.True(prefill >= c.want-c.want/8 && prefill <= c.want+c.want/8)
			i.True(orders <= max(c.prefill-c.want, c.want-c.prefill)+c.want/8) // no order is reversed
		})
	}
	t.Run("no orders without enough measurements", func(t *testing.T) {
		_, _, orders := runToConvergence(estimator.New(), enginePool(4, 5))
		is.New(t).Equal(orders, 0)
	})
	t.Run("no orders until responses have completed", func(t *testing.T) {
		m := estimator.New()
		for n := range 40 {
			prompt := identifier.Tokens(3000 + 100*n)
			m.RecordPlacement(prompt)
			m.RecordPrefill(estimator.Prefill{
				Prompt: prompt, Work: prompt, Delay: 100*time.Millisecond + time.Duration(prompt)*20*time.Microsecond,
			})
		}
		_, _, orders := runToConvergence(m, enginePool(4, 5))
		is.New(t).Equal(orders, 0)
		for range estimator.MinSamples {
			m.RecordResponse(response(3500 * time.Millisecond))
		}
		prefill, _, _ := runToConvergence(m, enginePool(4, 5))
		is.New(t).Equal(prefill, 2)
	})
	t.Run("leaving engines are ignored", func(t *testing.T) {
		all := enginePool(4, 5)
		all[0].Leaving = true
		prefill, _, _ := runToConvergence(trainedModel(3500*time.Millisecond), all)
		is.New(t).Equal(prefill, 3) // two, and the leaving one
	})
	t.Run("no orders while the pool changes", func(t *testing.T) {
		i := is.New(t)
		s, m := stager.New(), trainedModel(3500*time.Millisecond)
		for n := range 60 { // an engine joins or leaves every half second
			orders := s.NextOrders(enginePool(4, 5+n%2), stager.Workload{Model: m, Memory: memory}, start.Add(time.Duration(n)*time.Second/2))
			i.Equal(len(orders), 0)
		}
	})
	t.Run("a large pool is rebalanced within seconds while some engines join and leave", func(t *testing.T) {
		i := is.New(t)
		s, m := stager.New(), trainedModel(3500*time.Millisecond)
		all := enginePool(21, 39)
		orders, last := 0, time.Duration(0)
		for now := time.Duration(0); now < 20*time.Second; now += 250 * time.Millisecond {
			absent := int(now/time.Second) % 4 // decode engines
			for _, o := range s.NextOrders(all[:len(all)-absent], stager.Workload{Model: m, Memory: memory}, start.Add(now)) {
				o.Engine.Stage = o.Stage
				orders++
				last = now
			}
		}
		i.True(orders >= 5)
		i.True(last < 9*time.Second)
	})
	t.Run("each data center keeps engines of both stages", func(t *testing.T) {
		// A partitioned data center has to process its prompts by itself.
		i := is.New(t)
		all := enginePool(6, 9)
		for n, dc := range []identifier.DataCenter{"a", "a", "b", "b", "c", "c", "a", "a", "a", "b", "b", "b", "c", "c", "c"} {
			all[n].DataCenter = dc
		}
		prefill, _, _ := runToConvergence(trainedModel(3500*time.Millisecond), all)
		i.True(prefill >= 3 && prefill < 6)
		left := map[identifier.DataCenter]int{}
		for _, e := range all {
			if e.Stage == registrar.StagePrefill {
				left[e.DataCenter]++
			}
		}
		i.Equal(len(left), 3)
	})
	t.Run("no orders based on noisy measurements", func(t *testing.T) {
		m := estimator.New()
		for n := range 30 { // as if queued behind other hosts' prompts
			prompt := identifier.Tokens(3000 + 100*(n*7%30))
			m.RecordPlacement(prompt)
			m.RecordPrefill(estimator.Prefill{
				Prompt: prompt, Work: prompt, Delay: time.Duration(100+400*(n%3)) * time.Millisecond,
			})
			m.RecordResponse(response(3500 * time.Millisecond))
		}
		_, _, orders := runToConvergence(m, enginePool(4, 5))
		is.New(t).Equal(orders, 0)
	})
	t.Run("a pool with almost no prefill engines gets some although no prefill had its engine to itself", func(t *testing.T) {
		m := estimator.New()
		for n := range 20 {
			work := identifier.Tokens(20_000 + 1000*n)
			m.RecordPlacement(5000)
			m.RecordPrefill(estimator.Prefill{Prompt: 5000, Work: work, Delay: 100*time.Millisecond + time.Duration(work)*20*time.Microsecond})
			m.RecordResponse(response(1500 * time.Millisecond))
		}
		prefill, _, _ := runToConvergence(m, enginePool(1, 9))
		is.New(t).True(prefill >= 2)
	})
	t.Run("stages do not flap", func(t *testing.T) {
		i := is.New(t)
		s, m := stager.New(), trainedModel(3500*time.Millisecond)
		all := enginePool(4, 5)
		turns, last := 0, registrar.StageAny
		for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
			if now%(10*time.Second) == 0 { // traffic alternates between long and short responses
				for range 150 {
					m.RecordResponse(response(3500 * time.Millisecond))
				}
			}
			if now%(10*time.Second) == 5*time.Second {
				for range 150 {
					m.RecordResponse(response(200 * time.Millisecond))
				}
			}
			for _, o := range s.NextOrders(all, stager.Workload{Model: m, Memory: memory}, start.Add(now)) {
				o.Engine.Stage = o.Stage
				if o.Stage != last {
					turns++
				}
				last = o.Stage
			}
		}
		i.True(turns <= 3)
	})
	t.Run("the last prefill engine gets help soon after the others have left", func(t *testing.T) {
		// After an order to decode, a pool had a single prefill engine for 30 s.
		i := is.New(t)
		s, m := stager.New(), trainedModel(3500*time.Millisecond)
		all := enginePool(4, 5)
		orders := func(from, to time.Duration) map[registrar.Stage]int {
			count := map[registrar.Stage]int{}
			for now := from; now < to; now += 100 * time.Millisecond {
				for _, o := range s.NextOrders(all, stager.Workload{Model: m, Memory: memory}, start.Add(now)) {
					o.Engine.Stage = o.Stage
					count[o.Stage]++
				}
			}
			return count
		}
		i.True(orders(0, 8*time.Second)[registrar.StageDecode] > 0)
		all = append(all[:1], all[4:]...) // one prefill engine, and those that decode from the start
		all[0].Stage = registrar.StagePrefill
		i.True(orders(8*time.Second, 15*time.Second)[registrar.StagePrefill] > 0)
	})
	t.Run("an ordered engine is in transition until the timeout", func(t *testing.T) {
		i := is.New(t)
		s, m := stager.New(), trainedModel(3500*time.Millisecond)
		all := enginePool(4, 5)
		s.NextOrders(all, stager.Workload{Model: m, Memory: memory}, start)
		orders := s.NextOrders(all, stager.Workload{Model: m, Memory: memory}, start.Add(7*time.Second))
		i.Equal(len(orders), 1)
		i.True(s.InTransition(orders[0].Engine, start.Add(8*time.Second)))
		i.True(!s.InTransition(orders[0].Engine, start.Add(time.Minute)))
	})
	t.Run("a transition ends when the engine reports the new stage", func(t *testing.T) {
		// An idle engine switches after 6 s, one that completes long responses
		// first after 12 s.
		i := is.New(t)
		s, o := stagerAfterOrder()
		i.True(s.InTransition(o.Engine, start.Add(19*time.Second)))
		o.Engine.Stage = o.Stage
		i.True(!s.InTransition(o.Engine, start.Add(13*time.Second)))
	})
	t.Run("a transition ends when the engine restarts", func(t *testing.T) {
		i := is.New(t)
		s, o := stagerAfterOrder()
		o.Engine.StartID++
		i.True(!s.InTransition(o.Engine, start.Add(8*time.Second)))
	})
}

// A pool that loses engines keeps serving: at least one engine decodes, as nobody
// else can stream.
func TestSmallPools(t *testing.T) {
	cases := []struct {
		name                string
		prefill, decode     int
		occupied            time.Duration
		measured            bool
		wantPrefill, orders int
	}{
		{"the last engine goes on decoding", 0, 1, 500 * time.Millisecond, true, 0, 0},
		{"the last engine is ordered to decode", 1, 0, 500 * time.Millisecond, true, 0, 1},
		{"the last engine is ordered to decode before anything is measured", 1, 0, 0, false, 0, 1},
		{"two engines stay as they are", 1, 1, 500 * time.Millisecond, true, 1, 0},
		{"one of two prefill engines is ordered to decode", 2, 0, 500 * time.Millisecond, true, 1, 1},
		{"one of three prefill engines is ordered to decode before anything is measured", 3, 0, 0, false, 2, 1},
		{"one of two decode engines is ordered to prefill with short answers", 0, 2, time.Second, true, 1, 1},
		{"two decode engines stay with long answers", 0, 2, 60 * time.Second, true, 0, 0},
		{"one of three decode engines is ordered to prefill with short answers", 0, 3, 3 * time.Second, true, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			m := estimator.New()
			if c.measured {
				m = trainedModel(c.occupied)
			}
			prefill, _, orders := runToConvergence(m, enginePool(c.prefill, c.decode))
			i.Equal(prefill, c.wantPrefill)
			i.Equal(orders, c.orders)
		})
	}
}

// Whatever joins, leaves and lags behind its orders, the orders leave an engine that
// decodes already if there was one.
func TestOneEngineAlwaysDecodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := is.New(t)
		s := stager.New()
		m := trainedModel(time.Duration(rapid.IntRange(1, 10_000).Draw(t, "response-ms")) * time.Millisecond)
		largest := rapid.SampledFrom([]int{4, 40}).Draw(t, "largest")
		all := enginePool(rapid.IntRange(0, largest).Draw(t, "prefill"), rapid.IntRange(0, 4).Draw(t, "decode"))
		now := start
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(100, 10_000).Draw(t, "pause-ms")) * time.Millisecond)
			before := decoding(s, all, now)
			orders := s.NextOrders(all, stager.Workload{Model: m, Memory: memory}, now)
			i.True(before == 0 || decoding(s, all, now) > 0)
			for _, o := range orders {
				if rapid.Bool().Draw(t, "switches-at-once") {
					o.Engine.Stage = o.Stage
				}
			}
			if len(all) > 0 && rapid.IntRange(0, 4).Draw(t, "loss") == 0 {
				lost := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
				all = slices.Delete(slices.Clone(all), lost, lost+1)
			}
		}
	})
}

// decoding returns how many engines decode and aren't about to switch.
func decoding(s *stager.Stager, all []*registrar.Endpoint, now time.Time) int {
	count := 0
	for _, e := range all {
		if e.Stage == registrar.StageDecode && !s.InTransition(e, now) {
			count++
		}
	}
	return count
}

// stagerAfterOrder returns a stager and the order that it gave at 7 s.
func stagerAfterOrder() (*stager.Stager, stager.Order) {
	s, m := stager.New(), trainedModel(3500*time.Millisecond)
	all := enginePool(4, 5)
	s.NextOrders(all, stager.Workload{Model: m, Memory: memory}, start)
	return s, s.NextOrders(all, stager.Workload{Model: m, Memory: memory}, start.Add(7*time.Second))[0]
}
