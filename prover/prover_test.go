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
	seeds = flag.Int("prover.seeds", 3, "number of seeds for tests that mix faults")
	first = flag.Uint64("prover.first-seed", 1, "first seed for tests that mix faults")
)

// inRun runs f on a fresh system with two entry hosts a data center.
func inRun(t *testing.T, seed uint64, f func(ctx context.Context, r *prover.Run)) {
	t.Helper()
	inRunOf(t, 2, seed, f)
}

// inRunOf runs f on a fresh system in virtual time and fails the test for each
// promise that is broken.
func inRunOf(t *testing.T, hosts int, seed uint64, f func(ctx context.Context, r *prover.Run)) {
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
			// Engines free nothing by themselves within a run, but for
			// results of prefills.
			Engine: emulator.EngineSettings{StreamGrace: time.Hour, ImportTTL: time.Hour},
			Log:    log,
		})
		i.NoErr(err)
		defer r.Close()
		f(t.Context(), r)
		assertKept(t, r.Finish())
		logShares(t, r)
	})
}

func assertKept(t *testing.T, violations []checker.Violation) {
	t.Helper()
	for _, v := range violations {
		t.Error(v)
	}
}

// overSeeds runs f for each seed that the flags ask for.
func overSeeds(t *testing.T, f func(t *testing.T, seed uint64)) {
	t.Helper()
	n := uint64(*seeds)
	if testing.Short() {
		n = 1
	}
	for n := range n {
		seed := *first + n
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f(t, seed)
			if t.Failed() {
				t.Logf("replay: go test ./prover -run '%s' -prover.first-seed %d -prover.seeds 1", t.Name(), seed)
			}
		})
	}
}

// logShares reports what callers were told in the end.
func logShares(t *testing.T, r *prover.Run) {
	t.Helper()
	finals := r.Finals()
	t.Logf("answered %d, not-run %d, may-have-run %d, ran %d, unfinished %d",
		finals[checker.ResultAnswered], finals[checker.ResultNotRun], finals[checker.ResultMayHaveRun],
		finals[checker.ResultRan], finals[checker.ResultUnfinished])
}

const second = time.Second
