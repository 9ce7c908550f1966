// Command jackdawthread routes requests to separate prefill and decode pools
// of model engines, and to plain services.
//
// # Usage
//
//	jackdawthread serve --settings entry-1.toml
//	jackdawthread demo
//	jackdawthread help
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jackdawthread/jackdawthread/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Main(ctx, os.Args, commander.Streams{Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
