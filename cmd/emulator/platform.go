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

// filePeriod is how often the declarations file is looked at.
const filePeriod = 200 * time.Millisecond

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the configuration service, the host list and the weight store",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on"},
			&cli.StringFlag{Name: "declarations", Required: true, Usage: "TOML file that is published as it is"},
			&cli.Uint64Flag{Name: "revision", Value: 1, Usage: "revision of the file as it is at the start"},
			&cli.Float64Flag{Name: "reads-per-second", Usage: "bound on the calls of all readers"},
			&cli.DurationFlag{Name: "host-lag", Usage: "delay of changes of the host list"},
			&cli.StringSliceFlag{Name: "host", Usage: "entry host in the list, as NAME@DATA-CENTER=ADDRESS; may be repeated"},
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
	timer.New(g).Every(filePeriod, func(time.Time) { f.publishChange() })
	return serveUntilDone(ctx, c.Root().Writer, g, "platform", c.String("listen"), p.Handler())
}

// parseHost reads an entry host from NAME@DATA-CENTER=ADDRESS.
func parseHost(text string) (*platformwire.Host, error) {
	place, address, ok := strings.Cut(text, "=")
	name, center, ok2 := strings.Cut(place, "@")
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
// service it does not look at what it publishes, but for the endpoints of the
// host list.
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
	_, _ = fmt.Fprintf(f.out, "published revision=%d bytes=%d\n", revision, len(source)) // a reader that is gone misses nothing
	return nil
}

// publishChange is publish for later changes: a file that is being replaced is
// read again at the next call.
func (f *publisher) publishChange() {
	if err := f.publish(); err != nil {
		_, _ = fmt.Fprintf(f.out, "not-published error=%q\n", err) // a reader that is gone misses nothing
	}
}

func (f *publisher) publishHosts(source []byte, revision identifier.Revision) {
	fleet, err := compiler.FromBytes(f.path, source, revision)
	if err != nil {
		return
	}
	for _, e := range fleet.Endpoints {
		f.platform.SetHost(emulator.EndpointHost(e, e.Address))
	}
}
