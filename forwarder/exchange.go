package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/authenticator"
	"github.com/jackdawthread/jackdawthread/budgeter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/fingerprinter"
	"github.com/jackdawthread/jackdawthread/quarantiner"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// notReadyRetryAfter is the Retry-After hint of a host that has not
	// received the declarations yet. They arrive within about this time.
	notReadyRetryAfter = 300 * time.Millisecond
	// overloadedRetryAfter is the Retry-After hint of a host or endpoint that
	// is at its limit of requests.
	overloadedRetryAfter = 500 * time.Millisecond
	// noEndpointRetryAfter is the Retry-After hint for a service without a
	// reachable endpoint.
	noEndpointRetryAfter = 250 * time.Millisecond
	// stoppingRetryAfter is the Retry-After hint of a stopping host. Another host can
	// serve the request at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// memoryRetryAfter is the Retry-After hint of a host whose memory for requests is
	// short.
	memoryRetryAfter = 500 * time.Millisecond
	// maxBufferedBytes limits the size of buffered responses, and of request bodies
	// if the declarations set no limit.
	maxBufferedBytes = 16 << 20
)

// exchange handles one request.
type exchange struct {
	forwarder   *Forwarder
	writer      http.ResponseWriter
	request     *http.Request
	observation *Observation

	call    Call
	body    *budgeter.Holder // of the body's memory; nil if there is none
	route   *registrar.Route
	service *registrar.Service
	// customer is nil for requests of public routes without a key, and if callers need none.
	customer *authenticator.Customer
	// exclude lists the endpoints that failed or refused the request.
	exclude []identifier.Endpoint
	// sent counts the calls to endpoints that may run the request, without
	// prefills.
	sent int
	// expected is how long the last plain call is expected to take; 0 if unknown.
	expected time.Duration
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// charged is what the customer's quota was charged for the request.
	charged float64
	// enginesLost counts the endpoints that broke the request off before they began to
	// answer it.
	enginesLost int
}

func overloaded(limit int64) *classifier.Error {
	return classifier.NotRun(classifier.ReasonQueueFull, classifier.Jitter(overloadedRetryAfter), "host is at its limit of %d concurrent requests", limit)
}

// prepare validates the request, reads its body and selects its route and
// service.
func (e *exchange) prepare() error {
	f := e.forwarder
	f.deps.AwaitConfirmation(e.request.Context())
	d := f.deps.Registry.Snapshot().Declarations
	if d == nil {
		return classifier.NotRun(classifier.ReasonNotReady, classifier.Jitter(notReadyRetryAfter), "host has not received any declarations yet")
	}
	parameters, err := f.deps.Dialect.ParseRequest(e.request.Header)
	if err != nil {
		return &statusError{status: http.StatusBadRequest, cause: err}
	}
	e.observation.ID = parameters.ID
	d, err = e.resolveCurrent(d, parameters)
	if err != nil {
		return err
	}
	body, err := e.readBody(d.Limits, e.requestDeadline(parameters))
	if err != nil {
		return err
	}
	if err := e.recheckKey(d, parameters.Key); err != nil {
		return err
	}
	e.setCall(d, parameters, body)
	if refusal := e.checkStop(time.Now()); refusal != nil {
		return refusal
	}
	return e.chooseService(d)
}

// setCall sets the call to be sent to endpoints.
func (e *exchange) setCall(d *registrar.Declarations, parameters RequestParameters, body []byte) {
	e.call = Call{
		RequestParameters: parameters,
		Customer:          e.customer,
		Priority:          e.priority(d),
		Method:            e.request.Method,
		Target:            requestTarget(e.request),
		Host:              e.request.Host,
		Header:            endToEndHeader(e.request.Header),
		Body:              body,
		Deadline:          e.requestDeadline(parameters),
		AtMostOnce:        !e.route.Repeatable(),
	}
	e.observation.Fingerprints = e.fingerprints()
	e.call.Traits = append(slices.Clip(parameters.SharedParts), quarantiner.RequestTraits(e.observation.Fingerprints)...)
	e.call.MayWrite = e.checkQuarantine
	dialect := e.forwarder.deps.Dialect
	dialect.Strip(e.call.Header)
	if d.Customers != nil {
		dialect.StripCustomer(e.call.Header)
	}
}

// callerHeaders are the fields that name a caller, besides its address.
var callerHeaders = []string{"Authorization", "Cookie"}

