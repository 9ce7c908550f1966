// Package forwarder is an HTTP reverse proxy. It forwards plain calls unmodified to
// the endpoints of their route's service, and runs calls to model engines through
// prefill, KV cache transfer and decode. It serves callers that use plain HTTP.
//
// # Usage
//
//	f := forwarder.New(forwarder.Deps{...}, forwarder.Options{...})
//	server := &http.Server{Handler: f}
//
// # Error responses
//
// A failed request gets its final response immediately. 503 promises that the
// request has not run and never will, and usually carries a Retry-After header; 429
// promises the same of a request over its customer's quota; 502 and 504 promise
// nothing. If a stream can't be completed, its connection is aborted,
// so that the caller can't mistake it for complete.
//
// # Retries
//
// Retries depend on the route's kind. A request that may have run is resent only
// if it is idempotent, or a resumable stream, which continues after the last event
// that the caller received; and only within the route's attempts, the deadline and
// the retry budget that all hosts share. A request that an endpoint refused before
// running it may be sent to another one regardless of its kind, within the deadline
// and the retry budget.
package forwarder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/budgeter"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/rationer"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
)

// Endpoints calls endpoints of plain services. Errors are of type
// *classifier.Error.
type Endpoints interface {
	// Forward sends a plain call and returns after the response headers.
	Forward(ctx context.Context, e *registrar.Endpoint, c *Call) (*exchanger.Response, error)
	// Refused reports whether a response states that the call was not run.
	Refused(r *exchanger.Response) bool
	// Load returns the endpoint load that a response reports, if any.
	Load(r *exchanger.Response) (placer.Load, bool)
}

// Engines calls model engines. Errors are of type *classifier.Error.
type Engines interface {
	// Prefill computes the KV cache of the call's prompt.
	Prefill(ctx context.Context, e *registrar.Endpoint, c *Call) (PrefillResult, error)
	// Discard frees the result of a prefill that won't be fetched.
	Discard(ctx context.Context, e *registrar.Endpoint, r PrefillResult) error
	// Decode generates the response.
	Decode(ctx context.Context, e *registrar.Endpoint, c *Call, o DecodeOptions) (*exchanger.Response, error)
}

// Reservations reserves capacity on model engines.
type Reservations interface {
	// Place waits until capacity is reserved. Its errors have the verdict
	// not-run.
	Place(ctx context.Context, w reserver.PlacementRequest) (reserver.Plan, error)
	// RecordPrefillOutcome reports the outcome of the prefill of a plan, and
	// RecordOutcome the outcome of the whole plan.
	RecordPrefillOutcome(p reserver.Plan, o placer.Outcome)
	RecordOutcome(p reserver.Plan, o placer.Outcome)
	// Release releases a plan whose decode was not started, and Cancel only
	// its reservation.
	Release(p reserver.Plan)
	Cancel(p reserver.Plan)
}

// Slots grants slots at the endpoints of plain services.
type Slots interface {
	// SharesSlots reports whether the calls of a service need slots.
	SharesSlots(s identifier.Service) bool
	// AcquireSlot waits until a slot is granted. Its errors have the verdict not-run;
	// unless reserver.RefusedSlot returns true for it, no host could be asked.
	AcquireSlot(ctx context.Context, r reserver.SlotRequest) (reserver.Slot, error)
	// EndSlot ends the use of a slot, whether or not a call was sent.
	EndSlot(s reserver.Slot, o reserver.SlotOutcome)
}

// Exclusions knows the endpoints that asked for no calls.
type Exclusions interface {
	// Usable returns the endpoints that may get new calls.
	Usable(all []*registrar.Endpoint) []*registrar.Endpoint
	// RetryAfter returns the time after which a caller may return whose request
	// found none of the endpoints; if the exclusions don't tell, a random time
	// around d.
	RetryAfter(all []*registrar.Endpoint, d time.Duration) time.Duration
}

// PrefillResult identifies the KV cache of a prompt that an engine holds.
type PrefillResult struct {
	Handle string
	Source identifier.Address
}

// DecodeOptions holds the KV cache source, the reservation and the resume point
// of a decode call.
type DecodeOptions struct {
	// Prefill is nil if the engine has to perform the prefill itself.
	Prefill     *PrefillResult
	Reservation reserver.Reservation
	// LastEvent is the ID of the last forwarded event if the call is resumed on
	// another engine. If empty, the caller's own header applies.
	LastEvent string
}

// Call is a validated request to be sent to endpoints.
type Call struct {
	RequestParameters
	// Customer is whose key the request carries; nil if it needs none.
	Customer *authenticator.Customer
	// Priority ranks the request among all; lower is more urgent.
	Priority int
	// Traits are what the request has in common with others that may end endpoints: the
	// shared parts of its prompt, and all of it.
	Traits []identifier.Trait
	Method string
	// Target is the request target in origin form, as the caller sent it.
	Target string
	Host   string
	// Header holds the end-to-end fields, without those reserved for hosts.
	Header http.Header
	Body   []byte
	// Deadline is the time by which the response must be complete.
	Deadline time.Time
	// AtMostOnce is set for calls that can't be retried, and therefore must not be
	// sent over a connection that may be stale.
	AtMostOnce bool
	// MayWrite is called right before the call is sent. If it returns an error, the call
	// must not be sent.
	MayWrite func() error
}

// TimeLeft returns the time until the deadline, at least 0.
func (c *Call) TimeLeft(now time.Time) time.Duration {
	return max(0, c.Deadline.Sub(now))
}

