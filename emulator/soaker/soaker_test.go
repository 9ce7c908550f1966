package soaker_test

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/emulator/soaker"
)

// shortSeeds are regression seeds that fit the time of CI, and baseline seeds.
// `soak --regressions` plays all.
var shortSeeds = []uint64{1, 2, 10, 19, 20}

// shortDuration is how long faults are injected in CI.
const shortDuration = 8 * time.Second

// maxRaceMemory is the memory of a host of 134 MB, times what the race detector needs
// for each byte in use.
const maxRaceMemory = 5 * 134 << 20

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("soaks run for many seconds")
	}
	binary := filepath.Join(t.TempDir(), "entry-host")
	out, err := exec.Command("go", "build", "-race", "-o", binary, "github.com/jackdawthread/jackdawthread/cmd/entry-host").CombinedOutput()
	if err != nil {
		t.Fatalf("build failed: %v\n%s", err, out)
	}
	for _, seed := range shortSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			i := is.New(t)
			report, err := soaker.Run(context.Background(), soaker.Options{
				Binary: binary, Directory: t.TempDir(), Seed: seed, Duration: shortDuration,
				MaxHostMemory: maxRaceMemory,
			})
			i.NoErr(err)
			for _, v := range report.Violations {
				t.Errorf("seed %d: %v", seed, v)
			}
			i.True(report.Served > 100)
		})
	}
}

func TestRegressions(t *testing.T) {
	i := is.New(t)
	all, err := soaker.Regressions()
	i.NoErr(err)
	for _, r := range all {
		i.True(r.Seed > 0)
		i.True(r.Cause != "")
	}
}
