package prover_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/checker"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/logger"
	"github.com/jackdawthread/jackdawthread/prover"
)

var (
	seedCount = flag.Int("prover.seeds", 3, "number of seeds for tests that mix faults")
	firstSeed = flag.Uint64("prover.first-seed", 1, "first seed for tests that mix faults")
)

// withRun runs f on a new system with two entry hosts per data center.
func withRun(t *testing.T, seed uint64, f func(ctx context.Context, r *prover.Run)) {
	t.Helper()
	withRunOfHosts(t, 2, seed, f)
}

// withRunOfHosts runs f in virtual time on a new system with the given number of
// entry hosts per data center, and fails the test for each broken promise.
func withRunOfHosts(t *testing.T, hosts int, seed uint64, f func(ctx context.Context, r *prover.Run)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		source, err := os.ReadFile("../examples/tamsui.toml")
		i.NoErr(err)
		log, err := logger.New("error", os.Stderr)
		i.NoErr(err)
		r, err := prover.Start(t.Context(), prover.Options{
			Source:             source,
			HostsPerDataCenter: hosts,
			Seed:               seed,
			Customer:           "taoyuan-dealers",
			// Within a run, engines free nothing by themselves except prefill
			// results.
			Engine: emulator.EngineSettings{StreamGrace: time.Hour, ImportTTL: time.Hour},
			Log:    log,
		})
		i.NoErr(err)
		defer r.Close()
		f(t.Context(), r)
		assertNoViolations(t, r.Finish())
		logResults(t, r)
	})
}

func assertNoViolations(t *testing.T, violations []checker.Violation) {
	t.Helper()
	for _, v := range violations {
		t.Error(v)
	}
}

// forEachSeed runs f for each seed that the flags select.
func forEachSeed(t *testing.T, f func(t *testing.T, seed uint64)) {
	t.Helper()
	n := uint64(*seedCount)
	if testing.Short() {
		n = 1
	}
	for offset := range n {
		seed := *firstSeed + offset
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f(t, seed)
			if t.Failed() {
				t.Logf("replay: go test ./prover -run '%s' -prover.first-seed %d -prover.seeds 1", t.Name(), seed)
			}
		})
	}
}

// logResults logs how many callers got each final result.
func logResults(t *testing.T, r *prover.Run) {
	t.Helper()
	counts := r.ResultCounts()
	t.Logf("answered %d, not-run %d, may-have-run %d, ran %d, unfinished %d",
		counts[checker.ResultAnswered], counts[checker.ResultNotRun], counts[checker.ResultMayHaveRun],
		counts[checker.ResultRan], counts[checker.ResultUnfinished])
}

const second = time.Second
