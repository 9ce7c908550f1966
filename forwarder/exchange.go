package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// notReadyRetryAfter is about how long a host needs to learn the
	// declarations.
	notReadyRetryAfter = 300 * time.Millisecond
	// fullRetryAfter is when to come back to a host that holds as many
	// requests as it may.
	fullRetryAfter = 500 * time.Millisecond
	// absentRetryAfter is when to come back to a service that has no endpoint
	// within reach.
	absentRetryAfter = 250 * time.Millisecond
	// maxAnswerBytes bounds an answer that is held before it is passed on.
	maxAnswerBytes = 16 << 20
)

// exchange is one request on its way through the host.
type exchange struct {
	forwarder   *Forwarder
	writer      http.ResponseWriter
	request     *http.Request
	observation *Observation

	call    Call
	route   *registrar.Route
	service *registrar.Service
	// exclude are the endpoints that failed or refused this request.
	exclude []identifier.Endpoint
	// sent counts the endpoints that the request was sent to to be run.
	sent int
	// mayHaveRun is set once an endpoint may have run it.
	mayHaveRun bool
}

func overloaded(most int64) *classifier.Error {
	return classifier.NotRun(classifier.ReasonQueueFull, classifier.Spread(fullRetryAfter), "this host holds %d requests, as many as it may", most)
}

// prepare reads and checks the request and finds its route.
func (e *exchange) prepare() error {
	f := e.forwarder
	f.deps.Trust(e.request.Context())
	d := f.deps.Registry.Snapshot().Declarations
	if d == nil {
		return classifier.NotRun(classifier.ReasonNotReady, classifier.Spread(notReadyRetryAfter), "this host knows no declarations yet")
	}
	demand, err := f.deps.Dialect.Demand(e.request.Header)
	if err != nil {
		return &statusError{status: http.StatusBadRequest, cause: err}
	}
	e.observation.ID = demand.ID
	target := requestTarget(e.request)
	path, _, _ := strings.Cut(target, "?")
	route, ok := d.Match(e.request.Host, path)
	if !ok {
		return &statusError{status: http.StatusNotFound, cause: errNoRoute}
	}
	e.route = route
	e.observation.Route = route
	e.observation.Version = d.Version
	body, err := e.readBody(d.Limits.BodyBytes)
	if err != nil {
		return err
	}
	e.call = Call{
		Demand:   demand,
		Method:   e.request.Method,
		Target:   target,
		Host:     e.request.Host,
		Header:   endToEnd(e.request.Header),
		Body:     body,
		Deadline: e.deadline(demand),
		Once:     !route.Repeatable(),
	}
	f.deps.Dialect.Strip(e.call.Header)
	return e.chooseService(d)
}

var errNoRoute = errors.New("no route leads there")

// chooseService draws one of the route's services.
func (e *exchange) chooseService(d *registrar.Declarations) error {
	if len(e.route.Splits) == 0 {
		return &statusError{status: http.StatusNotFound, cause: errNoRoute}
	}
	name := e.route.PickService(e.forwarder.draw())
	e.service = d.Services[name]
	if e.service == nil {
		return classifier.NotRun(classifier.ReasonUnknownService, classifier.Spread(absentRetryAfter), "service %q is not declared", name)
	}
	e.observation.Service = name
	return nil
}

// deadline is the earlier one of the caller's and the route's.
func (e *exchange) deadline(d Demand) time.Time {
	patience := e.forwarder.options.DefaultTimeout
	if d.Patience > 0 {
		patience = d.Patience
	}
	if e.route.Timeout > 0 {
		patience = min(patience, e.route.Timeout)
	}
	return e.observation.Started.Add(patience)
}

// readBody reads the whole body: a call is sent on with a length, and may have
// to be sent twice.
func (e *exchange) readBody(limit int64) ([]byte, error) {
	if e.request.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = maxAnswerBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(e.writer, e.request.Body, limit))
	if err == nil {
		return body, nil
	}
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, &statusError{status: http.StatusRequestEntityTooLarge, cause: err}
	}
	return nil, &statusError{status: http.StatusBadRequest, cause: err}
}

// requestTarget gives the target as it was sent, in origin form.
func requestTarget(r *http.Request) string {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") && r.URL != nil {
		target = r.URL.RequestURI()
	}
	return target
}

// serve leads the request to its answer.
func (e *exchange) serve() {
	ctx, cancel := context.WithDeadlineCause(e.request.Context(), e.call.Deadline, errDeadline)
	defer cancel()
	e.forwarder.deps.Budget.First(e.service.Name)
	if e.service.Engine != nil && e.route.Kind == registrar.KindStream {
		e.generate(ctx)
		return
	}
	e.forward(ctx)
}

var errDeadline = errors.New("the deadline passed")

// again tells whether the request may be sent to one more endpoint after a
// failure; nil stands for an endpoint's own answer that is a failure.
func (e *exchange) again(ctx context.Context, failure error) bool {
	if ctx.Err() != nil {
		return false
	}
	c := classifier.Of(failure)
	if c == nil || c.Verdict != classifier.VerdictNotRun {
		e.mayHaveRun = true
		if !e.route.Repeatable() || e.sent >= max(1, e.route.Attempts) {
			return false
		}
		return e.forwarder.deps.Budget.Take(e.service.Name)
	}
	if c.Reason != classifier.ReasonEndpointRefused {
		return true // it has not arrived anywhere
	}
	return e.forwarder.deps.Budget.Take(e.service.Name)
}
