// Package commander implements the command line interface: it parses arguments,
// calls the other packages and prints their results.
//
// # Usage
//
//	os.Exit(commander.Main(ctx, os.Args, commander.Streams{Out: os.Stdout, Err: os.Stderr}))
//
// Exit codes: 0 success; 1 failure; 2 invalid arguments or a rejected file;
// 3 a promise was broken (demo); 4 timeout of a wait command.
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
	ExitFailure   = 1
	ExitUsage     = 2
	ExitViolation = 3
	ExitTimeout   = 4
)

// Streams holds the writers for standard output and standard error.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// exitError is an error that carries the program's exit code.
type exitError struct {
	code  int
	cause error
}

// Error returns the cause's message.
func (e *exitError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *exitError) Unwrap() error {
	return e.cause
}

// exitWith attaches an exit code to err; a nil error stays nil.
func exitWith(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, cause: err}
}

// Main runs the command line, prints any error to s.Err and returns the exit
// code.
func Main(ctx context.Context, arguments []string, s Streams) int {
	err := rootCommand(s).Run(ctx, arguments)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintf(s.Err, "jackdawthread: %s\n", eris.ToString(err, false))
	if e, ok := errors.AsType[*exitError](err); ok {
		return e.code
	}
	return ExitFailure
}

func rootCommand(s Streams) *cli.Command {
	c := &cli.Command{
		Name:      "jackdawthread",
		Usage:     "route requests to separate prefill and decode pools",
		Writer:    s.Out,
		ErrWriter: s.Err,
		// The default handler would exit the process; Main prints the error and
		// returns the exit code instead.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Description: `Exit codes: 0 success; 1 failure; 2 invalid arguments or a rejected file;
3 a promise was broken; 4 timeout of a wait command.`,
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
	rejectInvalidUsage(c)
	return c
}

// rejectInvalidUsage makes c and all its subcommands exit with ExitUsage on
// invalid arguments.
func rejectInvalidUsage(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return exitWith(ExitUsage, err)
	}
	switch {
	case len(c.Commands) > 0:
		c.Action = rejectUnknownCommand
	case c.ArgsUsage == "":
		c.Action = rejectArguments(c.Action)
	}
	for _, sub := range c.Commands {
		rejectInvalidUsage(sub)
	}
}

// rejectUnknownCommand is the action of a command that only groups subcommands.
func rejectUnknownCommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return exitWith(ExitUsage, fmt.Errorf("command %q does not exist; see %s help", name, c.FullName()))
	}
	return cli.ShowSubcommandHelp(c)
}

// rejectArguments wraps the action of a command that takes only flags.
func rejectArguments(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if name := c.Args().First(); name != "" {
			return exitWith(ExitUsage, fmt.Errorf("%s takes no argument, but got %q", c.FullName(), name))
		}
		return action(ctx, c)
	}
}
