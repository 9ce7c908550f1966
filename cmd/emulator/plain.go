package main

import (
	"context"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/emulator"
)

func plainCommand() *cli.Command {
	return &cli.Command{
		Name:  "plain",
		Usage: "run one instance of a plain service, which records its calls",
		Flags: append(endpointFlags(),
			&cli.DurationFlag{Name: "latency", Usage: "duration of a call"},
			&cli.IntFlag{Name: "concurrency", Usage: "maximum number of concurrent calls; 0: unlimited"},
			&cli.Float64Flag{Name: "refuse", Usage: "fraction of calls refused before they run"},
			&cli.Float64Flag{Name: "reset-before", Usage: "fraction of connections reset before the call runs"},
			&cli.Float64Flag{Name: "reset-after", Usage: "fraction of connections reset after the call ran"},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed of the faults"},
		),
		Action: runPlain,
	}
}

func runPlain(ctx context.Context, c *cli.Command) error {
	p := emulator.NewPlain(emulator.PlainSettings{
		Name:        identifier.Endpoint(c.String("name")),
		Latency:     c.Duration("latency"),
		Concurrency: c.Int("concurrency"),
		Seed:        c.Uint64("seed"),
	})
	p.SetFaults(emulator.PlainFaults{
		Refuse:      c.Float64("refuse"),
		ResetBefore: c.Float64("reset-before"),
		ResetAfter:  c.Float64("reset-after"),
	})
	g := grouper.New(ctx)
	leaving := false
	onSignal(g, syscall.SIGUSR1, func() {
		leaving = !leaving
		p.SetLeaving(leaving)
	})
	return serveUntilDone(ctx, c.Root().Writer, g, c.String("name"), c.String("listen"), p.Handler())
}
