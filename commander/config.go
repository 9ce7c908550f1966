package commander

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/differ"
	"github.com/jackdawthread/jackdawthread/wire/operatorwire"
)

// waitPollPeriod is the interval at which "config wait" polls the hosts.
const waitPollPeriod = 200 * time.Millisecond

func configCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check declarations, compare them with those in force, wait until they apply",
		Commands: []*cli.Command{
			configCheckCommand(s),
			configDiffCommand(s),
			configWaitCommand(s),
		},
	}
}

func configCheckCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a declarations file as entry hosts would",
		ArgsUsage: "FILE",
		Description: `Prints every error with its line number and exits with 2 if there is one.
Example: jackdawthread config check examples/tamsui.toml`,
		Action: func(_ context.Context, c *cli.Command) error {
			f, err := loadDeclarations(c)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(s.Out, "%s: %d data centers, %d services, %d endpoints, %d contracts, %d customers\n",
				c.Args().First(), len(f.DataCenters), len(f.Services), len(f.Endpoints), len(f.Contracts), len(f.Customers))
			return err
		},
	}
}

func loadDeclarations(c *cli.Command) (*compiler.Fleet, error) {
	if c.Args().Len() != 1 {
		return nil, exitWith(ExitUsage, fmt.Errorf("expected 1 file, got %d", c.Args().Len()))
	}
	f, err := compiler.Load(c.Args().First())
	return f, exitWith(ExitUsage, err)
}

func configDiffCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "show what a declarations file would change",
		ArgsUsage:   "FILE",
		Description: "Example: jackdawthread config diff --host 127.0.0.1:7002 new.toml",
		Flags:       []cli.Flag{hostFlag(), outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			next, err := loadDeclarations(c)
			if err != nil {
				return err
			}
			inForce, err := fetchDeclarations(ctx, c)
			if err != nil {
				return err
			}
			changes := differ.Compare(inForce, next)
			if c.String("output") == outputJSON {
				return printJSON(s.Out, changes)
			}
			_, err = fmt.Fprint(s.Out, differ.Text(changes))
			return err
		},
	}
}

// fetchDeclarations returns the declarations that a host has in force, or nil
// if it has none yet.
func fetchDeclarations(ctx context.Context, c *cli.Command) (*compiler.Fleet, error) {
	r, err := operatorClient(c.String("host")).GetDeclarations(ctx, connect.NewRequest(&operatorwire.GetDeclarationsRequest{}))
	if err != nil {
		return nil, hostError(c, err)
	}
	if r.Msg.GetRevision() == 0 {
		return nil, nil
	}
	return compiler.FromBytes("declarations in force", r.Msg.GetSource(), identifier.Revision(r.Msg.GetRevision()))
}

func configWaitCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "wait",
		Usage: "wait until a revision is in force at every entry host",
		Description: `Exits with 4 if that takes longer than --timeout, and prints the hosts that
don't have the revision in force.
Example: jackdawthread config wait --host 127.0.0.1:7002 --revision 12`,
		Flags: []cli.Flag{
			hostFlag(),
			&cli.Uint64Flag{Name: "revision", Usage: "revision to wait for", Required: true},
			&cli.DurationFlag{Name: "timeout", Usage: "maximum time to wait", Value: 15 * time.Second},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			return waitForRevision(ctx, c, s)
		},
	}
}

func waitForRevision(ctx context.Context, c *cli.Command, s Streams) error {
	started := time.Now()
	for {
		outdated, err := outdatedHosts(ctx, c)
		if err == nil && len(outdated) == 0 {
			_, err = fmt.Fprintf(s.Out, "revision %d is in force everywhere after %s\n", c.Uint64("revision"), time.Since(started).Round(time.Millisecond))
			return err
		}
		select {
		case <-ctx.Done():
			return exitWith(ExitTimeout, errors.Join(fmt.Errorf("revision %d is not in force at hosts %v", c.Uint64("revision"), outdated), err))
		case <-time.After(waitPollPeriod):
		}
	}
}

// outdatedHosts returns the hosts that are not dead and have an older revision
// in force.
func outdatedHosts(ctx context.Context, c *cli.Command) ([]string, error) {
	r, err := operatorClient(c.String("host")).ListHosts(ctx, connect.NewRequest(&operatorwire.ListHostsRequest{}))
	if err != nil {
		return nil, hostError(c, err)
	}
	var outdated []string
	for _, h := range r.Msg.GetHosts() {
		if h.GetState() != "dead" && h.GetRevision() < c.Uint64("revision") {
			outdated = append(outdated, h.GetHost())
		}
	}
	return outdated, nil
}
