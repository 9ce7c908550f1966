package commander

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
)

func callCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "call",
		Usage: "send one request to an entry host as a caller",
		Description: `With --prompt it calls a model service, with --payload a plain one. A call to a
non-repeatable service is sent again with the ticket that its refusal carries.
Examples: jackdawthread call --service dealer-desk --customer dealer-1 --prompt "copper?"
          jackdawthread call --service price-lock --customer dealer-1 --payload '{"tonnes":20}'`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Usage: "callers' listener of an entry host, IP:port", Value: "127.0.0.1:7000"},
			&cli.StringFlag{Name: "service", Usage: "service to call", Required: true},
			&cli.StringFlag{Name: "customer", Usage: "customer that makes the call", Required: true},
			&cli.StringFlag{Name: "prompt", Usage: "prompt for a model service"},
			&cli.StringFlag{Name: "payload", Usage: "payload for a plain service"},
			&cli.Uint32Flag{Name: "max-tokens", Usage: "maximum number of output tokens; 0: the service's limit"},
			&cli.DurationFlag{Name: "timeout", Usage: "maximum time to wait", Value: time.Minute},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
			defer cancel()
			if c.String("prompt") != "" {
				return generate(ctx, c, s)
			}
			return callPlain(ctx, c, s)
		},
	}
}

func callerClient(c *cli.Command) callerwireconnect.CallerServiceClient {
	return callerwireconnect.NewCallerServiceClient(http.DefaultClient, "http://"+c.String("address"))
}

func generate(ctx context.Context, c *cli.Command, s Streams) error {
	stream, err := callerClient(c).Generate(ctx, connect.NewRequest(&callerwire.GenerateRequest{
		Service:   c.String("service"),
		Customer:  c.String("customer"),
		Prompt:    c.String("prompt"),
		MaxTokens: c.Uint32("max-tokens"),
	}))
	if err != nil {
		return converter.FromConnect(err)
	}
	for stream.Receive() {
		if _, err := fmt.Fprint(s.Out, stream.Msg().GetText()); err != nil {
			return err
		}
	}
	if err := stream.Err(); err != nil {
		return converter.FromConnect(err)
	}
	_, err = fmt.Fprintln(s.Out)
	return err
}

// callPlain calls a plain service. A non-repeatable service refuses a call
// without a ticket and returns a fresh one, with which the call is sent again.
func callPlain(ctx context.Context, c *cli.Command, s Streams) error {
	request := &callerwire.CallRequest{
		Service:  c.String("service"),
		Customer: c.String("customer"),
		Payload:  []byte(c.String("payload")),
	}
	response, err := callerClient(c).Call(ctx, connect.NewRequest(request))
	if failure := converter.FromConnect(err); failure != nil && failure.Ticket != "" {
		request.Ticket = string(failure.Ticket)
		response, err = callerClient(c).Call(ctx, connect.NewRequest(request))
	}
	if err != nil {
		return converter.FromConnect(err)
	}
	_, err = fmt.Fprintln(s.Out, string(response.Msg.GetPayload()))
	return err
}
