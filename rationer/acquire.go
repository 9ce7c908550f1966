package rationer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/pacer"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// askTimeout is the timeout of a request for a permit, which takes a granting host one
	// round trip.
	askTimeout = 100 * time.Millisecond
	// bypassTime is how long a granting host that didn't answer isn't asked.
	bypassTime = time.Second
	// maxGap is the longest time for which a granting host isn't asked since it had no permit.
	// Permits come back, and limits end.
	maxGap = time.Second
	// maxReplyWait bounds the wait in the reply of another host.
	maxReplyWait = time.Minute
	// returnTimeout limits the queueing time of a permit that goes back.
	returnTimeout = time.Second
	// maxRefusals is the number of endpoints at which a request is refused a permit before
	// Choose gives up.
	maxRefusals = 5
	// renewalMargin is the part of a permit's lifetime that must be left for the call to reach
	// its endpoint.
	renewalMargin = 50 * time.Millisecond
)

// Within returns the endpoints that a permit may be had for within a wait, and those that need
// none. The result may be all itself.
func (r *Rationer) Within(all []*registrar.Endpoint, wait time.Duration) []*registrar.Endpoint {
	if r == nil || !r.anyLimit.Load() {
		return all
	}
	now := time.Now()
	v := r.deps.Members.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	return filter(all, func(e *registrar.Endpoint) bool {
		_, limited := r.pacer.Limit(e)
		return !limited || len(r.askable(e, v, wait, now)) > 0
	})
}

