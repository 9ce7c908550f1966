package commander

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/urfave/cli/v3"

	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/inspector"
	"github.com/jackdawthread/jackdawthread/settings"
	"github.com/jackdawthread/jackdawthread/wire/operatorwire"
	"github.com/jackdawthread/jackdawthread/wire/operatorwire/operatorwireconnect"
)

const (
	operatorTimeout        = 10 * time.Second
	defaultOperatorAddress = "127.0.0.1:7002"
)

func hostFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "host",
		Usage:   "operators' listener of an entry host, IP:port",
		Value:   defaultOperatorAddress,
		Sources: cli.EnvVars(settings.HostAddressVariable),
	}
}

func operatorClient(address string) operatorwireconnect.OperatorServiceClient {
	c := &http.Client{Timeout: operatorTimeout, Transport: inspector.Transport{Base: http.DefaultTransport}}
	return operatorwireconnect.NewOperatorServiceClient(c, "http://"+address)
}

func statusCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show the status of an entry host",
		Description: "Example: jackdawthread status --host 127.0.0.1:7002 --output json",
		Flags:       []cli.Flag{hostFlag(), outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := operatorClient(c.String("host")).Status(ctx, connect.NewRequest(&operatorwire.StatusRequest{}))
			if err != nil {
				return hostError(c, err)
			}
			if c.String("output") == outputJSON {
				return printMessage(s.Out, r.Msg)
			}
			printTable(s.Out, table.Row{"key", "value"}, statusRows(r.Msg))
			return nil
		},
	}
}

// hostError adds the address of the host that was called to err.
func hostError(c *cli.Command, err error) error {
	return fmt.Errorf("entry host at %s: %w", c.String("host"), err)
}

func statusRows(m *operatorwire.StatusResponse) []table.Row {
	rows := []table.Row{
		{"host", m.GetHost()},
		{"incarnation", identifier.Incarnation(m.GetIncarnation())},
		{"data center", m.GetDataCenter()},
		{"state", m.GetState()},
		{"declarations", m.GetDeclarations()},
		{"revision in force", m.GetRevision()},
		{"revision known", m.GetKnownRevision()},
		{"running requests", m.GetRunningRequests()},
		{"queued requests", m.GetQueuedRequests()},
		{"uptime", time.Duration(m.GetUptimeMs()) * time.Millisecond},
		{"version", m.GetVersion()},
	}
	if m.GetCandidateRevision() != 0 {
		rows = append(rows, table.Row{"revision at hand", m.GetCandidateRevision()})
	}
	if m.GetRefused() != "" {
		rows = append(rows, table.Row{"refused revision", m.GetRefusedRevision()}, table.Row{"reason", m.GetRefused()})
	}
	return rows
}

func hostsCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:        "hosts",
		Usage:       "list the entry hosts in the membership view of one of them",
		Description: "Example: jackdawthread hosts --host 127.0.0.1:7002",
		Flags:       []cli.Flag{hostFlag(), outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := operatorClient(c.String("host")).ListHosts(ctx, connect.NewRequest(&operatorwire.ListHostsRequest{}))
			if err != nil {
				return hostError(c, err)
			}
			if c.String("output") == outputJSON {
				return printMessage(s.Out, r.Msg)
			}
			var rows []table.Row
			for _, h := range r.Msg.GetHosts() {
				rows = append(rows, table.Row{h.GetHost(), h.GetDataCenter(), h.GetAddress(), h.GetState(), h.GetRevision(), identifier.Incarnation(h.GetIncarnation())})
			}
			printTable(s.Out, table.Row{"host", "data center", "address", "state", "revision", "incarnation"}, rows)
			return nil
		},
	}
}

func endpointsCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:        "endpoints",
		Usage:       "list the endpoints and their load as known to an entry host",
		Description: "Example: jackdawthread endpoints --host 127.0.0.1:7002",
		Flags:       []cli.Flag{hostFlag(), outputFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := operatorClient(c.String("host")).ListEndpoints(ctx, connect.NewRequest(&operatorwire.ListEndpointsRequest{}))
			if err != nil {
				return hostError(c, err)
			}
			if c.String("output") == outputJSON {
				return printMessage(s.Out, r.Msg)
			}
			var rows []table.Row
			for _, e := range r.Msg.GetEndpoints() {
				rows = append(rows, table.Row{
					e.GetEndpoint(), e.GetService(), e.GetDataCenter(), e.GetRole(), e.GetState(),
					fmt.Sprintf("%d/%d", e.GetSlotsUsed(), e.GetSlots()),
					fmt.Sprintf("%d/%d", e.GetPiecesUsed(), e.GetPieces()),
					e.GetAllocator(),
				})
			}
			printTable(s.Out, table.Row{"endpoint", "service", "data center", "role", "state", "slots", "pieces", "allocator"}, rows)
			return nil
		},
	}
}

func drainCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "shut down an entry host gracefully, or mark an endpoint as leaving",
		Description: `Without --endpoint, the host at --host stops accepting requests, finishes those
in progress and exits. With --endpoint, no host sends the endpoint new requests.
Example: jackdawthread drain --host 127.0.0.1:7002 --endpoint writer-3`,
		Flags: []cli.Flag{hostFlag(), &cli.StringFlag{Name: "endpoint", Usage: "endpoint to mark as leaving"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			request := &operatorwire.DrainRequest{Endpoint: c.String("endpoint")}
			if _, err := operatorClient(c.String("host")).Drain(ctx, connect.NewRequest(request)); err != nil {
				return hostError(c, err)
			}
			_, err := fmt.Fprintln(s.Out, "draining")
			return err
		},
	}
}
