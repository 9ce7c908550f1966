// Package replicator keeps a host's copy of the configuration store up to
// date: by watching the store, and by asking peers, which may reach the store
// while this host does not.
//
// # Usage
//
//	r := replicator.Start(replicator.Deps{
//		Store: store, Peers: peers, Apply: registrar.apply, ...,
//	}, replicator.DefaultOptions())
//	if r.Known() { ... }            // there is something to serve from
//	answer := r.Replica().Since(ask.Revision) // for a peer that asks
//
// # Deletions around an outage
//
// Items that their writers keep alive lapse while the store is out of reach
// for the writers as well. A deletion that shows up in the first moments after
// an outage is therefore shown to Apply only when the item is still missing
// after Options.DeletionGrace.
package replicator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jackdawthread/jackdawthread/common/grouper"
	"github.com/jackdawthread/jackdawthread/common/identifier"
	"github.com/jackdawthread/jackdawthread/common/sleeper"
	"github.com/jackdawthread/jackdawthread/timer"
)

// ErrHistoryLost says that the store no longer has the changes behind a
// revision: everything has to be listed again.
var ErrHistoryLost = errors.New("store has discarded the changes behind this revision")

// Store is the configuration store; it is only read.
type Store interface {
	// List gives all items.
	List(ctx context.Context) (Changes, error)
	// Watch waits, for at most wait, for changes behind a revision. It gives
	// ErrHistoryLost where they aren't known any more.
	Watch(ctx context.Context, after identifier.Revision, wait time.Duration) (Changes, error)
}

// Peers are the other hosts.
type Peers interface {
	// Changes asks one of them for what happened behind a revision.
	Changes(ctx context.Context, after identifier.Revision) (Changes, error)
}

// Deps is what a Replicator works with.
type Deps struct {
	Store Store
	Peers Peers
	// Apply is told of the items whenever they have changed, one call at a
	// time.
	Apply func([]Item)
	Timer *timer.Service
	Group *grouper.Group
	Log   *zap.Logger
}

// Options are the periods that a Replicator keeps.
type Options struct {
	// Wait is how long a watch waits at the store for a change.
	Wait time.Duration
	// Timeout is how much longer than that an answer may take.
	Timeout time.Duration
	// MinBackoff and MaxBackoff bound the wait between failed reads.
	MinBackoff, MaxBackoff time.Duration
	// PeersPeriod is the time between two questions to a peer, and LostPeriod
	// that while the store is out of reach.
	PeersPeriod, LostPeriod time.Duration
	// PeerTimeout bounds a question to a peer.
	PeerTimeout time.Duration
	// OutageAfter is how long reads fail before this counts as an outage.
	OutageAfter time.Duration
	// DeletionGrace is how long after an outage deletions are doubted.
	DeletionGrace time.Duration
}

// DefaultOptions suit stores that answer in milliseconds.
func DefaultOptions() Options {
	return Options{
		Wait:          2 * time.Second,
		Timeout:       time.Second,
		MinBackoff:    100 * time.Millisecond,
		MaxBackoff:    800 * time.Millisecond,
		PeersPeriod:   500 * time.Millisecond,
		LostPeriod:    200 * time.Millisecond,
		PeerTimeout:   400 * time.Millisecond,
		OutageAfter:   time.Second,
		DeletionGrace: 2 * time.Second,
	}
}

// Replicator keeps a Replica up to date. It is safe for use by several
// goroutines.
type Replicator struct {
	deps    Deps
	options Options
	replica *Replica
	asking  atomic.Bool
	// heardAt is when the store or a peer last answered, in nanoseconds on
	// the steady clock since started.
	heardAt atomic.Int64
	started time.Time

	mu      sync.Mutex
	contact contact
	doubted map[string]doubt
}

// doubt is a deleted item that is still shown.
type doubt struct {
	item  Item
	until time.Time
}

// Start starts to read.
func Start(d Deps, o Options) *Replicator {
	r := &Replicator{
		deps:    d,
		options: o,
		replica: NewReplica(),
		started: time.Now(),
		doubted: map[string]doubt{},
		contact: contact{options: o},
	}
	d.Group.Run(r.follow)
	d.Timer.Every(o.LostPeriod, r.tick)
	return r
}

// Replica gives the copy, for peers that ask.
func (r *Replicator) Replica() *Replica {
	return r.replica
}

// Known tells whether the copy holds anything.
func (r *Replicator) Known() bool {
	return r.replica.Revision() > 0
}

// Connected tells whether the store answers.
func (r *Replicator) Connected() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.contact.lost
}

// Silence gives for how long neither the store nor a peer has answered.
func (r *Replicator) Silence() time.Duration {
	return time.Since(r.started) - time.Duration(r.heardAt.Load())
}

