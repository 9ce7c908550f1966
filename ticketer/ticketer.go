// Package ticketer decides which call may be dispatched if a call must run at
// most once.
//
// A ticket names the incarnation of the entry host that issued it. A call with a
// ticket is forwarded to that incarnation and dispatched by no other. The issuer
// marks the ticket as used before the first byte of the call is sent, so no
// second call can be dispatched with it: not after a resend, not from a host
// with an outdated view, not by a process that resumes after a long suspension,
// and not after a restart, since the restarted process is another incarnation.
//
// # Usage
//
//	tickets, err := ticketer.New(incarnation, ticketer.Options{Validity: time.Minute, ...})
//	ticket, validity, err := tickets.Issue("price-lock", "taoyuan-dealer", now)
//
// A host that receives a call with a ticket forwards it to the incarnation that
// [Issuer] returns, which redeems it:
//
//	r := tickets.Redeem(ticket, service, customer, holder, now)
//	if r.State != ticketer.StateDispatch {
//		return r.Payload(), r.Failure()
//	}
//	outcome := dispatch(call) // may retry after NotRun, never after MayHaveRun
//	tickets.Complete(ticket, outcome, now)
//
// The [Holder] identifies the call for which the payload is reserved.
// [Ticketer.MarkDelivered] or [Ticketer.MarkUndelivered] then records whether the
// payload reached its caller. A payload is reserved for one call at a time and
// for none after it was delivered.
//
// # Verdicts
//
// Only the issuer may return the verdict not-run for a call with a ticket, and
// only once the ticket is void: a load balancer may have duplicated the call, and
// the copy may still be on its way to the issuer. A ticket therefore can't be
// used again after a refusal, and the caller must take a new one. A host that
// refuses such a call itself must either first void the ticket at the issuer
// with [Ticketer.Void] or return the verdict may-have-run.
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

// Options configures a Ticketer.
type Options struct {
	// Validity is the time within which a ticket must be redeemed.
	Validity time.Duration
	// OutcomeRetention is how long the outcome of a call, or the expired state
	// of an unused ticket, is kept.
	OutcomeRetention time.Duration
	// MaxOutstanding is the maximum number of tickets in memory, including
	// redeemed ones.
	MaxOutstanding int
	// MaxOutcomeBytes is the maximum total size of the kept payloads; 0 means
	// unlimited. A payload above the limit is not kept, and its ticket counts as
	// delivered.
	MaxOutcomeBytes int64
	// Random is the source of the tickets' secrets. The default is crypto/rand.
	Random io.Reader
}

// validate returns an error if an option is out of range.
func (o Options) validate() error {
	if o.Validity <= 0 {
		return eris.Errorf("ticket validity is %s, want more than 0", o.Validity)
	}
	if o.OutcomeRetention <= 0 {
		return eris.Errorf("outcome retention is %s, want more than 0", o.OutcomeRetention)
	}
	if o.MaxOutstanding <= 0 {
		return eris.Errorf("maximum of outstanding tickets is %d, want more than 0", o.MaxOutstanding)
	}
	if o.MaxOutcomeBytes < 0 {
		return eris.Errorf("maximum size of outcomes is %d bytes, want 0 or more", o.MaxOutcomeBytes)
	}
	return nil
}

// Ticketer holds the tickets that one incarnation issued. It is safe for
// concurrent use. To reduce lock contention, the tickets are spread over shards
// with a lock each.
type Ticketer struct {
	self         identifier.Incarnation
	options      Options
	count        atomic.Int64 // tickets in memory
	payloadBytes atomic.Int64 // total size of the kept payloads
	shards       [shardCount]shard
}

