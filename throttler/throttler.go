// Package throttler is the shell around the limiter: it admits requests by
// this host's shares of the customers' limits, reports use to the hosts that
// coordinate the limits, and coordinates those that fall to this host.
//
// # Usage
//
//	t := throttler.New(throttler.Deps{...})
//	t.Register(messenger)
//	t.Reconfigure(fleet)
//	ok, retryAfter := t.Admit(customer, tokens)
//
// A customer's coordinator is chosen by rendezvous hashing over the live entry
// hosts of all data centres. Without answers a host goes on with an even share.
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

// Links carries messages between entry hosts.
type Links interface {
	Call(ctx context.Context, to identifier.Address, kind peerwire.Kind, request msgp.Marshaler, reply msgp.Unmarshaler) error
}

// Registry takes the handlers of messages from other entry hosts.
type Registry interface {
	Handle(kind peerwire.Kind, h messenger.Handler)
}

// Membership knows the live entry hosts.
type Membership interface {
	View() *gossiper.View
	Subscribe(f func(*gossiper.View))
}

// Deps is what a Throttler works with.
type Deps struct {
	Self    identifier.Incarnation
	Members Membership
	Links   Links
	Timer   *timer.Service
	Group   *grouper.Group
	Log     *zap.Logger
}

// Throttler admits requests within their customers' limits. It is safe for
// use by several goroutines.
type Throttler struct {
	deps    Deps
	limiter *limiter.Limiter

	mu          sync.Mutex
	coordinator *limiter.Coordinator
}

// New gives a Throttler and starts its reports.
func New(d Deps) *Throttler {
	t := &Throttler{
		deps:        d,
		limiter:     limiter.New(limiter.Options{}),
		coordinator: limiter.NewCoordinator(limiter.Options{}),
	}
	d.Members.Subscribe(t.viewChanged)
	d.Timer.Every(reportPeriod, t.tick)
	return t
}

// Register sets the handlers of messages from other entry hosts.
func (t *Throttler) Register(r Registry) {
	r.Handle(peerwire.KindUsage, t.handleUsage)
}

// Reconfigure puts the limits of a new revision in force.
func (t *Throttler) Reconfigure(f *compiler.Fleet) {
	t.limiter.Configure(f.Customers, f.DefaultCustomer)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coordinator.Configure(f.Customers, f.DefaultCustomer)
}

// Admit tells whether a request of the customer may go on, and if not, when
// to come back.
func (t *Throttler) Admit(c *compiler.Customer, tokens identifier.Tokens) (ok bool, retryAfter time.Duration) {
	return t.limiter.Admit(c.Name, limiter.Cost{Requests: 1, Tokens: float64(tokens)}, time.Now())
}

func (t *Throttler) viewChanged(v *gossiper.View) {
	live, known := 0, 0
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range v.Members() {
		switch m.State {
		case gossiper.StateDead:
			t.coordinator.HostDead(m.Incarnation)
			known++
		case gossiper.StateLeaving:
			t.coordinator.HostDead(m.Incarnation)
		default:
			live++
			known++
		}
	}
	t.coordinator.SetHosts(live, known)
	t.limiter.SetHosts(known)
}

// tick reports the use since the last tick to the customers' coordinators.
func (t *Throttler) tick(now time.Time) {
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
	for i, usages := range byHost {
		if h, ok := view.ByIncarnation(i); ok {
			t.report(h, usages, now)
		}
	}
}

func (t *Throttler) report(h gossiper.Member, usages []limiter.Usage, now time.Time) {
	if h.Incarnation == t.deps.Self {
		t.limiter.Answer(t.coordinate(t.deps.Self, usages, now), now)
		return
	}
	t.deps.Group.Run(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reportPeriod)
		defer cancel()
		message := encodeUsages(usages)
		var answer peerwire.Shares
		if err := t.deps.Links.Call(ctx, h.Address, peerwire.KindUsage, &message, &answer); err != nil {
			t.deps.Log.Debug("usage-unanswered", zap.String("host", string(h.Host)), zap.Error(err))
			return
		}
		t.limiter.Answer(decodeShares(&answer), time.Now())
	})
}

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
