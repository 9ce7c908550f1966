package measurer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/measurer"
)

// run simulates a fleet with faults and returns the traffic of each host.
func run(seed uint64) (traffic []measurer.Traffic) {
	f := measurer.NewFleet(measurer.FleetConfig{Hosts: 9, DataCenters: 3, Seed: seed, Cold: true})
	f.Run(5 * time.Second)
	f.Freeze(1, 6*time.Second)
	f.Partition(func(from, to int) bool { return from < 3 && to >= 3 })
	f.Run(10 * time.Second)
	f.Restart(2)
	f.PowerOff(4)
	f.Heal()
	f.Run(20 * time.Second)
	for i := range 9 {
		traffic = append(traffic, f.Traffic(i))
	}
	return traffic
}

func TestFleet(t *testing.T) {
	t.Run("is deterministic for a seed and differs between seeds", func(t *testing.T) {
		is := is.New(t)
		is.Equal(run(1), run(1))
		is.True(run(1)[0] != run(2)[0])
	})
	t.Run("converges after a cold start", func(t *testing.T) {
		f := measurer.NewFleet(measurer.FleetConfig{Hosts: 30, DataCenters: 3, Seed: 1, Cold: true})
		_, ok := f.RunUntil(10*time.Second, f.Converged)
		is.New(t).True(ok)
	})
	t.Run("delivers no messages across a partition", func(t *testing.T) {
		f := measurer.NewFleet(measurer.FleetConfig{Hosts: 9, DataCenters: 1, Seed: 1})
		f.Partition(func(from, to int) bool { return (from == 0) != (to == 0) })
		_, ok := f.RunUntil(30*time.Second, func() bool { return len(f.View(0).Live("tw-north-1")) == 1 })
		is.New(t).True(ok)
	})
}
