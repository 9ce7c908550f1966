// Command emulator runs emulated model engines, plain services and the platform
// as separate processes, for tests and experiments with entry hosts.
//
// # Usage
//
//	emulator engine --name r1 --listen 127.0.0.1:7101 --role both --model quotes-8b
//	emulator plain --name lock-1 --listen 127.0.0.1:7171
//	emulator platform --listen 127.0.0.1:7001 --declarations examples/tamsui.toml
//	emulator site --declarations examples/tamsui.toml --data-center tw-north-1
//
// Each command prints a line "listening address=... name=..." for each listener
// once it accepts connections, and exits with code 0 on SIGTERM or SIGINT.
// SIGUSR1 toggles the leaving state of an engine or a plain service; SIGHUP makes
// the platform reload its file, which it also does when the file changes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "emulator:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return newCommand().Run(ctx, os.Args)
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulator",
		Usage: "run emulated engines, plain services and the platform",
		Commands: []*cli.Command{
			engineCommand(),
			plainCommand(),
			platformCommand(),
			siteCommand(),
		},
	}
}
