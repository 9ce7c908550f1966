package prover_test

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/logger"
	"github.com/jackdawthread/jackdawthread/prover"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
)

// TestLocksWhenIssuerIsKilled kills one of six hosts while locks run whose tickets
// were issued by all of them, and logs the callers' final results.
func TestLocksWhenIssuerIsKilled(t *testing.T) {
	for _, delay := range []time.Duration{0, second} {
		t.Run(delay.String(), func(t *testing.T) {
			withRun(t, 1, func(ctx context.Context, r *prover.Run) {
				const locks, span = 600, 20 * second // within the customer's limit
				r.SetPlainFaults(emulator.PlainFaults{Slow: 100 * time.Millisecond})
				for n := range locks {
					p := lockPlan()
					p.Issuer = n
					p.Copies = []int{n}
					p.Start = time.Duration(n) * span / locks
					p.OnTicket = func() { wait(ctx, delay) }
					r.Go(func(ctx context.Context) { r.Lock(ctx, p) })
				}
				wait(ctx, span/2)
				r.Kill(r.System.Hosts()[0])
			})
		})
	}
}

// BenchmarkTicket measures the steps of a lock over loopback.
func BenchmarkTicket(b *testing.B) {
	i := is.New(b)
	source, err := os.ReadFile("../examples/tamsui.toml")
	i.NoErr(err)
	source = bytes.ReplaceAll(source, []byte("requests-per-second = 40\nburst = 80"), []byte("requests-per-second = 100000\nburst = 100000"))
	log, err := logger.New("error", os.Stderr)
	i.NoErr(err)
	s, err := assembler.Start(b.Context(), assembler.Options{Source: source, HostsPerDataCenter: 2, Log: log})
	i.NoErr(err)
	defer s.Close()
	i.NoErr(s.WaitReady(b.Context()))
	var hosts []callerwireconnect.CallerServiceClient
	for _, a := range s.CallerAddresses() {
		hosts = append(hosts, callerwireconnect.NewCallerServiceClient(http.DefaultClient, "http://"+string(a)))
	}
	issueTicket := func(b *testing.B) string {
		r, err := hosts[0].IssueTicket(b.Context(), connect.NewRequest(&callerwire.IssueTicketRequest{Service: "price-lock", Customer: "taoyuan-dealers"}))
		is.New(b).NoErr(err)
		return r.Msg.GetTicket()
	}
	b.Run("issue", func(b *testing.B) {
		for b.Loop() {
			issueTicket(b)
		}
	})
	for host, name := range []string{"issue-and-call-at-issuer", "issue-and-call-forwarded"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				ticket := issueTicket(b)
				_, err := hosts[host].Call(b.Context(), connect.NewRequest(&callerwire.CallRequest{
					Service: "price-lock", Customer: "taoyuan-dealers", Payload: []byte("20 t"), Ticket: ticket,
				}))
				is.New(b).NoErr(err)
			}
		})
	}
}
