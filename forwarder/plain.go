package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/exchanger"
	"github.com/jackdawthread/jackdawthread/placer"
	"github.com/jackdawthread/jackdawthread/registrar"
)

// never is longer than any request lasts.
const never = time.Hour

// hedgeShare is the share of the objective after which an idempotent call that
// got no answer goes to a second endpoint as well.
const hedgeShare = 0.6

// answered is an endpoint's whole answer, or the failure to get one.
type answered struct {
	endpoint *registrar.Endpoint
	status   int
	header   http.Header
	body     []byte
	err      error // a *classifier.Error
}

// sound tells whether the answer is the one that the caller wants.
func (a *answered) sound() bool {
	return a.err == nil && a.status < http.StatusInternalServerError
}

// forward serves a plain call.
func (e *exchange) forward(ctx context.Context) {
	if e.route.Kind == registrar.KindStream {
		e.relayPlainStream(ctx)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan *answered, max(2, e.route.Attempts)+1)
	outstanding := 0
	start := func() *classifier.Error {
		if err := e.startCall(ctx, answers); err != nil {
			return err
		}
		outstanding++
		return nil
	}
	if err := start(); err != nil {
		e.fail(err)
		return
	}
	hedge := e.hedgeTimer()
	defer hedge.Stop()
	var last *answered
	for outstanding > 0 {
		select {
		case a := <-answers:
			outstanding--
			if a.sound() {
				e.pass(a)
				return
			}
			last = worse(last, a)
			if ctx.Err() == nil && e.again(ctx, a.err) {
				e.note("request-sent-again", a.endpoint, a.err, zap.Int("status", a.status))
				if err := start(); err != nil && outstanding == 0 && last.err != nil {
					last.err = err
				}
			}
		case <-hedge.C:
			e.hedge(ctx, start)
		case <-ctx.Done():
			e.abandon(ctx)
			return
		}
	}
	e.conclude(last)
}

// worse keeps the failure that says the most of two: an endpoint's own answer
// before none.
func worse(old, next *answered) *answered {
	if old != nil && old.err == nil && next.err != nil {
		return old
	}
	return next
}

// hedgeTimer fires when an idempotent call may go to a second endpoint.
func (e *exchange) hedgeTimer() *time.Timer {
	if !e.route.Repeatable() || e.route.Attempts < 2 || e.route.Objective <= 0 {
		return time.NewTimer(never)
	}
	return time.NewTimer(time.Duration(hedgeShare * float64(e.route.Objective)))
}

func (e *exchange) hedge(ctx context.Context, start func() *classifier.Error) {
	if e.sent >= e.route.Attempts || !e.forwarder.deps.Budget.Take(e.service.Name) {
		return
	}
	e.mayHaveRun = true
	e.observation.Hedged = true
	if err := start(); err != nil && ctx.Err() == nil {
		e.note("hedge-not-sent", nil, err)
	}
}

// startCall sends the call to one more endpoint; its answer arrives on the
// channel.
func (e *exchange) startCall(ctx context.Context, answers chan<- *answered) *classifier.Error {
	f := e.forwarder
	now := time.Now()
	endpoint := f.deps.Placer.ChoosePlain(e.current(), e.exclude, now)
	if endpoint == nil {
		return classifier.NotRun(classifier.ReasonNoEndpoint, classifier.Spread(absentRetryAfter), "service %q has no endpoint left for this request", e.service.Name)
	}
	e.observation.at(endpoint)
	e.sent++
	e.exclude = append(e.exclude, endpoint.Name)
	f.deps.Placer.Begin(endpoint, 0)
	f.deps.Group.Run(func(context.Context) {
		a := f.call(ctx, endpoint, &e.call)
		f.deps.Placer.End(endpoint, 0)
		f.judge(endpoint, outcome(ctx, a, time.Since(now)))
		answers <- a
	})
	return nil
}

