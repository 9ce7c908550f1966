// Package client calls entry hosts: it streams models' answers, resumes them
// at another host when a stream breaks, and makes calls to plain services with
// the ticket that non-repeatable ones need.
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
// The deadline of ctx travels to the host as time left. Every failure is a
// [*classifier.Error]; its verdict covers all attempts of the request, so
// VerdictNotRun means that none of them ran. The exception is an error of the
// caller's own chunk function, which is returned as it is.
//
// # Retries
//
// Attempts are bounded by [RetryPolicy] and go to the next address. A host's
// Retry-After is waited for; where the deadline would pass first, the failure
// is returned at once. A call with a ticket is sent again with the same ticket
// only, once it may have run: that fetches the kept outcome and can't run the
// call a second time.
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
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/wire/callerwire/callerwireconnect"
)

// Options of a Client.
type Options struct {
	// Addresses are the base URLs of entry hosts, or of their balancer.
	Addresses []string
	// HTTPClient sends the requests; nil: one that follows no redirects.
	HTTPClient connect.HTTPClient
	// Customer that the requests count for.
	Customer identifier.Customer
	// Retry bounds the attempts; the zero value makes one attempt only.
	Retry RetryPolicy
	// Seed of the random choice of addresses and delays; 0: a random one.
	Seed uint64
	// Connect holds options of the Connect clients, for example the codec.
	Connect []connect.ClientOption
}

// Client calls entry hosts. It is safe for use by several goroutines.
type Client struct {
	customer identifier.Customer
	policy   RetryPolicy
	hosts    []*host
	budget   *budget
	next     atomic.Uint64 // counts the choice of the first host
	mu       sync.Mutex    // guards random
	random   *rand.Rand
}

// New gives a client of the hosts at o.Addresses.
func New(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, eris.New("client has no address")
	}
	if err := o.Retry.check(); err != nil {
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
		budget:   newBudget(o.Retry),
		random:   rand.New(rand.NewPCG(o.Seed, 0)),
	}
	c.next.Store(o.Seed % uint64(len(o.Addresses)))
	for _, address := range o.Addresses {
		caller := callerwireconnect.NewCallerServiceClient(o.HTTPClient, address, o.Connect...)
		c.hosts = append(c.hosts, &host{CallerServiceClient: caller})
	}
	return c, nil
}

func refuseRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// firstHost gives the index of the host for a request's first attempt.
func (c *Client) firstHost() int {
	return int(c.next.Add(1) % uint64(len(c.hosts)))
}

// ended gives the failure of a request whose ctx ends before its first attempt.
func ended(ctx context.Context) *classifier.Error {
	switch err := ctx.Err(); {
	case err == nil:
		return nil
	case errors.Is(err, context.DeadlineExceeded):
		return classifier.NotRun(classifier.ReasonDeadline, 0, "deadline passed before the request was sent: %w", err)
	default:
		return classifier.NotRun(classifier.ReasonCanceled, 0, "request was canceled before it was sent: %w", err)
	}
}

// sleep waits for d and returns at once with an error if ctx would end before.
func sleep(ctx context.Context, d time.Duration) error {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return context.DeadlineExceeded
	}
	return sleeper.Sleep(ctx, d)
}

// jitter gives a random time between d/2 and d.
func (c *Client) jitter(d time.Duration) time.Duration {
	if d <= 1 {
		return d
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.random.Int64N(int64(d/2)+1))
}

// joined gives failure the verdict that covers the earlier attempts too.
func joined(failure *classifier.Error, earlier classifier.Verdict) *classifier.Error {
	if failure.Verdict >= earlier {
		return failure
	}
	all := *failure
	all.Verdict = earlier
	return &all
}
