package client

import (
	"context"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
)

// CallRequest is one call to a plain service.
type CallRequest struct {
	// ID stays the same over resends; empty: the client draws one.
	ID      identifier.Request
	Service identifier.Service
	Payload []byte
	Urgency callerwire.Urgency
	// NonRepeatable makes the client take a ticket before the first attempt.
	// Without it a call to a non-repeatable service is refused once and then
	// made with the ticket that the refusal carries.
	NonRepeatable bool
}

// invocation is one call on its way to its outcome.
type invocation struct {
	client  *Client
	request CallRequest
	host    int
	ticket  identifier.Ticket
	// verdict covers all attempts so far.
	verdict  classifier.Verdict
	attempts int
	fetches  int
}

// Call makes one call to a plain service and gives its answer. It takes the
// ticket that a non-repeatable service needs. Once such a call may have run,
// it is sent again with the same ticket only, to fetch the kept outcome.
func (c *Client) Call(ctx context.Context, r CallRequest) ([]byte, error) {
	if r.ID == "" {
		r.ID = identifier.NewRequest()
	}
	if failure := ended(ctx); failure != nil {
		return nil, failure
	}
	v := &invocation{client: c, request: r, host: c.firstHost()}
	c.budget.earn()
	for {
		payload, failure := v.attempt(ctx)
		if failure == nil {
			return payload, nil
		}
		if !v.again(ctx, failure) {
			return nil, joined(failure, v.verdict)
		}
	}
}

// attempt takes a ticket, if one is needed and missing, and makes the call.
func (v *invocation) attempt(ctx context.Context) ([]byte, *classifier.Error) {
	if v.request.NonRepeatable && v.ticket == "" {
		if failure := v.takeTicket(ctx); failure != nil {
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
	h := v.client.host(v.host)
	response, err := h.Call(ctx, connect.NewRequest(request))
	if err != nil {
		failure := h.failed(ctx, err)
		v.verdict = classifier.Worst(v.verdict, failure.Verdict)
		return nil, failure
	}
	return response.Msg.GetPayload(), nil
}

// takeTicket asks for a ticket. Whatever becomes of that, nothing ran.
func (v *invocation) takeTicket(ctx context.Context) *classifier.Error {
	request := &callerwire.IssueTicketRequest{
		Service:  string(v.request.Service),
		Customer: string(v.client.customer),
	}
	h := v.client.host(v.host)
	response, err := h.IssueTicket(ctx, connect.NewRequest(request))
	if err != nil {
		failure := *h.failed(ctx, err)
		failure.Verdict = classifier.VerdictNotRun
		return &failure
	}
	v.ticket = identifier.Ticket(response.Msg.GetTicket())
	return nil
}

// again prepares the next attempt and tells whether there is one.
func (v *invocation) again(ctx context.Context, failure *classifier.Error) bool {
	if v.ticket != "" && v.verdict != classifier.VerdictNotRun && v.verdict != classifier.VerdictUnknown {
		return v.fetchAgain(ctx, failure)
	}
	v.attempts++
	if failure.Reason == classifier.ReasonTicketRequired && failure.Ticket != "" {
		v.ticket = failure.Ticket
		return v.attempts < max(v.client.policy.MaxAttempts, 2)
	}
	if !v.client.again(ctx, failure, v.attempts, false) {
		return false
	}
	v.renewTicket(failure)
	v.host++
	return true
}

// renewTicket replaces the ticket of a call that was refused: it is void. One
// that never left the client is kept.
func (v *invocation) renewTicket(failure *classifier.Error) {
	kept := failure.Reason == classifier.ReasonHostUnreachable && failure.Ticket == ""
	if v.ticket == "" || kept {
		return
	}
	v.ticket = failure.Ticket
}

// fetchAgain prepares a resend that fetches the outcome of a call that may
// have run. A refusal of the resend doesn't change that.
func (v *invocation) fetchAgain(ctx context.Context, failure *classifier.Error) bool {
	ended := failure.Verdict == classifier.VerdictRan ||
		failure.Reason == classifier.ReasonTicketUnknown ||
		terminal[failure.Reason]
	v.fetches++
	if ctx.Err() != nil || ended || v.fetches > v.client.policy.MaxFetches {
		return false
	}
	if !v.client.budget.spend() {
		return false
	}
	v.host++
	wait := v.client.jitter(v.client.policy.delay(v.fetches))
	return sleep(ctx, max(wait, failure.RetryAfter)) == nil
}
