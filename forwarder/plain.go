package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/budgeter"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/isolator"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/quarantiner"
	"github.com/jackdawthread/jackdawthread/registrar"
	"github.com/jackdawthread/jackdawthread/reserver"
)

// noTimeout is a timer duration that is longer than any request takes.
const noTimeout = time.Hour

// hedgeDelayFraction is the fraction of the objective after which an idempotent
// call without a response is also sent to a second endpoint.
const hedgeDelayFraction = 0.6

const (
	// hedgeRetryDelay is the time until a hedge that found no free slot is tried again, and
	// maxHedgeTries how often one is tried.
	hedgeRetryDelay = 40 * time.Millisecond
	maxHedgeTries   = 4
	// hedgeLateness is the multiple of its expected duration after which a call is hedged at
	// the earliest.
	hedgeLateness = 2
)

// endpointResponse is an endpoint's complete response, or the error of the call.
type endpointResponse struct {
	endpoint *registrar.Endpoint
	status   int
	header   http.Header
	body     []byte
	// attribution relates the response to the call.
	attribution exchanger.Attribution
	load        placer.Load      // zero if none was reported
	memory      *budgeter.Holder // of a large body; nil for others
	err         error            // a *classifier.Error
}

// succeeded reports whether the endpoint responded without a server error.
func (a *endpointResponse) succeeded() bool {
	return a.err == nil && a.status < http.StatusInternalServerError
}

