// Command emulator runs stand-ins for model engines, plain services and the
// platform as processes of their own, for tests and trials of entry hosts.
//
// # Usage
//
//	emulator engine --name r1 --listen 127.0.0.1:7101 --role both --model quotes-8b
//	emulator plain --name lock-1 --listen 127.0.0.1:7171
//	emulator platform --listen 127.0.0.1:7001 --declarations examples/tamsui.toml
//	emulator site --declarations examples/tamsui.toml --data-center tw-north-1
//
// Each prints a line "listening address=... name=..." for each listener once
// it accepts connections, and stops at SIGTERM or SIGINT with exit code 0.
// SIGUSR1 makes engines and plain services leave, or serve again; SIGHUP makes
// the platform read its file again, which it also does when the file changes.
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
		Usage: "stand-ins for engines, plain services and the platform",
		Commands: []*cli.Command{
			engineCommand(),
			plainCommand(),
			platformCommand(),
			siteCommand(),
		},
	}
}
