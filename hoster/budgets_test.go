package hoster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBudgets simulates hosts that retry as much as their budgets allow, and
// checks the total number of retries in any window.
func TestBudgets(t *testing.T) {
	small := Retries{Ratio: 0.2, Slack: 56, Window: 10 * time.Second, Settle: 3 * time.Second}
	large := Retries{Ratio: 0.2, Slack: 178, Window: 10 * time.Second, Settle: 3 * time.Second}
	// simulate returns the largest number of retries in any window of one
	// simulated minute, and the requests in that window, with perSecond requests
	// to each host. If restart is positive, all hosts restart at that interval.
	simulate := func(declared Retries, hosts, perSecond int, restart time.Duration) (most, requests int) {
		const (
			step          = budgetTick
			discoveryTime = 1500 * time.Millisecond // until the hosts have discovered each other
		)
		fleet := make([]*budgets, hosts)
		started := time.Duration(0)
		var retries, firstCalls []int
		for now := time.Duration(0); now < time.Minute; now += step {
			sent := 0
			if restart > 0 && now%restart == 0 {
				started = now
			}
			for n := range fleet {
				if fleet[n] == nil || started == now {
					fleet[n] = newBudgets(declared, (float64(n)+0.5)/float64(hosts))
				}
				for range perSecond * int(step) / int(time.Second) {
					fleet[n].RecordFirstAttempt("desk")
				}
				for fleet[n].Take("desk") {
					sent++
				}
				if now-started >= discoveryTime {
					fleet[n].observeHosts(hosts)
				}
				fleet[n].tick(time.Time{})
			}
			retries = append(retries, sent)
			firstCalls = append(firstCalls, hosts*(perSecond*int(step)/int(time.Second)))
			sum, all := 0, 0
			for k := max(0, len(retries)-int(declared.Window/step)); k < len(retries); k++ {
				sum += retries[k]
				all += firstCalls[k]
			}
			if sum-int(declared.Ratio*float64(all)) > most-int(declared.Ratio*float64(requests)) {
				most, requests = sum, all
			}
		}
		return most, requests
	}
	cases := []struct {
		name     string
		declared Retries
		hosts    int
		rate     int
		restart  time.Duration
	}{
		{"few hosts", small, 3, 4, 0},
		{"all hosts of a site", small, 8, 2, 0},
		{"many hosts", small, 69, 4, 0},
		{"hosts that restart together", small, 8, 2, 7 * time.Second},
		{"many hosts that restart together", large, 69, 4, 7 * time.Second},
		{"many hosts that all restart once", large, 69, 4, 41 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name+" together stay within the declared budget", func(t *testing.T) {
			most, requests := simulate(c.declared, c.hosts, c.rate, c.restart)
			bound := c.declared.Slack + c.declared.Ratio*float64(requests)
			is.New(t).True(float64(most) <= bound)
		})
	}
	t.Run("hosts use their shares", func(t *testing.T) {
		most, requests := simulate(small, 8, 2, 0)
		is.New(t).True(float64(most) >= 0.4*(small.Slack+small.Ratio*float64(requests)))
	})
}

// A host whose share of the budget is zero got the defaults of package retrier.
func TestZeroShare(t *testing.T) {
	b := newBudgets(Retries{Window: 10 * time.Second}, 0.5)
	for range 100 {
		b.RecordFirstAttempt("desk")
	}
	is.New(t).True(!b.Take("desk"))
}
