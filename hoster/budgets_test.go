package hoster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBudgets plays hosts that each want to send everything again, and checks
// what all of them send in any window.
func TestBudgets(t *testing.T) {
	declared := Retries{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	// play gives the most that hosts send again in a window of a minute, with
	// perSecond requests to each; every restart interval they all start anew.
	play := func(hosts, perSecond int, restart time.Duration) (most, requests int) {
		const step = budgetTick
		fleet := make([]*budgets, hosts)
		var again, first []int
		for now := time.Duration(0); now < time.Minute; now += step {
			sent := 0
			for n := range fleet {
				if fleet[n] == nil || restart > 0 && now%restart == 0 {
					fleet[n] = newBudgets(declared, (float64(n)+0.5)/float64(hosts))
				}
				for range perSecond * int(step) / int(time.Second) {
					fleet[n].First("desk")
				}
				for fleet[n].Take("desk") {
					sent++
				}
				fleet[n].sees(hosts)
				fleet[n].tick(time.Time{})
			}
			again = append(again, sent)
			first = append(first, hosts*(perSecond*int(step)/int(time.Second)))
			sum, all := 0, 0
			for k := max(0, len(again)-int(declared.Window/step)); k < len(again); k++ {
				sum += again[k]
				all += first[k]
			}
			if sum-int(declared.Ratio*float64(all)) > most-int(declared.Ratio*float64(requests)) {
				most, requests = sum, all
			}
		}
		return most, requests
	}
	cases := []struct {
		name    string
		hosts   int
		rate    int
		restart time.Duration
	}{
		{"few hosts", 3, 4, 0},
		{"all hosts of a site", 8, 2, 0},
		{"many hosts", 69, 4, 0},
		{"hosts that restart together", 8, 2, 7 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name+" keep the declared budget together", func(t *testing.T) {
			most, requests := play(c.hosts, c.rate, c.restart)
			bound := declared.Slack + declared.Ratio*float64(requests)
			is.New(t).True(float64(most) <= bound)
		})
	}
	t.Run("a host makes use of its share", func(t *testing.T) {
		most, requests := play(8, 2, 0)
		is.New(t).True(float64(most) >= 0.4*(declared.Slack+declared.Ratio*float64(requests)))
	})
}
