package prover

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/jackdawthread/jackdawthread/checker"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/converter"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/emulator"
	"github.com/jackdawthread/jackdawthread/wire/callerwire"
)

// LockService is the non-repeatable service that price locks, the calls of
// [Run.Lock], are sent to.
const LockService identifier.Service = "price-lock"

// LockPlan describes what one caller of a non-repeatable service does.
type LockPlan struct {
	// Start is the delay before the caller requests its ticket.
	Start time.Duration
	// Issuer is the index of the host that issues the ticket.
	Issuer int
	// Copies are the hosts that the call is sent to at the same time, as by a
	// load balancer that duplicates it.
	Copies []int
	// Resends are the hosts that the call is resent to in turn, with the same
	// ticket, while its outcome is unknown.
	Resends []int
	// Timeout applies to each call; ResendDelay is the wait before each resend.
	Timeout     time.Duration
	ResendDelay time.Duration
	// OnTicket is called when the caller has its ticket; it may be nil.
	OnTicket func()
}

// lock is the call of one caller, with its ticket.
type lock struct {
	run     *Run
	ticket  string
	payload []byte
	timeout time.Duration
}

// Lock makes one caller's calls and returns the final result. A caller that gets no
// ticket gets ResultNotRun.
func (r *Run) Lock(ctx context.Context, p LockPlan) checker.Result {
	if sleeper.Sleep(ctx, p.Start) != nil {
		return checker.ResultUnfinished
	}
	ticket, err := r.requestTicket(ctx, p)
	if err != nil {
		r.countResult(checker.ResultNotRun)
		return checker.ResultNotRun
	}
	if p.OnTicket != nil {
		p.OnTicket()
	}
	l := &lock{run: r, ticket: ticket, payload: fmt.Appendf(nil, "20 t for %s", ticket), timeout: p.Timeout}
	result := l.sendCopies(ctx, p.Copies)
	for _, host := range p.Resends {
		if isConclusive(result) || sleeper.Sleep(ctx, p.ResendDelay) != nil {
			break
		}
		result = l.call(ctx, host)
	}
	r.countResult(result)
	return result
}

// requestTicket requests a ticket from the issuer and, if that fails, from each
// following host in turn.
func (r *Run) requestTicket(ctx context.Context, p LockPlan) (string, error) {
	var err error
	for n := range len(*r.hosts.Load()) {
		var ticket string
		if ticket, err = r.requestTicketFrom(ctx, p.Issuer+n, p.Timeout); err == nil {
			return ticket, nil
		}
	}
	return "", err
}

func (r *Run) requestTicketFrom(ctx context.Context, host int, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := r.hostClient(host).IssueTicket(ctx, connect.NewRequest(&callerwire.IssueTicketRequest{
		Service:  string(LockService),
		Customer: string(r.customer),
	}))
	if err != nil {
		return "", err
	}
	return response.Msg.GetTicket(), nil
}

// sendCopies sends the call to several hosts at once and returns the first
// conclusive result, or the last one if none is conclusive.
func (l *lock) sendCopies(ctx context.Context, hosts []int) checker.Result {
	results := make(chan checker.Result, len(hosts))
	for _, host := range hosts {
		l.run.Go(func(context.Context) { results <- l.call(ctx, host) })
	}
	last := checker.ResultUnfinished
	for range hosts {
		last = <-results
		if isConclusive(last) {
			return last
		}
	}
	return last
}

// isConclusive reports whether the result tells the caller the outcome of its lock.
func isConclusive(r checker.Result) bool {
	return r == checker.ResultAnswered || r == checker.ResultRan || r == checker.ResultNotRun
}

// call sends the call to one host and records the result.
func (l *lock) call(ctx context.Context, host int) checker.Result {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	done := l.run.Recorder.RecordCall(checker.Call{
		Key:        checker.Key(l.ticket),
		AtMostOnce: true,
		Expected:   emulator.Confirmation(string(LockService), l.payload),
	}, time.Now())
	response, err := l.run.hostClient(host).Call(ctx, connect.NewRequest(&callerwire.CallRequest{
		Service:  string(LockService),
		Customer: string(l.run.customer),
		Payload:  l.payload,
		Ticket:   l.ticket,
	}))
	if err != nil {
		result := resultFromHost(err)
		if result == checker.ResultMayHaveRun && !notAccepted(err) {
			l.run.recordUnansweredSend(l.ticket, err)
		}
		done(result, nil, time.Now())
		return result
	}
	done(checker.ResultAnswered, response.Msg.GetPayload(), time.Now())
	return checker.ResultAnswered
}

// resultFromHost returns the result that a host's error reports. An error that
// comes from no host, such as a refused connection, says nothing about earlier
// sends of the call.
func resultFromHost(err error) checker.Result {
	if e, ok := errors.AsType[*connect.Error](err); ok && len(e.Details()) > 0 {
		return checker.ResultOf(converter.FromConnect(err))
	}
	return checker.ResultMayHaveRun
}

// notAccepted reports whether no connection to the host was made, or the host
// answered that it is not ready. Such a host did not accept this send, but doesn't
// know the outcome of other sends.
func notAccepted(err error) bool {
	f := converter.FromConnect(err)
	return f.Verdict == classifier.VerdictNotRun || f.Reason == classifier.ReasonNotReady
}
