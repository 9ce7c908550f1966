// Package dispatcher leads a request through its life on its home, the entry
// host that received it: slots are asked for, the prefill runs, its KV cache
// is imported by a decode engine, and tokens are streamed back. A failed
// attempt is followed by another one where that can't repeat anything.
//
// # Usage
//
//	d := dispatcher.New(dispatcher.Deps{...})
//	completion, err := d.Generate(ctx, request, sink)
//	payload, err := d.Call(ctx, call)
//
// Every error is a [*classifier.Error] that says whether the request may have
// run. The context's deadline is the caller's; when it ends, what engines hold
// for the request is canceled, again and again until they confirm.
package dispatcher

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/coordinator"
	"github.com/jackdawthread/jackdawthread/locator"
	"github.com/jackdawthread/jackdawthread/wire/enginewire/enginewireconnect"
)

// Allocation grants slots at endpoints.
type Allocation interface {
	// Ask waits for a grant; its error carries a verdict and a retry-after.
	Ask(ctx context.Context, a coordinator.Ask) (*coordinator.Grant, error)
	// Bind waits until the grant's decode engine is known.
	Bind(ctx context.Context, g *coordinator.Grant) error
	// Progress tells the allocator that the grant's attempt went on.
	Progress(g *coordinator.Grant, p allocator.Phase)
	// Release gives the grant back.
	Release(g *coordinator.Grant, o allocator.Outcome)
}

// Endpoints gives clients of endpoints.
type Endpoints interface {
	Engine(a identifier.Address) enginewireconnect.EngineServiceClient
	Plain(a identifier.Address) enginewireconnect.PlainServiceClient
}

// Limits admits requests within their customer's limit.
type Limits interface {
	// Admit tells whether a request of the customer may go on, and if not,
	// when to come back.
	Admit(c *compiler.Customer, cost identifier.Tokens) (ok bool, retryAfter time.Duration)
}

// Homes knows which host is the home of a request that its caller may send
// again to another host.
type Homes interface {
	Hold(r identifier.Request, cancel context.CancelCauseFunc) *locator.Held
}

// Observer is told of every request that ended.
type Observer interface {
	Observe(o Observation)
}

// Observation is what one request was like.
type Observation struct {
	Service *compiler.Service
	// FirstToken is the time to the first token; 0: there was none.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens.
	BetweenTokens time.Duration
	Tokens        identifier.Tokens
	Duration      time.Duration
	// Err is nil for a whole answer.
	Err error
}

// Deps is what a Dispatcher works with.
type Deps struct {
	Incarnation identifier.Incarnation
	DataCenter  identifier.DataCenter
	Group       *grouper.Group
	Allocation  Allocation
	Endpoints   Endpoints
	Limits      Limits
	Homes       Homes
	Observer    Observer
	// Leaving tells whether an endpoint gets no new work.
	Leaving func(identifier.Endpoint) bool
	// MaxRunning bounds the requests that the host holds; 0: no bound.
	MaxRunning int64
	Log        *zap.Logger
}

// Dispatcher leads requests through their life. It is safe for use by several
// goroutines.
type Dispatcher struct {
	deps     Deps
	attempts identifier.Sequence
	running  atomic.Int64
	budgets  budgets
	canceler *canceler
	plains   *plainPicker
}

// New gives a Dispatcher without requests.
func New(d Deps) *Dispatcher {
	return &Dispatcher{
		deps:     d,
		canceler: &canceler{group: d.Group, endpoints: d.Endpoints, log: d.Log},
		plains:   newPlainPicker(d.DataCenter),
	}
}

// Running counts the requests that have no final answer yet.
func (d *Dispatcher) Running() int64 {
	return d.running.Load()
}

// noEndpointRetryAfter is when a caller may come back to a service without
// endpoints: about the time in which a leaving or lost one is replaced.
const noEndpointRetryAfter = 2 * time.Second

// fullRetryAfter is when a caller may come back to a host that holds as many
// requests as it may, and lateRetryAfter to one whose answer came too late.
const (
	fullRetryAfter = time.Second
	lateRetryAfter = time.Second
)

func (d *Dispatcher) newAttempt() identifier.Attempt {
	return identifier.Attempt{Incarnation: d.deps.Incarnation, Sequence: d.attempts.Next()}
}

// admit checks the host's limit and the customer's. The request counts as
// running by then.
func (d *Dispatcher) admit(c *compiler.Customer, cost identifier.Tokens) error {
	if n := d.running.Load(); d.deps.MaxRunning > 0 && n > d.deps.MaxRunning {
		return classifier.NotRun(classifier.ReasonQueueFull, classifier.Spread(fullRetryAfter), "this host holds %d requests, as many as it may", d.deps.MaxRunning)
	}
	ok, retryAfter := d.deps.Limits.Admit(c, cost)
	if ok {
		return nil
	}
	return classifier.NotRun(classifier.ReasonLimit, retryAfter, "customer %q is over its limit", c.Name)
}

// contextError explains why the caller's context ended. The verdict is that
// of the work done until then.
func contextError(ctx context.Context, v classifier.Verdict) *classifier.Error {
	e := &classifier.Error{Verdict: v, Cause: context.Cause(ctx)}
	if f, ok := errors.AsType[*classifier.Error](e.Cause); ok {
		e.Verdict = classifier.Worst(v, f.Verdict)
		e.Reason = f.Reason
		e.Message = f.Message
		return e
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		e.Reason = classifier.ReasonDeadline
		e.RetryAfter = classifier.Spread(lateRetryAfter)
		e.Message = "the deadline passed"
		return e
	}
	e.Reason = classifier.ReasonCanceled
	e.Message = "the caller canceled the request"
	return e
}
