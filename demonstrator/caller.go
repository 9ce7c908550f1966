package demonstrator

import (
	"context"
	"strings"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/loader"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
)

// caller makes calls with the Go client, one for each customer, so that
// broken streams are resumed at another host.
type caller struct {
	clients map[identifier.Customer]*client.Client
}

func newCaller(s *assembler.System, seed uint64) (*caller, error) {
	c := &caller{clients: make(map[identifier.Customer]*client.Client)}
	var urls []string
	for _, a := range s.Callers() {
		urls = append(urls, "http://"+string(a))
	}
	for _, k := range loader.TamsuiMix() {
		customer := identifier.Customer(k.Customer)
		made, err := client.New(client.Options{
			Addresses:  urls,
			HTTPClient: s.HTTPClient(),
			Customer:   customer,
			Retry:      client.DefaultRetry,
			Seed:       seed,
		})
		if err != nil {
			return nil, err
		}
		c.clients[customer] = made
	}
	return c, nil
}

// Do implements loader.Caller.
func (c *caller) Do(ctx context.Context, call loader.Call, observe func(tokens uint32)) (loader.Answer, *loader.Failure) {
	cl := c.clients[identifier.Customer(call.Kind.Customer)]
	if call.Kind.Plain {
		payload, err := cl.Call(ctx, client.CallRequest{
			Service:       identifier.Service(call.Kind.Service),
			Payload:       call.Payload,
			NonRepeatable: !call.Kind.Repeatable,
		})
		return loader.Answer{Payload: payload}, failure(err)
	}
	var text strings.Builder
	_, err := cl.Generate(ctx, client.Request{
		Service:   identifier.Service(call.Kind.Service),
		Prompt:    call.Prompt,
		MaxTokens: identifier.Tokens(call.MaxTokens),
		Urgency:   urgency(call.Kind),
	}, func(chunk client.Chunk) error {
		observe(uint32(chunk.Tokens))
		text.WriteString(chunk.Text)
		return nil
	})
	return loader.Answer{Text: text.String()}, failure(err)
}

func urgency(k *loader.Kind) callerwire.Urgency {
	if k.Urgent {
		return callerwire.Urgency_URGENCY_URGENT
	}
	return callerwire.Urgency_URGENCY_UNSPECIFIED
}

func failure(err error) *loader.Failure {
	f := classifier.Of(err)
	if f == nil {
		return nil
	}
	return &loader.Failure{Verdict: f.Verdict.String(), Reason: string(f.Reason), RetryAfter: f.RetryAfter}
}

// answers gives what the stand-ins answer.
type answers struct {
	fleet *compiler.Fleet
}

// Text implements loader.Answers.
func (a answers) Text(service, prompt string, tokens uint32) string {
	return emulator.Answer(string(a.fleet.Services[identifier.Service(service)].Model), prompt, int(tokens))
}

// Payload implements loader.Answers.
func (a answers) Payload(service string, payload []byte) []byte {
	return emulator.Confirmation(service, payload)
}
