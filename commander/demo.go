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
		Usage: "show the system at work in this process and check its promises",
		Description: `Needs no other process and no settings: stand-ins for engines, plain services
and the platform, and six entry hosts, talk over loopback. One entry host is
killed and one stops as planned while quotes, notes and price locks flow.
Exit code 3 says that a promise was broken.
Example: jackdawthread demo --duration 10s --rate 25`,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "how long calls are sent", Value: 6 * time.Second},
			&cli.Float64Flag{Name: "rate", Usage: "calls a second", Value: 25},
			&cli.Uint64Flag{Name: "seed", Usage: "decides the calls and their arrivals", Value: 1},
			&cli.StringFlag{Name: "log-level", Usage: "level of the hosts' log", Value: "error"},
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
		return exitWith(ExitBroken, fmt.Errorf("promises were broken: %s", strings.Join(broken, "; ")))
	}
	return nil
}