// forward handles a request to a plain service, with retries and hedging.
func (e *exchange) forward(ctx context.Context) {
	if e.route.Kind == registrar.KindStream {
		e.relayPlainStream(ctx)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	unanswered, answered := context.WithCancel(ctx)
	defer answered()
	c := &plainCalls{
		exchange:    e,
		responses:   make(chan *endpointResponse, max(2, e.route.Attempts)+1),
		answered:    answered,
		chooseHedge: e.hedgeChoice(unanswered),
	}
	if err := c.start(ctx, e.choosePlain); err != nil {
		e.fail(err)
		return
	}
	c.hedge = e.hedgeTimer()
	defer c.hedge.Stop()
	c.run(ctx)
}

// plainCalls holds the calls to endpoints for one request.
type plainCalls struct {
	exchange    *exchange
	responses   chan *endpointResponse
	answered    func() // called after a success
	chooseHedge plainChoice
	hedge       *time.Timer
	hedgeTries  int
	outstanding int
	last        *endpointResponse // the most informative failure; nil if there is none
}

// start sends the call to another endpoint.
func (c *plainCalls) start(ctx context.Context, choose plainChoice) *classifier.Error {
	if err := c.exchange.startCall(ctx, choose, c.responses, c.answered); err != nil {
		return err
	}
	c.outstanding++
	return nil
}

// run retries and hedges until the request has its response or no call is left.
func (c *plainCalls) run(ctx context.Context) {
	e := c.exchange
	for c.outstanding > 0 {
		select {
		case a := <-c.responses:
			c.outstanding--
			if a.succeeded() {
				e.writeResponse(a)
				return
			}
			c.handleFailure(ctx, a)
		case <-c.hedge.C:
			c.tryHedge(ctx)
		case <-ctx.Done():
			if a := readyResponse(c.responses); a != nil {
				e.writeResponse(a)
				return
			}
			e.abandon(ctx)
			return
		}
	}
	e.writeFailure(c.last)
}

// handleFailure repeats a failed call if it may be resent.
func (c *plainCalls) handleFailure(ctx context.Context, a *endpointResponse) {
	e := c.exchange
	c.last = moreInformative(c.last, a)
	e.countLost(isolator.BrokenOff(a.err))
	if ctx.Err() != nil || !e.mayResend(ctx, a.err) {
		return
	}
	e.logDecision("request-retried", a.endpoint, a.err, zap.Int("status", a.status))
	if err := c.start(ctx, e.retryChoice(c.outstanding, c.chooseHedge)); err != nil && c.outstanding == 0 && c.last.err != nil {
		c.last.err = err
	}
}

// tryHedge sends a hedge, or plans another try if no slot is free.
func (c *plainCalls) tryHedge(ctx context.Context) {
	e := c.exchange
	c.hedgeTries++
	settled := e.hedge(ctx, func() *classifier.Error { return c.start(ctx, c.chooseHedge) })
	if !settled && e.sharesSlots() && c.hedgeTries < maxHedgeTries {
		c.hedge.Reset(hedgeRetryDelay)
	}
}

// retryChoice returns the choice for a repeated call. While another call may succeed, it
// waits for no slot.
func (e *exchange) retryChoice(outstanding int, chooseHedge plainChoice) plainChoice {
	if outstanding > 0 && e.sharesSlots() {
		return chooseHedge
	}
	return e.choosePlain
}

// hedgeChoice returns the choice for hedges, which ends without an endpoint when unanswered
// ends: the choice must not hold back a response that has arrived.
func (e *exchange) hedgeChoice(unanswered context.Context) plainChoice {
	return func(context.Context) (target, *classifier.Error) {
		to, err := e.chooseHedge(unanswered)
		if err != nil || unanswered.Err() == nil {
			return to, err
		}
		e.giveBack(to)
		return target{}, classifier.NotRun(classifier.ReasonCanceled, 0, "the call was answered, or ended")
	}
}

// readyResponse returns a success that has arrived, or nil.
func readyResponse(responses <-chan *endpointResponse) *endpointResponse {
	for {
		select {
		case a := <-responses:
			if a.succeeded() {
				return a
			}
		default:
			return nil
		}
	}
}

// moreInformative chooses between two failures. An endpoint's response is preferred
// to an error without a response.
func moreInformative(old, next *endpointResponse) *endpointResponse {
	if old != nil && old.err == nil && next.err != nil {
		return old
	}
	return next
}

// hedgeTimer returns a timer that fires when a hedged request may be sent.
func (e *exchange) hedgeTimer() *time.Timer {
	if !e.route.Repeatable() || e.route.Attempts < 2 || e.route.Objective <= 0 {
		return time.NewTimer(noTimeout)
	}
	return time.NewTimer(e.hedgeDelay(time.Now()))
}

// hedgeDelay returns the time from the first call to the hedge. A call that had to wait for
// its slot is given the time that it is expected to take, with a margin.
func (e *exchange) hedgeDelay(now time.Time) time.Duration {
	usual := time.Duration(hedgeDelayFraction * float64(e.route.Objective))
	if e.expected == 0 {
		return usual
	}
	return max(hedgeLateness*e.expected, usual-now.Sub(e.observation.Started))
}

// hedge sends the call to a second endpoint if the attempts and the retry budget
// allow it. It reports whether it has, or never will.
func (e *exchange) hedge(ctx context.Context, start func() *classifier.Error) bool {
	if e.sent >= e.route.Attempts || e.forwarder.deps.Isolator.OnTrial(e.call.Traits) || !e.forwarder.deps.Budget.Take(e.service.Name) {
		return true
	}
	if err := start(); err != nil {
		e.forwarder.deps.Budget.Return(e.service.Name)
		if ctx.Err() == nil {
			e.logDecision("hedge-not-sent", nil, err)
		}
		return false
	}
	e.mayHaveRun = true
	e.observation.Hedged = true
	return true
}

// startCall sends the call to another endpoint. Its response is sent on the
// channel; after a success, answered is called.
func (e *exchange) startCall(ctx context.Context, choose plainChoice, responses chan<- *endpointResponse, answered func()) *classifier.Error {
	f := e.forwarder
	to, err := choose(ctx)
	if err != nil {
		return err
	}
	endpoint := to.Endpoint
	e.expected = to.slot.Expected
	now := time.Now()
	e.observation.addAttempt(endpoint)
	e.sent++
	e.exclude = append(e.exclude, endpoint.Name)
	f.deps.Placer.Begin(endpoint, placer.Size{})
	f.deps.Group.Run(func(context.Context) {
		a := e.callIsolated(ctx, endpoint)
		f.deps.Limits.Drop(endpoint, e.call.ID)
		f.deps.Placer.End(endpoint, placer.Size{})
		o := plainOutcome(ctx, a, time.Since(now))
		f.recordOutcome(endpoint, o)
		f.endSlot(to.slot, reserver.SlotOutcome{Outcome: o, Load: a.load})
		succeeded := a.succeeded()
		responses <- a
		if succeeded {
			answered()
		}
	})
	return nil
}

// callIsolated sends the call to an endpoint unless the request is quarantined.
func (e *exchange) callIsolated(ctx context.Context, at *registrar.Endpoint) *endpointResponse {
	c, err := e.enter(ctx, at, quarantiner.PhaseDecode)
	if err != nil {
		return &endpointResponse{endpoint: at, err: err}
	}
	a := e.forwarder.call(ctx, at, &e.call)
	c.Settle(ctx, a.err)
	return a
}

// usableEndpoints returns the currently registered endpoints of the service that
// may get new calls.
func (e *exchange) usableEndpoints() []*registrar.Endpoint {
	all := e.forwarder.deps.Registry.Snapshot().Endpoints(e.service.Name)
	if e.forwarder.deps.Exclusions == nil {
		return all
	}
	return e.forwarder.deps.Exclusions.Usable(all)
}

// retryAfter returns the time after which a caller may return whose request found
// no endpoint of a service.
func (f *Forwarder) retryAfter(s identifier.Service, d time.Duration) time.Duration {
	if f.deps.Exclusions == nil {
		return classifier.Jitter(d)
	}
	return f.deps.Exclusions.RetryAfter(f.deps.Registry.Snapshot().Endpoints(s), d)
}

// call sends a plain call to an endpoint and reads the whole response.
func (f *Forwarder) call(ctx context.Context, e *registrar.Endpoint, c *Call) *endpointResponse {
	a := &endpointResponse{endpoint: e}
	response, err := f.deps.Endpoints.Forward(ctx, e, c)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Close()
	if l, ok := f.deps.Endpoints.Load(response); ok {
		f.deps.Placer.RecordLoad(e, l, time.Now())
		a.load = l
	}
	a.status = response.Status
	a.header = response.Header
	a.attribution = response.Attribution
	a.body, a.err = response.ReadAll(maxBufferedBytes)
	if a.err != nil {
		return a
	}
	a.memory = response.KeepBody(ctx) // until the request ends
	a.err = f.checkResponse(response, e)
	return a
}

// checkResponse checks the status and headers of a response. It returns an error if the
// endpoint refused the call, or if the response is no proof of what it states.
func (f *Forwarder) checkResponse(r *exchanger.Response, e *registrar.Endpoint) error {
	refused, signed := f.deps.Endpoints.Refused(r), f.deps.Dialect.Signed(r.Header)
	switch {
	case !r.Attribution.Certain() && (refused || !signed):
		r.Discard()
		return classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "response from endpoint %q, with status %d, doesn't name the request and may be of an earlier one (%v)", e.Name, r.Status, r.Attribution)
	case refused:
		return classifier.NotRun(classifier.ReasonEndpointRefused, f.retryAfter(e.Service, overloadedRetryAfter), "endpoint %q refused the request with status %d (%v)", e.Name, r.Status, r.Attribution)
	case r.Status < http.StatusMultipleChoices && !signed:
		return classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "response from endpoint %q is not signed", e.Name)
	}
	return nil
}