// Doubt asks a peer at once, as after the host stood still.
func (r *Replicator) Doubt() {
	r.ask()
}

// follow reads the store for as long as the group lives.
func (r *Replicator) follow(ctx context.Context) {
	backoff := r.options.MinBackoff
	listed := false
	for ctx.Err() == nil {
		err := r.read(ctx, &listed)
		if err == nil {
			backoff = r.options.MinBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		r.failed(err)
		if sleeper.Sleep(ctx, backoff/2+rand.N(backoff)) != nil {
			return
		}
		backoff = min(2*backoff, r.options.MaxBackoff)
	}
}

// read lists or watches once. A host that a peer has brought up to date needs
// no listing.
func (r *Replicator) read(ctx context.Context, listed *bool) error {
	after := r.replica.Revision()
	wait := r.options.Wait
	if !*listed && after == 0 {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+r.options.Timeout)
	defer cancel()
	if !*listed && after == 0 {
		changes, err := r.deps.Store.List(ctx)
		if err != nil {
			return err
		}
		*listed = true
		r.succeeded()
		r.take(changes, "store")
		return nil
	}
	changes, err := r.deps.Store.Watch(ctx, after, wait)
	if errors.Is(err, ErrHistoryLost) {
		r.deps.Log.Info("store-history-lost", zap.Uint64("revision", uint64(after)))
		changes, err = r.deps.Store.List(ctx)
	}
	if err != nil {
		return err
	}
	*listed = true
	r.succeeded()
	r.take(changes, "store")
	return nil
}

// failed notes a read that failed.
func (r *Replicator) failed(err error) {
	r.mu.Lock()
	lostNow := r.contact.failed(time.Now())
	r.mu.Unlock()
	if lostNow {
		r.deps.Log.Warn("store-lost", zap.Uint64("revision", uint64(r.replica.Revision())), zap.Error(err))
	}
}

// succeeded notes an answer of the store.
func (r *Replicator) succeeded() {
	r.heard()
	r.mu.Lock()
	outage, back := r.contact.succeeded(time.Now())
	r.mu.Unlock()
	if back {
		r.deps.Log.Info("store-back", zap.Duration("outage", outage), zap.Uint64("revision", uint64(r.replica.Revision())))
	}
}

func (r *Replicator) heard() {
	r.heardAt.Store(int64(time.Since(r.started)))
}

// take brings the replica up to date and shows what is new.
func (r *Replicator) take(c Changes, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := r.replica.Apply(c)
	if len(news) == 0 {
		return
	}
	now := time.Now()
	if grace := r.contact.doubtUntil(now); grace.After(now) {
		r.keepDoubted(news, grace)
	}
	r.deps.Log.Info("store-changes-applied",
		zap.String("source", source),
		zap.Uint64("revision", uint64(c.Revision)),
		zap.Bool("whole", c.Whole),
		zap.Int("changes", len(news)),
		zap.Int("doubted", len(r.doubted)))
	r.show(now)
}

// keepDoubted remembers the items whose deletion is doubted; r.mu is held.
func (r *Replicator) keepDoubted(news []Change, until time.Time) {
	for _, c := range news {
		if c.Deleted {
			r.doubted[c.Key] = doubt{item: c.Item, until: until}
		}
	}
}

// show gives the items to Apply, the doubted ones among them; r.mu is held.
func (r *Replicator) show(now time.Time) {
	items := r.replica.Items()
	for _, i := range items {
		delete(r.doubted, i.Key)
	}
	for key, d := range r.doubted {
		if !now.Before(d.until) {
			delete(r.doubted, key)
			continue
		}
		items = append(items, d.item)
	}
	r.deps.Apply(items)
}

// tick drops what has been doubted for long enough, and asks a peer when it
// is time to.
func (r *Replicator) tick(now time.Time) {
	r.mu.Lock()
	expired := 0
	for _, d := range r.doubted {
		if !now.Before(d.until) {
			expired++
		}
	}
	if expired > 0 {
		r.deps.Log.Info("doubted-items-dropped", zap.Int("items", expired))
		r.show(now)
	}
	due := r.contact.askDue(now, r.replica.Revision() == 0)
	r.mu.Unlock()
	if due {
		r.ask()
	}
}

// ask asks one peer, unless a question is under way.
func (r *Replicator) ask() {
	if !r.asking.CompareAndSwap(false, true) {
		return
	}
	r.deps.Group.Run(func(ctx context.Context) {
		defer r.asking.Store(false)
		ctx, cancel := context.WithTimeout(ctx, r.options.PeerTimeout)
		defer cancel()
		changes, err := r.deps.Peers.Changes(ctx, r.replica.Revision())
		if err != nil {
			r.deps.Log.Debug("peer-gave-no-changes", zap.Error(err))
			return
		}
		r.heard()
		r.take(changes, "peer")
	})
}
