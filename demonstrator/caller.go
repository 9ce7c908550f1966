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

// newCaller returns a caller that uses the Go client, which resumes broken streams
// at another host.
func newCaller(s *assembler.System, seed uint64) (*loader.ClientCaller, error) {
	var urls []string
	for _, a := range s.CallerAddresses() {
		urls = append(urls, "http://"+string(a))
	}
	return loader.NewClientCaller(loader.TamsuiMix(), client.Options{
		Addresses:  urls,
		HTTPClient: s.HTTPClient(),
		Retry:      client.DefaultRetry,
		Seed:       seed,
	})
}

// expectedAnswers returns the answers that the emulated endpoints give.
type expectedAnswers struct {
	fleet *compiler.Fleet
}

// Text implements loader.ExpectedAnswers.
func (a expectedAnswers) Text(service, prompt string, tokens uint32) string {
	return emulator.Answer(string(a.fleet.Services[identifier.Service(service)].Model), prompt, int(tokens))
}

// Payload implements loader.ExpectedAnswers.
func (a expectedAnswers) Payload(service string, payload []byte) []byte {
	return emulator.Confirmation(service, payload)
}

// duplicateCounter counts the calls that received more tokens than they asked for,
// and thus more than one complete answer.
type duplicateCounter struct {
	loader.Caller
	duplicates atomic.Int64
}

// Do implements loader.Caller.
func (c *duplicateCounter) Do(ctx context.Context, call loader.Call, observe func(tokens uint32)) (loader.Answer, *loader.Failure) {
	var received uint32
	answer, failure := c.Caller.Do(ctx, call, func(tokens uint32) {
		received += tokens
		observe(tokens)
	})
	if !call.Kind.Plain && received > call.MaxTokens {
		c.duplicates.Add(1)
	}
	return answer, failure
}
