// Package commander is the command line: it turns arguments into calls of the
// other packages and prints what they give.
//
// # Usage
//
//	os.Exit(commander.Main(ctx, os.Args, commander.Streams{Out: os.Stdout, Err: os.Stderr}))
//
// Exit codes: 0 success; 1 failure; 2 wrong arguments or a refused file;
// 3 a promise was broken (demo); 4 what was waited for did not come.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// Exit codes of the program.
const (
	ExitFailure = 1
	ExitUsage   = 2
	ExitBroken  = 3
	ExitTimeout = 4
)

// Streams are where output goes.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// exitError is a failure with the program's exit code.
type exitError struct {
	code  int
	cause error
}

// Error gives the cause's text.
func (e *exitError) Error() string {
	return e.cause.Error()
}

// Unwrap gives the cause.
func (e *exitError) Unwrap() error {
	return e.cause
}

func exitWith(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, cause: err}
}

// Main runs the command line and gives the exit code.
func Main(ctx context.Context, arguments []string, s Streams) int {
	err := root(s).Run(ctx, arguments)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintf(s.Err, "jackdawthread: %s\n", eris.ToString(err, false))
	if e, ok := errors.AsType[*exitError](err); ok {
		return e.code
	}
	return ExitFailure
}

func root(s Streams) *cli.Command {
	c := &cli.Command{
		Name:      "jackdawthread",
		Usage:     "route requests to separate prefill and decode pools",
		Writer:    s.Out,
		ErrWriter: s.Err,
		// Main prints errors and chooses the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Description: `Exit codes: 0 success; 1 failure; 2 wrong arguments or a refused file;
3 a promise was broken; 4 what was waited for did not come.`,
		Commands: []*cli.Command{
			serveCommand(s),
			experimentCommand(s),
			statusCommand(s),
			hostsCommand(s),
			endpointsCommand(s),
			drainCommand(s),
			callCommand(s),
			demoCommand(s),
			loadCommand(s),
			configCommand(s),
			reportCommand(s),
			keysCommand(s),
		},
	}
	refuseWrongArguments(c)
	return c
}

// refuseWrongArguments makes wrong arguments of c and all commands below it
// end with ExitUsage.
func refuseWrongArguments(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return exitWith(ExitUsage, err)
	}
	switch {
	case len(c.Commands) > 0:
		c.Action = refuseUnknownCommand
	case c.ArgsUsage == "":
		c.Action = refuseArguments(c.Action)
	}
	for _, sub := range c.Commands {
		refuseWrongArguments(sub)
	}
}

// refuseUnknownCommand is the action of a command that only has commands.
func refuseUnknownCommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return exitWith(ExitUsage, fmt.Errorf("command %q does not exist; see %s help", name, c.FullName()))
	}
	return cli.ShowSubcommandHelp(c)
}

// refuseArguments gives the action of a command that takes flags only.
func refuseArguments(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if name := c.Args().First(); name != "" {
			return exitWith(ExitUsage, fmt.Errorf("%s takes no argument, but got %q", c.FullName(), name))
		}
		return action(ctx, c)
	}
}
