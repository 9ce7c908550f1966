// Command soak runs soak tests of entry hosts under injected faults and reports
// the broken guarantees.
//
// # Usage
//
//	go build -o target/ ./cmd/entry-host
//	go run ./cmd/soak --binary target/entry-host --seeds 50 --duration 20s
//	go run ./cmd/soak --binary target/entry-host --hosts 120
//	go run ./cmd/soak --binary target/entry-host --other-binary previous/entry-host
//	go run ./cmd/soak --binary target/entry-host --first 17 --faults
//	go run ./cmd/soak --binary target/entry-host --regressions
//
// The logs of a seed's hosts are in the directory named after the seed. The exit
// code is 3 if a guarantee was broken.
package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/emulator/soaker"
)

const (
	// exitViolation is the exit code of a run that found a broken guarantee.
	exitViolation = 3
	// maxHosts bounds the hosts of a run, so that the machine stays usable.
	maxHosts = 200
	megabyte = 1 << 20
	// maxPrinted is the number of violations of each guarantee that are printed.
	maxPrinted = 3
)

func main() {
	command := &cli.Command{
		Name:  "soak",
		Usage: "run entry hosts under injected external faults and check the guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Value: "target/entry-host", Usage: "path of the entry-host program"},
			&cli.StringFlag{Name: "other-binary", Usage: "path of another build's entry-host program; each restart of a host changes between the two"},
			&cli.StringFlag{Name: "directory", Value: filepath.Join(os.TempDir(), "jackdawthread-soak"), Usage: "directory for the hosts' settings and logs"},
			&cli.Uint64Flag{Name: "first", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds"},
			&cli.BoolFlag{Name: "regressions", Usage: "play the regression seeds instead"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "time during which faults are injected, per seed"},
			&cli.IntFlag{Name: "hosts", Value: 3, Usage: fmt.Sprintf("number of entry hosts, at most %d", maxHosts)},
			&cli.Int64Flag{Name: "max-memory-mb", Value: 8192, Usage: "resident memory of all hosts above which they are ended"},
			&cli.Int64Flag{Name: "max-host-memory-mb", Value: 134, Usage: "resident memory that a host may take; builds with the race detector need several times as much"},
			&cli.BoolFlag{Name: "faults", Usage: "print all faults with their times"},
		},
		Action: soak,
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := command.Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func soak(ctx context.Context, c *cli.Command) error {
	if c.Int("hosts") > maxHosts {
		return fmt.Errorf("at most %d hosts are allowed", maxHosts)
	}
	seeds, err := chooseSeeds(c)
	if err != nil {
		return err
	}
	var failed []uint64
	for _, seed := range seeds {
		directory := filepath.Join(c.String("directory"), fmt.Sprint(seed))
		if err := os.RemoveAll(directory); err != nil {
			return err
		}
		report, err := soaker.Run(ctx, soaker.Options{
			Binary:        c.String("binary"),
			OtherBinary:   c.String("other-binary"),
			Directory:     directory,
			Seed:          seed,
			Duration:      c.Duration("duration"),
			Hosts:         c.Int("hosts"),
			MaxMemory:     c.Int64("max-memory-mb") * megabyte,
			MaxHostMemory: c.Int64("max-host-memory-mb") * megabyte,
		})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		printReport(seed, report, c.Bool("faults"))
		if len(report.Violations) > 0 {
			failed = append(failed, seed)
		}
	}
	if len(failed) > 0 {
		return cli.Exit(fmt.Sprintf("%d of %d seeds broke a guarantee: %d", len(failed), len(seeds), failed), exitViolation)
	}
	return nil
}

// chooseSeeds returns the seeds that the flags ask for.
func chooseSeeds(c *cli.Command) ([]uint64, error) {
	var seeds []uint64
	if !c.Bool("regressions") {
		for n := range c.Int("seeds") {
			seeds = append(seeds, c.Uint64("first")+uint64(n))
		}
		return seeds, nil
	}
	regressions, err := soaker.Regressions()
	for _, r := range regressions {
		seeds = append(seeds, r.Seed)
	}
	return seeds, err
}

func printReport(seed uint64, r *soaker.Report, faults bool) {
	fmt.Printf("seed %d: %d sent, %d served, %d refused, %d failed, %d faults, %d starts, peak memory %d MB, of a host %d MB, %d broken\n",
		seed, r.Sent, r.Served, r.Refused, r.Failed, len(r.Faults), r.Starts, r.PeakMemory/megabyte, r.PeakHostMemory/megabyte, len(r.Violations))
	fmt.Printf("  by status (0: the connection ended): %v\n", r.Statuses)
	if faults {
		printFaults(r.Began, r.Faults)
	}
	printViolations(r)
}

// printViolations prints how often each guarantee was broken, and the first
// violations.
func printViolations(r *soaker.Report) {
	byGuarantee := map[string][]soaker.Violation{}
	for _, v := range r.Violations {
		byGuarantee[string(v.Guarantee)] = append(byGuarantee[string(v.Guarantee)], v)
	}
	for _, name := range slices.Sorted(maps.Keys(byGuarantee)) {
		found := byGuarantee[name]
		fmt.Printf("  broken %d times: %s\n", len(found), name)
		for _, v := range found[:min(len(found), maxPrinted)] {
			fmt.Printf("    %s\n", v.Detail)
			printFaults(r.Began, v.Faults)
		}
	}
}

// printFaults prints faults in the order of their times since the beginning.
func printFaults(began time.Time, faults []soaker.Fault) {
	slices.SortFunc(faults, func(a, b soaker.Fault) int { return a.From.Compare(b.From) })
	for _, f := range faults {
		fmt.Printf("      %8.3f s  %s\n", f.From.Sub(began).Seconds(), f)
	}
}
