// Command soak runs soak tests of entry hosts under injected faults and reports
// the broken promises.
//
// # Usage
//
//	go build -o target/ ./cmd/entry-host
//	go run ./cmd/soak --binary target/entry-host --seeds 50 --duration 20s
//
// The exit code is 3 if a promise was broken.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/emulator/soaker"
)

// exitViolation is the exit code of a run that found a broken promise.
const exitViolation = 3

func main() {
	command := &cli.Command{
		Name:  "soak",
		Usage: "run entry hosts under injected external faults and check the promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Value: "target/entry-host", Usage: "path of the entry-host program"},
			&cli.StringFlag{Name: "directory", Value: filepath.Join(os.TempDir(), "jackdawthread-soak"), Usage: "directory for the hosts' settings and logs"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "time during which faults are injected, per seed"},
			&cli.IntFlag{Name: "hosts", Value: 3, Usage: "number of entry hosts"},
		},
		Action: soak,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func soak(ctx context.Context, c *cli.Command) error {
	found := 0
	for n := range c.Int("seeds") {
		seed := c.Uint64("first") + uint64(n)
		report, err := soaker.Run(ctx, soaker.Options{
			Binary:    c.String("binary"),
			Directory: filepath.Join(c.String("directory"), fmt.Sprint(seed)),
			Seed:      seed,
			Duration:  c.Duration("duration"),
			Hosts:     c.Int("hosts"),
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d sent, %d served, %d refused, %d failed, %d faults, %d broken\n",
			seed, report.Sent, report.Served, report.Refused, report.Failed, len(report.Faults), len(report.Violations))
		for _, b := range report.Violations {
			fmt.Println("  broken:", b)
		}
		found += len(report.Violations)
	}
	if found > 0 {
		return cli.Exit(fmt.Sprintf("%d promises broken", found), exitViolation)
	}
	return nil
}
