package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/emulator"
)

// serveUntilDone serves a handler until ctx or the group's context is done.
func serveUntilDone(ctx context.Context, out io.Writer, g *grouper.Group, name, address string, h http.Handler) error {
	bound, err := emulator.Serve(g.Context(), g, address, h)
	if err != nil {
		g.Stop()
		_ = g.Wait() // err is the cause; later errors are ignored
		return err
	}
	printListening(out, name, bound)
	return waitUntilDone(ctx, g)
}

// waitUntilDone stops the group once ctx or the group's context is done.
func waitUntilDone(ctx context.Context, g *grouper.Group) error {
	select {
	case <-ctx.Done():
	case <-g.Context().Done():
	}
	g.Stop()
	return g.Wait()
}

func printListening(out io.Writer, name string, address identifier.Address) {
	_, _ = fmt.Fprintf(out, "listening address=%s name=%s\n", address, name) // best effort: the reader may have closed its end
}

// onSignal calls f on each signal s until the group stops.
func onSignal(g *grouper.Group, s os.Signal, f func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, s)
	g.Run(func(ctx context.Context) {
		defer signal.Stop(signals)
		for {
			select {
			case <-signals:
				f()
			case <-ctx.Done():
				return
			}
		}
	})
}
