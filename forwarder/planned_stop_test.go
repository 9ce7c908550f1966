package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlannedStop guards against the failure LOST of issue 22 that a request which came
// late in a planned stop was cut at its end instead of being refused.
func TestPlannedStop(t *testing.T) {
	began := time.Unix(1000, 0)
	p := &PlannedStop{Announced: began.Add(3 * time.Second), End: began.Add(7 * time.Second)}
	cases := []struct {
		name             string
		arrived, takesTo time.Duration
		want             bool
	}{
		{"serves what load balancers still send, even if it takes long", 2 * time.Second, 16 * time.Second, false},
		{"serves what was there before", -time.Second, 16 * time.Second, false},
		{"serves what comes later and ends in time", 4 * time.Second, 6 * time.Second, false},
		{"refuses what comes later and doesn't end in time", 4 * time.Second, 8 * time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(p.refuses(began.Add(c.arrived), began.Add(c.takesTo)), c.want)
		})
	}
}
