package coordinator

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jackdawthread/jackdawthread/allocator"
	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

const (
	// maxOwnerChanges bounds how often one ask follows a pool to a new
	// allocator, and firstOwnerBackoff is the first wait before that.
	maxOwnerChanges   = 4
	firstOwnerBackoff = 20 * time.Millisecond
)

// Hash places the pool on an entry host.
func (k Key) Hash() uint64 {
	return xxhash.Sum64String(string(k.Service) + "\x00" + string(k.DataCenter))
}

// Ask waits for slots: first in this host's data center, then in the others.
// The error carries the verdict not-run and says when to come back.
func (c *Coordinator) Ask(ctx context.Context, a Ask) (*Grant, error) {
	var first error
	for _, dc := range c.searchOrder(a.Service, a.Urgency) {
		g, err := c.askPool(ctx, Key{Service: a.Service.Name, DataCenter: dc}, a)
		if err == nil {
			c.held.add(g)
			return g, nil
		}
		if first == nil {
			first = err
		}
		if ctx.Err() != nil || !mayServeElsewhere(err) {
			break
		}
	}
	if first == nil {
		return nil, classifier.NotRun(classifier.ReasonNoEndpoint, classifier.Spread(noEndpointRetryAfter), "service %q has no endpoints", a.Service.Name)
	}
	return nil, first
}

// noEndpointRetryAfter is about the time in which an endpoint is replaced.
const noEndpointRetryAfter = 2 * time.Second

// mayServeElsewhere tells whether another data center may do better.
func mayServeElsewhere(err error) bool {
	e, ok := errors.AsType[*classifier.Error](err)
	if !ok {
		return false
	}
	switch e.Reason {
	case classifier.ReasonQueueFull, classifier.ReasonNoEndpoint, classifier.ReasonHostUnreachable, classifier.ReasonDeadline:
		return true
	default:
		return false
	}
}

// askPool asks the pool's allocator. While hosts disagree on where it is, the
// ask is repeated; in the end an allocator of this host answers.
func (c *Coordinator) askPool(ctx context.Context, k Key, a Ask) (*Grant, error) {
	backoff := firstOwnerBackoff
	for range maxOwnerChanges {
		g, err := c.askOwner(ctx, k, a)
		if reasonOf(err) != classifier.ReasonAllocatorUnknown || ctx.Err() != nil {
			return g, err
		}
		if err := sleeper.Sleep(ctx, backoff); err != nil {
			return nil, classifier.NotRun(classifier.ReasonCanceled, 0, "ask for slots of service %q ended: %w", k.Service, err)
		}
		backoff *= 2
	}
	return c.askHere(ctx, k, a)
}

// askOwner asks the pool's allocator where it is; when it can't be reached,
// the ask goes to an allocator of this host.
func (c *Coordinator) askOwner(ctx context.Context, k Key, a Ask) (*Grant, error) {
	owner, ok := c.owner(k)
	if !ok {
		return c.askHere(ctx, k, a)
	}
	if owner.Incarnation == c.deps.Self {
		return c.askHere(ctx, k, a)
	}
	g, err := c.askThere(ctx, owner, k, a)
	if reasonOf(err) == classifier.ReasonHostUnreachable && ctx.Err() == nil {
		return c.askHere(ctx, k, a)
	}
	return g, err
}

// owner gives the host that allocates the pool.
func (c *Coordinator) owner(k Key) (gossiper.Member, bool) {
	return c.deps.Members.View().Owner(k.DataCenter, k.Hash())
}

func (c *Coordinator) askHere(ctx context.Context, k Key, a Ask) (*Grant, error) {
	p, err := c.pool(k)
	if err != nil {
		return nil, err
	}
	granted, err := p.ask(ctx, a.Ask)
	if err != nil {
		return nil, err
	}
	return c.grant(k, c.deps.Self, a, granted)
}

func (c *Coordinator) askThere(ctx context.Context, owner gossiper.Member, k Key, a Ask) (*Grant, error) {
	message := encodeAsk(k, a.Ask)
	var answer peerwire.Answer
	err := c.deps.Links.Call(ctx, owner.Address, peerwire.KindAsk, &message, &answer)
	if err != nil {
		failure := askFailure(err)
		if reasonOf(failure) != classifier.ReasonAllocatorUnknown {
			c.withdraw(owner, k, a.Attempt)
		} // otherwise the host has not taken the ask, and may get it again
		return nil, failure
	}
	return c.grant(k, owner.Incarnation, a, decodeAnswer(a.Attempt, &answer))
}

// withdraw tells the allocator to forget an ask whose answer was lost.
func (c *Coordinator) withdraw(owner gossiper.Member, k Key, a identifier.Attempt) {
	message := peerwire.Release{Pool: encodeKey(k), Attempt: encodeAttempt(a), Ending: uint8(allocator.EndingCancelled)}
	c.send(owner.Address, peerwire.KindRelease, &message)
}

// askFailure turns the failure of an ask's message into that of the request:
// an ask runs nothing at an endpoint.
func askFailure(err error) error {
	e, ok := errors.AsType[*classifier.Error](err)
	if !ok {
		return classifier.NotRun(classifier.ReasonHostUnreachable, 0, "the allocator did not answer: %w", err)
	}
	failure := *e
	failure.Verdict = classifier.VerdictNotRun
	return &failure
}

func reasonOf(err error) classifier.Reason {
	if e, ok := errors.AsType[*classifier.Error](err); ok {
		return e.Reason
	}
	return ""
}

// grant resolves the names in the answer of the allocator at host by.
func (c *Coordinator) grant(k Key, by identifier.Incarnation, a Ask, granted allocator.Granted) (*Grant, error) {
	f := c.deps.Fleet()
	g := &Grant{
		Key:     k,
		Attempt: a.Attempt,
		Prefill: f.Endpoints[granted.Prefill],
		Decode:  f.Endpoints[granted.Decode],
		Wait:    granted.Wait,
		Pieces:  granted.Pieces,
		by:      by,
		ask:     a.Ask,
		phase:   allocator.PhaseGranted,
	}
	if g.Prefill == nil || g.Decode == nil && granted.Decode != "" {
		c.release(g, allocator.Outcome{Ending: allocator.EndingCancelled})
		return nil, classifier.NotRun(classifier.ReasonAllocatorUnknown, 0, "grant names endpoints %q and %q, which are not declared here", granted.Prefill, granted.Decode)
	}
	return g, nil
}

// Progress tells the allocator that the grant's attempt reached a phase.
func (c *Coordinator) Progress(g *Grant, phase allocator.Phase) {
	c.held.advance(g, phase)
	if p := c.ownPool(g.Key); p != nil {
		p.started(g.Attempt, phase)
		return
	}
	message := peerwire.Progress{Pool: encodeKey(g.Key), Attempt: encodeAttempt(g.Attempt), Phase: uint8(phase)}
	c.sendToOwner(g.Key, peerwire.KindProgress, &message)
}

// Release gives the grant back to its allocator.
func (c *Coordinator) Release(g *Grant, o allocator.Outcome) {
	c.held.remove(g)
	c.release(g, o)
}

func (c *Coordinator) release(g *Grant, o allocator.Outcome) {
	if p := c.ownPool(g.Key); p != nil {
		p.release(g.Attempt, o)
	}
	message := peerwire.Release{
		Pool:     encodeKey(g.Key),
		Attempt:  encodeAttempt(g.Attempt),
		Ending:   uint8(o.Ending),
		Endpoint: string(o.Endpoint),
		Refused:  o.Refused,
	}
	c.sendToOwner(g.Key, peerwire.KindRelease, &message)
}
