package main

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/emulator"
)

func siteCommand() *cli.Command {
	return &cli.Command{
		Name:  "site",
		Usage: "run all endpoints of a data center at their declared addresses",
		Flags: append(speedFlags(),
			&cli.StringFlag{Name: "declarations", Required: true, Usage: "TOML file that declares the endpoints"},
			&cli.StringFlag{Name: "data-center", Usage: "data center whose endpoints run; empty: all"},
			&cli.DurationFlag{Name: "latency", Usage: "duration of a plain call"},
			weightsFlag(),
		),
		Action: runSite,
	}
}

func runSite(ctx context.Context, c *cli.Command) error {
	fleet, err := compiler.Load(c.String("declarations"))
	if err != nil {
		return err
	}
	center := identifier.DataCenter(c.String("data-center"))
	if _, ok := fleet.DataCenters[center]; center != "" && !ok {
		return fmt.Errorf("data center %q does not exist in %s", center, c.String("declarations"))
	}
	g := grouper.New(ctx)
	site, err := emulator.StartSite(g.Context(), g, emulator.SiteSettings{
		Fleet:      fleet,
		DataCenter: center,
		Engine:     speedSettings(c),
		Plain:      emulator.PlainSettings{Latency: c.Duration("latency")},
		Scale:      c.Float64("scale"),
		NoPlatform: true,
		Weights:    weightSource(c),
	})
	if err != nil {
		g.Stop()
		_ = g.Wait() // err is the cause; later errors are ignored
		return err
	}
	addresses := site.Addresses()
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		printListening(c.Root().Writer, string(name), addresses[name])
	}
	return waitUntilDone(ctx, g)
}
