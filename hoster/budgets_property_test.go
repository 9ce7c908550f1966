package hoster

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// budgetHost is a simulated host that spends its share of the retry budget.
type budgetHost struct {
	*budgets
	threshold float64
	// pausedUntil is the step up to which the host is suspended.
	pausedUntil int
	startedAt   int
}

// TestBudgetsProperty simulates hosts that start, restart and are suspended at any
// time, disagree on the number of hosts and spend whatever they have at arbitrary
// moments. Together they must stay within the declared budget in any window.
func TestBudgetsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		declared := Retries{
			Ratio:  rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			Slack:  float64(rapid.IntRange(10, 200).Draw(t, "slack")),
			Window: 10 * time.Second,
			Settle: 3 * time.Second,
		}
		count := rapid.IntRange(1, 24).Draw(t, "hosts")
		settleSteps := int(declared.Settle / budgetTick)
		fleet := make([]*budgetHost, count)
		for n := range fleet {
			fleet[n] = &budgetHost{budgets: newBudgets(declared, 0), threshold: (float64(n) + 0.5) / float64(count)}
			fleet[n].restart(declared, 0)
		}
		restarts := rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "restart rate")
		pauses := rapid.SampledFrom([]float64{0, 0.01, 0.1}).Draw(t, "pause rate")
		spends := rapid.SampledFrom([]float64{0.05, 0.5, 1}).Draw(t, "spend rate")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		var retries, requests []int
		for step := range rapid.IntRange(40, 120).Draw(t, "steps") {
			sent, first := 0, 0
			for _, h := range fleet {
				if step < h.pausedUntil {
					continue
				}
				if random.Float64() < restarts {
					h.restart(declared, step)
				}
				if random.Float64() < pauses {
					h.pausedUntil = step + random.IntN(20)
				}
				for range random.IntN(4) {
					h.RecordFirstAttempt("desk")
					first++
				}
				if random.Float64() < spends {
					for h.Take("desk") {
						sent++
					}
				}
				h.tick(time.Time{})
				// Small fleets are safe whatever a host sees; in larger ones, hosts see
				// each other before they get slack.
				if seen := 1 + random.IntN(count); step-h.startedAt >= settleSteps/2 || seen <= minHosts {
					h.observeHosts(max(seen, count*min(1, (step-h.startedAt)/(settleSteps/2))))
				}
			}
			retries, requests = append(retries, sent), append(requests, first)
			assertWithinBudget(t, declared, retries, requests)
		}
	})
}

// restart replaces the host's process.
func (h *budgetHost) restart(declared Retries, step int) {
	h.budgets = newBudgets(declared, h.threshold)
	h.startedAt = step
}

// assertWithinBudget checks the retries of the last window.
func assertWithinBudget(t *rapid.T, declared Retries, retries, requests []int) {
	t.Helper()
	sum, all := 0, 0
	for k := max(0, len(retries)-int(declared.Window/budgetTick)); k < len(retries); k++ {
		sum += retries[k]
		all += requests[k]
	}
	is.New(t).True(float64(sum) <= declared.Slack+declared.Ratio*float64(all))
}
