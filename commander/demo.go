package commander

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/demonstrator"
	"github.com/jackdawthread/jackdawthread/logger"
)

func demoCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the whole system in this process under load and check its promises",
		Description: `Needs no other process and no settings: emulated engines, plain services and
platform, and six entry hosts, communicate over loopback. One entry host is
killed and one is drained while quotes, notes and price locks are sent.
Exit code 3 means that a promise was broken.
Example: jackdawthread demo --duration 10s --rate 25`,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "time during which calls are sent", Value: 6 * time.Second},
			&cli.Float64Flag{Name: "rate", Usage: "calls per second", Value: 25},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed of the calls and their arrival times", Value: 1},
			&cli.StringFlag{Name: "log-level", Usage: "log level of the hosts", Value: "error"},
			outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error { return demo(ctx, c, s) },
	}
}

func demo(ctx context.Context, c *cli.Command, s Streams) error {
	log, err := logger.New(c.String("log-level"), s.Err)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	summary, err := demonstrator.Run(ctx, demonstrator.Options{
		Duration: c.Duration("duration"),
		Rate:     c.Float64("rate"),
		Seed:     c.Uint64("seed"),
		Log:      log,
		OnStep:   func(step string) { _, _ = fmt.Fprintln(s.Err, step) },
	})
	if err != nil {
		return err
	}
	if c.String("output") == outputJSON {
		err = printJSON(s.Out, summary)
	} else {
		err = summary.WriteTable(s.Out)
	}
	if err != nil {
		return err
	}
	if broken := summary.BrokenPromises(); len(broken) > 0 {
		return exitWith(ExitViolation, fmt.Errorf("promises were broken: %s", strings.Join(broken, "; ")))
	}
	return nil
}
