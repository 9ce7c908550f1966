package assembler_test

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/logger"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
)

func startOnLoopback(t *testing.T, hosts int) *assembler.System {
	t.Helper()
	i := is.New(t)
	source, err := os.ReadFile("../examples/tamsui.toml")
	i.NoErr(err)
	log, err := logger.New("warn", os.Stderr)
	i.NoErr(err)
	s, err := assembler.Start(t.Context(), assembler.Options{Source: source, HostsPerDataCenter: hosts, Scale: 10, Log: log})
	i.NoErr(err)
	t.Cleanup(s.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	i.NoErr(s.WaitReady(ctx))
	return s
}

func TestCallsThroughEveryHost(t *testing.T) {
	s := startOnLoopback(t, 1)
	for n, address := range s.CallerAddresses() {
		caller := callerwireconnect.NewCallerServiceClient(http.DefaultClient, "http://"+string(address))
		t.Run(string(s.Hosts()[n]), func(t *testing.T) {
			for _, service := range []string{"note-writer", "dealer-desk"} {
				t.Run(service, func(t *testing.T) { testGenerate(t, s, caller, service) })
			}
			t.Run("price-lock", func(t *testing.T) { testLock(t, caller) })
		})
	}
}

func testGenerate(t *testing.T, s *assembler.System, caller callerwireconnect.CallerServiceClient, service string) {
	i := is.New(t)
	prompt := strings.Repeat("copper at Kaohsiung, ", 40)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stream, err := caller.Generate(ctx, connect.NewRequest(&callerwire.GenerateRequest{
		Service: service, Customer: "taoyuan-dealers", Prompt: prompt, MaxTokens: 50,
	}))
	i.NoErr(err)
	var text strings.Builder
	complete := false
	for stream.Receive() {
		text.WriteString(stream.Msg().GetText())
		complete = complete || stream.Msg().GetCompletion() != nil
	}
	i.NoErr(stream.Err())
	i.True(complete)
	i.Equal(text.String(), emulator.Answer(string(s.Fleet.Services[identifier.Service(service)].Model), prompt, 50))
}

func testLock(t *testing.T, caller callerwireconnect.CallerServiceClient) {
	i := is.New(t)
	ticket, err := caller.IssueTicket(t.Context(), connect.NewRequest(&callerwire.IssueTicketRequest{Service: "price-lock", Customer: "taoyuan-dealers"}))
	i.NoErr(err)
	answer, err := caller.Call(t.Context(), connect.NewRequest(&callerwire.CallRequest{
		Service: "price-lock", Customer: "taoyuan-dealers", Payload: []byte("20 t"), Ticket: ticket.Msg.GetTicket(),
	}))
	i.NoErr(err)
	i.Equal(answer.Msg.GetPayload(), emulator.Confirmation("price-lock", []byte("20 t")))
}
