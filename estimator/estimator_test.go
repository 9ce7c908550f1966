package estimator_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/estimator"
)

// engine has constant speeds.
type engine struct {
	fixed, perPrompt, firstEvent, perOutput time.Duration
}

func (e engine) prefill(prompt identifier.Tokens) time.Duration {
	return e.fixed + time.Duration(prompt)*e.perPrompt
}

func (e engine) response(output identifier.Tokens) time.Duration {
	return e.firstEvent + time.Duration(output)*e.perOutput
}

// serve records one request of the engine, which waited for others at the prefill
// engine for the given time.
func (e engine) serve(m *estimator.Model, prompt, output identifier.Tokens, wait time.Duration) {
	work := prompt
	if wait > 0 {
		work += identifier.Tokens(wait / max(1, e.perPrompt))
	}
	prefill := e.prefill(prompt) + wait
	m.RecordPlacement(prompt)
	m.RecordPrefill(estimator.Prefill{Prompt: prompt, Work: work, Delay: prefill})
	m.RecordResponse(estimator.Response{
		Prompt: prompt, Output: output, Occupied: prefill + e.response(output), FirstEvent: e.firstEvent, Took: e.response(output),
	})
}

// serveMany records count requests of various sizes.
func (e engine) serveMany(m *estimator.Model, count int, wait time.Duration) {
	for n := range count {
		e.serve(m, identifier.Tokens(2000+700*(n*7%10)), identifier.Tokens(200+100*(n*3%10)), wait)
	}
}

var typical = engine{fixed: 60 * time.Millisecond, perPrompt: 20 * time.Microsecond, firstEvent: 40 * time.Millisecond, perOutput: 5 * time.Millisecond}

// assertNear checks that a duration deviates by at most the given share.
func assertNear(t *testing.T, got, want time.Duration, share float64) {
	t.Helper()
	if math.Abs(float64(got-want)) > share*float64(want) {
		t.Fatalf("got %v, want %v within %v%%", got, want, 100*share)
	}
}

func TestUnknownEngines(t *testing.T) {
	t.Run("have no estimates before enough samples", func(t *testing.T) {
		i := is.New(t)
		m := estimator.New()
		for range estimator.MinSamples - 1 {
			typical.serve(m, 5000, 500, 0)
			_, ok := m.FirstEvent(5000)
			i.True(!ok)
			_, ok = m.Response(5000, 500)
			i.True(!ok)
			i.True(!m.Known())
		}
		typical.serve(m, 5000, 500, 0)
		i.True(m.Known())
	})
	t.Run("responses without a first event give no estimate", func(t *testing.T) {
		i := is.New(t)
		m := estimator.New()
		for range 50 {
			m.RecordPrefill(estimator.Prefill{Prompt: 5000, Work: 5000, Delay: time.Second})
			m.RecordResponse(estimator.Response{Prompt: 5000, Output: 500, Occupied: time.Second})
		}
		_, ok := m.Response(5000, 500)
		i.True(!ok)
	})
	t.Run("that are always busy have a rough prefill rate", func(t *testing.T) {
		i := is.New(t)
		m := estimator.New()
		_, ok := m.BusyPrefillRate()
		i.True(!ok)
		for n := range 20 {
			typical.serve(m, 5000, 500, time.Duration(100+20*(n%10))*time.Millisecond)
		}
		_, ok = m.PrefillRate()
		i.True(!ok)
		rate, ok := m.BusyPrefillRate()
		i.True(ok)
		i.True(rate > 45_000 && rate < 55_000)
	})
}

