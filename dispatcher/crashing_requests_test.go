package dispatcher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/connector"
)

// maxRequestCrashes is how many endpoints may end before one request is kept away.
const maxRequestCrashes = 3

// TestRepeatedCrashingRequests guards against one request of the own protocol, repeated with the
// same content, that ends each endpoint that runs it.
func TestRepeatedCrashingRequests(t *testing.T) {
	customer := &compiler.Customer{Name: "dealers"}
	cases := []struct {
		name, procedure string
		repeat          func(d *Dispatcher, e *crashingEngines, id identifier.Request) error
	}{
		{"plain", "Invoke", func(d *Dispatcher, e *crashingEngines, id identifier.Request) error {
			_, err := d.Call(t.Context(), CallRequest{
				ID: id, Customer: customer, Payload: []byte("copper"), Key: string(id),
				Service: &compiler.Service{Name: "quotes", Repeatable: true, Endpoints: e.endpoints},
			})
			return err
		}},
		{"plain unrepeatable", "Invoke", func(d *Dispatcher, e *crashingEngines, id identifier.Request) error {
			_, err := d.Call(t.Context(), CallRequest{
				ID: id, Customer: customer, Payload: []byte("copper"), Key: string(id),
				Service: &compiler.Service{Name: "locks", Endpoints: e.endpoints},
			})
			return err
		}},
		{"decode", "Decode", generateShort(t, customer)},
		{"prefill", "Prefill", generateShort(t, customer)},
	}
	for _, e := range cases {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			g := grouper.New(context.Background())
			endpoints := connector.New(connector.Options{})
			t.Cleanup(func() {
				endpoints.Close()
				g.Stop()
				i.NoErr(g.Wait())
			})
			engines := startCrashingEngines(t, g, e.procedure)
			d := newIsolatedDispatcher(g, engines, endpoints)
			last := &classifier.Error{}
			for n := range 3 * crashEngines {
				last = classifier.Of(e.repeat(d, engines, identifier.Request(fmt.Sprintf("repeat-%d", n))))
				time.Sleep(100 * time.Millisecond)
			}
			t.Logf("%d of %d endpoints ended", engines.crashes(), crashEngines)
			i.True(engines.crashes() <= maxRequestCrashes)
			i.Equal(last.Reason, classifier.ReasonQuarantined)
			i.Equal(last.Verdict, classifier.VerdictNotRun)
		})
	}
}

// generateShort returns a function that generates from a prompt without a block that others
// could share.
func generateShort(t *testing.T, c *compiler.Customer) func(*Dispatcher, *crashingEngines, identifier.Request) error {
	return func(d *Dispatcher, _ *crashingEngines, id identifier.Request) error {
		_, err := d.Generate(t.Context(), GenerateRequest{
			ID: id, Service: &compiler.Service{Name: "desk", Model: "quotes"}, Customer: c, Prompt: "copper?", MaxTokens: 10,
		}, func(Chunk) error { return nil })
		return err
	}
}
