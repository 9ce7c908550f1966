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

// regressions are seeds that once failed, with the cause, and one that didn't.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "none: a seed to start from"},
	{2, "the stand-in's reservations never lapsed"},
	{10, "a host that was paused and stopped at once was never woken"},
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
	for _, r := range regressions {
		t.Run(r.cause, func(t *testing.T) {
			i := is.New(t)
			report, err := soaker.Run(context.Background(), soaker.Options{
				Binary: binary, Directory: t.TempDir(), Seed: r.seed, Duration: 6 * time.Second,
			})
			i.NoErr(err)
			for _, b := range report.Broken {
				t.Errorf("seed %d: %s", r.seed, b)
			}
			i.True(report.Served > 100)
		})
	}
}
