package experimenter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// What shared slots have to keep to, as shares of the requests, and against the oracle
	// and hosts that choose by their own views.
	maxShed         = 0.01
	maxLateFactor   = 1.5
	maxAddedLatency = 2 * time.Millisecond
)

// TestSlots answers bursts of twice the load at four uneven endpoints that many hosts share.
func TestSlots(t *testing.T) {
	for _, c := range slotCases()[:2] {
		t.Run(fmt.Sprintf("%d hosts", c.hosts), func(t *testing.T) {
			i := is.New(t)
			var late, ownLate, oracleLate float64
			for seed := range uint64(5) {
				run := func(policy string) SlotMetrics { return newSlotBenchmark(policy, c, seed+1).run(policy) }
				shared, own := run("shared"), run("own-view")
				i.True(shared.Shed < maxShed)
				i.True(shared.Failed < maxShed)
				i.True(shared.CalmMedian < own.CalmMedian+maxAddedLatency)
				i.True(shared.Connections <= own.Connections)
				late += shared.Late
				ownLate += own.Late
				oracleLate += run("oracle").Late
			}
			i.True(late < maxLateFactor*oracleLate)
			i.True(late < ownLate/2)
		})
	}
	t.Run("is deterministic", func(t *testing.T) {
		c := slotCase{hosts: 10, burst: 2}
		is.New(t).Equal(newSlotBenchmark("shared", c, 1).run("shared"), newSlotBenchmark("shared", c, 1).run("shared"))
	})
}
