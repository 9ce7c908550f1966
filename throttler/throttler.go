// Package throttler connects the limiter to the clock, the membership and the
// other entry hosts. It admits requests by this host's shares of the customers'
// limits, reports usage to the hosts that coordinate the limits, and coordinates
// the limits of the customers that hash to this host.
//
// # Usage
//
//	t := throttler.New(throttler.Deps{...})
//	t.Register(messenger)
//	t.Reconfigure(fleet)
//	ok, retryAfter := t.Admit(customer, tokens)
//
// A customer's coordinator is chosen by rendezvous hashing over the live entry
// hosts of all data centers. A host that gets no responses uses an equal share.
package throttler

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/classifier"
	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/compiler"
	"github.com/jackdawthread/jackdawthread/gossiper"
	"github.com/jackdawthread/jackdawthread/limiter"
	"github.com/jackdawthread/jackdawthread/messenger"
	"github.com/jackdawthread/jackdawthread/peerwire"
	"github.com/jackdawthread/jackdawthread/timer"
)

const reportPeriod = time.Second

// Links sends messages to other entry hosts.
type Links interface {
	Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error
}

// Registry registers handlers for messages from other entry hosts.
type Registry interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Membership provides the current view of the entry hosts and its changes.
type Membership interface {
	View() *gossiper.View
	Subscribe(f func(*gossiper.View))
}

// Deps are the dependencies of a Throttler.
type Deps struct {
	Self    identifier.Incarnation
	Members Membership
	Links   Links
	Timer   *timer.Service
	Group   *grouper.Group
	Log     *zap.Logger
}

// Throttler admits requests within their customers' limits. It is safe for
// concurrent use.
type Throttler struct {
	deps    Deps
	limiter *limiter.Limiter

	mu          sync.Mutex // guards coordinator
	coordinator *limiter.Coordinator
}

// New returns a Throttler and starts its periodic usage reports.
func New(d Deps) *Throttler {
	t := &Throttler{
		deps:        d,
		limiter:     limiter.New(limiter.Options{}),
		coordinator: limiter.NewCoordinator(limiter.Options{}),
	}
	d.Members.Subscribe(t.onViewChange)
	d.Timer.Every(reportPeriod, t.reportUsage)
	return t
}

// Register registers the handlers for messages from other entry hosts.
func (t *Throttler) Register(r Registry) {
	r.Handle(peerwire.KindUsage, t.handleUsage)
}

// Reconfigure applies the limits of a new revision of the declarations.
func (t *Throttler) Reconfigure(f *compiler.Fleet) {
	t.limiter.Configure(f.Customers, f.DefaultCustomer)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coordinator.Configure(f.Customers, f.DefaultCustomer)
}

// Admit reports whether a request of the customer may run and, if not, how long
// to wait before a retry. A wait of 0 means that a retry won't help.
func (t *Throttler) Admit(c *compiler.Customer, tokens identifier.Tokens) (ok bool, retryAfter time.Duration) {
	return t.limiter.Admit(c.Name, limiter.Cost{Requests: 1, Tokens: float64(tokens)}, time.Now())
}

// onViewChange counts dead hosts as known, since they may be on the other side
// of a network partition, but not hosts that leave as planned.
func (t *Throttler) onViewChange(v *gossiper.View) {
	live, known := 0, 0
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range v.Members() {
		switch m.State {
		case gossiper.StateDead:
			t.coordinator.RemoveHost(m.Incarnation)
			known++
		case gossiper.StateLeaving:
			t.coordinator.RemoveHost(m.Incarnation)
		default:
			live++
			known++
		}
	}
	t.coordinator.SetHosts(live, known)
	t.limiter.SetKnownHosts(known)
}

// reportUsage reports the usage since the last call to the customers'
// coordinators.
func (t *Throttler) reportUsage(now time.Time) {
	t.mu.Lock()
	t.coordinator.Expire(now)
	t.mu.Unlock()
	view := t.deps.Members.View()
	byHost := make(map[identifier.Incarnation][]limiter.Usage)
	for _, u := range t.limiter.Report(now) {
		if h, ok := view.FleetOwner(xxhash.Sum64String(string(u.Customer))); ok {
			byHost[h.Incarnation] = append(byHost[h.Incarnation], u)
		}
	}
	for incarnation, usages := range byHost {
		if h, ok := view.ByIncarnation(incarnation); ok {
			t.sendUsage(h, usages, now)
		}
	}
}

func (t *Throttler) sendUsage(h gossiper.Member, usages []limiter.Usage, now time.Time) {
	if h.Incarnation == t.deps.Self {
		t.limiter.ApplyShares(t.coordinate(t.deps.Self, usages, now), now)
		return
	}
	t.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportPeriod)
		defer cancel()
		message := encodeUsages(usages)
		var answer peerwire.Shares
		if err := t.deps.Links.Call(ctx, h.Address, peerwire.KindUsage, &message, &answer); err != nil {
			t.deps.Log.Debug("usage-report-failed", zap.String("host", string(h.Host)), zap.Error(err))
			return
		}
		t.limiter.ApplyShares(decodeShares(&answer), time.Now())
	})
}

// coordinate records a host's usage for the customers that this host coordinates
// and returns the host's shares.
func (t *Throttler) coordinate(from identifier.Incarnation, usages []limiter.Usage, now time.Time) []limiter.Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coordinator.Report(from, usages, now)
}

func (t *Throttler) handleUsage(_ context.Context, from messenger.Peer, payload []byte) (msgp.Marshaler, error) {
	var m peerwire.Usage
	if _, err := m.UnmarshalMsg(payload); err != nil {
		return nil, classifier.NotRun(classifier.ReasonBadRequest, 0, "usage report is malformed: %w", err)
	}
	shares := t.coordinate(from.Incarnation, decodeUsages(&m), time.Now())
	return encodeShares(shares), nil
}
