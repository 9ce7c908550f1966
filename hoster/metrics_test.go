package hoster

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/forwarder"
	"github.com/jackdawthread/jackdawthread/registrar"
)

func TestExpectedDuration(t *testing.T) {
	route := &registrar.Route{Name: "notes"}
	observe := func(m *metrics, times int, o forwarder.Observation) {
		o.Route = route
		for range times {
			m.observe(&o)
		}
	}
	t.Run("is unknown until enough requests were answered", func(t *testing.T) {
		i, m := is.New(t), newMetrics()
		observe(m, minExpectedSamples-1, forwarder.Observation{Duration: time.Second})
		observe(m, 1000, forwarder.Observation{Duration: time.Millisecond, Err: errors.New("refused")})
		i.Equal(m.expectedDuration(route), 0*time.Second)
	})
	t.Run("is that of the longest requests", func(t *testing.T) {
		i, m := is.New(t), newMetrics()
		observe(m, minExpectedSamples, forwarder.Observation{Duration: time.Second})
		observe(m, 1, forwarder.Observation{Duration: 4 * time.Second})
		expected := m.expectedDuration(route)
		i.True(expected >= 4*time.Second && expected < 4100*time.Millisecond)
	})
}

// Each route that ever got a request had histograms of its own: 80 MB with a large
// configuration.
func TestManyRoutes(t *testing.T) {
	i, m := is.New(t), newMetrics()
	for n := range 4000 {
		for range minExpectedSamples {
			m.observe(&forwarder.Observation{Route: &registrar.Route{Name: fmt.Sprint("route-", n)}, Duration: time.Second})
		}
	}
	i.True(len(m.latencies) <= maxHistograms+2) // those of the other routes, whole and answered
	i.True(m.expectedDuration(&registrar.Route{Name: "route-0"}) > 0)
	i.Equal(m.expectedDuration(&registrar.Route{Name: "route-3999"}), 0*time.Second)
	i.Equal(m.latencies[otherRoutes+answeredSuffix].TotalCount(), int64(minExpectedSamples*(4000-maxHistograms/2)))
}