// fingerprints returns what repeats of the request have in common.
func (e *exchange) fingerprints() fingerprinter.Fingerprints {
	address, _, err := net.SplitHostPort(e.request.RemoteAddr)
	if err != nil {
		address = e.request.RemoteAddr
	}
	caller := []string{address}
	if e.customer != nil {
		caller = append(caller, string(e.customer.Name))
	}
	for _, name := range callerHeaders {
		caller = append(caller, strings.Join(e.request.Header.Values(name), "\n"))
	}
	return fingerprinter.Of(fingerprinter.Request{
		Method: e.call.Method,
		Host:   e.call.Host,
		Target: e.call.Target,
		Prompt: e.call.PromptParts,
		Body:   e.call.Body,
		Caller: caller,
	})
}

// checkStop refuses a request that hasn't been sent to an endpoint if a planned stop may interrupt
// it; nil if it may be sent.
func (e *exchange) checkStop(now time.Time) *classifier.Error {
	p := e.forwarder.stop.Load()
	if p == nil || !p.refuses(now, e.call.Deadline) {
		return nil
	}
	return classifier.NotRun(classifier.ReasonStopping, classifier.Jitter(stoppingRetryAfter), "host is stopping and ends in %v", p.End.Sub(now))
}

// untilRefused returns a context for the wait for an endpoint, which also ends when a planned
// stop refuses the request.
func (e *exchange) untilRefused(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unwatch := context.AfterFunc(e.forwarder.announced, func() {
		if refusal := e.checkStop(time.Now()); refusal != nil {
			cancel(refusal)
		}
	})
	return ctx, func() {
		unwatch()
		cancel(nil)
	}
}

var errNoRoute = errors.New("no route matches the request")

// chooseService chooses one of the route's services at random, by weight.
func (e *exchange) chooseService(d *registrar.Declarations) error {
	if len(e.route.Splits) == 0 {
		return &statusError{status: http.StatusNotFound, cause: errNoRoute}
	}
	name := e.route.PickService(e.forwarder.randomFloat())
	e.service = d.Services[name]
	if e.service == nil {
		return classifier.NotRun(classifier.ReasonUnknownService, classifier.Jitter(noEndpointRetryAfter), "service %q is not declared", name)
	}
	e.observation.Service = name
	return nil
}

// requestDeadline returns the earlier of the caller's and the route's deadline.
func (e *exchange) requestDeadline(d RequestParameters) time.Time {
	timeout := e.forwarder.options.DefaultTimeout
	if d.Timeout > 0 {
		timeout = d.Timeout
	}
	if e.route.Timeout > 0 {
		timeout = min(timeout, e.route.Timeout)
	}
	return e.observation.Started.Add(timeout)
}

// requestTarget returns the request target in origin form, unmodified otherwise.
func requestTarget(r *http.Request) string {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") && r.URL != nil {
		target = r.URL.RequestURI()
	}
	return target
}

// checkQuarantine refuses a request that may end the engines that it is sent to.
func (e *exchange) checkQuarantine() error {
	return e.forwarder.deps.Isolator.Check(e.call.Traits)
}

// serve forwards a prepared request within its deadline.
func (e *exchange) serve() {
	if err := e.checkQuarantine(); err != nil {
		e.fail(err)
		return
	}
	ctx, cancel := context.WithDeadlineCause(e.request.Context(), e.call.Deadline, errDeadline)
	defer cancel()
	if err := e.chargeQuota(ctx); err != nil {
		e.fail(err)
		return
	}
	e.forwarder.deps.Budget.RecordFirstAttempt(e.service.Name)
	if e.service.Engine != nil && e.route.Kind == registrar.KindStream {
		e.generate(ctx)
		return
	}
	e.forward(ctx)
}

var errDeadline = errors.New("request deadline exceeded")

// mayResend reports whether the request may be sent to another endpoint after a
// failure. A nil failure stands for an endpoint's error response.
func (e *exchange) mayResend(ctx context.Context, failure error) bool {
	if ctx.Err() != nil || quarantined(failure) {
		return false
	}
	c := classifier.Of(failure)
	if c == nil || c.Verdict != classifier.VerdictNotRun {
		e.mayHaveRun = true
		if !e.route.Repeatable() || e.sent >= max(1, e.route.Attempts) || e.enginesLost >= maxEnginesLost {
			return false
		}
		return e.forwarder.deps.Budget.Take(e.service.Name)
	}
	if c.Reason != classifier.ReasonEndpointRefused {
		return true // it did not reach an endpoint
	}
	return e.forwarder.deps.Budget.Take(e.service.Name)
}
