// Package ticketer decides who may dispatch a call that must run at most once.
//
// A ticket names the incarnation of the entry host that issued it. A call
// with a ticket is forwarded to that incarnation and dispatched by no other.
// The issuer removes the ticket from its memory before the first byte of the
// call is sent, so no second call can be dispatched with it: not after a
// resend, not from a host with an old view, not by a process that wakes up
// late, and not after a restart, since the restarted process is another
// incarnation.
//
// # Usage
//
//	tickets, err := ticketer.New(incarnation, ticketer.Options{Validity: time.Minute, ...})
//	ticket, validity, err := tickets.Issue("price-lock", "taoyuan-dealer", now)
//
// A host that receives a call with a ticket forwards it to [Issuer]. There:
//
//	r := tickets.Redeem(ticket, service, customer, holder, now)
//	if r.State != ticketer.StateDispatch {
//		return r.Payload(), r.Failure()
//	}
//	outcome := dispatch(call) // may retry after NotRun, never after MayHaveRun
//	tickets.Complete(ticket, outcome, now)
//
// The [Holder] names the call that is to get the answer. It says with
// [Ticketer.Delivered] or [Ticketer.Undelivered] what became of the answer. A
// payload is given to one call at a time and to none after it was delivered.
//
// # Verdicts
//
// Only the issuer may tell the caller that a call with a ticket was not run,
// and only after the ticket is void: a balancer may have duplicated the call,
// and the copy may be on its way to the issuer. So a ticket is not restored
// after a refusal; the caller takes a fresh one. A host that refuses such a
// call by itself uses [Ticketer.Void] at the issuer first, or answers that the
// call may have run.
package ticketer

import (
	"crypto/rand"
	"io"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
)

// Options of a Ticketer.
type Options struct {
	// Validity is the time in which a ticket has to be redeemed.
	Validity time.Duration
	// OutcomeRetention is the time for which a call's outcome, and the
	// knowledge that an unused ticket expired, are kept.
	OutcomeRetention time.Duration
	// MaxOutstanding bounds the tickets in memory, redeemed ones included.
	MaxOutstanding int
	// MaxOutcomeBytes bounds the payloads that are kept; a payload for which
	// there is no room counts as delivered. 0 means no bound.
	MaxOutcomeBytes int64
	// Random is where tickets' secrets come from; nil: crypto/rand.
	Random io.Reader
}

// check gives an error for options that no Ticketer can work with.
func (o Options) check() error {
	if o.Validity <= 0 {
		return eris.Errorf("ticket validity is %s, want more than 0", o.Validity)
	}
	if o.OutcomeRetention <= 0 {
		return eris.Errorf("outcome retention is %s, want more than 0", o.OutcomeRetention)
	}
	if o.MaxOutstanding <= 0 {
		return eris.Errorf("bound of outstanding tickets is %d, want more than 0", o.MaxOutstanding)
	}
	if o.MaxOutcomeBytes < 0 {
		return eris.Errorf("bound of outcomes is %d bytes, want 0 or more", o.MaxOutcomeBytes)
	}
	return nil
}

// Ticketer holds the tickets that one incarnation issued. It is safe for use
// by several goroutines; the tickets are spread over shards with a lock each.
type Ticketer struct {
	self    identifier.Incarnation
	options Options
	count   atomic.Int64 // of tickets in memory
	kept    atomic.Int64 // bytes of payloads in memory
	shards  [shardCount]shard
}

// New gives an empty Ticketer for the incarnation self.
func New(self identifier.Incarnation, o Options) (*Ticketer, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	if self == 0 {
		return nil, eris.New("incarnation is 0")
	}
	if o.Random == nil {
		o.Random = rand.Reader
	}
	t := &Ticketer{self: self, options: o}
	for i := range t.shards {
		t.shards[i].entries = make(map[identifier.Ticket]*entry)
	}
	return t, nil
}

