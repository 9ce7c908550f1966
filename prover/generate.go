package prover

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/checker"
	"github.com/jackdawthread/jackdawthread/client"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/emulator"
)

// retryPolicy is the callers' retry policy. A stream without data for StallTimeout
// is resumed at another host.
var retryPolicy = client.RetryPolicy{
	MaxAttempts:  8,
	BaseDelay:    50 * time.Millisecond,
	MaxDelay:     time.Second,
	StallTimeout: 3 * time.Second,
}

// GeneratePlan describes what one caller of a model service does.
type GeneratePlan struct {
	Service identifier.Service
	// Start is the delay before the request.
	Start time.Duration
	// Host is the index of the first host that the request is sent to.
	Host int
	// PromptWords and Tokens are the sizes of the prompt and the answer.
	PromptWords int
	Tokens      identifier.Tokens
	Timeout     time.Duration
	// CancelAfter is the time, and CancelAtToken the token, at which the caller
	// cancels; 0 disables either.
	CancelAfter   time.Duration
	CancelAtToken identifier.Tokens
	// NoResume makes the caller resend its request only if it was not run. A
	// stream that breaks then counts as an unanswered send.
	NoResume bool
	// Name makes the prompt and the request ID unique.
	Name string
}

// errCallerCanceled is returned by a caller that cancels in the middle of an answer.
var errCallerCanceled = errors.New("caller canceled the stream")

// Generate makes one caller's request and returns its final result.
func (r *Run) Generate(ctx context.Context, p GeneratePlan) checker.Result {
	if sleeper.Sleep(ctx, p.Start) != nil {
		return checker.ResultUnfinished
	}
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	if p.CancelAfter > 0 {
		// A deadline would be propagated to the host, so cancel with a timer.
		defer time.AfterFunc(p.CancelAfter, cancel).Stop()
	}
	request := r.newRequest(p)
	done := r.Recorder.RecordCall(checker.Call{
		Key:      checker.Key(request.ID),
		Expected: []byte(emulator.Answer(r.model(p.Service), request.Prompt, int(p.Tokens))),
	}, time.Now())
	text, err := r.stream(ctx, p, request)
	result := checker.ResultOf(err)
	done(result, []byte(text), time.Now())
	if result == checker.ResultMayHaveRun && p.NoResume {
		r.recordUnansweredSend(p.Name, err)
	}
	r.countResult(result)
	return result
}

// resendDelay is the delay before a NoResume caller tries the next host.
const resendDelay = 100 * time.Millisecond

// newRequest creates the request and maps its prompt to its key.
func (r *Run) newRequest(p GeneratePlan) client.Request {
	key := checker.Key("generate-" + p.Name)
	prompt := fmt.Sprintf("%s %s", p.Name, strings.Repeat("copper ", p.PromptWords))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.prompts[emulator.AnswerSeed(r.model(p.Service), prompt)] = key
	return client.Request{ID: identifier.Request(key), Service: p.Service, Prompt: prompt, MaxTokens: p.Tokens}
}

func (r *Run) model(s identifier.Service) string {
	return string(r.System.Fleet.Services[s].Model)
}

// stream makes the request and returns the text that was received.
func (r *Run) stream(ctx context.Context, p GeneratePlan, request client.Request) (string, error) {
	if !p.NoResume {
		return r.streamFrom(ctx, p, request, retryPolicy)
	}
	for host := p.Host; ; host++ {
		p.Host = host
		text, err := r.streamFrom(ctx, p, request, client.RetryPolicy{})
		if checker.ResultOf(err) != checker.ResultNotRun || sleeper.Sleep(ctx, resendDelay) != nil {
			return text, err
		}
	}
}

func (r *Run) streamFrom(ctx context.Context, p GeneratePlan, request client.Request, policy client.RetryPolicy) (string, error) {
	c, err := r.newClient(p.Host, policy)
	if err != nil {
		return "", err
	}
	var text strings.Builder
	_, err = c.Generate(ctx, request, func(chunk client.Chunk) error {
		text.WriteString(chunk.Text)
		if p.CancelAtToken > 0 && chunk.Offset+chunk.Tokens >= p.CancelAtToken {
			return errCallerCanceled
		}
		return nil
	})
	return text.String(), err
}

// newClient returns a client that sends its first request to the host with index
// first.
func (r *Run) newClient(first int, policy client.RetryPolicy) (*client.Client, error) {
	hosts := *r.hosts.Load()
	first %= len(hosts)
	var addresses []string
	for _, a := range slices.Concat(hosts[first:], hosts[:first]) {
		addresses = append(addresses, "http://"+string(a))
	}
	return client.New(client.Options{
		Addresses:  addresses,
		HTTPClient: r.http,
		Customer:   r.customer,
		Retry:      policy,
		Seed:       uint64(len(addresses)) - 1, // the first request goes to the first address
	})
}

// CheckEngineMemory returns a violation for each attempt that holds engine memory
// now, and for each engine that holds memory without any attempt.
func (r *Run) CheckEngineMemory() []checker.Violation {
	return checker.CheckMemory(r.engineMemory(), nil)
}
