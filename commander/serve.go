package commander

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/common/decoder"
	"github.com/jackdawthread/jackdawthread/launcher"
	"github.com/jackdawthread/jackdawthread/logger"
	"github.com/jackdawthread/jackdawthread/settings"
)

func serveCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run an entry host",
		Description: `Settings are read from a file, from the environment (JACKDAWTHREAD_LISTENERS_CALLERS
sets listeners.callers) and from --set, in increasing order of precedence. On
SIGTERM or SIGINT the host shuts down gracefully: requests in progress complete.
Example: jackdawthread serve --settings entry-1.toml --set log-level=debug`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file"},
			&cli.StringSliceFlag{Name: "set", Usage: "override one setting: path=value"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, s) },
	}
}

func serve(ctx context.Context, c *cli.Command, s Streams) error {
	v, err := loadSettings(c)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	log, err := logger.New(v.LogLevel, s.Err)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	// The signal cancels ctx and must not cancel the host's context: requests
	// in progress complete during the graceful shutdown below.
	h, err := launcher.Start(context.WithoutCancel(ctx), v, launcher.Options{Log: log})
	if err != nil {
		return err
	}
	h.Meter().Publish("jackdawthread")
	select {
	case <-ctx.Done():
	case <-h.Draining():
	case <-h.Failed():
		return h.Err()
	}
	return stopHost(h, v.Drain.Limit)
}

// stopHost shuts h down gracefully within limit; 0 means no limit.
func stopHost(h *launcher.Host, limit time.Duration) error {
	ctx := context.Background()
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	return h.Stop(ctx)
}

func loadSettings(c *cli.Command) (*settings.Settings, error) {
	var flags []decoder.Override
	var errs []error
	for _, text := range c.StringSlice("set") {
		path, value, ok := strings.Cut(text, "=")
		if !ok {
			errs = append(errs, fmt.Errorf("--set %q is not path=value", text))
			continue
		}
		flags = append(flags, settings.Flag(path, value))
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return settings.Load(c.String("settings"), os.Environ(), flags)
}
