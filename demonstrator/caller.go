package demonstrator

import (
	"context"
	"sync/atomic"

	"github.com/jackdawthread/jackdawthread/assembler"
	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/loader"
)

// newCaller makes calls with the Go client, so that broken streams are resumed
// at another host.
func newCaller(s *assembler.System, seed uint64) (*loader.ClientCaller, error) {
	var urls []string
	for _, a := range s.Callers() {
		urls = append(urls, "http://"+string(a))
	}
	return loader.NewClientCaller(loader.TamsuiMix(), client.Options{
		Addresses:  urls,
		HTTPClient: s.HTTPClient(),
		Retry:      client.DefaultRetry,
		Seed:       seed,
	})
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

// countingCaller counts the calls that were passed more than one whole answer:
// more tokens than they asked for.
type countingCaller struct {
	loader.Caller
	twice atomic.Int64
}

// Do implements loader.Caller.
func (c *countingCaller) Do(ctx context.Context, call loader.Call, observe func(tokens uint32)) (loader.Answer, *loader.Failure) {
	var received uint32
	answer, failure := c.Caller.Do(ctx, call, func(tokens uint32) {
		received += tokens
		observe(tokens)
	})
	if !call.Kind.Plain && received > call.MaxTokens {
		c.twice.Add(1)
	}
	return answer, failure
}
