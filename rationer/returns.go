package rationer

import (
	"math/rand/v2"
	"time"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/registrar"
)

const (
	// maxReturn is the longest time after which a caller is told to return because of limits.
	maxReturn = 10 * time.Second
	// returnJitter is the share of the time between two returns by which they are spread.
	returnJitter = 1.0
)

// returns has, for each service, when the caller that was told last returns.
type returns map[identifier.Service]time.Time

// next returns the time after which a further caller may return, if the service takes rate
// requests a second from this host.
func (t returns) next(s identifier.Service, rate float64, now time.Time) time.Duration {
	step := min(maxReturn, time.Duration(float64(time.Second)/rate))
	at := now
	if last := t[s]; last.After(now) {
		at = last
	}
	at = at.Add(step)
	if latest := now.Add(maxReturn); at.After(latest) {
		at = latest
	}
	t[s] = at
	return at.Sub(now) + time.Duration(returnJitter*rand.Float64()*float64(step))
}

func (t returns) expire(now time.Time) {
	for s, at := range t {
		if at.Before(now) {
			delete(t, s)
		}
	}
}

// RetryAfter returns the time after which a caller may return whose request found no permit for
// any of the endpoints of a service: callers are spread over the times at which this host's
// part of the limits allows a request. If an endpoint has no limit, it is a random time around d.
func (r *Rationer) RetryAfter(s identifier.Service, all []*registrar.Endpoint, d time.Duration) time.Duration {
	if r == nil || len(all) == 0 {
		return classifier.Jitter(d)
	}
	hosts := liveHosts(r.deps.Members.View())
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0.0
	for _, e := range all {
		rate, limited := r.pacer.Limit(e)
		if !limited {
			return classifier.Jitter(d)
		}
		sum += float64(rate)
	}
	return r.returns.next(s, sum/float64(hosts), time.Now())
}

// liveHosts returns the number of live hosts, at least 1.
func liveHosts(v *gossiper.View) int {
	n := 0
	for _, m := range v.Members() {
		if isLive(m) {
			n++
		}
	}
	return max(1, n)
}