// statesNotRun reports whether callers take the status as a statement that their request has not
// run.
func statesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// recordOutcome reports the outcome of a call to the placer.
func (f *Forwarder) recordOutcome(e *registrar.Endpoint, o placer.Outcome) {
	if f.deps.Placer.RecordOutcome(e, o, time.Now()) {
		f.deps.Log.Info("endpoint-avoided", zap.String("endpoint", string(e.Name)), zap.String("service", string(e.Service)))
	}
}

// plainOutcome classifies the result of a plain call for the placer.
func plainOutcome(ctx context.Context, a *endpointResponse, took time.Duration) placer.Outcome {
	c := classifier.Of(a.err)
	switch {
	case a.err == nil && a.status < http.StatusInternalServerError:
		return placer.Outcome{Verdict: placer.VerdictSuccess, Latency: took}
	case a.err == nil:
		return placer.Outcome{Verdict: placer.VerdictServerError}
	case c.Reason == classifier.ReasonEndpointRefused:
		return placer.Outcome{Verdict: placer.VerdictAtCapacity}
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		return placer.Outcome{Verdict: placer.VerdictNone}
	default:
		return placer.Outcome{Verdict: failureVerdict(c)}
	}
}

// failureVerdict distinguishes endpoints that got no call or whose response this host
// had no memory for, and unreachable ones, from failed ones.
func failureVerdict(c *classifier.Error) placer.Verdict {
	switch c.Reason {
	case classifier.ReasonEndpointExcluded, classifier.ReasonQueueFull, classifier.ReasonQuarantined:
		return placer.VerdictNone
	case classifier.ReasonHostUnreachable:
		return placer.VerdictUnreachable
	default:
		return placer.VerdictResponseFailed
	}
}

// writeResponse sends an endpoint's response to the caller, unless its status promises what the
// endpoint hasn't stated.
func (e *exchange) writeResponse(a *endpointResponse) {
	if e.call.AtMostOnce && statesNotRun(a.status) {
		e.fail(classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "endpoint %q responded with status %d (%v) without stating that the request has not run", a.endpoint.Name, a.status, a.attribution))
		return
	}
	e.observation.Status = a.status
	e.observation.RespondedBy = a.endpoint.Name
	h := e.writer.Header()
	copyHeader(h, a.header)
	if e.forwarder.closesConnection(e.request) {
		h.Set("Connection", "close")
	}
	if bodyAllowed(a.status) {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	e.writer.WriteHeader(a.status)
	if err := e.deliver(a); err != nil {
		e.logDecision("response-not-delivered", a.endpoint, err)
	}
}

// deliverPiece is the part of a large body, in bytes, that is written at once.
const deliverPiece = 64 << 10

// deliver writes the body. A caller that reads a large one too slowly is let go of when memory
// is short.
func (e *exchange) deliver(a *endpointResponse) error {
	if a.memory == nil {
		_, err := e.writer.Write(a.body)
		return err
	}
	control := http.NewResponseController(e.writer)
	a.memory.Await(time.Now(), func() { _ = control.SetWriteDeadline(expired) }) // unsupported in tests only
	defer a.memory.Keep()
	for piece := range slices.Chunk(a.body, deliverPiece) {
		n, err := e.writer.Write(piece)
		a.memory.Progress(int64(n), time.Now())
		if err != nil {
			return err
		}
	}
	return nil
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// writeFailure responds to a call whose attempts have all failed.
func (e *exchange) writeFailure(last *endpointResponse) {
	if last.err == nil {
		e.writeResponse(last)
		return
	}
	e.fail(last.err)
}

// abandon responds to a call whose context ended while an endpoint may be running
// it.
func (e *exchange) abandon(ctx context.Context) {
	e.mayHaveRun = true
	e.fail(contextError(ctx, classifier.VerdictMayHaveRun))
}
