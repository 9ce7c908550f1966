// Package client is the Go client for entry hosts. It streams answers from
// model services, resumes a broken stream on another host, and calls plain
// services, those without a model. It obtains the tickets that non-repeatable
// services require.
//
// # Usage
//
//	c, err := client.New(client.Options{
//		Addresses: []string{"http://10.0.0.1:8080", "http://10.0.0.2:8080"},
//		Customer:  "taoyuan-dealer",
//		Retry:     client.DefaultRetry,
//	})
//	completion, err := c.Generate(ctx, client.Request{Service: "dealer-desk", Prompt: text},
//		func(chunk client.Chunk) error { fmt.Print(chunk.Text); return nil })
//	payload, err := c.Call(ctx, client.CallRequest{Service: "price-lock", Payload: order, NonRepeatable: true})
//
// The deadline of ctx is sent to the host as the remaining time. Every failure
// is a [*classifier.Error] whose verdict covers all attempts of the request, so
// VerdictNotRun means that none of them ran. The exception is an error returned
// by the caller's chunk function, which is passed through unchanged.
//
// # Retries
//
// [RetryPolicy] limits the number of attempts; each attempt goes to the next
// address. The client honors a host's Retry-After, or returns the failure
// immediately if the deadline would pass first. Once a call with a ticket may
// have run, retries reuse that ticket: they fetch the stored outcome and can't
// run the call a second time.
package client

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/inspector"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
)

// Options configures a Client.
type Options struct {
	// Addresses are the base URLs of entry hosts or of a load balancer.
	Addresses []string
	// HTTPClient sends the requests. If nil, a client that doesn't follow
	// redirects is used. Broken responses that it returns are failures.
	HTTPClient connect.HTTPClient
	// Customer is the customer that requests are accounted to.
	Customer identifier.Customer
	// Retry limits the attempts; the zero value disables retries.
	Retry RetryPolicy
	// Seed seeds the choice of the first address and the retry jitter; 0 uses
	// a random seed.
	Seed uint64
	// Connect holds options for the Connect clients, for example the codec.
	Connect []connect.ClientOption
}

// maxMessageBytes limits the size of a message from a host, unless Options.Connect sets
// another limit.
const maxMessageBytes = 16 << 20

// Client calls entry hosts. It is safe for concurrent use.
type Client struct {
	customer identifier.Customer
	policy   RetryPolicy
	hosts    []*host
	budget   *retryBudget
	nextHost atomic.Uint64 // round-robin counter for the first host of a request
	mu       sync.Mutex    // guards random
	random   *rand.Rand
}

// New returns a client for the hosts at o.Addresses.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, eris.New("client options contain no addresses")
	}
	if err := o.Retry.validate(); err != nil {
		return nil, err
	}
	if o.HTTPClient == nil {
		o.HTTPClient = &http.Client{CheckRedirect: refuseRedirect}
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	c := &Client{
		customer: o.Customer,
		policy:   o.Retry,
		budget:   newRetryBudget(o.Retry),
		random:   rand.New(rand.NewPCG(o.Seed, 0)),
	}
	c.nextHost.Store(o.Seed % uint64(len(o.Addresses)))
	for _, address := range o.Addresses {
		options := append([]connect.ClientOption{connect.WithReadMaxBytes(maxMessageBytes)}, o.Connect...)
		caller := callerwireconnect.NewCallerServiceClient(inspector.Client{Base: o.HTTPClient}, address, options...)
		c.hosts = append(c.hosts, &host{CallerServiceClient: caller})
	}
	return c, nil
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// firstHostIndex returns the index of the host for a request's first attempt.
func (c *Client) firstHostIndex() int {
	return int(c.nextHost.Add(1) % uint64(len(c.hosts)))
}

// contextFailure returns the failure for a ctx that is done before the first
// attempt, or nil.
func contextFailure(ctx context.Context) *classifier.Error {
	switch err := ctx.Err(); {
	case err == nil:
		return nil
	case errors.Is(err, context.DeadlineExceeded):
		return classifier.NotRun(classifier.ReasonDeadline, 0, "deadline passed before the request was sent: %w", err)
	default:
		return classifier.NotRun(classifier.ReasonCanceled, 0, "request was canceled before it was sent: %w", err)
	}
}

// sleep waits for d. It returns an error immediately if the deadline of ctx
// would pass first.
func sleep(ctx context.Context, d time.Duration) error {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return context.DeadlineExceeded
	}
	return sleeper.Sleep(ctx, d)
}

// jitter returns a random duration between d/2 and d.
func (c *Client) jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.random.Int64N(int64(d/2)+1))
}

// withWorstVerdict returns failure with the worse of its own verdict and that of
// the earlier attempts.
func withWorstVerdict(failure *classifier.Error, earlier classifier.Verdict) *classifier.Error {
	if failure.Verdict >= earlier {
		return failure
	}
	combined := *failure
	combined.Verdict = earlier
	return &combined
}
