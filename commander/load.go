package commander

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/loader"
)

func loadCommand(s Streams) *cli.Command {
	mixes := strings.Join(slices.Sorted(maps.Keys(loader.Mixes())), ", ")
	return &cli.Command{
		Name:  "load",
		Usage: "generate load on a running system and report latencies and goodput",
		Description: `Sends calls at a fixed rate (open loop), or keeps a fixed number of calls in
flight (closed loop).
Example: jackdawthread load --address 127.0.0.1:7000 --mix tamsui --rate 20 --duration 30s`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "address", Usage: "callers' listener of an entry host, IP:port", Value: []string{"127.0.0.1:7000"}},
			&cli.StringFlag{Name: "mix", Usage: "traffic mix: " + mixes, Value: "tamsui"},
			&cli.Float64Flag{Name: "rate", Usage: "calls per second; 0: use --concurrency"},
			&cli.IntFlag{Name: "concurrency", Usage: "number of calls in flight", Value: 10},
			&cli.DurationFlag{Name: "duration", Usage: "time during which calls are sent, including the warm-up", Value: 30 * time.Second},
			&cli.DurationFlag{Name: "warm-up", Usage: "initial time that is excluded from the report", Value: 2 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed of the calls and their arrival times", Value: 1},
			&cli.IntFlag{Name: "repeats", Usage: "how often a call that did not run is sent again"},
			outputFlag(),
		},
		Action: func(ctx context.Context, c *cli.Command) error { return load(ctx, c, s) },
	}
}

func load(ctx context.Context, c *cli.Command, s Streams) error {
	mix, ok := loader.Mixes()[c.String("mix")]
	if !ok {
		return exitWith(ExitUsage, fmt.Errorf("mix %q does not exist", c.String("mix")))
	}
	var urls []string
	for _, a := range c.StringSlice("address") {
		urls = append(urls, "http://"+a)
	}
	settings := loader.Settings{
		Mix:         mix,
		Rate:        c.Float64("rate"),
		Concurrency: c.Int("concurrency"),
		Duration:    c.Duration("duration"),
		Warmup:      c.Duration("warm-up"),
		Seed:        c.Uint64("seed"),
		Repeats:     c.Int("repeats"),
	}
	if settings.Rate > 0 {
		settings.Concurrency = 0
	}
	report, err := loader.Run(ctx, settings, loader.NewConnectCaller(converter.HTTPClient(plainTextHTTP2()), urls...), nil)
	if err != nil {
		return err
	}
	return printLoad(c, s, report)
}

func printLoad(c *cli.Command, s Streams, r *loader.Report) error {
	var err error
	if c.String("output") == outputJSON {
		err = printJSON(s.Out, r)
	} else {
		err = r.WriteTable(s.Out)
	}
	return err
}

// plainTextHTTP2 returns a transport for HTTP/2 without TLS (h2c).
func plainTextHTTP2() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{Protocols: protocols}
}