// Unlimited returns the endpoints that have named no limit. The result may be all itself.
func (r *Rationer) Unlimited(all []*registrar.Endpoint) []*registrar.Endpoint {
	if r == nil || !r.anyLimit.Load() {
		return all
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return filter(all, func(e *registrar.Endpoint) bool {
		_, limited := r.pacer.Limit(e)
		return !limited
	})
}

func filter(all []*registrar.Endpoint, keep func(*registrar.Endpoint) bool) []*registrar.Endpoint {
	kept := make([]*registrar.Endpoint, 0, len(all))
	for _, e := range all {
		if keep(e) {
			kept = append(kept, e)
		}
	}
	return kept
}

// askable returns the live granting hosts of an endpoint that may have a permit within a wait.
// r.mu must be held.
func (r *Rationer) askable(e *registrar.Endpoint, v *gossiper.View, wait time.Duration, now time.Time) []gossiper.Member {
	var list []gossiper.Member
	for _, m := range r.granters.of(e, v, now) {
		if (m.Host == r.deps.Host || isLive(m)) && !r.gaps.next(e, m).After(now.Add(wait)) {
			list = append(list, m)
		}
	}
	return list
}

// Acquire obtains a permit for a request's next call to an endpoint, for which the request waits
// up to maxWait. It returns at once if none is needed. Its error has the verdict not-run.
func (r *Rationer) Acquire(ctx context.Context, e *registrar.Endpoint, request identifier.Request, maxWait time.Duration) error {
	rate, limited := r.limit(e)
	if !limited {
		return nil
	}
	for _, m := range r.askOrder(e, maxWait) {
		wait, ok := r.ask(ctx, m, e, maxWait)
		if ok {
			return r.hold(ctx, e, request, m.Host, wait)
		}
		if rate, limited = r.limit(e); !limited { // according to the granting host
			return nil
		}
		if ctx.Err() != nil {
			return classifier.NotRun(classifier.ReasonCanceled, 0, "canceled while waiting for a permit: %w", context.Cause(ctx))
		}
	}
	r.mu.Lock()
	r.stats.Refused++
	r.mu.Unlock()
	r.deps.Log.Info("permit-refused", zap.String("request", string(request)),
		zap.String("endpoint", string(e.Name)), zap.Float64("limit", float64(rate)), zap.Duration("max-wait", maxWait))
	return classifier.NotRun(classifier.ReasonEndpointExcluded, classifier.Jitter(stoppedRetryAfter),
		"endpoint %q takes %g requests a second, and no permit is left", e.Name, rate)
}

// Choice chooses one of the endpoints without the excluded ones; nil if there is none.
type Choice func(among []*registrar.Endpoint, exclude []identifier.Endpoint) *registrar.Endpoint

// Choose returns the endpoint that a choice prefers among those for which the request gets a permit
// at once, if they need one. It returns nil if there is none, or after maxRefusals refused permits.
func (r *Rationer) Choose(ctx context.Context, all []*registrar.Endpoint, exclude []identifier.Endpoint, request identifier.Request, choose Choice) *registrar.Endpoint {
	exclude = slices.Clip(exclude)
	for range maxRefusals {
		e := choose(r.Within(all, 0), exclude)
		if e == nil || r.Acquire(ctx, e, request, 0) == nil {
			return e
		}
		exclude = append(exclude, e.Name)
	}
	return nil
}

// askOrder returns the granting hosts to ask, in order: this host, then those that have the next
// permit first.
func (r *Rationer) askOrder(e *registrar.Endpoint, maxWait time.Duration) []gossiper.Member {
	now := time.Now()
	v := r.deps.Members.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.askable(e, v, maxWait, now)
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	slices.SortStableFunc(list, func(a, b gossiper.Member) int {
		if own := a.Host == r.deps.Host; own != (b.Host == r.deps.Host) {
			if own {
				return -1
			}
			return 1
		}
		return cmp.Compare(r.untilNext(e, a, now), r.untilNext(e, b, now))
	})
	return list
}

// untilNext returns the time until a granting host may have the next permit. r.mu must be held.
func (r *Rationer) untilNext(e *registrar.Endpoint, m gossiper.Member, now time.Time) time.Duration {
	return max(0, r.gaps.next(e, m).Sub(now))
}

// ask asks a granting host for a permit.
func (r *Rationer) ask(ctx context.Context, m gossiper.Member, e *registrar.Endpoint, maxWait time.Duration) (wait time.Duration, ok bool) {
	now := time.Now()
	if m.Host == r.deps.Host {
		wait, ok = r.grant(e, maxWait, now)
	} else {
		wait, ok = r.askPeer(ctx, m, e, maxWait)
	}
	if !ok {
		r.mu.Lock()
		r.gaps.record(e, m, now.Add(min(wait, maxGap)))
		r.mu.Unlock()
	}
	return wait, ok
}

func (r *Rationer) askPeer(ctx context.Context, m gossiper.Member, e *registrar.Endpoint, maxWait time.Duration) (wait time.Duration, ok bool) {
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request := &peerwire.PermitRequest{Fact: encodeFact(r.fact(e)), MaxWaitUs: maxWait.Microseconds()}
	var reply peerwire.PermitReply
	if err := r.deps.Links.Call(call, m.Address, peerwire.KindPermit, request, &reply); err != nil {
		if ctx.Err() != nil { // the request has ended
			return 0, false
		}
		r.deps.Log.Info("granting-host-unreachable", zap.String("endpoint", string(e.Name)), zap.String("peer", string(m.Host)), zap.Error(err))
		return bypassTime, false
	}
	if f, err := decodeFact(&reply.Fact); err == nil {
		r.record([]pacer.Fact{f}, string(m.Host), time.Now())
	}
	return time.Duration(min(max(0, reply.WaitUs), maxReplyWait.Microseconds())) * time.Microsecond, reply.Granted
}

// hold waits until a permit may be used, and keeps it for the call.
func (r *Rationer) hold(ctx context.Context, e *registrar.Endpoint, request identifier.Request, granter identifier.Host, wait time.Duration) error {
	if wait > 0 && sleeper.Sleep(ctx, wait) != nil {
		r.giveBack(e, granter)
		return classifier.NotRun(classifier.ReasonCanceled, 0, "canceled while waiting for a permit: %w", context.Cause(ctx))
	}
	r.Add(e, request, granter)
	return nil
}

// Add adds a permit that a granting host has granted just now.
func (r *Rationer) Add(e *registrar.Endpoint, request identifier.Request, granter identifier.Host) {
	if r == nil || granter == "" {
		return
	}
	r.mu.Lock()
	added := r.permits.Add(e, request, pacer.Permit{Granter: granter, Expires: time.Now().Add(pacer.PermitLifetime)})
	r.mu.Unlock()
	if !added { // the call will be stopped
		r.giveBack(e, granter)
	}
}

// Take removes the permit for a request's call to an endpoint, to hand it to another host. It
// returns the host that granted it, or none if there is no permit.
func (r *Rationer) Take(e *registrar.Endpoint, request identifier.Request) (granter identifier.Host) {
	if r == nil || e == nil {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p, _ := r.permits.Take(e, request)
	return p.Granter
}

// Renew makes sure that a permit for a request's call to an endpoint is valid, if one is needed.
func (r *Rationer) Renew(ctx context.Context, e *registrar.Endpoint, request identifier.Request, maxWait time.Duration) error {
	if _, limited := r.limit(e); !limited {
		return nil
	}
	r.mu.Lock()
	valid := r.permits.Valid(e, request, time.Now().Add(renewalMargin))
	r.mu.Unlock()
	if valid {
		return nil
	}
	r.Drop(e, request)
	return r.Acquire(ctx, e, request, maxWait)
}

// Drop returns the permit for a request's call to an endpoint, unless it was used.
func (r *Rationer) Drop(e *registrar.Endpoint, request identifier.Request) {
	if granter := r.Take(e, request); granter != "" {
		r.giveBack(e, granter)
	}
}

// giveBack returns a permit to its granting host.
func (r *Rationer) giveBack(e *registrar.Endpoint, granter identifier.Host) {
	if granter == r.deps.Host {
		r.takeBack(e)
		return
	}
	m, ok := r.deps.Members.View().ByHost(granter)
	if !ok {
		return
	}
	r.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, returnTimeout)
		defer cancel()
		// If the message is lost, so is the permit.
		_ = r.deps.Links.Send(ctx, m.Address, peerwire.KindPermitReturn, &peerwire.PermitReturn{Endpoint: string(e.Name), StartID: e.StartID})
	})
}
