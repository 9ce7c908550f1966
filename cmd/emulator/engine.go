package main

import (
	"context"
	"fmt"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/emulator"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run one model engine",
		Flags: append(endpointFlags(), append(speedFlags(),
			&cli.StringFlag{Name: "role", Value: "both", Usage: "prefill, decode or both"},
			&cli.StringFlag{Name: "model", Required: true, Usage: "model loaded at startup"},
			&cli.StringFlag{Name: "version", Usage: "version of the model"},
			&cli.IntFlag{Name: "slots", Usage: "maximum number of requests decoded concurrently"},
			&cli.IntFlag{Name: "pieces", Usage: "KV memory in pieces"},
			&cli.IntFlag{Name: "tokens-per-piece", Usage: "number of tokens per piece of KV cache"},
			&cli.BoolFlag{Name: "checks-fence", Usage: "reject orders with a stale fencing token"},
			weightsFlag(),
		)...),
		Action: runEngine,
	}
}

// endpointFlags returns the flags common to all endpoints.
func endpointFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "name", Required: true, Usage: "name of the endpoint"},
		&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
		&cli.StringFlag{Name: "data-center", Usage: "data center of the endpoint"},
	}
}

// speedFlags returns the flags of the engines' timing model.
func speedFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Float64Flag{Name: "scale", Value: 1, Usage: "speed-up factor: divides all times and multiplies all rates"},
		&cli.DurationFlag{Name: "step-base", Usage: "fixed time of a decode step"},
		&cli.DurationFlag{Name: "step-per-request", Usage: "additional time of a decode step per request"},
		&cli.Float64Flag{Name: "prefill-rate", Usage: "prefill tokens per second"},
		&cli.DurationFlag{Name: "result-keep", Usage: "time until a prefill result expires"},
		&cli.DurationFlag{Name: "import-keep", Usage: "time until an import without a decode stream is dropped"},
		&cli.DurationFlag{Name: "stream-grace", Usage: "time that memory is retained after a decode stream was interrupted"},
		&cli.BoolFlag{Name: "exact", Usage: "no delay of load reports and cache events, no lost events"},
	}
}

func speedSettings(c *cli.Command) emulator.EngineSettings {
	s := emulator.RealisticEngineSettings()
	if c.Bool("exact") {
		s = emulator.DefaultEngineSettings()
	}
	s.Scale = c.Float64("scale")
	override(&s.StepBase, c.Duration("step-base"))
	override(&s.StepPerRequest, c.Duration("step-per-request"))
	override(&s.PrefillRate, c.Float64("prefill-rate"))
	override(&s.ResultTTL, c.Duration("result-keep"))
	override(&s.ImportTTL, c.Duration("import-keep"))
	override(&s.StreamGrace, c.Duration("stream-grace"))
	return s
}

func engineSettings(c *cli.Command) (emulator.EngineSettings, error) {
	s := speedSettings(c)
	role, ok := emulator.ParseRole(c.String("role"))
	if !ok {
		return s, fmt.Errorf("role %q is not prefill, decode or both", c.String("role"))
	}
	s.Role = role
	s.Name = identifier.Endpoint(c.String("name"))
	s.DataCenter = identifier.DataCenter(c.String("data-center"))
	s.Model = identifier.Model(c.String("model"))
	s.Version = c.String("version")
	s.ChecksFence = c.Bool("checks-fence")
	override(&s.Slots, c.Int("slots"))
	override(&s.Pieces, c.Int("pieces"))
	override(&s.TokensPerPiece, c.Int("tokens-per-piece"))
	return s, nil
}

func weightsFlag() cli.Flag {
	return &cli.StringFlag{Name: "weights", Usage: "address of the weight store; empty: loading a model takes a fixed time"}
}

// weightSource returns the weight store given by the flag, or nil without one.
func weightSource(c *cli.Command) emulator.WeightSource {
	address := c.String("weights")
	if address == "" {
		return nil
	}
	return emulator.NewWeightSource(emulator.NewHTTPClient(), identifier.Address(address))
}

// override sets a field if the flag's value is not zero.
func override[T comparable](field *T, value T) {
	var zero T
	if value != zero {
		*field = value
	}
}

func runEngine(ctx context.Context, c *cli.Command) error {
	s, err := engineSettings(c)
	if err != nil {
		return err
	}
	g := grouper.New(ctx)
	e := emulator.NewEngine(g.Context(), s, emulator.EngineDeps{Weights: weightSource(c)})
	defer e.Close()
	leaving := false
	onSignal(g, syscall.SIGUSR1, func() {
		leaving = !leaving
		e.SetLeaving(leaving)
	})
	return serveUntilDone(ctx, c.Root().Writer, g, string(s.Name), c.String("listen"), e.Handler())
}
