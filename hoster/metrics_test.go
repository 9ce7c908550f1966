package hoster

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/forwarder"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// samplesPerRoute is the number of requests of each route that a test observes.
const samplesPerRoute = 100

func TestAnsweredRequests(t *testing.T) {
	route := &registrar.Route{Name: "notes"}
	observe := func(m *metrics, times int, o forwarder.Observation) {
		o.Route = route
		for range times {
			m.observe(&o)
		}
	}
	t.Run("are recorded apart from those that failed", func(t *testing.T) {
		i, m := is.New(t), newMetrics()
		observe(m, 99, forwarder.Observation{Duration: time.Second})
		observe(m, 1000, forwarder.Observation{Duration: time.Millisecond, Err: errors.New("refused")})
		i.Equal(m.latencies["notes"+answeredSuffix].TotalCount(), int64(99))
		i.Equal(m.latencies["notes"+answeredSuffix].Min() >= 900, true)
	})
	t.Run("count by the longest one", func(t *testing.T) {
		i, m := is.New(t), newMetrics()
		observe(m, samplesPerRoute, forwarder.Observation{Duration: time.Second})
		observe(m, 1, forwarder.Observation{Duration: 4 * time.Second})
		longest := m.latencies["notes"+answeredSuffix].ValueAtQuantile(99.9)
		i.True(longest >= 4000 && longest < 4100)
	})
	t.Run("don't include those that a planned stop refused", func(t *testing.T) {
		i, m := is.New(t), newMetrics()
		observe(m, 3, forwarder.Observation{Err: classifier.NotRun(classifier.ReasonStopping, 0, "stopping")})
		observe(m, 1, forwarder.Observation{Err: classifier.NotRun(classifier.ReasonQueueFull, 0, "full")})
		i.Equal(m.stopRefusals.Value(), int64(3))
		i.Equal(m.latencies["notes"+answeredSuffix], nil)
	})
}

// Each route that ever got a request had histograms of its own: 80 MB with a large
// configuration.
func TestManyRoutes(t *testing.T) {
	i, m := is.New(t), newMetrics()
	for n := range 4000 {
		for range samplesPerRoute {
			m.observe(&forwarder.Observation{Route: &registrar.Route{Name: fmt.Sprint("route-", n)}, Duration: time.Second})
		}
	}
	i.True(len(m.latencies) <= maxHistograms+2) // those of the other routes, whole and answered
	i.Equal(m.latencies["route-0"+answeredSuffix].TotalCount(), int64(samplesPerRoute))
	i.Equal(m.latencies["route-3999"+answeredSuffix], nil)
	i.Equal(m.latencies[otherRoutes+answeredSuffix].TotalCount(), int64(samplesPerRoute*(4000-maxHistograms/2)))
}
