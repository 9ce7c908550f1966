package soaker_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/emulator/soaker"
)

// regressionSeeds are seeds that once failed, with the cause, and a baseline
// seed that did not.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "none: baseline seed"},
	{2, "emulated reservations never expired"},
	{10, "a host that was paused and stopped at the same time was never resumed"},
}

func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("soaks run for many seconds")
	}
	binary := filepath.Join(t.TempDir(), "entry-host")
	out, err := exec.Command("go", "build", "-race", "-o", binary, "github.com/jackdawthread/jackdawthread/cmd/entry-host").CombinedOutput()
	if err != nil {
		t.Fatalf("build failed: %v\n%s", err, out)
	}
	for _, r := range regressionSeeds {
		t.Run(r.cause, func(t *testing.T) {
			i := is.New(t)
			report, err := soaker.Run(context.Background(), soaker.Options{
				Binary: binary, Directory: t.TempDir(), Seed: r.seed, Duration: 6 * time.Second,
			})
			i.NoErr(err)
			for _, b := range report.Violations {
				t.Errorf("seed %d: %v", r.seed, b)
			}
			i.True(report.Served > 100)
		})
	}
}