// current gives the service's endpoints as they are registered now.
func (e *exchange) current() []*registrar.Endpoint {
	return e.forwarder.deps.Registry.Snapshot().Endpoints(e.service.Name)
}

// call sends a plain call to an endpoint and reads its whole answer.
func (f *Forwarder) call(ctx context.Context, e *registrar.Endpoint, c *Call) *answered {
	a := &answered{endpoint: e}
	response, err := f.deps.Endpoints.Forward(ctx, e, c)
	if err != nil {
		a.err = err
		return a
	}
	defer response.Close()
	if l, ok := f.deps.Endpoints.Load(response); ok {
		f.deps.Placer.RecordLoad(e, l, time.Now())
	}
	a.status = response.Status
	a.header = response.Header
	a.body, a.err = response.ReadAll(maxAnswerBytes)
	if a.err != nil {
		return a
	}
	a.err = f.check(response, e)
	return a
}

// check gives the failure that an answer's head amounts to; nil: the answer is
// the endpoint's own.
func (f *Forwarder) check(r *exchanger.Response, e *registrar.Endpoint) error {
	if f.deps.Endpoints.Refused(r) {
		return classifier.NotRun(classifier.ReasonEndpointRefused, classifier.Spread(fullRetryAfter), "endpoint %q refused with %d", e.Name, r.Status)
	}
	if r.Status < http.StatusMultipleChoices && !f.deps.Dialect.Vouched(r.Header) {
		return classifier.MayHaveRun(classifier.ReasonEndpointFailed, 0, "answer of endpoint %q bears no signature", e.Name)
	}
	return nil
}

// judge tells the placer how a call ended.
func (f *Forwarder) judge(e *registrar.Endpoint, o placer.Outcome) {
	if f.deps.Placer.Judge(e, o, time.Now()) {
		f.deps.Log.Info("endpoint-avoided", zap.String("endpoint", string(e.Name)), zap.String("service", string(e.Service)))
	}
}

// outcome says what a call's end means for its endpoint.
func outcome(ctx context.Context, a *answered, took time.Duration) placer.Outcome {
	c := classifier.Of(a.err)
	switch {
	case a.err == nil && a.status < http.StatusInternalServerError:
		return placer.Outcome{Verdict: placer.VerdictSound, Latency: took}
	case a.err == nil:
		return placer.Outcome{Verdict: placer.VerdictServerError}
	case c.Reason == classifier.ReasonEndpointRefused:
		return placer.Outcome{Verdict: placer.VerdictFull}
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errDeadline):
		return placer.Outcome{Verdict: placer.VerdictNone}
	default:
		return placer.Outcome{Verdict: brokenVerdict(c)}
	}
}

// brokenVerdict tells endpoints that can't be reached from those that failed.
func brokenVerdict(c *classifier.Error) placer.Verdict {
	if c.Reason == classifier.ReasonHostUnreachable {
		return placer.VerdictUnreachable
	}
	return placer.VerdictBroken
}

// pass gives the caller an endpoint's answer.
func (e *exchange) pass(a *answered) {
	e.observation.Status = a.status
	e.observation.Answered = a.endpoint.Name
	h := e.writer.Header()
	copyHead(h, a.header)
	if e.forwarder.closesAfter(e.request) {
		h.Set("Connection", "close")
	}
	if bodyAllowed(a.status) {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	e.writer.WriteHeader(a.status)
	if _, err := e.writer.Write(a.body); err != nil {
		e.note("answer-not-delivered", a.endpoint, err)
	}
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// conclude answers a call that got no sound answer.
func (e *exchange) conclude(last *answered) {
	if last.err == nil {
		e.pass(last)
		return
	}
	e.fail(last.err)
}

// abandon ends a call whose context has ended while an endpoint may run it.
func (e *exchange) abandon(ctx context.Context) {
	e.mayHaveRun = true
	e.fail(ended(ctx, classifier.VerdictMayHaveRun))
}