// RequestParameters holds the parameters that a caller declares in request headers.
type RequestParameters struct {
	ID identifier.Request
	// Key shows which customer the caller is; empty if it sent none.
	Key authenticator.Key
	// Timeout is the caller's timeout; 0 means unspecified.
	Timeout time.Duration
	// Prompt, MaxOutput and ExpectedOutput are the number of prompt tokens, and the
	// maximum and the estimated number of output tokens; 0 means unknown.
	Prompt, MaxOutput, ExpectedOutput identifier.Tokens
	// SharedParts are the parts of the prompt that other requests may share, in their
	// order; empty if unknown.
	SharedParts []identifier.Trait
	// PromptParts names all parts of the prompt as the caller did, those that no other
	// request shares included; empty if unknown.
	PromptParts string
}

// Dialect defines the headers that callers, hosts and endpoints exchange.
type Dialect interface {
	// ParseRequest parses the parameters of a request.
	ParseRequest(h http.Header) (RequestParameters, error)
	// Strip removes the fields reserved for hosts.
	Strip(h http.Header)
	// StripCustomer removes the fields that name the caller's customer and its key. It is
	// called if customers are declared.
	StripCustomer(h http.Header)
	// Signed reports whether a response carries its endpoint's signature.
	Signed(h http.Header) bool
	// Identify sets the request ID on a response that this host generates.
	Identify(h http.Header, id identifier.Request)
}

// Budget is the retry budget, which limits the calls beyond the first of each
// request.
type Budget interface {
	// RecordFirstAttempt records the first call of a request to a service.
	RecordFirstAttempt(s identifier.Service)
	// Take reports whether another call may be made. If so, it is counted.
	Take(s identifier.Service) bool
	// Return returns the token of a call that was not made.
	Return(s identifier.Service)
}

// Observer is notified of every completed request.
type Observer interface {
	Observe(o *Observation)
}

// Deps holds the dependencies of a Forwarder.
type Deps struct {
	Registry     *registrar.Registrar
	Endpoints    Endpoints
	Engines      Engines
	Reservations Reservations
	Dialect      Dialect
	Budget       Budget
	Placer       *placer.Placer
	// Exclusions is optional; without it, no endpoints are excluded.
	Exclusions Exclusions
	// Slots grants the slots of plain services with few of them; nil for none.
	Slots Slots
	// Limits keeps calls within the limits that endpoints name; nil for none.
	Limits *rationer.Rationer
	// Quotas are the customers' limits; nil for none.
	Quotas Quotas
	// Isolator keeps requests that end engines away from them; nil for none.
	Isolator *isolator.Isolator
	Observer Observer
	// AwaitConfirmation waits, for a bounded time, until the replicated state is
	// confirmed to be current, for example after the process was suspended.
	AwaitConfirmation func(ctx context.Context)
	// Currency returns how current the declarations are; if nil, they always count as confirmed.
	Currency func() Currency
	Group    *grouper.Group
	Log      *zap.Logger
	// Memory accounts for requests' bodies; nil sets no limit.
	Memory *budgeter.Budgeter
}

// Options configures a Forwarder.
type Options struct {
	// MaxConcurrent is the maximum number of concurrent requests; 0 means no limit.
	MaxConcurrent int64
	// DefaultTimeout is the timeout of requests if the caller specifies none.
	DefaultTimeout time.Duration
	// Seed initializes the random number generator.
	Seed uint64
}

// Forwarder is an http.Handler that forwards requests to endpoints. It is safe for
// concurrent use.
type Forwarder struct {
	deps    Deps
	options Options
	running atomic.Int64
	stop    atomic.Pointer[PlannedStop]
	// announced ends with endAnnouncement, at PlannedStop.Announced.
	announced       context.Context
	endAnnouncement context.CancelFunc
	// waitingBodies counts the requests that wait for memory for their body.
	waitingBodies atomic.Int64

	mu     sync.Mutex
	random *rand.Rand
}

// New creates a Forwarder for the routes and endpoints of d.Registry.
func New(d Deps, o Options) *Forwarder {
	if o.DefaultTimeout <= 0 {
		o.DefaultTimeout = defaultTimeout
	}
	if d.Memory == nil {
		d.Memory = budgeter.New(budgeter.Options{})
	}
	f := &Forwarder{
		deps:    d,
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
	}
	f.announced, f.endAnnouncement = context.WithCancel(context.Background())
	return f
}

// defaultTimeout is the default of Options.DefaultTimeout.
const defaultTimeout = 30 * time.Second

// Running returns the number of requests in progress.
func (f *Forwarder) Running() int64 {
	return f.running.Load()
}

// randomFloat returns a random number in [0, 1).
func (f *Forwarder) randomFloat() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	held := f.running.Add(1)
	defer f.running.Add(-1)
	if f.closesConnection(r) {
		w.Header().Set("Connection", "close")
	}
	o := &Observation{Started: time.Now()}
	defer func() {
		o.Duration = time.Since(o.Started)
		f.deps.Observer.Observe(o)
	}()
	e := &exchange{forwarder: f, writer: w, request: r, observation: o}
	defer e.releaseBody()
	if f.options.MaxConcurrent > 0 && held > f.options.MaxConcurrent {
		e.refuse(overloaded(f.options.MaxConcurrent))
		return
	}
	if err := e.prepare(); err != nil {
		e.fail(err)
		return
	}
	e.serve()
}

// closesConnection reports whether the request must be the last on its connection:
// before a planned stop, and if the request is chunked. net/http drops a
// Content-Length sent along with Transfer-Encoding: chunked, so any chunked request
// may be one whose end the caller and this host see differently (request
// smuggling).
func (f *Forwarder) closesConnection(r *http.Request) bool {
	return f.stop.Load() != nil || len(r.TransferEncoding) > 0
}
