package client

import (
	"context"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
)

// CallRequest describes a call to a plain service.
type CallRequest struct {
	// ID identifies the request across retries. If empty, the client generates
	// one.
	ID      identifier.Request
	Service identifier.Service
	Payload []byte
	Urgency callerwire.Urgency
	// NonRepeatable makes the client request a ticket before the first attempt.
	// If it is false, a non-repeatable service refuses the first attempt, and
	// the client retries with the ticket returned in the refusal.
	NonRepeatable bool
}

// invocation holds the state of a call across its attempts.
type invocation struct {
	client    *Client
	request   CallRequest
	hostIndex int
	ticket    identifier.Ticket
	// verdict is the worst verdict of all attempts so far.
	verdict        classifier.Verdict
	attempts       int
	outcomeFetches int
}

// Call calls a plain service and returns its response payload. It obtains the
// ticket that a non-repeatable service requires. Once such a call may have run,
// retries reuse the same ticket and only fetch the stored outcome.
func (c *Client) Call(ctx context.Context, r CallRequest) ([]byte, error) {
	if r.ID == "" {
		r.ID = identifier.NewRequest()
	}
	if failure := contextFailure(ctx); failure != nil {
		return nil, failure
	}
	v := &invocation{client: c, request: r, hostIndex: c.firstHostIndex()}
	c.budget.deposit()
	for {
		payload, failure := v.attempt(ctx)
		if failure == nil {
			return payload, nil
		}
		if !v.prepareRetry(ctx, failure) {
			return nil, withWorstVerdict(failure, v.verdict)
		}
	}
}

// attempt sends the call once, after requesting a ticket if one is required and
// missing.
func (v *invocation) attempt(ctx context.Context) ([]byte, *classifier.Error) {
	if v.request.NonRepeatable && v.ticket == "" {
		if failure := v.requestTicket(ctx); failure != nil {
			return nil, failure
		}
	}
	request := &callerwire.CallRequest{
		RequestId: string(v.request.ID),
		Service:   string(v.request.Service),
		Customer:  string(v.client.customer),
		Payload:   v.request.Payload,
		Urgency:   v.request.Urgency,
		Ticket:    string(v.ticket),
	}
	h := v.client.host(v.hostIndex)
	response, err := h.Call(ctx, connect.NewRequest(request))
	if err != nil {
		failure := h.recordFailure(ctx, err)
		v.verdict = classifier.Worst(v.verdict, failure.Verdict)
		return nil, failure
	}
	if failure := checkRequest(response.Msg.GetRequestId(), v.request.ID); failure != nil {
		v.verdict = classifier.Worst(v.verdict, failure.Verdict)
		return nil, failure
	}
	return response.Msg.GetPayload(), nil
}

// checkRequest returns a failure unless a response names the request that it is taken for. HTTP/1.1
// pairs them by their order only, which a faulty proxy may break.
func checkRequest(named string, id identifier.Request) *classifier.Error {
	if named == string(id) {
		return nil
	}
	return brokenStreamFailure("response to request %q names request %q", id, named)
}

// requestTicket requests a ticket. Every failure has verdict not-run, since the
// call itself has not been sent yet.
func (v *invocation) requestTicket(ctx context.Context) *classifier.Error {
	request := &callerwire.IssueTicketRequest{
		Service:  string(v.request.Service),
		Customer: string(v.client.customer),
	}
	h := v.client.host(v.hostIndex)
	response, err := h.IssueTicket(ctx, connect.NewRequest(request))
	if err != nil {
		failure := *h.recordFailure(ctx, err)
		failure.Verdict = classifier.VerdictNotRun
		return &failure
	}
	v.ticket = identifier.Ticket(response.Msg.GetTicket())
	return nil
}

// prepareRetry waits for and sets up the next attempt. It returns false if the
// call must not be retried.
func (v *invocation) prepareRetry(ctx context.Context, failure *classifier.Error) bool {
	if v.ticket != "" && v.verdict != classifier.VerdictNotRun && v.verdict != classifier.VerdictUnknown {
		return v.prepareOutcomeFetch(ctx, failure)
	}
	v.attempts++
	if failure.Reason == classifier.ReasonTicketRequired && failure.Ticket != "" {
		v.ticket = failure.Ticket
		return v.attempts < max(v.client.policy.MaxAttempts, 2)
	}
	if !v.client.waitForRetry(ctx, failure, v.attempts, false) {
		return false
	}
	v.renewTicket(failure)
	v.hostIndex++
	return true
}

// renewTicket replaces the ticket of a refused call, because a refusal
// invalidates it. The ticket is kept if the host could not be reached and thus
// never received it.
func (v *invocation) renewTicket(failure *classifier.Error) {
	kept := failure.Reason == classifier.ReasonHostUnreachable && failure.Ticket == ""
	if v.ticket == "" || kept {
		return
	}
	v.ticket = failure.Ticket
}

// prepareOutcomeFetch waits for and sets up a retry that fetches the stored
// outcome of a call that may have run. If the retry is refused, the call still
// counts as possibly run.
func (v *invocation) prepareOutcomeFetch(ctx context.Context, failure *classifier.Error) bool {
	final := failure.Verdict == classifier.VerdictRan ||
		failure.Reason == classifier.ReasonTicketUnknown ||
		terminalReasons[failure.Reason]
	v.outcomeFetches++
	if ctx.Err() != nil || final || v.outcomeFetches > v.client.policy.MaxOutcomeFetches {
		return false
	}
	if !v.client.budget.withdraw() {
		return false
	}
	v.hostIndex++
	wait := v.client.jitter(v.client.policy.backoff(v.outcomeFetches))
	return sleep(ctx, max(wait, failure.RetryAfter)) == nil
}
