package hoster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlanStop guards against the failure LOST of issue 22 that a request which was sent
// after stop.announce, to a process that noticed the signal late, was served and cut.
func TestPlanStop(t *testing.T) {
	i := is.New(t)
	const noticedAfter = 200 * time.Millisecond
	signal := time.Unix(1000, 0)
	s := Stop{Announce: 3 * time.Second, Limit: 8 * time.Second}
	p := planStop(signal.Add(noticedAfter), s)
	i.True(p.Announced.Before(signal.Add(s.Announce)))
	i.True(p.Announced.After(signal.Add(2500 * time.Millisecond))) // load balancers need two checks
	i.True(p.End.Before(signal.Add(s.Limit)))
}
