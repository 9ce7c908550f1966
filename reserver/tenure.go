package reserver

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/fencer"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
)

const (
	// claimTimeout is how long other hosts may take to answer a claim.
	claimTimeout = time.Second
	// maxClaims bounds the claims at the start of a tenure, while other hosts claim higher
	// tokens at the same time.
	maxClaims = 3
)

// tenure is the state of this host as a service's placing host.
type tenure struct {
	since       time.Time    // start of the tenure; zero if there is none
	claim       fencer.Claim // of the tenure's fencing token; zero before
	pausedUntil time.Time    // no orders before this time
	maxMembers  int
}

// end ends the tenure.
func (t *tenure) end() {
	t.since, t.claim = time.Time{}, fencer.Claim{}
}

// lose ends the tenure with claim c, since an engine has seen a higher token. The
// next one may begin at once, but gives no orders before another holder has had time to.
func (t *tenure) lose(c fencer.Claim, f *fencer.Fencer) {
	if t.claim != c {
		return // it has ended already
	}
	f.Refuse()
	t.end()
}

// mayOrder reports whether this host may give orders. It must have been the
// placing host for longer than any other host could still take itself for it, see a
// majority of the hosts, and have claimed a fencing token, which the other hosts
// had time to hear of. q.mu must be held.
func (q *serviceQueue) mayOrder(now time.Time) bool {
	t := &q.tenure
	v := q.reserver.deps.Members.View()
	if !q.isHolder(v) {
		t.end()
		return false
	}
	if t.since.IsZero() {
		t.since = now
	}
	lease, age := q.reserver.deps.OrderOptions.Lease, now.Sub(t.since)
	if age > lease && t.claim.Token == 0 {
		c := q.claim(v, now)
		t.claim = c
		q.reserver.deps.Group.Run(func(ctx context.Context) { q.defendClaim(ctx, c) })
	}
	if age <= 2*lease || now.Before(t.pausedUntil) {
		return false
	}
	if q.fencer.Contested(t.claim) {
		t.end() // another host takes itself for the placing host, or did
		return false
	}
	return true
}

// isHolder reports whether this host is the placing host and sees a majority of the hosts
// that it has ever seen. q.mu must be held.
func (q *serviceQueue) isHolder(v *gossiper.View) bool {
	alive := 0
	for _, m := range v.Members() {
		if m.State == gossiper.StateAlive {
			alive++
		}
	}
	q.tenure.maxMembers = max(q.tenure.maxMembers, len(v.Members()))
	_, other := q.reserver.owner(q.service)
	return !other && 2*alive > q.tenure.maxMembers
}

// claim claims a fencing token. q.mu must be held.
func (q *serviceQueue) claim(v *gossiper.View, now time.Time) fencer.Claim {
	names := make([]identifier.Host, 0, len(v.Members()))
	for _, m := range v.Members() {
		names = append(names, m.Host)
	}
	return q.fencer.Claim(q.reserver.deps.Knowledge().Position, names, now)
}

// defendClaim tells all other hosts of a claim, and claims a higher token if they
// know of another claim that isn't lower. After maxClaims, mayOrder ends a tenure whose
// claim is still contested.
func (q *serviceQueue) defendClaim(ctx context.Context, c fencer.Claim) {
	for n := 1; ; n++ {
		q.tellClaim(ctx, c)
		if n == maxClaims {
			return
		}
		next, ok := q.raiseClaim(c, time.Now())
		if !ok {
			return
		}
		c = next
	}
}

// raiseClaim replaces a contested claim. It returns false if the claim stands, or the
// tenure has ended.
func (q *serviceQueue) raiseClaim(c fencer.Claim, now time.Time) (fencer.Claim, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	contested := q.fencer.Contested(c)
	q.reserver.deps.Log.Info("fence-claimed",
		zap.String("service", string(q.service)),
		zap.Uint64("fence", uint64(c.Token)),
		zap.Bool("contested", contested))
	if q.tenure.claim != c || !contested {
		return fencer.Claim{}, false
	}
	q.tenure.claim = q.claim(q.reserver.deps.Members.View(), now)
	return q.tenure.claim, true
}

// tellClaim tells all other hosts of a claim, and hears what they know.
func (q *serviceQueue) tellClaim(ctx context.Context, c fencer.Claim) {
	r := q.reserver
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	calls := grouper.New(ctx)
	for _, m := range r.deps.Members.View().Members() {
		if m.Incarnation == r.deps.Self || m.State == gossiper.StateDead {
			continue
		}
		calls.Run(func(ctx context.Context) {
			var reply peerwire.FenceClaim
			if r.deps.Links.Call(ctx, m.Address, peerwire.KindFence, encodeClaim(q.service, c), &reply) == nil {
				q.hearClaim(decodeClaim(&reply))
			}
		})
	}
	_ = calls.Wait() // its functions return no error
}

func (q *serviceQueue) hearClaim(c fencer.Claim) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fencer.Hear(c)
}

// handleClaim records another host's claim, and replies with the highest one.
func (r *Reserver) handleClaim(_ context.Context, _ messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.FenceClaim
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "malformed FenceClaim message: %w", err)
	}
	q := r.serviceQueue(identifier.Service(m.Service))
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fencer.Hear(decodeClaim(&m))
	return encodeClaim(q.service, q.fencer.Highest()), nil
}

func encodeClaim(s identifier.Service, c fencer.Claim) *peerwire.FenceClaim {
	return &peerwire.FenceClaim{Service: string(s), Token: uint64(c.Token), Holder: c.Holder}
}

func decodeClaim(m *peerwire.FenceClaim) fencer.Claim {
	return fencer.Claim{Token: fencer.Token(m.Token), Holder: m.Holder}
}
