package experimenter

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortOptions returns options for a short benchmark.
func shortOptions(policies ...string) Options {
	return Options{Seeds: 3, Duration: 90 * time.Second, WarmUp: 30 * time.Second, Policies: policies}
}

// findPoint returns the point of a mix, policy and load, or nil.
func findPoint(r Result, mix, policy string, load float64) *Point {
	for i := range r.Points {
		if p := &r.Points[i]; p.Mix == mix && p.Policy == policy && p.Load == load {
			return p
		}
	}
	return nil
}

func TestRun(t *testing.T) {
	t.Run("is deterministic", func(t *testing.T) {
		is := is.New(t)
		o := shortOptions("plan", "power-of-two")
		o.Mixes, o.Loads, o.Seeds = []string{"tamsui"}, []float64{1.3}, 1
		first, err := Run(o)
		is.NoErr(err)
		second, err := Run(o)
		is.NoErr(err)
		is.Equal(first, second)
	})
	for name, o := range map[string]Options{
		"mix": {Mixes: []string{"none"}}, "policy": {Policies: []string{"none"}}, "fault": {Fault: "none"},
	} {
		t.Run("rejects an unknown "+name, func(t *testing.T) {
			_, err := Run(o)
			is.New(t).True(err != nil)
		})
	}
	for _, fault := range Faults()[1:] {
		t.Run("has a positive goodput under the fault "+fault, func(t *testing.T) {
			is := is.New(t)
			o := shortOptions("plan")
			o.Mixes, o.Loads, o.Seeds, o.Fault = []string{"tamsui", "snyrtinams"}, []float64{0.8}, 5, fault
			r, err := Run(o)
			is.NoErr(err)
			for i := range r.Points {
				is.True(r.Points[i].summarize(goodput).Min > 0)
			}
		})
	}
	t.Run("writes plots", func(t *testing.T) {
		is := is.New(t)
		o := shortOptions("plan")
		o.Mixes, o.Loads, o.Seeds = []string{"tamsui"}, []float64{0.5, 1}, 1
		r, err := Run(o)
		is.NoErr(err)
		path := t.TempDir()
		is.NoErr(r.Plot(path))
		info, err := os.Stat(filepath.Join(path, "tamsui-goodput.svg"))
		is.NoErr(err)
		is.True(info.Size() > 0)
	})
}

func mustRun(t *testing.T, o Options) Result {
	t.Helper()
	r, err := Run(o)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestPlanMeetsTargets checks the production policy against the operators' bounds
// on wasted prefill, goodput under overload and urgent requests in target.
func TestPlanMeetsTargets(t *testing.T) {
	if testing.Short() {
		t.Skip("takes several seconds")
	}
	const (
		maxWasteAtCapacity     = 0.01
		maxWasteAtDoubleLoad   = 0.03
		minGoodputAtDoubleLoad = 0.9 // as a share of the peak
		minUrgentGoodShare     = 0.95
	)
	o := shortOptions("plan")
	o.Loads = []float64{1, 1.3, 2}
	r := mustRun(t, o)
	o = shortOptions("round-robin")
	o.Loads = []float64{2}
	baseline := mustRun(t, o)
	for _, mix := range r.mixes() {
		t.Run(mix, func(t *testing.T) {
			is := is.New(t)
			peak := 0.0
			for _, load := range []float64{1, 1.3, 2} {
				p := findPoint(r, mix, "plan", load)
				peak = max(peak, p.summarize(goodput).Median)
				if load <= 1 {
					is.True(p.summarize(wastedPrefill).Median < maxWasteAtCapacity)
					is.True(p.summarize(urgentGoodShare).Median >= minUrgentGoodShare)
				}
			}
			doubleLoad := findPoint(r, mix, "plan", 2)
			is.True(doubleLoad.summarize(wastedPrefill).Median < maxWasteAtDoubleLoad)
			is.True(doubleLoad.summarize(goodput).Median >= minGoodputAtDoubleLoad*peak)
			other := findPoint(baseline, mix, "round-robin", 2)
			is.True(doubleLoad.summarize(wastedPrefill).Median <= other.summarize(wastedPrefill).Median)
		})
	}
}

func TestRunLimits(t *testing.T) {
	const (
		maxError  = 0.10
		maxExcess = 0.20
	)
	for _, m := range RunLimits(1) {
		t.Run(m.Case, func(t *testing.T) {
			is := is.New(t)
			is.True(m.Error > -maxError && m.Error < maxError)
			is.True(m.WorstExcess < maxExcess)
		})
	}
}

func TestRunStorm(t *testing.T) {
	metrics := map[string]StormMetrics{}
	for _, m := range RunStorm(1) {
		metrics[m.Fault+" "+m.Policy] = m
	}
	t.Run("the retry budget limits amplification", func(t *testing.T) {
		is := is.New(t)
		is.True(metrics["fast budget"].Amplification < 0.5*metrics["fast nothing"].Amplification)
	})
	t.Run("the service recovers with all protections", func(t *testing.T) {
		is := is.New(t)
		is.True(metrics["slow all"].Recovery >= 0 && metrics["slow all"].Recovery <= 5)
		is.True(metrics["fast all"].Recovery >= 0 && metrics["fast all"].Recovery <= 5)
	})
	t.Run("the service does not recover without protections", func(t *testing.T) {
		is.New(t).True(metrics["slow nothing"].Recovery < 0)
	})
}
