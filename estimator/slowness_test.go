package estimator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/estimator"
)

func TestSlowness(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	slow := func(samples int) estimator.Slowness {
		var s estimator.Slowness
		for range samples {
			s.Record(8, start)
		}
		return s
	}
	t.Run("is 1 without samples", func(t *testing.T) {
		var s estimator.Slowness
		is.New(t).Equal(s.At(start), 1.0)
	})
	t.Run("is near the ratio after ten samples", func(t *testing.T) {
		i := is.New(t)
		s := slow(10)
		i.True(s.At(start) > 7)
		i.True(s.At(start) <= 8)
	})
	t.Run("ignores ratios that queues explain", func(t *testing.T) {
		var s estimator.Slowness
		for range 10 {
			s.Record(2.4, start)
		}
		is.New(t).Equal(s.At(start), 1.0)
	})
	t.Run("ignores a single call that took very long", func(t *testing.T) {
		var s estimator.Slowness
		for range 10 {
			s.Record(0.8, start)
		}
		s.Record(8, start)
		is.New(t).Equal(s.At(start), 1.0)
	})
	t.Run("decreases without samples, so that the engine is measured again", func(t *testing.T) {
		i := is.New(t)
		s := slow(10)
		i.True(s.At(start.Add(10*time.Second)) < 3)
		i.Equal(s.At(start.Add(30*time.Second)), 1.0)
	})
	t.Run("returns to 1 within ten samples of an engine that has recovered", func(t *testing.T) {
		s := slow(50)
		for range 10 {
			s.Record(1, start)
		}
		is.New(t).Equal(s.At(start), 1.0)
	})
	t.Run("increases by a call that was given up late, and not by one given up early", func(t *testing.T) {
		i := is.New(t)
		s := slow(3)
		before := s.At(start)
		s.RecordAtLeast(1, start)
		i.Equal(s.At(start), before)
		s.RecordAtLeast(20, start)
		i.True(s.At(start) > before)
	})
}

func TestRatios(t *testing.T) {
	t.Run("are unknown without enough samples", func(t *testing.T) {
		i := is.New(t)
		m := estimator.New()
		_, ok := m.PrefillRatio(estimator.Prefill{Prompt: 5000, Work: 5000, Delay: time.Second})
		i.True(!ok)
		_, ok = m.EventRatio(time.Second)
		i.True(!ok)
		_, ok = m.MaxSlowness(5000, 500, time.Second)
		i.True(!ok)
	})
	t.Run("of a prefill count the prompts that were queued before it", func(t *testing.T) {
		i := is.New(t)
		m := estimator.New()
		for n := range 30 {
			typical.serve(m, 5000, 500, time.Duration(20*(n%10))*time.Millisecond)
		}
		delay := typical.prefill(5000) + 100*time.Millisecond
		ratio, ok := m.PrefillRatio(estimator.Prefill{Prompt: 5000, Work: 10_000, Delay: delay})
		i.True(ok)
		i.True(ratio > 0.9 && ratio < 1.1)
		ratio, _ = m.PrefillRatio(estimator.Prefill{Prompt: 5000, Work: 5000, Delay: 8 * typical.prefill(5000)})
		i.True(ratio > 7 && ratio < 9)
	})
	t.Run("of events compare with all engines", func(t *testing.T) {
		i := is.New(t)
		m := estimator.New()
		for range 20 {
			m.RecordResponse(estimator.Response{Prompt: 5000, Output: 500, Occupied: time.Second, EventInterval: 50 * time.Millisecond})
		}
		ratio, ok := m.EventRatio(400 * time.Millisecond)
		i.True(ok)
		i.True(ratio > 7.9 && ratio < 8.1)
		_, ok = m.EventRatio(0)
		i.True(!ok) // unknown
	})
	t.Run("allow an engine as slow as the time left allows", func(t *testing.T) {
		i := is.New(t)
		m := estimator.New()
		typical.serveMany(m, 50, 0)
		first := typical.prefill(5000) + typical.firstEvent
		slowness, ok := m.MaxSlowness(5000, 400, first+6*time.Second) // 2 s of output
		i.True(ok)
		i.True(slowness > 2.8 && slowness < 3.2)
	})
}
