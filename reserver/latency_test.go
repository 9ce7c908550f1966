package reserver

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPrefillLatency guards against requests that start at the last moment and are
// late because prefill engines have become busy.
func TestPrefillLatency(t *testing.T) {
	addSamples := func(r *prefillLatency, took time.Duration, count int) {
		for n := range count {
			r.add(took + time.Duration(n%3)*20*time.Millisecond)
		}
	}
	t.Run("there is no excess without samples", func(t *testing.T) {
		is.New(t).Equal((&prefillLatency{}).excess(), time.Duration(0))
	})
	t.Run("there is no excess at idle engines", func(t *testing.T) {
		r := &prefillLatency{}
		addSamples(r, 200*time.Millisecond, 50)
		is.New(t).Equal(r.excess(), time.Duration(0))
	})
	t.Run("busy engines make requests start earlier", func(t *testing.T) {
		i := is.New(t)
		r := &prefillLatency{}
		addSamples(r, 200*time.Millisecond, 50)
		addSamples(r, 500*time.Millisecond, 20)
		i.True(r.excess() > 150*time.Millisecond && r.excess() < 400*time.Millisecond)
		addSamples(r, 200*time.Millisecond, 50)
		i.Equal(r.excess(), time.Duration(0))
	})
	t.Run("the excess is bounded", func(t *testing.T) {
		r := &prefillLatency{}
		addSamples(r, 5*time.Second, 50)
		is.New(t).Equal(r.excess(), maxExcess)
	})
}