// Issue gives a ticket for one call of customer to service and the time in
// which it has to be redeemed. The error is a *classifier.Error with
// VerdictNotRun.
func (t *Ticketer) Issue(service identifier.Service, customer identifier.Customer, now time.Time) (identifier.Ticket, time.Duration, error) {
	if t.count.Add(1) > int64(t.options.MaxOutstanding) {
		t.count.Add(-1)
		return "", 0, classifier.NotRun(classifier.ReasonLimit, t.options.OutcomeRetention,
			"%d tickets are outstanding", t.options.MaxOutstanding)
	}
	ticket, err := newTicket(t.self, t.options.Random)
	if err != nil {
		t.count.Add(-1)
		return "", 0, classifier.NotRun(classifier.ReasonInternal, 0, "ticket could not be drawn: %w", err)
	}
	s := t.shardOf(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	until := now.Add(t.options.Validity)
	s.entries[ticket] = &entry{service: service, customer: customer, state: stateIssued, until: until}
	s.issued.push(ticket, until)
	return ticket, t.options.Validity, nil
}

// Redeem takes the ticket out of use and tells what the call that carries it
// gets. Of all calls with the ticket, at most one ever gets StateDispatch.
// A payload that the call gets, now or when it completes, is reserved for the
// holder.
func (t *Ticketer) Redeem(ticket identifier.Ticket, service identifier.Service, customer identifier.Customer, holder Holder, now time.Time) Redemption {
	return t.use(ticket, service, customer, now, func(e *entry) Redemption {
		if e.state != stateIssued {
			return e.redeemAgain(holder)
		}
		e.state = stateDispatching
		e.holder = holder
		return Redemption{State: StateDispatch}
	})
}

// Void takes the ticket out of use without a call, so that the failure, whose
// verdict is VerdictNotRun, stays true. The call gets the redemption's failure,
// which is another one if the ticket was used before; it never gets a payload.
func (t *Ticketer) Void(ticket identifier.Ticket, service identifier.Service, customer identifier.Customer, failure *classifier.Error, now time.Time) Redemption {
	return t.use(ticket, service, customer, now, func(e *entry) Redemption {
		if e.state != stateIssued {
			return e.look()
		}
		e.state = stateFailed
		e.outcome = Outcome{Failure: failure}
		t.retain(ticket, now)
		return Redemption{State: StateOutcome, Outcome: e.outcome}
	})
}

// use runs take on the ticket's entry, if the call matches it.
func (t *Ticketer) use(ticket identifier.Ticket, service identifier.Service, customer identifier.Customer, now time.Time, take func(*entry) Redemption) Redemption {
	if r, refused := t.refuse(ticket); refused {
		return r
	}
	s := t.shardOf(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[ticket]
	if !ok {
		return Redemption{State: StateUnknown}
	}
	if e.service != service || e.customer != customer {
		return Redemption{State: StateMismatched}
	}
	if e.state == stateIssued && !now.Before(e.until) {
		e.state = stateExpired
		t.retain(ticket, now)
	}
	return take(e)
}

// refuse gives the redemption of a ticket that self can't have issued.
func (t *Ticketer) refuse(ticket identifier.Ticket) (r Redemption, refused bool) {
	issuer, err := Issuer(ticket)
	if err != nil {
		return Redemption{State: StateMalformed, cause: err}, true
	}
	if issuer != t.self {
		return Redemption{State: StateForeign}, true
	}
	return Redemption{}, false
}

// Complete keeps the outcome of the call that got StateDispatch. A payload
// stays reserved for that call's holder until Delivered or Undelivered.
func (t *Ticketer) Complete(ticket identifier.Ticket, o Outcome, now time.Time) {
	t.change(ticket, func(e *entry) {
		if e.state != stateDispatching {
			return
		}
		t.retain(ticket, now)
		switch {
		case o.Failure != nil:
			e.state = stateFailed
			e.outcome = Outcome{Failure: o.Failure}
		case !t.reserve(len(o.Payload)):
			e.state = stateDelivered
		case e.holder == (Holder{}):
			e.state = stateKept
			e.outcome = o
		default:
			e.state = stateDelivering
			e.outcome = o
		}
	})
}

// Delivered says that the holder's payload reached the caller; it is dropped,
// and no call gets it any more.
func (t *Ticketer) Delivered(ticket identifier.Ticket, holder Holder, _ time.Time) {
	t.change(ticket, func(e *entry) {
		if e.state == stateDelivering && e.holder == holder {
			t.dropPayload(e)
			e.state = stateDelivered
		}
	})
}

// Undelivered says that no byte of an answer can reach the holder's caller any
// more; the next call with the ticket gets the payload. It may come before the
// call completes.
func (t *Ticketer) Undelivered(ticket identifier.Ticket, holder Holder, _ time.Time) {
	t.change(ticket, func(e *entry) {
		if e.holder != holder {
			return
		}
		e.holder = Holder{}
		if e.state == stateDelivering {
			e.state = stateKept
		}
	})
}

// change runs f on the ticket's entry, if there is one.
func (t *Ticketer) change(ticket identifier.Ticket, f func(*entry)) {
	s := t.shardOf(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[ticket]; ok {
		f(e)
	}
}

// Outstanding gives the number of tickets in memory, redeemed ones included.
func (t *Ticketer) Outstanding() int {
	return int(t.count.Load())
}

// Unredeemed counts the tickets that may still be redeemed or whose call is
// being dispatched. A host that stops as planned waits until there are none.
func (t *Ticketer) Unredeemed() int {
	n := 0
	for i := range t.shards {
		n += t.shards[i].unredeemed()
	}
	return n
}

// Expire forgets what has been kept for its time. Tickets of calls that are
// still being dispatched stay.
func (t *Ticketer) Expire(now time.Time) {
	for i := range t.shards {
		t.expireShard(&t.shards[i], now)
	}
}
