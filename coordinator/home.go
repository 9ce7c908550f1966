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
	// maxOwnerChanges limits how often a slot request is sent to the pool's owner
	// while hosts disagree on who that is. initialOwnerBackoff is the delay after
	// the first time; it doubles.
	maxOwnerChanges     = 4
	initialOwnerBackoff = 20 * time.Millisecond
)

// Hash returns the hash that selects the pool's owner.
func (k Key) Hash() uint64 {
	return xxhash.Sum64String(string(k.Service) + "\x00" + string(k.DataCenter))
}

// Ask requests slots from the pools of the service, usually from the one in this
// host's data center first, and waits for a grant. The error carries the verdict
// not-run and a retry-after delay.
func (c *Coordinator) Ask(ctx context.Context, a SlotRequest) (*Grant, error) {
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
		if ctx.Err() != nil || !shouldTryOtherDataCenter(err) {
			break
		}
	}
	if first == nil {
		return nil, classifier.NotRun(classifier.ReasonNoEndpoint, classifier.Jitter(noEndpointRetryAfter), "service %q has no endpoints", a.Service.Name)
	}
	return nil, first
}

// noEndpointRetryAfter is about the time it takes to replace an endpoint.
const noEndpointRetryAfter = 2 * time.Second

// shouldTryOtherDataCenter reports whether another data center may grant slots
// after this error.
func shouldTryOtherDataCenter(err error) bool {
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

// askPool requests slots from the pool's allocator. It retries while hosts disagree
// on the owner, and finally falls back to an allocator on this host.
func (c *Coordinator) askPool(ctx context.Context, k Key, a SlotRequest) (*Grant, error) {
	backoff := initialOwnerBackoff
	for range maxOwnerChanges {
		g, err := c.askOwner(ctx, k, a)
		if reasonOf(err) != classifier.ReasonAllocatorUnknown || ctx.Err() != nil {
			return g, err
		}
		if err := sleeper.Sleep(ctx, backoff); err != nil {
			return nil, classifier.NotRun(classifier.ReasonCanceled, 0, "stopped waiting for slots of service %q: %w", k.Service, err)
		}
		backoff *= 2
	}
	return c.askLocal(ctx, k, a)
}

// askOwner requests slots from the allocator on the pool's owner. If the owner is
// unreachable, it falls back to an allocator on this host.
func (c *Coordinator) askOwner(ctx context.Context, k Key, a SlotRequest) (*Grant, error) {
	owner, ok := c.owner(k)
	if !ok {
		return c.askLocal(ctx, k, a)
	}
	if owner.Incarnation == c.deps.Self {
		return c.askLocal(ctx, k, a)
	}
	g, err := c.requestRemote(ctx, owner, k, a)
	if reasonOf(err) == classifier.ReasonHostUnreachable && ctx.Err() == nil {
		return c.askLocal(ctx, k, a)
	}
	return g, err
}

// owner returns the host that allocates the pool.
func (c *Coordinator) owner(k Key) (gossiper.Member, bool) {
	return c.deps.Members.View().Owner(k.DataCenter, k.Hash())
}

func (c *Coordinator) askLocal(ctx context.Context, k Key, a SlotRequest) (*Grant, error) {
	p, err := c.pool(k)
	if err != nil {
		return nil, err
	}
	granted, err := p.ask(ctx, a.SlotRequest)
	if err != nil {
		return nil, err
	}
	return c.grant(k, c.deps.Self, a, granted)
}

func (c *Coordinator) requestRemote(ctx context.Context, owner gossiper.Member, k Key, a SlotRequest) (*Grant, error) {
	message := encodeRequest(k, a.SlotRequest)
	var reply peerwire.AllocationReply
	err := c.deps.Links.Call(ctx, owner.Address, peerwire.KindAllocate, &message, &reply)
	if err != nil {
		failure := convertAskError(err)
		if reasonOf(failure) != classifier.ReasonAllocatorUnknown {
			c.withdraw(owner, k, a.Attempt)
		} // otherwise the host did not accept the request, and may be asked again
		return nil, failure
	}
	return c.grant(k, owner.Incarnation, a, decodeReply(a.Attempt, &reply))
}

// withdraw tells the allocator to drop a slot request whose answer was lost.
func (c *Coordinator) withdraw(owner gossiper.Member, k Key, a identifier.Attempt) {
	message := peerwire.Release{Pool: encodeKey(k), Attempt: encodeAttempt(a), Ending: uint8(allocator.EndingCanceled)}
	c.send(owner.Address, peerwire.KindRelease, &message)
}

// convertAskError converts the error of a remote slot request into a request error
// with the verdict not-run, since a slot request runs nothing at an endpoint.
func convertAskError(err error) error {
	e, ok := errors.AsType[*classifier.Error](err)
	if !ok {
		return classifier.NotRun(classifier.ReasonHostUnreachable, 0, "no answer from the allocator: %w", err)
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

// grant builds the Grant for the answer of the allocator on host by and resolves
// the endpoint names in it.
func (c *Coordinator) grant(k Key, by identifier.Incarnation, a SlotRequest, granted allocator.Granted) (*Grant, error) {
	f := c.deps.Fleet()
	g := &Grant{
		Key:          k,
		Attempt:      a.Attempt,
		Prefill:      f.Endpoints[granted.Prefill],
		Decode:       f.Endpoints[granted.Decode],
		PrefillDelay: granted.PrefillDelay,
		Pieces:       granted.Pieces,
		grantedBy:    by,
		ask:          a.SlotRequest,
		phase:        allocator.PhaseGranted,
	}
	if g.Prefill == nil || g.Decode == nil && granted.Decode != "" {
		c.release(g, allocator.Outcome{Ending: allocator.EndingCanceled})
		return nil, classifier.NotRun(classifier.ReasonAllocatorUnknown, 0, "grant for endpoints %q and %q, not all of which are declared on this host", granted.Prefill, granted.Decode)
	}
	return g, nil
}

// Progress reports to the allocator that the grant's attempt reached a phase.
func (c *Coordinator) Progress(g *Grant, phase allocator.Phase) {
	c.held.setPhase(g, phase)
	if p := c.ownPool(g.Key); p != nil {
		p.started(g.Attempt, phase)
		return
	}
	message := peerwire.Progress{Pool: encodeKey(g.Key), Attempt: encodeAttempt(g.Attempt), Phase: uint8(phase)}
	c.sendToOwner(g.Key, peerwire.KindProgress, &message)
}

// Release returns the grant's slots to its allocator.
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
