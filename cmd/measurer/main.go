// Command measurer benchmarks the membership protocol on virtual time.
//
// # Usage
//
//	go run ./cmd/measurer membership --hosts 9 --hosts 300 --seeds 9
//	go run ./cmd/measurer large --hosts 1400
//	go run ./cmd/measurer pauses --hosts 9 --seeds 20
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/measurer"
)

func main() {
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "measurer",
		Usage: "benchmark the membership protocol on virtual time",
		Commands: []*cli.Command{
			subcommand("membership", "measure failure detection, dissemination, bytes sent and CPU time", measurer.MeasureMembership),
			subcommand("large", "measure the same in a single run, for large fleets", measurer.MeasureLargeFleets),
			subcommand("pauses", "measure false suspicions while a host is paused", measurer.MeasurePauses),
		},
	}
}

func subcommand(name, usage string, measure func(io.Writer, measurer.MembershipConfig) error) *cli.Command {
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "hosts", Usage: "number of hosts; may be repeated", Value: []int{9}},
			&cli.IntFlag{Name: "seeds", Usage: "number of runs", Value: 9},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			return measure(c.Root().Writer, measurer.MembershipConfig{Hosts: c.IntSlice("hosts"), Seeds: c.Int("seeds")})
		},
	}
}
