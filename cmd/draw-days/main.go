// Command draw-days generates scenario files ("days") for the bench: one fault
// ("trouble") of a catalogue at a time, or two that overlap.
//
// # Usage
//
//	go run ./cmd/draw-days --into /tmp/days alone
//	go run ./cmd/draw-days --into /tmp/days pairs --seed 3 --count 40
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/emulator/drafter"
)

func main() {
	command := &cli.Command{
		Name:  "draw-days",
		Usage: "generate fault scenarios for the bench",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "catalogue", Value: "deploy/troubles.toml", Usage: "catalogue of faults"},
			&cli.StringFlag{Name: "into", Value: ".", Usage: "output directory"},
		},
		Commands: []*cli.Command{
			{
				Name:  "alone",
				Usage: "one scenario for each variant of each fault",
				Action: func(_ context.Context, c *cli.Command) error {
					return writeDays(c, drafter.Singles)
				},
			},
			{
				Name:  "pairs",
				Usage: "scenarios with two overlapping faults",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the pairs"},
					&cli.IntFlag{Name: "count", Value: 40, Usage: "number of scenarios"},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					return writeDays(c, func(all *drafter.Catalogue) []*drafter.Day {
						return drafter.Pairs(all, c.Uint64("seed"), c.Int("count"))
					})
				},
			},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// writeDays loads the catalogue, writes the scenarios drawn from it and prints
// their names.
func writeDays(c *cli.Command, days func(*drafter.Catalogue) []*drafter.Day) error {
	catalogue, err := drafter.LoadCatalogue(c.String("catalogue"))
	if err != nil {
		return err
	}
	for _, d := range days(catalogue) {
		if err := d.Write(c.String("into")); err != nil {
			return err
		}
		fmt.Println(d.Name)
	}
	return nil
}
