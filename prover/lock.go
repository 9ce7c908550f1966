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

// LockService is the non-repeatable service that locks are sent to.
const LockService identifier.Service = "price-lock"

// LockPlan says what one caller of a non-repeatable service does.
type LockPlan struct {
	// Start is the wait before the caller asks for its ticket.
	Start time.Duration
	// Issuer is the index of the host that issues the ticket.
	Issuer int
	// Copies are the hosts that the call is sent to at the same time, as a
	// balancer that duplicates it would.
	Copies []int
	// Resends are the hosts that it is sent to in turn, with the same ticket,
	// while its outcome isn't known.
	Resends []int
	// Timeout of each call, and Pause before each resend.
	Timeout time.Duration
	Pause   time.Duration
	// Issued is called when the caller has its ticket; it may be nil.
	Issued func()
}

// lock is one caller's lock.
type lock struct {
	run     *Run
	ticket  string
	payload []byte
	timeout time.Duration
}

// Lock makes one caller's calls and gives what it was told in the end. A
// caller that gets no ticket counts as told ResultNotRun.
func (r *Run) Lock(ctx context.Context, p LockPlan) checker.Result {
	if sleeper.Sleep(ctx, p.Start) != nil {
		return checker.ResultUnfinished
	}
	ticket, err := r.issue(ctx, p)
	if err != nil {
		r.final(checker.ResultNotRun)
		return checker.ResultNotRun
	}
	if p.Issued != nil {
		p.Issued()
	}
	l := &lock{run: r, ticket: ticket, payload: fmt.Appendf(nil, "20 t for %s", ticket), timeout: p.Timeout}
	result := l.copies(ctx, p.Copies)
	for _, host := range p.Resends {
		if settled(result) || sleeper.Sleep(ctx, p.Pause) != nil {
			break
		}
		result = l.call(ctx, host)
	}
	r.final(result)
	return result
}

// issue takes a ticket from the issuer, or from the next host that can be
// reached.
func (r *Run) issue(ctx context.Context, p LockPlan) (string, error) {
	var err error
	for n := range len(*r.hosts.Load()) {
		var ticket string
		if ticket, err = r.issueAt(ctx, p.Issuer+n, p.Timeout); err == nil {
			return ticket, nil
		}
	}
	return "", err
}

func (r *Run) issueAt(ctx context.Context, host int, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := r.host(host).IssueTicket(ctx, connect.NewRequest(&callerwire.IssueTicketRequest{
		Service:  string(LockService),
		Customer: string(r.customer),
	}))
	if err != nil {
		return "", err
	}
	return response.Msg.GetTicket(), nil
}

// copies sends the call to several hosts at once. The caller is told what the
// first of them says that settles it.
func (l *lock) copies(ctx context.Context, hosts []int) checker.Result {
	results := make(chan checker.Result, len(hosts))
	for _, host := range hosts {
		l.run.Go(func(context.Context) { results <- l.call(ctx, host) })
	}
	last := checker.ResultUnfinished
	for range hosts {
		last = <-results
		if settled(last) {
			return last
		}
	}
	return last
}

// settled tells whether a caller knows what became of its lock.
func settled(r checker.Result) bool {
	return r == checker.ResultAnswered || r == checker.ResultRan || r == checker.ResultNotRun
}

// call sends the call to one host and records what it is told.
func (l *lock) call(ctx context.Context, host int) checker.Result {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	done := l.run.Recorder.Invoke(checker.Call{
		Key:      checker.Key(l.ticket),
		Once:     true,
		Expected: emulator.Confirmation(string(LockService), l.payload),
	}, time.Now())
	response, err := l.run.host(host).Call(ctx, connect.NewRequest(&callerwire.CallRequest{
		Service:  string(LockService),
		Customer: string(l.run.customer),
		Payload:  l.payload,
		Ticket:   l.ticket,
	}))
	if err != nil {
		result := told(err)
		if result == checker.ResultMayHaveRun && !untaken(err) {
			l.run.noteCut(l.ticket, err)
		}
		done(result, nil, time.Now())
		return result
	}
	done(checker.ResultAnswered, response.Msg.GetPayload(), time.Now())
	return checker.ResultAnswered
}

// told gives what a host said by an error. An error that no host made, such as
// a connection that was refused, says nothing about earlier sends of the call.
func told(err error) checker.Result {
	if e, ok := errors.AsType[*connect.Error](err); ok && len(e.Details()) > 0 {
		return checker.ResultOf(converter.FromConnect(err))
	}
	return checker.ResultMayHaveRun
}

// untaken tells whether no connection to the host was made, or whether the
// host said that it is not ready: it then doesn't know what became of other
// sends, but took nothing of this one.
func untaken(err error) bool {
	f := converter.FromConnect(err)
	return f.Verdict == classifier.VerdictNotRun || f.Reason == classifier.ReasonNotReady
}
