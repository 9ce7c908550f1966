// Command draw-days writes files of days for the bench: each trouble of a
// catalogue alone, or pairs that meet.
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
		Usage: "draw days of troubles for the bench",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "catalogue", Value: "deploy/troubles.toml", Usage: "troubles that may come"},
			&cli.StringFlag{Name: "into", Value: ".", Usage: "directory for the files"},
		},
		Commands: []*cli.Command{
			{
				Name:  "alone",
				Usage: "a day for each variant of a trouble",
				Action: func(_ context.Context, c *cli.Command) error {
					return draw(c, drafter.Singles)
				},
			},
			{
				Name:  "pairs",
				Usage: "days on which two troubles meet",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "decides the pairs"},
					&cli.IntFlag{Name: "count", Value: 40, Usage: "number of days"},
				},
				Action: func(_ context.Context, c *cli.Command) error {
					return draw(c, func(all *drafter.Catalogue) []*drafter.Day {
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

func draw(c *cli.Command, days func(*drafter.Catalogue) []*drafter.Day) error {
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
