package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/timer"
	"github.com/jackdawthread/jackdawthread/wire/platformwire"
)

// filePollPeriod is the interval at which the declarations file is checked for
// changes.
const filePollPeriod = 200 * time.Millisecond

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the configuration service, the host list and the weight store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
			&cli.StringFlag{Name: "declarations", Required: true, Usage: "TOML file to publish, without validation"},
			&cli.Uint64Flag{Name: "revision", Value: 1, Usage: "revision of the file's initial content"},
			&cli.Float64Flag{Name: "reads-per-second", Usage: "maximum rate of calls from all readers"},
			&cli.DurationFlag{Name: "host-lag", Usage: "delay before changes of the host list become visible"},
			&cli.StringSliceFlag{Name: "host", Usage: "entry host to list, as NAME@DATA-CENTER=ADDRESS; may be repeated"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	p := emulator.NewPlatform(emulator.PlatformSettings{
		ReadsPerSecond: c.Float64("reads-per-second"),
		HostLag:        c.Duration("host-lag"),
		FirstRevision:  identifier.Revision(c.Uint64("revision")),
	})
	for _, text := range c.StringSlice("host") {
		h, err := parseHost(text)
		if err != nil {
			return err
		}
		p.SetHost(h)
	}
	f := &publisher{platform: p, path: c.String("declarations"), out: c.Root().Writer}
	if err := f.publish(); err != nil {
		return err
	}
	g := grouper.New(ctx)
	onSignal(g, syscall.SIGHUP, f.publishChange)
	timer.New(g).Every(filePollPeriod, func(time.Time) { f.publishChange() })
	return serveUntilDone(ctx, c.Root().Writer, g, "platform", c.String("listen"), p.Handler())
}

// parseHost parses an entry host written as NAME@DATA-CENTER=ADDRESS.
func parseHost(text string) (*platformwire.Host, error) {
	location, address, ok := strings.Cut(text, "=")
	name, center, ok2 := strings.Cut(location, "@")
	if !ok || !ok2 || name == "" || center == "" || address == "" {
		return nil, fmt.Errorf("host %q is not NAME@DATA-CENTER=ADDRESS", text)
	}
	return &platformwire.Host{
		Name:       name,
		Address:    address,
		DataCenter: center,
		State:      platformwire.HostState_HOST_STATE_LIVE,
		Kind:       emulator.HostKindEntry,
	}, nil
}

// publisher publishes a file whenever its content changes. Like the real
// service it doesn't validate the content; it only reads the endpoints from it
// for the host list.
type publisher struct {
	platform *emulator.Platform
	path     string
	out      io.Writer
	last     []byte
}

func (f *publisher) publish() error {
	source, err := os.ReadFile(f.path)
	if err != nil {
		return eris.Wrap(err, "read declarations")
	}
	if f.last != nil && bytes.Equal(source, f.last) {
		return nil
	}
	revision, err := f.platform.SetDeclarations(source)
	if err != nil {
		return err
	}
	f.last = source
	f.publishHosts(source, revision)
	_, _ = fmt.Fprintf(f.out, "published revision=%d bytes=%d\n", revision, len(source)) // best effort: the reader may have closed its end
	return nil
}

// publishChange publishes a later change and only reports an error: a file that
// could not be read while it was being replaced is read again at the next call.
func (f *publisher) publishChange() {
	if err := f.publish(); err != nil {
		_, _ = fmt.Fprintf(f.out, "not-published error=%q\n", err) // best effort: the reader may have closed its end
	}
}

// publishHosts lists the declared endpoints as hosts. Invalid declarations leave
// the host list unchanged.
func (f *publisher) publishHosts(source []byte, revision identifier.Revision) {
	fleet, err := compiler.FromBytes(f.path, source, revision)
	if err != nil {
		return
	}
	for _, e := range fleet.Endpoints {
		f.platform.SetHost(emulator.EndpointHost(e, e.Address))
	}
}
