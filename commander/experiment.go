package commander

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/experimenter"
)

func experimentCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:        "experiment",
		Usage:       "compare routing policies with baselines in simulations on virtual time",
		Description: "Example: jackdawthread experiment placement --mix tamsui --seeds 3",
		Commands: []*cli.Command{
			placementCommand(s),
			limitsCommand(s),
			stormCommand(s),
			slotsCommand(s),
			shortageCommand(s),
		},
	}
}

func placementCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "placement",
		Usage: "measure goodput and wasted prefill at increasing load",
		Description: "Policies: " + strings.Join(experimenter.Policies(), ", ") +
			"; variants: " + strings.Join(experimenter.Variants(), ", ") +
			"; faults: " + strings.Join(experimenter.Faults()[1:], ", ") + `.
Example: jackdawthread experiment placement --plots docs/measurements`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "mix", Usage: "traffic mix and engines; default: all"},
			&cli.StringSliceFlag{Name: "policy", Usage: "placement policy; default: all"},
			&cli.Float64SliceFlag{Name: "load", Usage: "load as a multiple of the capacity; default: 0.5, 0.8, 1, 1.3, 2"},
			&cli.StringFlag{Name: "fault", Usage: "fault to inject into the run"},
			&cli.IntFlag{Name: "seeds", Usage: "number of runs per data point"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the first run", Value: 1},
			&cli.StringFlag{Name: "plots", Usage: "directory for SVG plots; empty: no plots"},
			outputFlag(),
		},
		Action: func(_ context.Context, c *cli.Command) error { return placement(c, s) },
	}
}

func placement(c *cli.Command, s Streams) error {
	result, err := experimenter.Run(experimenter.Options{
		Seeds:     c.Int("seeds"),
		FirstSeed: c.Uint64("seed"),
		Loads:     c.Float64Slice("load"),
		Mixes:     c.StringSlice("mix"),
		Policies:  c.StringSlice("policy"),
		Fault:     c.String("fault"),
	})
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	if path := c.String("plots"); path != "" {
		if err := result.Plot(path); err != nil {
			return err
		}
	}
	return printExperiment(c, s, result, result.Table())
}

func limitsCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:        "limits",
		Usage:       "measure the error of the distributed customer limits against an exact limit",
		Description: "Example: jackdawthread experiment limits --seed 2",
		Flags:       []cli.Flag{seedFlag(), outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			figures := experimenter.RunLimits(c.Uint64("seed"))
			return printExperiment(c, s, figures, experimenter.LimitTable(figures))
		},
	}
}

func stormCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:        "storm",
		Usage:       "measure retries while a group of endpoints fails",
		Description: "Example: jackdawthread experiment storm --output json",
		Flags:       []cli.Flag{seedFlag(), outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			figures := experimenter.RunStorm(c.Uint64("seed"))
			return printExperiment(c, s, figures, experimenter.StormTable(figures))
		},
	}
}

func slotsCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:        "slots",
		Usage:       "compare who chooses among a few plain endpoints that many hosts share",
		Description: "Example: jackdawthread experiment slots --seed 2",
		Flags:       []cli.Flag{seedFlag(), outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			figures := experimenter.RunSlots(c.Uint64("seed"))
			return printExperiment(c, s, figures, experimenter.SlotTable(figures))
		},
	}
}

func shortageCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:        "shortage",
		Usage:       "compare orders of a queue when there is too little room",
		Description: "Example: jackdawthread experiment shortage --seed 2",
		Flags:       []cli.Flag{seedFlag(), outputFlag()},
		Action: func(_ context.Context, c *cli.Command) error {
			figures := experimenter.RunShortage(c.Uint64("seed"))
			return printExperiment(c, s, figures, experimenter.ShortageTable(figures))
		},
	}
}

func seedFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "seed", Usage: "seed of all random draws", Value: 1}
}

func printExperiment(c *cli.Command, s Streams, figures any, table string) error {
	if c.String("output") == outputJSON {
		return printJSON(s.Out, figures)
	}
	_, err := fmt.Fprint(s.Out, table)
	return err
}
