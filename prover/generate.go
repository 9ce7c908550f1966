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

// retryPolicy of the callers; a stream that is silent for its stall timeout is
// resumed at another host.
var retryPolicy = client.RetryPolicy{
	MaxAttempts:  8,
	BaseDelay:    50 * time.Millisecond,
	MaxDelay:     time.Second,
	StallTimeout: 3 * time.Second,
}

// GeneratePlan says what one caller of a model service does.
type GeneratePlan struct {
	Service identifier.Service
	// Start is the wait before the request.
	Start time.Duration
	// Host is the index of the first host that it goes to.
	Host int
	// PromptWords and Tokens are the sizes of the prompt and the answer.
	PromptWords int
	Tokens      identifier.Tokens
	Timeout     time.Duration
	// CancelAfter is the time after which, and CancelAtToken the token at
	// which the caller leaves; 0: it stays.
	CancelAfter   time.Duration
	CancelAtToken identifier.Tokens
	// NoResume makes the caller send its request again only where it was not
	// run; a stream that breaks then counts as cut off.
	NoResume bool
	// Name makes the prompt and the request unique.
	Name string
}

// errLeft is the error with which a caller leaves in the middle of an answer.
var errLeft = errors.New("caller leaves")

// Generate makes one caller's request and gives what it was told in the end.
func (r *Run) Generate(ctx context.Context, p GeneratePlan) checker.Result {
	if sleeper.Sleep(ctx, p.Start) != nil {
		return checker.ResultUnfinished
	}
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	if p.CancelAfter > 0 {
		// Not a deadline, which would travel to the host.
		defer time.AfterFunc(p.CancelAfter, cancel).Stop()
	}
	request := r.request(p)
	done := r.Recorder.Invoke(checker.Call{
		Key:      checker.Key(request.ID),
		Expected: []byte(emulator.Answer(r.model(p.Service), request.Prompt, int(p.Tokens))),
	}, time.Now())
	text, err := r.stream(ctx, p, request)
	result := checker.ResultOf(err)
	done(result, []byte(text), time.Now())
	if result == checker.ResultMayHaveRun && p.NoResume {
		r.noteCut(p.Name, err)
	}
	r.final(result)
	return result
}

// resendPause is the wait of a NoResume caller before it tries the next host.
const resendPause = 100 * time.Millisecond

// request makes the request and notes whose prompt it is.
func (r *Run) request(p GeneratePlan) client.Request {
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

// stream collects the answer.
func (r *Run) stream(ctx context.Context, p GeneratePlan, request client.Request) (string, error) {
	if !p.NoResume {
		return r.streamFrom(ctx, p, request, retryPolicy)
	}
	for host := p.Host; ; host++ {
		p.Host = host
		text, err := r.streamFrom(ctx, p, request, client.RetryPolicy{})
		if checker.ResultOf(err) != checker.ResultNotRun || sleeper.Sleep(ctx, resendPause) != nil {
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
			return errLeft
		}
		return nil
	})
	return text.String(), err
}

// newClient gives a client that goes to the first-th host first.
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

// Held gives a violation for each engine that holds anything now.
func (r *Run) Held() []checker.Violation {
	return checker.CheckMemory(r.memory(), nil)
}
