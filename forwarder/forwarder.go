// Package forwarder passes HTTP calls on to the endpoints of the services that
// their routes lead to: plain calls as they are, and calls to model engines
// through prefill, transfer and decode. It is the path of a request on a host
// whose callers speak plain HTTP.
//
// # Usage
//
//	f := forwarder.New(forwarder.Deps{...}, forwarder.Options{...})
//	server := &http.Server{Handler: f}
//
// # What a caller is told
//
// A request that is given up gets its final answer at once. 503 says that it
// has not run and never will, and when to come back; 502 and 504 promise
// nothing. A stream that can't be completed ends with its connection, so that
// it can't be taken for whole.
//
// # What is repeated
//
// The route's kind decides. A request that may have run goes to a second
// endpoint only if it is idempotent, or a resumable stream that goes on behind
// the last event that the caller got; and only within the route's attempts,
// the time left and the retry budget that all hosts share. A request that an
// endpoint has refused before running it may go to another one in any case.
package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
)

// Endpoints calls endpoints. Errors are *classifier.Error.
type Endpoints interface {
	// Forward sends a plain call.
	Forward(ctx context.Context, e *registrar.Endpoint, c *Call) (*exchanger.Response, error)
	// Refused tells whether an answer says that the call was not run.
	Refused(r *exchanger.Response) bool
	// Load gives what an answer says of its endpoint's load.
	Load(r *exchanger.Response) (placer.Load, bool)
}

// Engines calls model engines. Errors are *classifier.Error.
type Engines interface {
	// Prefill has the call's prompt read.
	Prefill(ctx context.Context, e *registrar.Endpoint, c *Call) (PrefillResult, error)
	// Discard frees a prefill's result that nobody will fetch.
	Discard(ctx context.Context, e *registrar.Endpoint, r PrefillResult) error
	// Decode has the answer generated.
	Decode(ctx context.Context, e *registrar.Endpoint, c *Call, o DecodeOptions) (*exchanger.Response, error)
}

// Rooms finds room at model engines.
type Rooms interface {
	// Place waits for room. Its error is NotRun.
	Place(ctx context.Context, w reserver.Wish) (reserver.Plan, error)
	// PrefillEnded tells what became of the prompt's part of a plan, and Ended
	// what became of all of it.
	PrefillEnded(p reserver.Plan, o placer.Outcome)
	Ended(p reserver.Plan, o placer.Outcome)
	// GiveBack gives back a plan that was not carried out at its decode
	// engine, and Cancel its reservation alone.
	GiveBack(p reserver.Plan)
	Cancel(p reserver.Plan)
}

// PrefillResult names the KV cache that an engine keeps of a prompt.
type PrefillResult struct {
	Handle string
	Source identifier.Address
}

// DecodeOptions say how an engine gets a call's KV cache.
type DecodeOptions struct {
	// From is nil if the engine has to read the prompt itself.
	From        *PrefillResult
	Reservation reserver.Reservation
	// LastEvent is the id of the last event that the caller has, for a call
	// that goes on at another engine; empty: as the caller sent it.
	LastEvent string
}

// Call is a checked request on its way to an endpoint.
type Call struct {
	Demand
	Method string
	// Target is the request line's target as the caller sent it.
	Target string
	Host   string
	// Header has the end-to-end fields, without those that only hosts may set.
	Header http.Header
	Body   []byte
	// Deadline is when the answer has to be there.
	Deadline time.Time
	// Once is set for calls that must not be lost to a stale connection.
	Once bool
}

// Left gives the time until the deadline.
func (c *Call) Left(now time.Time) time.Duration {
	return max(0, c.Deadline.Sub(now))
}

// Demand is what a request says of itself.
type Demand struct {
	ID identifier.Request
	// Patience is how long its caller waits; 0: it doesn't say.
	Patience time.Duration
	// Prompt, Longest and Expected count the tokens of the prompt and the
	// bounds and estimate of the output; 0: unknown.
	Prompt, Longest, Expected identifier.Tokens
}

// Dialect reads what callers say in their headers.
type Dialect interface {
	// Demand reads what the request says of itself.
	Demand(h http.Header) (Demand, error)
	// Strip removes the fields that only hosts may set.
	Strip(h http.Header)
	// Vouched tells whether an answer bears its endpoint's signature.
	Vouched(h http.Header) bool
	// Identify names the request in an answer of this host's own.
	Identify(h http.Header, id identifier.Request)
}

// Budget bounds the calls beyond the first of each request.
type Budget interface {
	// First notes the first call of a request to a service.
	First(s identifier.Service)
	// Take tells whether one more call may be made, and counts it.
	Take(s identifier.Service) bool
}

// Observer is told of every request that ended.
type Observer interface {
	Observe(o *Observation)
}

// Deps is what a Forwarder works with.
type Deps struct {
	Registry  *registrar.Registrar
	Endpoints Endpoints
	Engines   Engines
	Rooms     Rooms
	Dialect   Dialect
	Budget    Budget
	Placer    *placer.Placer
	Observer  Observer
	// Trust waits, for a bounded time, until what is known may be acted on.
	Trust func(ctx context.Context)
	Group *grouper.Group
	Log   *zap.Logger
}

// Options of a Forwarder.
type Options struct {
	// MaxRunning bounds the requests that the host holds; 0: no bound.
	MaxRunning int64
	// DefaultTimeout bounds requests for which neither caller nor route does.
	DefaultTimeout time.Duration
	// Seed starts the random choices.
	Seed uint64
}

// Forwarder is an http.Handler. It is safe for use by several goroutines.
type Forwarder struct {
	deps    Deps
	options Options
	running atomic.Int64
	closing atomic.Bool

	mu     sync.Mutex
	random *rand.Rand
}

// New gives a Forwarder that serves what its registry knows.
func New(d Deps, o Options) *Forwarder {
	if o.DefaultTimeout <= 0 {
		o.DefaultTimeout = defaultTimeout
	}
	return &Forwarder{
		deps:    d,
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
	}
}

// defaultTimeout bounds requests for which nobody says how long they may take.
const defaultTimeout = 30 * time.Second

// Running counts the requests that have no final answer yet.
func (f *Forwarder) Running() int64 {
	return f.running.Load()
}

// CloseConnections has each further answer close its connection, as before a
// planned stop.
func (f *Forwarder) CloseConnections() {
	f.closing.Store(true)
}

// draw gives a random number in [0, 1).
func (f *Forwarder) draw() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	held := f.running.Add(1)
	defer f.running.Add(-1)
	if f.closesAfter(r) {
		w.Header().Set("Connection", "close")
	}
	o := &Observation{Started: time.Now()}
	defer func() {
		o.Duration = time.Since(o.Started)
		f.deps.Observer.Observe(o)
	}()
	e := &exchange{forwarder: f, writer: w, request: r, observation: o}
	if f.options.MaxRunning > 0 && held > f.options.MaxRunning {
		e.refuse(overloaded(f.options.MaxRunning))
		return
	}
	if err := e.prepare(); err != nil {
		e.fail(err)
		return
	}
	e.serve()
}

// closesAfter tells whether the request is to be the last of its connection:
// before a planned stop, and where its end may be told in two ways. The server
// drops a length that comes beside chunks, so that every request in chunks has
// to be taken for one whose sender and receiver may disagree.
func (f *Forwarder) closesAfter(r *http.Request) bool {
	return f.closing.Load() || len(r.TransferEncoding) > 0
}
