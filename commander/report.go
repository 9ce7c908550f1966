package commander

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/reporter"
	"github.com/jackdawthread/jackdawthread/wire/operatorwire"
)

func reportCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:     "report",
		Usage:    "report on the service level objectives",
		Commands: []*cli.Command{burnCommand(s)},
	}
}

func burnCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "show the error budget burn rate of each service",
		Description: `Sums the counts of the entry hosts given by --host. At a burn rate of 1 the
budget lasts exactly for its period.
Example: jackdawthread report burn --host 127.0.0.1:7002 --host 127.0.0.1:7012 --html burn.html`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "host", Usage: "operators' listener of an entry host, IP:port", Value: []string{defaultOperatorAddress}},
			&cli.StringFlag{Name: "html", Usage: "write an HTML page with plots to this file"},
			outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error { return reportBurnRate(ctx, c, s) },
	}
}

func reportBurnRate(ctx context.Context, c *cli.Command, s Streams) error {
	var windows []reporter.Window
	for _, address := range c.StringSlice("host") {
		r, err := operatorClient(address).Burn(ctx, connect.NewRequest(&operatorwire.BurnRequest{}))
		if err != nil {
			return fmt.Errorf("entry host at %s: %w", address, err)
		}
		windows = reporter.Merge(windows, reporter.FromWire(r.Msg.GetWindows()))
	}
	if path := c.String("html"); path != "" {
		return writePage(path, windows)
	}
	if c.String("output") == outputJSON {
		return reporter.WriteJSON(s.Out, windows)
	}
	return reporter.WriteTable(s.Out, windows)
}

func writePage(path string, windows []reporter.Window) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create HTML page %q: %w", path, err)
	}
	return errors.Join(reporter.WriteHTML(f, windows, time.Now()), f.Close())
}
