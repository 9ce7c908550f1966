package reserver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/estimator"
)

// leadAfter returns how long before its objective of 900 ms a request has to start to
// be on time, after prefills at idle engines, then at busy and again at idle ones.
func leadAfter(idle, busy, idleAgain int, busyDelay time.Duration) time.Duration {
	q := newServiceQueue(&Reserver{}, "notes")
	for n := range idle + busy + idleAgain {
		p := estimator.Prefill{Prompt: 5000, Work: 5000, Delay: 200*time.Millisecond + time.Duration(n%3)*20*time.Millisecond}
		if n >= idle && n < idle+busy {
			p.Work, p.Delay = 15_000, busyDelay+time.Duration(n%3)*20*time.Millisecond
		}
		q.model.RecordPrefill(p)
		q.model.RecordResponse(estimator.Response{
			Prompt: 5000, Output: 100, Occupied: time.Second, FirstEvent: 50 * time.Millisecond, Took: time.Second,
		})
	}
	arrived := time.Unix(1_000_000, 0)
	req := &PlacementRequest{
		Prompt: 5000, Tokens: 5100,
		OnTimeBy: arrived.Add(900 * time.Millisecond), FirstEventBy: arrived.Add(4 * time.Second), Deadline: arrived.Add(14 * time.Second),
	}
	req.Arrived = arrived
	q.setStartTimes(req)
	return req.OnTimeBy.Sub(req.LatestOnTimeStart)
}

// TestStartTimes guards against requests that start at the last moment and are late
// because prefill engines have become busy.
func TestStartTimes(t *testing.T) {
	t.Run("there is no lead without samples", func(t *testing.T) {
		is.New(t).Equal(leadAfter(0, 0, 0, 0), time.Duration(0))
	})
	t.Run("the lead at idle engines is the time to the first event", func(t *testing.T) {
		lead := leadAfter(50, 0, 0, 0)
		is.New(t).True(lead > 200*time.Millisecond && lead < 350*time.Millisecond)
	})
	t.Run("busy engines make requests start earlier", func(t *testing.T) {
		is.New(t).True(leadAfter(50, 20, 0, 500*time.Millisecond)-leadAfter(50, 0, 0, 0) > 150*time.Millisecond)
	})
	t.Run("the lead is short again once engines are idle", func(t *testing.T) {
		lead := leadAfter(50, 20, 50, 500*time.Millisecond)
		is.New(t).True(lead > 200*time.Millisecond && lead < 350*time.Millisecond)
	})
	t.Run("the lead is bounded", func(t *testing.T) {
		is.New(t).Equal(leadAfter(50, 50, 0, 5*time.Second), 720*time.Millisecond)
	})
}