func TestEstimates(t *testing.T) {
	t.Run("depend on the request's size", func(t *testing.T) {
		m := estimator.New()
		typical.serveMany(m, 50, 0)
		for _, prompt := range []identifier.Tokens{1000, 5000, 10_000} {
			first, _ := m.FirstEvent(prompt)
			assertNear(t, first.Mean, typical.prefill(prompt)+typical.firstEvent, 0.05)
		}
		response, _ := m.Response(5000, 2000)
		assertNear(t, response, typical.prefill(5000)+typical.response(2000), 0.05)
	})
	t.Run("give the prefill rate without the fixed part", func(t *testing.T) {
		i := is.New(t)
		m := estimator.New()
		typical.serveMany(m, 50, 0)
		rate, ok := m.PrefillRate()
		i.True(ok)
		i.True(rate > 49_000 && rate < 51_000)
	})
	t.Run("include queueing, which doesn't change the prefill rate", func(t *testing.T) {
		// A burst: requests wait for the prompts before them.
		i := is.New(t)
		m := estimator.New()
		typical.serveMany(m, 50, 0)
		typical.serveMany(m, 50, 400*time.Millisecond)
		prefill, _ := m.Prefill(5000)
		assertNear(t, prefill.Mean, typical.prefill(5000)+400*time.Millisecond, 0.05)
		rate, _ := m.PrefillRate()
		i.True(rate > 49_000 && rate < 51_000)
	})
	t.Run("of memory in use aren't biased towards the short responses that complete first", func(t *testing.T) {
		// Responses of 1 s and of 9 s alternate; after 3 s only short ones are complete.
		i := is.New(t)
		m := estimator.New()
		running := estimator.Running{}
		for started := time.Duration(0); started < 3*time.Second; started += 200 * time.Millisecond {
			elapsed := 3*time.Second - started
			running.Count++
			running.TokenSeconds += 5000 * elapsed.Seconds()
			if elapsed < time.Second {
				running.Count++
				running.TokenSeconds += 5000 * elapsed.Seconds()
				continue
			}
			m.RecordResponse(estimator.Response{Prompt: 5000, Occupied: time.Second})
		}
		use, ok := m.TokenSeconds(running)
		i.True(ok)
		i.True(use > 2*5000 && use < 9*5000) // the mean is 5 s
	})
	t.Run("aren't thrown off by an expected length that is far too low", func(t *testing.T) {
		m := estimator.New()
		typical.serveMany(m, 50, 0)
		m.RecordResponse(estimator.Response{Prompt: 5000, Output: 10, Occupied: time.Second, FirstEvent: typical.firstEvent, Took: typical.response(500)})
		response, _ := m.Response(5000, 500)
		assertNear(t, response, typical.prefill(5000)+typical.response(500), 0.15)
	})
	t.Run("follow a change of the output speed within 20 samples", func(t *testing.T) {
		slow := typical
		slow.perOutput *= 5
		m := estimator.New()
		typical.serveMany(m, 200, 0)
		slow.serveMany(m, 20, 0)
		response, _ := m.Response(5000, 500)
		assertNear(t, response, slow.prefill(5000)+slow.response(500), 0.2)
		typical.serveMany(m, 50, 0)
		response, _ = m.Response(5000, 500)
		assertNear(t, response, typical.prefill(5000)+typical.response(500), 0.2)
	})
	t.Run("follow a change of the prefill speed within 20 samples", func(t *testing.T) {
		slow := typical
		slow.fixed *= 5
		slow.perPrompt *= 5
		m := estimator.New()
		typical.serveMany(m, 200, 0)
		slow.serveMany(m, 20, 0)
		prefill, _ := m.Prefill(5000)
		assertNear(t, prefill.Mean, slow.prefill(5000), 0.25)
	})
}

// TestAnyEngine guards against assumed speeds: engines of all speeds are learned
// from the same number of requests.
func TestAnyEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		factor := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(1, 64).Draw(t, name))
		}
		e := engine{
			fixed:      typical.fixed / 8 * factor("fixed"),
			perPrompt:  typical.perPrompt / 8 * factor("per-prompt"),
			firstEvent: typical.firstEvent / 8 * factor("first-event"),
			perOutput:  typical.perOutput / 64 * factor("per-output"),
		}
		m := estimator.New()
		e.serveMany(m, 50, 0)
		prompt := identifier.Tokens(rapid.IntRange(1000, 12_000).Draw(t, "prompt"))
		output := identifier.Tokens(rapid.IntRange(1, 8000).Draw(t, "output"))
		want := e.prefill(prompt) + e.response(output)
		got, ok := m.Response(prompt, output)
		if !ok || math.Abs(float64(got-want)) > 0.05*float64(want) {
			t.Fatalf("response of %d tokens: got %v, %v, want %v", output, got, ok, want)
		}
	})
}

// assertSpread checks that a model's spread of outputs is known and at most twice and
// at least half of the true one.
func assertSpread(t *testing.T, m *estimator.Model, want float64) {
	t.Helper()
	if got, ok := m.OutputSpread(); !ok || got < want/2 || got > 2*want {
		t.Fatalf("got %v, %v, want %v within a factor of 2", got, ok, want)
	}
}

// Among the first responses, one with a single event, whose output took no time, made
// the spread a hundred times too large: no engine seemed to have room for a second request.
func TestOutputSpread(t *testing.T) {
	// serve records a response whose output is a share of the expected one.
	serve := func(m *estimator.Model, share float64) {
		output := time.Duration(share * 500 * float64(typical.perOutput))
		m.RecordResponse(estimator.Response{
			Prompt: 5000, Output: 500, Occupied: time.Second,
			FirstEvent: typical.firstEvent, Took: typical.firstEvent + output,
		})
	}
	t.Run("is right if the first output took next to no time", func(t *testing.T) {
		m := estimator.New()
		serve(m, 0.0001)
		for n := range 40 {
			serve(m, 0.5+float64(n%2)) // 0.5 off
			if n >= 2*estimator.MinSamples {
				assertSpread(t, m, 0.5)
			}
		}
	})
	t.Run("is right if one output in eight takes next to no time", func(t *testing.T) {
		m := estimator.New()
		for n := range 200 {
			share := 8.0 / 7
			if n%8 == 0 {
				share = 0.0001
			}
			serve(m, share)
		}
		assertSpread(t, m, 0.38) // of 1/8 at 0 and 7/8 at 8/7
	})
	t.Run("is unknown while the speed of outputs isn't known", func(t *testing.T) {
		i := is.New(t)
		m := estimator.New()
		for n := range estimator.MinSamples {
			serve(m, 0.5+float64(n%2))
		}
		_, ok := m.OutputSpread()
		i.True(!ok)
	})
	t.Run("is near zero for outputs as expected", func(t *testing.T) {
		i := is.New(t)
		m := estimator.New()
		for range 3 * estimator.MinSamples {
			serve(m, 1)
		}
		spread, ok := m.OutputSpread()
		i.True(ok)
		i.True(spread < 0.01)
	})
}