// New returns an empty Ticketer for the incarnation self.
func New(self identifier.Incarnation, o Options) (*Ticketer, error) {
	if err := o.validate(); err != nil {
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

// Issue returns a ticket for one call of customer to service and the time within
// which it must be redeemed. Its error is a *classifier.Error with
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
		return "", 0, classifier.NotRun(classifier.ReasonInternal, 0, "can't generate a ticket: %w", err)
	}
	s := t.shardOf(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	expiresAt := now.Add(t.options.Validity)
	s.entries[ticket] = &entry{service: service, customer: customer, state: stateIssued, expiresAt: expiresAt}
	s.issued.push(ticket, expiresAt)
	return ticket, t.options.Validity, nil
}

// Redeem marks the ticket as used and returns how to proceed with the call that
// carries it. At most one of all calls with the ticket ever gets StateDispatch. A
// payload that the call gets, now or when it completes, is reserved for the
// holder.
func (t *Ticketer) Redeem(ticket identifier.Ticket, service identifier.Service, customer identifier.Customer, holder Holder, now time.Time) Redemption {
	return t.withEntry(ticket, service, customer, now, func(e *entry) Redemption {
		if e.state != stateIssued {
			return e.redeemUsed(holder)
		}
		e.state = stateDispatching
		e.holder = holder
		return Redemption{State: StateDispatch}
	})
}

// Void marks the ticket as used without dispatching a call, so that failure,
// whose verdict is VerdictNotRun, remains correct for all calls with the ticket.
// The returned redemption holds another failure if the ticket was used before. It
// never holds a payload.
func (t *Ticketer) Void(ticket identifier.Ticket, service identifier.Service, customer identifier.Customer, failure *classifier.Error, now time.Time) Redemption {
	return t.withEntry(ticket, service, customer, now, func(e *entry) Redemption {
		if e.state != stateIssued {
			return e.redeemWithoutPayload()
		}
		e.state = stateFailed
		e.outcome = Outcome{Failure: failure}
		t.startRetention(ticket, now)
		return Redemption{State: StateOutcome, Outcome: e.outcome}
	})
}

// withEntry calls redeem on the ticket's entry, with the shard's lock held, if the
// ticket is known and its service and customer match. It first expires an unused
// ticket whose validity has ended.
func (t *Ticketer) withEntry(ticket identifier.Ticket, service identifier.Service, customer identifier.Customer, now time.Time, redeem func(*entry) Redemption) Redemption {
	if r, refused := t.rejectForeign(ticket); refused {
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
	if e.state == stateIssued && !now.Before(e.expiresAt) {
		e.state = stateExpired
		t.startRetention(ticket, now)
	}
	return redeem(e)
}

// rejectForeign returns the redemption of a ticket that is malformed or that
// another incarnation issued. refused is false for all other tickets.
func (t *Ticketer) rejectForeign(ticket identifier.Ticket) (r Redemption, refused bool) {
	issuer, err := Issuer(ticket)
	if err != nil {
		return Redemption{State: StateMalformed, cause: err}, true
	}
	if issuer != t.self {
		return Redemption{State: StateForeign}, true
	}
	return Redemption{}, false
}

// Complete stores the outcome of the call that got StateDispatch. A payload stays
// reserved for that call's holder until MarkDelivered or MarkUndelivered.
func (t *Ticketer) Complete(ticket identifier.Ticket, o Outcome, now time.Time) {
	t.updateEntry(ticket, func(e *entry) {
		if e.state != stateDispatching {
			return
		}
		t.startRetention(ticket, now)
		switch {
		case o.Failure != nil:
			e.state = stateFailed
			e.outcome = Outcome{Failure: o.Failure}
		case !t.reservePayloadBytes(len(o.Payload)):
			e.state = stateDelivered
		case e.holder == (Holder{}):
			e.state = stateUndelivered
			e.outcome = o
		default:
			e.state = stateDelivering
			e.outcome = o
		}
	})
}

// MarkDelivered records that the holder's payload reached its caller. It frees the
// payload, which no further call gets.
func (t *Ticketer) MarkDelivered(ticket identifier.Ticket, holder Holder, _ time.Time) {
	t.updateEntry(ticket, func(e *entry) {
		if e.state == stateDelivering && e.holder == holder {
			t.removePayload(e)
			e.state = stateDelivered
		}
	})
}

// MarkUndelivered records that no byte of a response can reach the holder's caller
// any more. The next call with the ticket then gets the payload. It may be called
// before the call completes.
func (t *Ticketer) MarkUndelivered(ticket identifier.Ticket, holder Holder, _ time.Time) {
	t.updateEntry(ticket, func(e *entry) {
		if e.holder != holder {
			return
		}
		e.holder = Holder{}
		if e.state == stateDelivering {
			e.state = stateUndelivered
		}
	})
}

// updateEntry calls f on the ticket's entry, if it exists, with the shard's lock
// held.
func (t *Ticketer) updateEntry(ticket identifier.Ticket, f func(*entry)) {
	s := t.shardOf(ticket)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[ticket]; ok {
		f(e)
	}
}

// Outstanding returns the number of tickets in memory, including redeemed ones.
func (t *Ticketer) Outstanding() int {
	return int(t.count.Load())
}

// Unredeemed returns the number of tickets that may still be redeemed or whose
// call is being dispatched. A host in a planned stop waits until there are none.
func (t *Ticketer) Unredeemed() int {
	n := 0
	for i := range t.shards {
		n += t.shards[i].countUnredeemed()
	}
	return n
}

// Expire expires unused tickets at the end of their validity and removes tickets
// at the end of their retention. Tickets whose call is still being dispatched
// stay.
func (t *Ticketer) Expire(now time.Time) {
	for i := range t.shards {
		t.expireShard(&t.shards[i], now)
	}
}
